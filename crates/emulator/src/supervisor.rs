//! Real placers as processes: started, killed, stopped, ended, and started again in their places.

use crate::cluster::Site;
use crate::event_log::Notes;
use crate::rule_check::{Life, Note};
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process};
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How placers are started.
#[derive(Debug, Clone)]
pub struct Start {
    /// The placer's program.
    pub binary: PathBuf,
    /// A program that runs another and has it ended with itself: `GUARD guard PROGRAM`. Without one a placer
    /// may outlive a keeper that is killed.
    pub guard: Option<PathBuf>,
    /// Where configurations and logs go.
    pub folder: PathBuf,
    /// The settings of the deployment, but for `me` and `locality`.
    pub settings: OwnedValue,
    /// The rooms.
    pub rooms: Vec<String>,
    /// `limits`, as the configuration states them.
    pub limits: OwnedValue,
    /// The operator's file: `{n}`, `{agent}`, `{http}` and `{socket}` are filled in for each placer.
    pub operator: Option<String>,
    /// For the seeds of placers.
    pub seed: u64,
}

/// One place of a placer.
struct Placer {
    listen: SocketAddr,
    agent: SocketAddr,
    http: SocketAddr,
    child: Option<Child>,
    starts: u64,
    stopped: bool,
    peak_kb: u64,
    peak_descriptors: usize,
}

/// All placers of a run.
pub struct Keeper {
    start: Start,
    notes: Notes,
    placers: Vec<Placer>,
}

impl Keeper {
    /// Starts so many.
    pub fn start(start: Start, count: usize, site: &Site, notes: Notes) -> io::Result<Keeper> {
        std::fs::create_dir_all(&start.folder)?;
        let mut keeper = Keeper {
            start,
            notes,
            placers: Vec::new(),
        };
        for n in 0..count {
            let [listen, agent, http] = [(); 3].map(|()| crate::free_address());
            let (child, starts, stopped, peak_kb, peak_descriptors) = (None, 0, false, 0, 0);
            keeper.placers.push(Placer {
                listen,
                agent,
                http,
                child,
                starts,
                stopped,
                peak_kb,
                peak_descriptors,
            });
            keeper.launch(n, site)?;
        }
        Ok(keeper)
    }

    /// Where a placer listens for clients.
    pub fn listen(&self, n: usize) -> Option<SocketAddr> {
        self.placers.get(n).map(|p| p.listen)
    }

    /// Where its agent check answers, if its operator's file opens it.
    pub fn agent(&self, n: usize) -> Option<SocketAddr> {
        self.placers.get(n).map(|p| p.agent)
    }

    /// How many places there are.
    pub fn count(&self) -> usize {
        self.placers.len()
    }

    fn path(&self, n: usize, ending: &str) -> PathBuf {
        self.start.folder.join(format!("placer-{n}.{ending}"))
    }

    fn write_config(
        &self,
        n: usize,
        feed: SocketAddr,
        list: &[OwnedValue],
        starts: u64,
    ) -> io::Result<()> {
        let Some(placer) = self.placers.get(n) else {
            return Ok(());
        };
        let mut settings = self.start.settings.clone();
        let room = self
            .start
            .rooms
            .get(n % self.start.rooms.len().max(1))
            .cloned()
            .unwrap_or_default();
        let _ = settings.insert("me", n);
        let _ = settings.insert("n_instances", self.placers.len().max(n + 1));
        let _ = settings.insert("locality", room);
        let seed = self
            .start
            .seed
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .wrapping_add(n as u64 * 1_000 + starts);
        let config = json!({
            "name": format!("n{n}"), "listen": placer.listen.to_string(), "seed": format!("{seed:016x}"),
            "limits": self.start.limits.clone(), "feed": feed.to_string(),
            "known": { "n": 1, "events": [{ "n": 1, "members": { "seq": 1, "whole": true, "hosts": list.to_vec() } }] },
            "settings": settings
        });
        std::fs::write(self.path(n, "json"), config.encode())
    }

    /// Starts a placer in its place, if none runs there.
    pub fn launch(&mut self, n: usize, site: &Site) -> io::Result<()> {
        let Some(starts) = self
            .placers
            .get(n)
            .filter(|p| p.child.is_none())
            .map(|p| p.starts)
        else {
            return Ok(());
        };
        let (feed, list) = site.introduce(n);
        self.write_config(n, feed, &list, starts)?;
        let mut command = match &self.start.guard {
            Some(guard) => {
                let mut command = Command::new(guard);
                command.arg("guard").arg(&self.start.binary);
                // The system holds it to its descriptors, too.
                if let Some(sockets) = self
                    .start
                    .limits
                    .get("sockets")
                    .and_then(OwnedValue::as_u64)
                {
                    command.args(["--descriptors", &sockets.to_string()]);
                }
                command
            }
            None => Command::new(&self.start.binary),
        };
        command
            .env("LB_CONFIG", self.path(n, "json"))
            .env_remove("TASK_PLACER_OPERATOR")
            .env_remove("ANISEHEAD_OPERATOR")
            .stdin(Stdio::null());
        if let (Some(text), Some(placer)) = (&self.start.operator, self.placers.get(n)) {
            let text = text
                .replace("{n}", &n.to_string())
                .replace("{agent}", &placer.agent.to_string())
                .replace("{http}", &placer.http.to_string())
                .replace("{socket}", &self.path(n, "sock").to_string_lossy());
            std::fs::write(self.path(n, "toml"), text)?;
            command.env("TASK_PLACER_OPERATOR", self.path(n, "toml"));
            // Placers of earlier versions read the former name.
            command.env("ANISEHEAD_OPERATOR", self.path(n, "toml"));
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.path(n, "log"))?;
        let child = command.stdout(Stdio::null()).stderr(log).spawn()?;
        self.notes.add(Note::Placer(n, Life::Started));
        if let Some(placer) = self.placers.get_mut(n) {
            (placer.child, placer.starts, placer.stopped) = (Some(child), starts + 1, false);
        }
        Ok(())
    }

