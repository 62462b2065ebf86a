//! A real placer as a process: started, killed, and started again in its place.

use crate::error::RunError;
use crate::identity::PlacerId;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

/// The variable that names a placer's configuration.
const CONFIG_VARIABLE: &str = "LB_CONFIG";
/// Lines of a placer's log that an error shows.
const SHOWN_LINES: usize = 12;

/// How a placer is started.
#[derive(Debug, Clone)]
pub struct LaunchOptions {
    /// Which.
    pub placer: PlacerId,
    /// Its program.
    pub program: PathBuf,
    /// Where its files go.
    pub folder: PathBuf,
    /// Where it listens.
    pub address: SocketAddr,
    /// The descriptors that it may hold.
    pub sockets: u64,
}

/// A placer's process; ended when it is dropped.
pub struct PlacerProcess {
    launch: LaunchOptions,
    child: Option<Child>,
    /// When it was last started.
    pub started: Instant,
}

impl PlacerProcess {
    /// Starts it on a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration or the log cannot be written, or the program cannot be started.
    pub fn start(launch: LaunchOptions, configuration: &str) -> Result<PlacerProcess, RunError> {
        let mut process = PlacerProcess {
            launch,
            child: None,
            started: Instant::now(),
        };
        process.restart(configuration)?;
        Ok(process)
    }

    /// Starts it in its place, on another configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration or the log cannot be written, or the program cannot be started.
    pub fn restart(&mut self, configuration: &str) -> Result<(), RunError> {
        self.kill();
        let config = self
            .launch
            .folder
            .join(format!("{}.json", self.launch.placer));
        fs::write(&config, configuration).map_err(RunError::system("write a configuration"))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path());
        let log = log.map_err(RunError::system("open a log"))?;
        self.started = Instant::now();
        let child = self.spawn(&config, log);
        let program = || self.launch.program.clone();
        let child = child.map_err(|source| RunError::Program {
            program: program(),
            source,
        })?;
        let limit = Rlimit {
            current: Some(self.launch.sockets),
            maximum: Some(self.launch.sockets),
        };
        let limited = prlimit(Some(Pid::from_child(&child)), Resource::Nofile, limit);
        // From here on it is ended with this value, also where it could not be limited.
        self.child = Some(child);
        limited
            .map_err(io::Error::from)
            .map_err(RunError::system("limit a placer's descriptors"))?;
        Ok(())
    }

    fn spawn(&self, config: &Path, log: File) -> io::Result<Child> {
        let mut command = Command::new(&self.launch.program);
        command
            .env(CONFIG_VARIABLE, config)
            .env_remove("LB_ADMIN")
            .env_remove("LB_ACCEPT_FD");
        command.env_remove("TASK_PLACER_OPERATOR");
        command.env_remove("ANISEHEAD_OPERATOR");
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        command.spawn()
    }

    /// Which placer it is.
    pub fn placer(&self) -> PlacerId {
        self.launch.placer
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.launch.address
    }

    /// Its process, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// An error if it has ended by itself.
    ///
    /// # Errors
    ///
    /// Returns [`RunError::PlacerEnded`] if the process has exited by itself, or an error if its state cannot
    /// be read.
    pub fn check(&mut self) -> Result<(), RunError> {
        let Some(child) = &mut self.child else {
            return Ok(());
        };
        match child
            .try_wait()
            .map_err(RunError::system("look after a placer"))?
        {
            None => Ok(()),
            Some(status) => Err(RunError::PlacerEnded {
                placer: self.launch.placer,
                status: status.to_string(),
                log: self.log_end(),
            }),
        }
    }

    /// The last lines of its log.
    pub fn log_end(&self) -> String {
        let log = fs::read(self.log_path()).unwrap_or_default();
        let text = String::from_utf8_lossy(&log);
        let lines: Vec<&str> = text.lines().collect();
        lines
            .get(lines.len().saturating_sub(SHOWN_LINES)..)
            .unwrap_or_default()
            .join("\n")
    }

    fn log_path(&self) -> PathBuf {
        self.launch
            .folder
            .join(format!("{}.log", self.launch.placer))
    }
}

impl Drop for PlacerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
