//! Runs real placers as processes: starts, signals and restarts them, and observes their resource usage.
//!
//! The supervisor owns the processes, their configurations and their logs. It records every change of a process in the
//! event log, and kills all processes when it is dropped.

mod guard;
mod process_usage;

use crate::cluster::Cluster;
use crate::event_log::{Event, EventLog, ProcessChange};
pub use guard::guard;
pub(crate) use process_usage::{anonymous_kb, cpu_time, open_descriptors, resident_kb};
use rustix::process::{Pid, Signal, kill_process};
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The factor that derives the seeds of the placers from the seed of a run.
const SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// The distance between the seeds of two placers. The seeds after restarts of a placer are taken from this range.
const SEEDS_PER_PLACER: u64 = 1_000;
/// The interval at which processes that are shutting down are checked.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The configuration with which placers are launched.
#[derive(Debug, Clone)]
pub struct LaunchConfig {
    /// The path of the placer's program.
    pub binary: PathBuf,
    /// The path of a program that is run as `GUARD guard PROGRAM` and makes the placer die with the supervisor. Without
    /// it, a placer may outlive a supervisor that is killed.
    pub guard: Option<PathBuf>,
    /// The folder for configurations and logs.
    pub folder: PathBuf,
    /// The settings of the deployment, except those that are filled in for each placer, such as `me` and `locality`.
    pub settings: OwnedValue,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The value of `limits` in the configurations.
    pub limits: OwnedValue,
    /// The template of the operator's file, in which `{n}`, `{agent}`, `{http}` and `{socket}` are replaced for each
    /// placer.
    pub operator_file: Option<String>,
    /// The seed of the run, from which the seeds of the placers are derived.
    pub seed: u64,
}

/// The slot of a placer, which stays the same when its process is replaced.
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

/// The resources that a process currently uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Resident memory in kB.
    pub memory_kb: u64,
    /// The processor time used so far.
    pub cpu_time: Duration,
}

/// The supervisor of all placers of a run.
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
    /// Returns an error if a file or folder cannot be written, or the program cannot be run.
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

    /// Returns the address at which a placer listens for clients.
    pub fn client_address(&self, placer: usize) -> Option<SocketAddr> {
        self.placers.get(placer).map(|slot| slot.client_address)
    }

    /// Returns the address for a placer's agent check, which answers there if the operator's file enables it.
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

    /// Launches a placer, unless it is already running.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written, or the program cannot be run.
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
            // Placers of earlier versions read this former name of the variable.
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

    /// Returns the command that runs a placer, through the guard if one is configured.
    fn command(&self) -> Command {
        let Some(guard) = &self.config.guard else {
            return Command::new(&self.config.binary);
        };
        let mut command = Command::new(guard);
        command.arg("guard").arg(&self.config.binary);
        let sockets = self.config.limits.get("sockets");
        // The guard makes the kernel enforce the limit of descriptors as well.
        if let Some(sockets) = sockets.and_then(OwnedValue::as_u64) {
            command.args(["--descriptors", &sockets.to_string()]);
        }
        command
    }

    /// Writes the operator's file of a placer if a template is configured, and returns its path.
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

    /// Returns whether the process of a placer is running, as of the last poll.
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

    /// Stops a placer with SIGSTOP, so that it does nothing until it is resumed.
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

    /// Requests a graceful shutdown of a placer with SIGTERM.
    pub fn terminate(&mut self, placer: usize) {
        if self.is_running(placer) {
            self.record(placer, ProcessChange::TerminationRequested);
            self.signal(placer, Signal::TERM);
        }
    }

    /// Rewrites the configuration of a placer with the current address of its feed, and makes the placer reload it.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration cannot be written.
    pub fn reload(&mut self, placer: usize, cluster: &Cluster) -> io::Result<()> {
        let Some(feed) = cluster.feed_address(placer) else {
            return Ok(());
        };
        self.write_config(placer, feed, &[])?;
        self.signal(placer, Signal::HUP);
        Ok(())
    }

    /// Records the placers that have exited by themselves, and updates the peak usage of the others.
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

    /// Returns the highest resident memory of a placer found by the polls, in kB.
    pub fn peak_memory_kb(&self, placer: usize) -> u64 {
        self.placers
            .get(placer)
            .map_or(0, |slot| slot.peak_memory_kb)
    }

    /// Returns the highest number of open descriptors of a placer found by the polls.
    pub fn peak_descriptors(&self, placer: usize) -> usize {
        self.placers
            .get(placer)
            .map_or(0, |slot| slot.peak_descriptors)
    }

    /// Returns the current resource usage of a placer.
    pub fn usage(&self, placer: usize) -> ProcessUsage {
        self.process(placer)
            .map_or_else(ProcessUsage::default, |process| ProcessUsage {
                memory_kb: resident_kb(process.id()),
                cpu_time: cpu_time(process.id()),
            })
    }

    /// Shuts down all placers, and kills those that have not exited within the limit.
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

    /// Returns the folder that contains configurations and logs.
    pub fn folder(&self) -> &Path {
        &self.config.folder
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        self.kill_all();
    }
}
