//! Runs real placers as processes: starts, signals and restarts each in its slot, and watches what it uses.
//!
//! The supervisor owns the processes, their configurations and their logs. It records every change of a process
//! in the event log, and kills all processes when dropped.

mod guard;
mod process_usage;

use crate::cluster::Cluster;
use crate::event_log::{Event, EventLog, ProcessChange};
pub use guard::guard;
pub(crate) use process_usage::{cpu_time, open_descriptors, resident_kb};
use rustix::process::{Pid, Signal, kill_process};
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Spreads the seed of a run over the seeds of its placers.
const SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// The distance between the seeds of two placers; restarts of one lie in between.
const SEEDS_PER_PLACER: u64 = 1_000;
/// How often ending processes are checked.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How placers are launched.
#[derive(Debug, Clone)]
pub struct LaunchConfig {
    /// The placer's program.
    pub binary: PathBuf,
    /// A program that is run as `GUARD guard PROGRAM` and has the placer die with the supervisor. Without it a
    /// placer may outlive a supervisor that is killed.
    pub guard: Option<PathBuf>,
    /// The folder of configurations and logs.
    pub folder: PathBuf,
    /// The settings of the deployment, except `me` and `locality`.
    pub settings: OwnedValue,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// `limits` of the configuration.
    pub limits: OwnedValue,
    /// The operator's file; `{n}`, `{agent}`, `{http}` and `{socket}` are filled in for each placer.
    pub operator_file: Option<String>,
    /// The seed of the placers' seeds.
    pub seed: u64,
}

/// The slot of a placer, which outlives its processes.
struct PlacerSlot {
    client_address: SocketAddr,
    agent_address: SocketAddr,
    http_address: SocketAddr,
    process: Option<Child>,
    start_count: u64,
    paused: bool,
    peak_memory_kb: u64,
    peak_descriptors: usize,
}

impl PlacerSlot {
    fn new() -> PlacerSlot {
        PlacerSlot {
            client_address: crate::free_address(),
            agent_address: crate::free_address(),
            http_address: crate::free_address(),
            process: None,
            start_count: 0,
            paused: false,
            peak_memory_kb: 0,
            peak_descriptors: 0,
        }
    }
}

/// The resources that a process uses now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Resident memory in kB.
    pub memory_kb: u64,
    /// Processor time so far.
    pub cpu_time: Duration,
}

/// All placers of a run.
pub struct Supervisor {
    config: LaunchConfig,
    log: EventLog,
    placers: Vec<PlacerSlot>,
}

impl Supervisor {
    /// Launches `count` placers.
    ///
    /// # Errors
    ///
    /// An error of the system: the folder can't be written, or the program can't be run.
    pub fn start(
        config: LaunchConfig,
        count: usize,
        cluster: &Cluster,
        log: EventLog,
    ) -> io::Result<Supervisor> {
        std::fs::create_dir_all(&config.folder)?;
        let mut supervisor = Supervisor {
            config,
            log,
            placers: Vec::new(),
        };
        for placer in 0..count {
            supervisor.placers.push(PlacerSlot::new());
            supervisor.launch(placer, cluster)?;
        }
        Ok(supervisor)
    }

    /// Returns where a placer listens for clients.
    pub fn client_address(&self, placer: usize) -> Option<SocketAddr> {
        self.placers.get(placer).map(|slot| slot.client_address)
    }

    /// Returns where its agent check answers, if its operator's file enables it.
    pub fn agent_address(&self, placer: usize) -> Option<SocketAddr> {
        self.placers.get(placer).map(|slot| slot.agent_address)
    }

    /// Returns the number of placers.
    pub fn count(&self) -> usize {
        self.placers.len()
    }

    fn path(&self, placer: usize, extension: &str) -> PathBuf {
        self.config
            .folder
            .join(format!("placer-{placer}.{extension}"))
    }

