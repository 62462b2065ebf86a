//! The program under test as a process: launching it, sending it signals, and observing it.

use crate::{Client, TEST_TIMEOUT, supervisor, tcp_delivery, wait_for};
use rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::fs::File;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Maximum number of lines from the end of the program's log that a failed test prints.
const MAX_PRINTED_LINES: usize = 60;

/// Returns the path of the program under test: the value of `TASK_PLACER_BIN` if it is set, otherwise the binary that
/// was built together with the running test.
///
/// # Panics
///
/// If the target folder cannot be derived from the path of the running test.
pub fn binary() -> PathBuf {
    if let Some(path) = std::env::var_os("TASK_PLACER_BIN") {
        return PathBuf::from(path);
    }
    let test = std::env::current_exe().expect("the path of the running test is unknown");
    let folder = test
        .parent()
        .and_then(Path::parent)
        .expect("the running test is not in a target folder");
    folder.join("task-placer")
}

/// Returns an unused path for a temporary file of a test, with the given file extension.
pub fn temp_path(extension: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!(
        "task-placer-{}-{}.{extension}",
        std::process::id(),
        NEXT.fetch_add(1, Ordering::Relaxed)
    );
    std::env::temp_dir().join(name)
}

/// A builder for launching the program under test.
pub struct Launch {
    config: PathBuf,
    address: Option<SocketAddr>,
    files: Vec<PathBuf>,
    descriptors: u32,
    args: Vec<String>,
    env: Vec<(String, String)>,
    log: Option<Stdio>,
    inherited: Option<TcpListener>,
}

impl Launch {
    /// Prepares a launch with the given configuration.
    pub fn new(config: &OwnedValue) -> Launch {
        let mut launch = Launch::from_text(&config.encode());
        launch.address = config
            .get_str("listen")
            .and_then(|listen| listen.parse().ok());
        launch
    }

    /// Prepares a launch with a configuration file of the given text, which may be invalid.
    ///
    /// # Panics
    ///
    /// If the configuration file cannot be written.
    pub fn from_text(config: &str) -> Launch {
        let path = temp_path("json");
        std::fs::write(&path, config).expect("cannot write a temporary file");
        let files = vec![path.clone()];
        let (args, env, log, inherited) = (Vec::new(), Vec::new(), None, None);
        Launch {
            config: path,
            address: None,
            files,
            descriptors: 1_024,
            args,
            env,
            log,
            inherited,
        }
    }

    /// Sets the soft limit of the program's open descriptors.
    pub fn descriptors(mut self, descriptors: u32) -> Launch {
        self.descriptors = descriptors;
        self
    }

    /// Sets the text of the operator's file that the program reads.
    ///
    /// # Panics
    ///
    /// If the operator's file cannot be written.
    pub fn operator_file(mut self, text: &str) -> Launch {
        let path = temp_path("toml");
        std::fs::write(&path, text).expect("cannot write a temporary file");
        self.env.push((
            "TASK_PLACER_OPERATOR".into(),
            path.to_string_lossy().into_owned(),
        ));
        self.files.push(path);
        self
    }

    /// Appends command-line arguments.
    pub fn args(mut self, args: &[&str]) -> Launch {
        self.args.extend(args.iter().map(ToString::to_string));
        self
    }

    /// Sets an environment variable of the program.
    pub fn env(mut self, name: &str, value: &str) -> Launch {
        self.env.push((name.to_string(), value.to_string()));
        self
    }

    /// Passes a listener to the program as descriptor 5, as the platform does for every process of a placer.
    ///
    /// # Panics
    ///
    /// If the descriptor cannot be duplicated.
    pub fn inherit_listener(mut self, listener: &TcpListener) -> Launch {
        self.inherited = Some(
            listener
                .try_clone()
                .expect("cannot duplicate the listener's descriptor"),
        );
        self.env("LB_ACCEPT_FD", "5")
    }

    /// Redirects the log of the program, which by default goes to a temporary file.
    pub fn log_to(mut self, log: Stdio) -> Launch {
        self.log = Some(log);
        self
    }

