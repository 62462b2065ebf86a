//! Starts, kills and restarts the process of a real placer, and writes its configuration and log files.

use crate::error::RunError;
use crate::identity::PlacerId;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

/// The environment variable that holds the path of the placer's configuration.
const CONFIG_VARIABLE: &str = "LB_CONFIG";
/// The number of log lines that an error message shows.
const LOG_TAIL_LINES: usize = 12;

/// How to start a placer.
#[derive(Debug, Clone)]
pub struct LaunchOptions {
    /// The placer, whose name the files bear.
    pub placer: PlacerId,
    /// The path of the placer program.
    pub program: PathBuf,
    /// The folder of the placer's configuration and log.
    pub folder: PathBuf,
    /// The address at which the placer listens.
    pub address: SocketAddr,
    /// The limit on the placer's open descriptors.
    pub max_descriptors: u64,
}

/// The process of a placer, which is killed when this value is dropped.
pub struct PlacerProcess {
    launch: LaunchOptions,
    child: Option<Child>,
    /// When the process was last started.
    pub started: Instant,
}

impl PlacerProcess {
    /// Starts the process with a configuration.
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

    /// Kills the process if it is running, and starts it again with a new configuration.
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
            current: Some(self.launch.max_descriptors),
            maximum: Some(self.launch.max_descriptors),
        };
        let limited = prlimit(Some(Pid::from_child(&child)), Resource::Nofile, limit);
        // The child is stored before the result of setting the limit is checked, so that it is killed in any case.
        self.child = Some(child);
        limited
            .map_err(io::Error::from)
            .map_err(RunError::system("set a placer's descriptor limit"))?;
        Ok(())
    }

    /// Starts the program with its standard error in the log and without inherited settings of a placer.
    fn spawn(&self, config: &Path, log: File) -> io::Result<Child> {
        let mut command = Command::new(&self.launch.program);
        command
            .env(CONFIG_VARIABLE, config)
            .env_remove("LB_ADMIN")
            .env_remove("LB_ACCEPT_FD")
            .env_remove("TASK_PLACER_OPERATOR")
            .env_remove("ANISEHEAD_OPERATOR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        command.spawn()
    }

    /// Returns the id of the placer.
    pub fn placer(&self) -> PlacerId {
        self.launch.placer
    }

    /// Returns the address at which the placer listens.
    pub fn address(&self) -> SocketAddr {
        self.launch.address
    }

    /// Returns the process id, while the process runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process, if it is running, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The kill fails if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Checks that the process has not exited by itself.
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
            .map_err(RunError::system("read the state of a placer's process"))?
        {
            None => Ok(()),
            Some(status) => Err(RunError::PlacerEnded {
                placer: self.launch.placer,
                status: status.to_string(),
                log: self.log_tail(),
            }),
        }
    }

    /// Returns the last lines of the log.
    pub fn log_tail(&self) -> String {
        let log = fs::read(self.log_path()).unwrap_or_default();
        let text = String::from_utf8_lossy(&log);
        let lines: Vec<&str> = text.lines().collect();
        lines
            .get(lines.len().saturating_sub(LOG_TAIL_LINES)..)
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