    fn write_config(
        &self,
        placer: usize,
        feed: SocketAddr,
        endpoints: &[OwnedValue],
    ) -> io::Result<()> {
        let Some(slot) = self.placers.get(placer) else {
            return Ok(());
        };
        let zones = &self.config.zones;
        let zone = zones
            .get(placer % zones.len().max(1))
            .cloned()
            .unwrap_or_default();
        let mut settings = self.config.settings.clone();
        let _ = settings.insert("me", placer);
        let _ = settings.insert("n_instances", self.placers.len().max(placer + 1));
        let _ = settings.insert("locality", zone);
        let seed = self
            .config
            .seed
            .wrapping_mul(SEED_FACTOR)
            .wrapping_add(placer as u64 * SEEDS_PER_PLACER + slot.start_count);
        let config = json!({
            "name": format!("n{placer}"), "listen": slot.client_address.to_string(), "seed": format!("{seed:016x}"),
            "limits": self.config.limits.clone(), "feed": feed.to_string(),
            "known": { "n": 1, "events": [{ "n": 1, "members": { "seq": 1, "whole": true, "hosts": endpoints.to_vec() } }] },
            "settings": settings
        });
        std::fs::write(self.path(placer, "json"), config.encode())
    }

    /// Launches a placer, unless it is running.
    ///
    /// # Errors
    ///
    /// An error of the system: a file can't be written, or the program can't be run.
    pub fn launch(&mut self, placer: usize, cluster: &Cluster) -> io::Result<()> {
        if self.is_running(placer) || self.placers.get(placer).is_none() {
            return Ok(());
        }
        let (feed, endpoints) = cluster.register_placer(placer);
        self.write_config(placer, feed, &endpoints)?;
        let mut command = self.command();
        command
            .env("LB_CONFIG", self.path(placer, "json"))
            .env_remove("TASK_PLACER_OPERATOR")
            .env_remove("ANISEHEAD_OPERATOR")
            .stdin(Stdio::null());
        if let Some(path) = self.write_operator_file(placer)? {
            command.env("TASK_PLACER_OPERATOR", &path);
            // Placers of earlier versions read the former name.
            command.env("ANISEHEAD_OPERATOR", &path);
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.path(placer, "log"))?;
        let process = command.stdout(Stdio::null()).stderr(log).spawn()?;
        self.record(placer, ProcessChange::Started);
        if let Some(slot) = self.placers.get_mut(placer) {
            slot.process = Some(process);
            slot.start_count += 1;
            slot.paused = false;
        }
        Ok(())
    }

    /// The command that runs a placer, under the guard if there is one.
    fn command(&self) -> Command {
        let Some(guard) = &self.config.guard else {
            return Command::new(&self.config.binary);
        };
        let mut command = Command::new(guard);
        command.arg("guard").arg(&self.config.binary);
        let sockets = self.config.limits.get("sockets");
        // The kernel enforces the limit of descriptors as well.
        if let Some(sockets) = sockets.and_then(OwnedValue::as_u64) {
            command.args(["--descriptors", &sockets.to_string()]);
        }
        command
    }

    /// Writes the operator's file of a placer and returns its path, if there is one.
    fn write_operator_file(&self, placer: usize) -> io::Result<Option<PathBuf>> {
        let (Some(template), Some(slot)) = (&self.config.operator_file, self.placers.get(placer))
        else {
            return Ok(None);
        };
        let text = template
            .replace("{n}", &placer.to_string())
            .replace("{agent}", &slot.agent_address.to_string())
            .replace("{http}", &slot.http_address.to_string())
            .replace("{socket}", &self.path(placer, "sock").to_string_lossy());
        let path = self.path(placer, "toml");
        std::fs::write(&path, text)?;
        Ok(Some(path))
    }

    fn record(&self, placer: usize, change: ProcessChange) {
        self.log.record(Event::PlacerChanged { placer, change });
    }

    /// Whether the process of a placer runs.
    pub fn is_running(&self, placer: usize) -> bool {
        self.process(placer).is_some()
    }

    fn process(&self, placer: usize) -> Option<&Child> {
        self.placers
            .get(placer)
            .and_then(|slot| slot.process.as_ref())
    }