    fn command(&self) -> Command {
        let mut command = Command::new("sh");
        let inherited = if self.inherited.is_some() {
            " 5<&0 </dev/null"
        } else {
            ""
        };
        let script = format!(
            "ulimit -S -n {}; exec \"$0\" \"$@\"{inherited}",
            self.descriptors
        );
        command.args(["-c", &script]);
        if let Some(listener) = &self.inherited {
            command.stdin(OwnedFd::from(
                listener
                    .try_clone()
                    .expect("cannot duplicate the listener's descriptor"),
            ));
        }
        command
            .arg(binary())
            .args(&self.args)
            .env("LB_CONFIG", &self.config);
        command.envs(self.env.iter().map(|(name, value)| (name, value)));
        command
    }

    /// Runs the program until it exits, kills it after [`TEST_TIMEOUT`], and returns its output.
    ///
    /// # Panics
    ///
    /// If the program cannot be started, or its output cannot be read.
    pub fn output(self) -> Output {
        let spawned = self
            .command()
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn();
        let mut child = spawned.expect("cannot start the program");
        let end = Instant::now() + TEST_TIMEOUT;
        // A program that does not exit is killed: it should fail the test rather than block it.
        while child
            .try_wait()
            .expect("cannot read the state of the child process")
            .is_none()
        {
            if Instant::now() > end {
                let _ = child.kill();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let output = child
            .wait_with_output()
            .expect("cannot read the output of the program");
        self.files
            .iter()
            .for_each(|file| drop(std::fs::remove_file(file)));
        output
    }

    /// Starts the program and returns without waiting until it listens.
    ///
    /// # Panics
    ///
    /// If the program cannot be started, or the configuration has no valid address to listen at.
    pub fn start(mut self) -> Program {
        let log = temp_path("log");
        let file = File::create(&log).expect("cannot write a temporary file");
        let stderr = self.log.take().unwrap_or_else(|| Stdio::from(file));
        let child = self
            .command()
            .stderr(stderr)
            .spawn()
            .expect("cannot start the program");
        let address = self
            .address
            .expect("the configuration has no valid `listen` address");
        self.files.push(log.clone());
        Program {
            child,
            config: self.config,
            files: self.files,
            log,
            address,
        }
    }
}

/// A running process of the program under test, which is killed when this value is dropped.
pub struct Program {
    child: Child,
    config: PathBuf,
    files: Vec<PathBuf>,
    log: PathBuf,
    /// The address at which the program listens for clients.
    pub address: SocketAddr,
}

impl Program {
    /// Starts the program with the given configuration.
    pub fn start(config: &OwnedValue) -> Program {
        Launch::new(config).start()
    }

    /// Starts the program with the given configuration and soft limit of open descriptors.
    pub fn start_with_descriptors(config: &OwnedValue, descriptors: u32) -> Program {
        Launch::new(config).descriptors(descriptors).start()
    }

    /// Connects a client as soon as the program listens.
    pub fn client(&self) -> Client {
        wait_for("the placer to listen", || Client::connect(self.address))
    }

    /// Returns the process id of the program.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the number of open descriptors of the program.
    pub fn descriptors(&self) -> usize {
        supervisor::open_descriptors(self.pid())
    }

    /// Changes the soft limit of open descriptors of the running program.
    ///
    /// # Panics
    ///
    /// If the system does not allow the limit.
    pub fn set_descriptor_limit(&self, descriptors: u64) {
        let limit = Rlimit {
            current: Some(descriptors),
            maximum: getrlimit(Resource::Nofile).maximum,
        };
        let pid = Pid::from_child(&self.child);
        prlimit(Some(pid), Resource::Nofile, limit)
            .expect("cannot change the limit of descriptors");
    }

    /// Returns the resident memory of the program in kB.
    pub fn memory_kb(&self) -> u64 {
        supervisor::resident_kb(self.pid())
    }

    /// Returns the resident memory of the program in kB without the pages that a file backs.
    pub fn anonymous_memory_kb(&self) -> u64 {
        supervisor::anonymous_kb(self.pid())
    }

    /// Returns the processor time that the program has used so far.
    pub fn cpu_time(&self) -> Duration {
        supervisor::cpu_time(self.pid())
    }

    /// Runs `act`, which performs `count` actions, and returns the processor time that the program used per action, in
    /// microseconds.
    pub fn cpu_micros_per_action(&self, count: u32, act: impl FnOnce()) -> f64 {
        let before = self.cpu_time();
        act();
        (self.cpu_time() - before).as_secs_f64() * 1e6 / f64::from(count)
    }

    /// Prints the state of the process and the end of its log, which help to explain a failed test.
    fn print_state(&mut self) {
        let exit = self.child.try_wait();
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let last = lines.len().saturating_sub(MAX_PRINTED_LINES);
        eprintln!(
            "program {}: exit status {exit:?}; end of its log:",
            self.child.id()
        );
        lines[last..].iter().for_each(|line| eprintln!("  {line}"));
    }

    /// Returns the log that the program has written so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until the log of the program contains a text.
    pub fn wait_for_log(&self, text: &str) {
        wait_for(text, || self.log().contains(text).then_some(()));
    }

    /// Sends the program a signal, given as an option of `kill` such as `-TERM`.
    ///
    /// # Panics
    ///
    /// If the signal cannot be sent.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(sent.expect("cannot run `kill`").success());
    }

    /// Runs `act` while the program is stopped by a signal, and waits until the kernel has delivered everything that
    /// was sent, before the program continues. It thus finds all these messages at once.
    ///
    /// # Panics
    ///
    /// If the program does not stop, or the messages are not delivered, within [`TEST_TIMEOUT`].
    pub fn while_stopped(&self, act: impl FnOnce()) {
        self.signal("-STOP");
        let stat = || {
            std::fs::read_to_string(format!("/proc/{}/stat", self.pid()))
                .expect("cannot read the state of the process")
        };
        wait_for("the placer to be stopped", || {
            stat().rsplit(") ").next()?.starts_with('T').then_some(())
        });
        act();
        wait_for("the delivery of everything sent to the placer", || {
            tcp_delivery::all_delivered(self.pid()).then_some(())
        });
        self.signal("-CONT");
    }

    /// Requests a graceful shutdown of the program.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and makes the program reload it.
    ///
    /// # Panics
    ///
    /// If the configuration cannot be written.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).expect("cannot write a temporary file");
        self.signal("-HUP");
    }