    /// Whether a process runs in a place.
    pub fn runs(&self, n: usize) -> bool {
        self.placers.get(n).is_some_and(|p| p.child.is_some())
    }

    fn signal(&self, n: usize, signal: Signal) {
        let child = self.placers.get(n).and_then(|p| p.child.as_ref());
        if let Some(pid) =
            child.and_then(|child| Pid::from_raw(i32::try_from(child.id()).unwrap_or(0)))
        {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills a placer.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.placers.get_mut(n).and_then(|p| p.child.take()) {
            self.notes.add(Note::Placer(n, Life::Killed));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops a placer: it takes no notice of anything until it goes on.
    pub fn pause(&mut self, n: usize) {
        self.notes.add(Note::Placer(n, Life::Stopped));
        self.signal(n, Signal::STOP);
        self.placers
            .get_mut(n)
            .into_iter()
            .for_each(|p| p.stopped = true);
    }

    /// It goes on.
    pub fn resume(&mut self, n: usize) {
        self.signal(n, Signal::CONT);
        self.notes.add(Note::Placer(n, Life::Went));
        self.placers
            .get_mut(n)
            .into_iter()
            .for_each(|p| p.stopped = false);
    }

    /// Tells a placer to end.
    pub fn terminate(&mut self, n: usize) {
        if self.runs(n) {
            self.notes.add(Note::Placer(n, Life::Told));
            self.signal(n, Signal::TERM);
        }
    }

    /// Has a placer read its configuration again, with the feed where it is now.
    pub fn reload(&mut self, n: usize, site: &Site) -> io::Result<()> {
        let Some(feed) = site.feed(n) else {
            return Ok(());
        };
        let starts = self.placers.get(n).map_or(0, |p| p.starts);
        self.write_config(n, feed, &[], starts)?;
        self.signal(n, Signal::HUP);
        Ok(())
    }

    /// Notes the placers that have ended by themselves, and reads how much memory the others hold.
    pub fn look(&mut self) {
        for n in 0..self.placers.len() {
            let Some(placer) = self.placers.get_mut(n) else {
                continue;
            };
            let Some(child) = &mut placer.child else {
                continue;
            };
            if let Ok(Some(status)) = child.try_wait() {
                placer.child = None;
                self.notes
                    .add(Note::Placer(n, Life::Ended(status.code().unwrap_or(-1))));
                continue;
            }
            placer.peak_kb = placer.peak_kb.max(resident_kb(child.id()));
            placer.peak_descriptors = placer.peak_descriptors.max(descriptors(child.id()));
        }
    }

    /// The most memory that a placer was seen to hold, in kB.
    pub fn peak_kb(&self, n: usize) -> u64 {
        self.placers.get(n).map_or(0, |p| p.peak_kb)
    }

    /// The most descriptors that a placer was seen to hold.
    pub fn peak_descriptors(&self, n: usize) -> usize {
        self.placers.get(n).map_or(0, |p| p.peak_descriptors)
    }

    /// The memory that it holds now, in kB, and the time that it has spent on a core.
    pub fn usage(&self, n: usize) -> (u64, Duration) {
        let child = self.placers.get(n).and_then(|p| p.child.as_ref());
        child.map_or((0, Duration::ZERO), |child| {
            (resident_kb(child.id()), cpu(child.id()))
        })
    }

    /// Ends all: with SIGTERM, and with SIGKILL those that have not ended by the limit.
    pub fn finish(&mut self, limit: Duration) {
        for n in 0..self.placers.len() {
            if self.placers.get(n).is_some_and(|p| p.stopped) {
                self.resume(n);
            }
            self.terminate(n);
        }
        let end = Instant::now() + limit;
        while Instant::now() < end && self.placers.iter().any(|p| p.child.is_some()) {
            self.look();
            std::thread::sleep(Duration::from_millis(10));
        }
        (0..self.placers.len()).for_each(|n| self.kill(n));
    }

    /// The folder of configurations and logs.
    pub fn folder(&self) -> &Path {
        &self.start.folder
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        (0..self.placers.len()).for_each(|n| self.kill(n));
    }
}

pub(crate) fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next())
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

pub(crate) fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

pub(crate) fn cpu(pid: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after = text.rsplit_once(')').map_or("", |(_, after)| after);
    let ticks = |n: usize| {
        after
            .split_whitespace()
            .nth(n)
            .and_then(|t| t.parse::<u64>().ok())
            .unwrap_or(0)
    };
    Duration::from_millis(10 * (ticks(11) + ticks(12)))
}

/// What `GUARD guard PROGRAM` does: becomes the program, with so many descriptors at the most, and dies with
/// whoever started it.
pub fn guard(program: &Path, descriptors: Option<u64>) -> io::Error {
    use std::os::unix::process::CommandExt;
    if let Some(most) = descriptors {
        let limit = Rlimit {
            current: Some(most),
            maximum: Some(most),
        };
        if let Err(e) = rustix::process::setrlimit(Resource::Nofile, limit) {
            return e.into();
        }
    }
    if let Err(e) = rustix::process::set_parent_process_death_signal(Some(Signal::KILL)) {
        return e.into();
    }
    // The parent may have died before the call.
    if rustix::process::getppid().is_none_or(Pid::is_init) {
        return io::Error::other("the keeper is gone");
    }
    Command::new(program).exec()
}