    fn signal(&self, placer: usize, signal: Signal) {
        let pid = self
            .process(placer)
            .and_then(|process| Pid::from_raw(i32::try_from(process.id()).unwrap_or(0)));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills a placer with SIGKILL.
    pub fn kill(&mut self, placer: usize) {
        let process = self
            .placers
            .get_mut(placer)
            .and_then(|slot| slot.process.take());
        if let Some(mut process) = process {
            self.record(placer, ProcessChange::Killed);
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Stops a placer with SIGSTOP: it does nothing until it is resumed.
    pub fn pause(&mut self, placer: usize) {
        self.record(placer, ProcessChange::Paused);
        self.signal(placer, Signal::STOP);
        if let Some(slot) = self.placers.get_mut(placer) {
            slot.paused = true;
        }
    }

    /// Resumes a placer with SIGCONT.
    pub fn resume(&mut self, placer: usize) {
        self.signal(placer, Signal::CONT);
        self.record(placer, ProcessChange::Resumed);
        if let Some(slot) = self.placers.get_mut(placer) {
            slot.paused = false;
        }
    }

    /// Requests the graceful shutdown of a placer with SIGTERM.
    pub fn terminate(&mut self, placer: usize) {
        if self.is_running(placer) {
            self.record(placer, ProcessChange::TerminationRequested);
            self.signal(placer, Signal::TERM);
        }
    }

    /// Has a placer reload its configuration, with the present address of its feed.
    ///
    /// # Errors
    ///
    /// An error of the system: the configuration can't be written.
    pub fn reload(&mut self, placer: usize, cluster: &Cluster) -> io::Result<()> {
        let Some(feed) = cluster.feed_address(placer) else {
            return Ok(());
        };
        self.write_config(placer, feed, &[])?;
        self.signal(placer, Signal::HUP);
        Ok(())
    }

    /// Records the placers that have exited by themselves, and the peak usage of the others.
    pub fn poll(&mut self) {
        for (placer, slot) in self.placers.iter_mut().enumerate() {
            let Some(process) = &mut slot.process else {
                continue;
            };
            if let Ok(Some(status)) = process.try_wait() {
                slot.process = None;
                let change = ProcessChange::Exited(status.code().unwrap_or(-1));
                self.log.record(Event::PlacerChanged { placer, change });
                continue;
            }
            let pid = process.id();
            slot.peak_memory_kb = slot.peak_memory_kb.max(resident_kb(pid));
            slot.peak_descriptors = slot.peak_descriptors.max(open_descriptors(pid));
        }
    }

    /// Returns the highest polled memory of a placer in kB.
    pub fn peak_memory_kb(&self, placer: usize) -> u64 {
        self.placers
            .get(placer)
            .map_or(0, |slot| slot.peak_memory_kb)
    }

    /// Returns the highest polled number of descriptors of a placer.
    pub fn peak_descriptors(&self, placer: usize) -> usize {
        self.placers
            .get(placer)
            .map_or(0, |slot| slot.peak_descriptors)
    }

    /// Returns what a placer uses now.
    pub fn usage(&self, placer: usize) -> ProcessUsage {
        self.process(placer)
            .map_or_else(ProcessUsage::default, |process| ProcessUsage {
                memory_kb: resident_kb(process.id()),
                cpu_time: cpu_time(process.id()),
            })
    }

    /// Shuts all placers down, and kills those that have not exited within the limit.
    pub fn finish(&mut self, limit: Duration) {
        for placer in 0..self.placers.len() {
            if self.placers.get(placer).is_some_and(|slot| slot.paused) {
                self.resume(placer);
            }
            self.terminate(placer);
        }
        let deadline = Instant::now() + limit;
        let any_running =
            |placers: &[PlacerSlot]| placers.iter().any(|slot| slot.process.is_some());
        while Instant::now() < deadline && any_running(&self.placers) {
            self.poll();
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
        self.kill_all();
    }

    fn kill_all(&mut self) {
        for placer in 0..self.placers.len() {
            self.kill(placer);
        }
    }

    /// Returns the folder of configurations and logs.
    pub fn folder(&self) -> &Path {
        &self.config.folder
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        self.kill_all();
    }
}
