//! The program under test as a process: how it is launched, signalled and watched.

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

/// Lines of the program's log that a failed test prints.
const MAX_PRINTED_LINES: usize = 60;

/// Returns the path of the program under test: `TASK_PLACER_BIN`, or the one built with the running test.
///
/// # Panics
///
/// If the folder of the tests is unknown.
pub fn binary() -> PathBuf {
    if let Some(named) = std::env::var_os("TASK_PLACER_BIN") {
        return PathBuf::from(named);
    }
    let test = std::env::current_exe().expect("a path of the test");
    let folder = test
        .parent()
        .and_then(Path::parent)
        .expect("a target folder");
    folder.join("task-placer")
}

/// Returns a new path for a temporary file of a test.
pub fn temp_path(ending: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!(
        "task-placer-{}-{}.{ending}",
        std::process::id(),
        NEXT.fetch_add(1, Ordering::Relaxed)
    );
    std::env::temp_dir().join(name)
}

/// How the program is launched.
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
    /// Launches it on this configuration.
    pub fn new(config: &OwnedValue) -> Launch {
        let mut launch = Launch::from_text(&config.encode());
        launch.address = config
            .get_str("listen")
            .and_then(|listen| listen.parse().ok());
        launch
    }

    /// Launches it on a configuration of this text.
    ///
    /// # Panics
    ///
    /// If the file cannot be written.
    pub fn from_text(config: &str) -> Launch {
        let path = temp_path("json");
        std::fs::write(&path, config).expect("a temporary file");
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

    /// Limits its descriptors.
    pub fn descriptors(mut self, descriptors: u32) -> Launch {
        self.descriptors = descriptors;
        self
    }

    /// Gives it an operator's file of this text.
    ///
    /// # Panics
    ///
    /// If the file cannot be written.
    pub fn operator_file(mut self, text: &str) -> Launch {
        let path = temp_path("toml");
        std::fs::write(&path, text).expect("a temporary file");
        self.env.push((
            "TASK_PLACER_OPERATOR".into(),
            path.to_string_lossy().into_owned(),
        ));
        self.files.push(path);
        self
    }

    /// Adds command-line arguments.
    pub fn args(mut self, args: &[&str]) -> Launch {
        self.args.extend(args.iter().map(ToString::to_string));
        self
    }

    /// Adds a variable to its environment.
    pub fn env(mut self, name: &str, value: &str) -> Launch {
        self.env.push((name.to_string(), value.to_string()));
        self
    }

    /// Gives it this listener as descriptor 5, as the platform does for every process of a placer.
    ///
    /// # Panics
    ///
    /// If the descriptor cannot be duplicated.
    pub fn inherit_listener(mut self, listener: &TcpListener) -> Launch {
        self.inherited = Some(listener.try_clone().expect("a descriptor"));
        self.env("LB_ACCEPT_FD", "5")
    }

    /// Sends its log elsewhere than to a file of the test.
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
        let run = format!(
            "ulimit -S -n {}; exec \"$0\" \"$@\"{inherited}",
            self.descriptors
        );
        command.args(["-c", &run]);
        if let Some(listener) = &self.inherited {
            command.stdin(OwnedFd::from(listener.try_clone().expect("a descriptor")));
        }
        command
            .arg(binary())
            .args(&self.args)
            .env("LB_CONFIG", &self.config);
        command.envs(self.env.iter().map(|(name, value)| (name, value)));
        command
    }

    /// Runs it to its end, or until the timeout of tests.
    ///
    /// # Panics
    ///
    /// If the program cannot be started or does not exit in time.
    pub fn output(self) -> Output {
        let pipes = self
            .command()
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn();
        let mut child = pipes.expect("the program starts");
        let end = Instant::now() + TEST_TIMEOUT;
        // A program that does not end fails the test, and must not block it.
        while child.try_wait().expect("a child").is_none() {
            if Instant::now() > end {
                let _ = child.kill();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let output = child.wait_with_output().expect("its output");
        self.files
            .iter()
            .for_each(|file| drop(std::fs::remove_file(file)));
        output
    }

    /// Starts it and returns at once.
    ///
    /// # Panics
    ///
    /// If the program cannot be started or is not ready in time.
    pub fn start(mut self) -> Program {
        let log = temp_path("log");
        let file = File::create(&log).expect("a temporary file");
        let stderr = self.log.take().unwrap_or_else(|| Stdio::from(file));
        let child = self
            .command()
            .stderr(stderr)
            .spawn()
            .expect("the program starts");
        let address = self.address.expect("an address to listen at");
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

/// The program under test; it is killed when dropped.
pub struct Program {
    child: Child,
    config: PathBuf,
    files: Vec<PathBuf>,
    log: PathBuf,
    /// Where it listens for clients.
    pub address: SocketAddr,
}

impl Program {
    /// Starts it on this configuration.
    pub fn start(config: &OwnedValue) -> Program {
        Launch::new(config).start()
    }

    /// Starts it with so many descriptors.
    pub fn start_with_descriptors(config: &OwnedValue, descriptors: u32) -> Program {
        Launch::new(config).descriptors(descriptors).start()
    }

    /// Connects as soon as it listens.
    pub fn client(&self) -> Client {
        wait_for("the placer listens", || Client::connect(self.address))
    }

    /// Returns its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the number of its open descriptors.
    pub fn descriptors(&self) -> usize {
        supervisor::open_descriptors(self.pid())
    }

    /// Changes the limit of its descriptors while it runs.
    ///
    /// # Panics
    ///
    /// If the system does not allow it.
    pub fn set_descriptor_limit(&self, descriptors: u64) {
        let limit = Rlimit {
            current: Some(descriptors),
            maximum: getrlimit(Resource::Nofile).maximum,
        };
        let pid = Pid::from_child(&self.child);
        prlimit(Some(pid), Resource::Nofile, limit).expect("the system allows it");
    }

    /// Returns its resident memory in kB.
    pub fn memory_kb(&self) -> u64 {
        supervisor::resident_kb(self.pid())
    }

    /// Returns the processor time that it has spent.
    pub fn cpu_time(&self) -> Duration {
        supervisor::cpu_time(self.pid())
    }

    /// Returns the processor time per action while `act` does so many of them, in microseconds.
    pub fn cpu_micros_per_action(&self, count: u32, act: impl FnOnce()) -> f64 {
        let before = self.cpu_time();
        act();
        (self.cpu_time() - before).as_secs_f64() * 1e6 / f64::from(count)
    }

    /// Prints what explains a failed test: whether it runs, and the end of its log.
    fn print_state(&mut self) {
        let exit = self.child.try_wait();
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let last = lines.len().saturating_sub(MAX_PRINTED_LINES);
        eprintln!("program {}: exit {exit:?}; its log ends:", self.child.id());
        lines[last..].iter().for_each(|line| eprintln!("  {line}"));
    }

    /// Returns its log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until its log contains a text.
    pub fn wait_for_log(&self, text: &str) {
        wait_for(text, || self.log().contains(text).then_some(()));
    }

    /// Sends a signal by its name, such as `-TERM`.
    ///
    /// # Panics
    ///
    /// If the signal cannot be sent.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(sent.expect("kill runs").success());
    }

    /// Acts while the program is stopped by a signal: once it continues, everything sent meanwhile is there at
    /// once. Waits for the kernel to deliver what was sent.
    ///
    /// # Panics
    ///
    /// If the program does not stop.
    pub fn while_stopped(&self, act: impl FnOnce()) {
        self.signal("-STOP");
        let stat =
            || std::fs::read_to_string(format!("/proc/{}/stat", self.pid())).expect("a process");
        wait_for("the placer stops", || {
            stat().rsplit(") ").next()?.starts_with('T').then_some(())
        });
        act();
        wait_for("delivery of what was sent", || {
            tcp_delivery::all_delivered(self.pid()).then_some(())
        });
        self.signal("-CONT");
    }

    /// Requests its graceful shutdown.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces its configuration and has it reload.
    ///
    /// # Panics
    ///
    /// If the configuration cannot be written.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).expect("a temporary file");
        self.signal("-HUP");
    }

    /// Whether it is still running.
    ///
    /// # Panics
    ///
    /// If the state of the program cannot be read.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }

    /// Waits until it exits.
    pub fn wait_exit(&mut self) -> ExitStatus {
        self.wait_exit_within(TEST_TIMEOUT)
    }

    /// Waits until it exits, at most so long.
    ///
    /// # Panics
    ///
    /// If the program does not exit in time.
    pub fn wait_exit_within(&mut self, limit: Duration) -> ExitStatus {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(
                Instant::now() < end,
                "the placer does not exit: {}",
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

/// Runs it on a configuration that it must reject, and returns whether it failed and its standard error.
///
/// # Panics
///
/// If the program does not start, or its output is no text.
pub fn run_with_invalid_config(config: &str) -> (bool, String) {
    let out = Launch::from_text(config).output();
    (
        !out.status.success(),
        String::from_utf8(out.stderr).expect("text"),
    )
}

impl Client {
    /// Connects, if something listens there.
    ///
    /// # Panics
    ///
    /// If the socket cannot be set up.
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(address).ok()?;
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a socket option");
        stream.set_nodelay(true).expect("a socket option");
        Some(Client(stream))
    }
}