    /// Returns whether the program is still running.
    ///
    /// # Panics
    ///
    /// If the state of the program cannot be read.
    pub fn is_running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("cannot read the state of the child process")
            .is_none()
    }

    /// Waits until the program exits, and returns its exit status.
    pub fn wait_exit(&mut self) -> ExitStatus {
        self.wait_exit_within(TEST_TIMEOUT)
    }

    /// Waits at most `limit` until the program exits, and returns its exit status.
    ///
    /// # Panics
    ///
    /// If the program does not exit within `limit`.
    pub fn wait_exit_within(&mut self, limit: Duration) -> ExitStatus {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("cannot read the state of the child process")
            {
                return status;
            }
            assert!(
                Instant::now() < end,
                "the placer did not exit in time; its log: {}",
                self.log()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_state();
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.files
            .iter()
            .for_each(|file| drop(std::fs::remove_file(file)));
    }
}

/// Runs the program with a configuration that it must reject, and returns whether it failed, and its standard error.
///
/// # Panics
///
/// If the program cannot be started, or its standard error is not valid UTF-8.
pub fn run_with_invalid_config(config: &str) -> (bool, String) {
    let out = Launch::from_text(config).output();
    (
        !out.status.success(),
        String::from_utf8(out.stderr).expect("standard error is not valid UTF-8"),
    )
}

impl Client {
    /// Connects to an address, and returns `None` if the connection fails.
    ///
    /// # Panics
    ///
    /// If the socket options cannot be set.
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(address).ok()?;
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("cannot set a socket option");
        stream
            .set_nodelay(true)
            .expect("cannot set a socket option");
        Some(Client(stream))
    }
}
