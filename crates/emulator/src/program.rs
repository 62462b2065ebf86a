//! The program under test.

use crate::{Client, LIMIT, supervisor, tcp_delivery, until};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use std::fs::File;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// The binary under test: `TASK_PLACER_BIN`, or the one beside the test that runs.
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

/// A path for a file of a test, used once.
pub fn scratch(ending: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!(
        "task-placer-{}-{}.{ending}",
        std::process::id(),
        NEXT.fetch_add(1, Ordering::Relaxed)
    );
    std::env::temp_dir().join(name)
}

/// How a program is started.
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
    /// On this configuration.
    pub fn new(config: &OwnedValue) -> Launch {
        let mut launch = Launch::text(&config.encode());
        launch.address = config
            .get_str("listen")
            .and_then(|listen| listen.parse().ok());
        launch
    }

    /// On a configuration of this text.
    pub fn text(config: &str) -> Launch {
        let path = scratch("json");
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

    /// With so many descriptors.
    pub fn descriptors(mut self, descriptors: u32) -> Launch {
        self.descriptors = descriptors;
        self
    }

    /// With an operator's file of this text.
    pub fn operator(mut self, text: &str) -> Launch {
        let path = scratch("toml");
        std::fs::write(&path, text).expect("a temporary file");
        self.env.push((
            "TASK_PLACER_OPERATOR".into(),
            path.to_string_lossy().into_owned(),
        ));
        self.files.push(path);
        self
    }

    /// With these arguments.
    pub fn args(mut self, args: &[&str]) -> Launch {
        self.args.extend(args.iter().map(ToString::to_string));
        self
    }

    /// With this in its environment.
    pub fn env(mut self, name: &str, value: &str) -> Launch {
        self.env.push((name.to_string(), value.to_string()));
        self
    }

    /// With this listening socket as its descriptor 5, as the platform hands it to every process of a placer.
    pub fn inherits(mut self, listener: &TcpListener) -> Launch {
        self.inherited = Some(listener.try_clone().expect("a descriptor"));
        self.env("LB_ACCEPT_FD", "5")
    }

    /// With its log going there instead of to a file of the test.
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
            "ulimit -n {}; exec \"$0\" \"$@\"{inherited}",
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

    /// Runs it to its end.
    pub fn output(self) -> Output {
        let pipes = self
            .command()
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn();
        let mut child = pipes.expect("the program starts");
        let end = Instant::now() + LIMIT;
        // One that does not end is a failure of its own, and must not hold the test up.
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

    /// Starts it.
    pub fn start(mut self) -> Program {
        let log = scratch("log");
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

/// The program under test; ended with its test.
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
    pub fn start_with(config: &OwnedValue, descriptors: u32) -> Program {
        Launch::new(config).descriptors(descriptors).start()
    }

    /// A new connection, made as soon as it listens.
    pub fn client(&self) -> Client {
        until("it listens", || Client::connect(self.address))
    }

    /// Its number among the system's processes.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Descriptors that it holds.
    pub fn descriptors(&self) -> usize {
        supervisor::descriptors(self.id())
    }

    /// Memory that it holds, in kB.
    pub fn memory_kb(&self) -> u64 {
        supervisor::resident_kb(self.id())
    }

    /// Time that it has spent on a core.
    pub fn cpu(&self) -> Duration {
        supervisor::cpu(self.id())
    }

    /// The same for each of so many that `act` does, in microseconds.
    pub fn cpu_each(&self, count: u32, act: impl FnOnce()) -> f64 {
        let before = self.cpu();
        act();
        (self.cpu() - before).as_secs_f64() * 1e6 / f64::from(count)
    }

    /// What it has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until it has logged this.
    pub fn logged(&self, text: &str) {
        until(text, || self.log().contains(text).then_some(()));
    }

    /// Sends a signal by its name, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(sent.expect("kill runs").success());
    }

    /// Does this while the program is stopped: when it goes on, all that came meanwhile is there at once. The
    /// system may hand over late what was sent, and is waited for.
    pub fn stopped(&self, act: impl FnOnce()) {
        self.signal("-STOP");
        let stat =
            || std::fs::read_to_string(format!("/proc/{}/stat", self.id())).expect("it lives");
        until("it stops", || {
            stat().rsplit(") ").next()?.starts_with('T').then_some(())
        });
        act();
        until("what was sent has arrived", || {
            tcp_delivery::all_delivered(self.id()).then_some(())
        });
        self.signal("-CONT");
    }

    /// Asks it to end.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration and has it read again.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).expect("a temporary file");
        self.signal("-HUP");
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }

    /// Waits for its end.
    pub fn exit(&mut self) -> ExitStatus {
        self.exit_within(LIMIT)
    }

    /// Waits for its end so long.
    pub fn exit_within(&mut self, limit: Duration) -> ExitStatus {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(Instant::now() < end, "it does not end: {}", self.log());
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.files
            .iter()
            .for_each(|file| drop(std::fs::remove_file(file)));
    }
}

/// Runs it on a configuration that it must not accept: whether it failed, and what it said.
pub fn refuses(config: &str) -> (bool, String) {
    let out = Launch::text(config).output();
    (
        !out.status.success(),
        String::from_utf8(out.stderr).expect("text"),
    )
}

impl Client {
    /// A connection, if something listens there.
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(address).ok()?;
        stream
            .set_read_timeout(Some(LIMIT))
            .expect("a socket option");
        stream.set_nodelay(true).expect("a socket option");
        Some(Client(stream))
    }
}
