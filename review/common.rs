//! Stand-ins of the platform for the cases of this review: the control feed, hosts, owners, and the start of the
//! project's program with the command of the deploy file. Standard library only, loopback only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption is played: `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Ends the run: the case could not be played.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    kill_all();
    std::process::exit(2);
}

// ---- The record ----

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Writes to the file named by `RECORD`.
    pub fn new() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        Record {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3}  {}", line.as_ref());
    }
}

// ---- Processes ----

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills every placer that this case started and that has not been waited for.
pub fn kill_all() {
    let children = CHILDREN.lock().map(|c| c.clone()).unwrap_or_default();
    for pid in children {
        signal_pid(pid, "KILL");
    }
}

fn signal_pid(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh")
        .arg("-c")
        .arg(format!("kill -{name} {pid} 2>/dev/null"))
        .status();
}

/// A fresh folder for this run, removed by `run.sh`.
pub fn temp_dir() -> PathBuf {
    let base = std::env::var("CASE_TMP").unwrap_or_else(|_| {
        std::env::temp_dir()
            .join(format!("case-{}", std::process::id()))
            .display()
            .to_string()
    });
    let path = PathBuf::from(base);
    let _ = fs::create_dir_all(&path);
    path
}

pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().port()
}

/// The `run` command of the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|e| cannot_run(&format!("deploy file: {e}")));
    let line = text
        .lines()
        .find(|l| l.starts_with("run "))
        .unwrap_or_else(|| cannot_run("no run command"));
    let mut parts = line.split('"');
    parts.next();
    parts
        .next()
        .unwrap_or_else(|| cannot_run("no run command"))
        .to_string()
}

pub struct Placer {
    pub child: Child,
    pub admin: String,
    label: String,
}

/// What a placer is told.
pub struct Told {
    pub name: String,
    pub listen: String,
    pub admin: String,
    pub feed: String,
    pub known_n: u64,
    pub known_events: Vec<String>,
    pub memory_mb: u64,
    pub sockets: u64,
    pub instances: u64,
}

impl Told {
    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"admin\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"feed\":\"{}\",\"known\":{{\"n\":{},\"events\":[{}]}},\"settings\":{}}}",
            self.name,
            self.listen,
            self.admin,
            self.memory_mb,
            self.sockets,
            self.feed,
            self.known_n,
            self.known_events.join(","),
            settings(self.instances)
        )
    }
}

/// Settings in the form of the platform's, with the figures of `apuracao-sul`.
pub fn settings(instances: u64) -> String {
    format!(
        r#"{{"me":0,"n_instances":{instances},"locality":"sala-a","zones":["sala-a","sala-b","sala-c"],"step":2.0,
"models":["node-24c","node-48c"],"membership_mode":"subscribe","over_share_worth":0.1,"family":"place","worth_by":"work",
"weight_kind":"off","tier":0,"tiers":["nodes-apuracao"],
"client_habits":{{"marks_retry":true}},
"goal":{{"whole":0.35,"worst_class":0.2,"worst_tenant":0.3,"worst_window":0.15}},
"services":[
{{"name":"pagina","aim":1000.0,"hard_limit":6000.0,"semantics":"safe","group":"all","worth":1.0,"late_share":0.2,"memory_span":5000.0,"long_lived":true}},
{{"name":"totalizador","aim":5500.0,"hard_limit":9500.0,"semantics":"unsafe","group":"all","worth":3.0,"late_share":0.2,"memory_span":5000.0,"long_lived":true}}],
"realms":[{{"name":"escritorio-rs","portion":0.34,"allowance_per_s":2.0}},{{"name":"escritorio-pr","portion":0.27,"allowance_per_s":2.0}},{{"name":"escritorio-sc","portion":0.25,"allowance_per_s":2.0}},{{"name":"escritorio-ms","portion":0.14,"allowance_per_s":1.0}}],
"caps":{{"at_once_per_conn":1048576,"cancel":true,"conn_idle":30000.0,"connect_timeout":250.0,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"max_retry_after":3000.0,"most_held":1000000,"peers":false,"probing":false,"retry_after":true,"second_copies":false,"send_cap":4}},
"family_info":{{"accepts_memory":1.0,"class_kind":[-1,-1],"class_most":[3,2],"class_priority":[0,2],"cores_multiple":1.0,"evict_counts":2.0,"fades_over":[1.0,0.15],"full_up_to":[1.0,0.8],"kind_cores":[24,46],"kind_memory":[32.0,55.0],"lists_free":true,"make_sure":3000.0,"mean_memory":2.18,"measured_by":"asked","no_price":0.03,"preempts":true,"pressure_notes":false,"prompt_start_s":[10.0,8.0],"share_cores":[68.0,54.0,50.0,28.0],"spread_by":["zone","off"],"sticks":false,"use_notes":false,"usual_cores":1.58,"yes_at":"running","young_limit":22.0}},
"prices":{{"connection":0.0,"cross_zone":0.0,"fleet":0.15,"handshake":0.0,"late_fail":0.0,"membership_mode":0.004,"moves":0.072,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.022}},
"report":{{"names":[],"via":"off"}},
"rules":{{"ask_every":10000.0,"cold":17000.0,"cold_from":0.22,"drain_grace":2000.0,"grace_to_answer":8.0,"overload_factor":4.0,"overload_for":1000.0}}}}"#
    )
    .replace('\n', "")
}

impl Placer {
    /// Starts the program with the command of the deploy file, as the platform does. `listener` is the clients'
    /// listening socket where the platform holds it.
    pub fn start(rec: &Record, label: &str, told: &Told, listener: Option<&TcpListener>) -> Placer {
        let dir = temp_dir();
        let config = dir.join(format!("{label}.json"));
        fs::write(&config, told.json()).unwrap();
        let log = dir.join(format!("{label}.log"));
        let err = File::create(&log).unwrap();
        let tmp = dir.join("tmp");
        let _ = fs::create_dir_all(&tmp);
        let mut command = Command::new("/bin/sh");
        let run = run_command();
        let script = match listener {
            Some(_) => format!("exec 5<&0 0</dev/null; {run}"),
            None => run,
        };
        command.arg("-c").arg(script);
        command
            .env("LB_NAME", &told.name)
            .env("LB_LISTEN", &told.listen)
            .env("LB_CONFIG", &config)
            .env("LB_ADMIN", &told.admin)
            .env("TMPDIR", &tmp)
            .env_remove("LB_ACCEPT_FD")
            .env_remove("TASK_PLACER_OPERATOR")
            .env_remove("ANISEHEAD_OPERATOR")
            .stdout(err.try_clone().unwrap())
            .stderr(err);
        match listener {
            Some(socket) => {
                command.env("LB_ACCEPT_FD", "5");
                command.stdin(Stdio::from(OwnedFd::from(socket.try_clone().unwrap())));
            }
            None => {
                command.stdin(Stdio::null());
            }
        }
        let child = command
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("start: {e}")));
        CHILDREN.lock().unwrap().push(child.id());
        if let Ok(mut pids) = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(dir.join("pids"))
        {
            let _ = writeln!(pids, "{}", child.id());
        }
        rec.add(format!(
            "platform: starts process {label} (pid {})",
            child.id()
        ));
        Placer {
            child,
            admin: told.admin.clone(),
            label: label.into(),
        }
    }

    pub fn signal(&self, rec: &Record, name: &str) {
        rec.add(format!("platform: SIG{name} to process {}", self.label));
        signal_pid(self.child.id(), name);
    }

    /// One call at the operators' address.
    pub fn call(&self, call: &str) -> Option<String> {
        let mut stream = TcpStream::connect(&self.admin).ok()?;
        stream.set_read_timeout(Some(ms(1000))).ok()?;
        stream.write_all(format!("{call}\n").as_bytes()).ok()?;
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        (!text.is_empty()).then_some(text)
    }

    pub fn serves(&self) -> bool {
        self.call("check")
            .is_some_and(|reply| reply.starts_with("ok"))
    }

    /// Waits until the process says that it serves.
    pub fn wait_ready(&self, rec: &Record, limit: Duration) {
        let until = Instant::now() + limit;
        while !self.serves() {
            if Instant::now() > until {
                cannot_run(&format!("process {} is not ready", self.label));
            }
            thread::sleep(ms(20));
        }
        rec.add(format!("platform: process {} says yes", self.label));
    }

    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits for the exit, and returns whether it came within the limit.
    pub fn wait_exit(&mut self, rec: &Record, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                rec.add(format!(
                    "platform: process {} has ended: {status}",
                    self.label
                ));
                let pid = self.child.id();
                CHILDREN.lock().unwrap().retain(|p| *p != pid);
                return true;
            }
            thread::sleep(ms(2));
        }
        false
    }

    pub fn kill(&mut self, rec: &Record) {
        if !self.has_exited() {
            self.signal(rec, "KILL");
        }
        self.wait_exit(rec, ms(2000));
    }

    /// A figure of /proc/PID/status in kB.
    pub fn memory_kb(&self, field: &str) -> Option<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find(|l| l.starts_with(field))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

// ---- The control feed ----

#[derive(Default)]
struct FeedState {
    events: Vec<String>,
    conns: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Feed {
    state: Arc<Mutex<FeedState>>,
    pub address: String,
    rec: Record,
}

impl Feed {
    pub fn start(rec: &Record) -> Feed {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let feed = Feed {
            state: Arc::default(),
            address: listener.local_addr().unwrap().to_string(),
            rec: rec.clone(),
        };
        let accepting = feed.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let feed = accepting.clone();
                thread::spawn(move || feed.serve(stream));
            }
        });
        let ticking = feed.clone();
        thread::spawn(move || loop {
            thread::sleep(ms(1000));
            let state = ticking.state.lock().unwrap();
            let line = format!("{{\"n\":{}}}\n", state.events.len());
            for mut conn in &state.conns {
                let _ = conn.write_all(line.as_bytes());
            }
        });
        feed
    }

    fn serve(&self, stream: TcpStream) {
        let mut line = String::new();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        if reader.read_line(&mut line).is_err() {
            return;
        }
        let Some(last) = line
            .trim()
            .strip_prefix("SUB ")
            .and_then(|n| n.parse::<usize>().ok())
        else {
            return;
        };
        let mut state = self.state.lock().unwrap();
        self.rec.add(format!("feed: SUB {last}"));
        let mut stream = stream;
        for event in state.events.iter().skip(last) {
            let _ = stream.write_all(format!("{event}\n").as_bytes());
        }
        let _ = stream.write_all(format!("{{\"n\":{}}}\n", state.events.len()).as_bytes());
        state.conns.push(stream);
    }

    /// Adds an event to the feed, and tells it to whoever is connected.
    pub fn event(&self, whole: bool, entries: &[String]) {
        let mut state = self.state.lock().unwrap();
        let n = state.events.len() + 1;
        let event = format!(
            "{{\"n\":{n},\"members\":{{\"seq\":{n},\"whole\":{whole},\"hosts\":[{}]}}}}",
            entries.join(",")
        );
        self.rec.add(format!("feed: event {event}"));
        for mut conn in &state.conns {
            let _ = conn.write_all(format!("{event}\n").as_bytes());
        }
        state.events.push(event);
    }

    /// The form in which a configuration holds the events.
    pub fn known(&self) -> (u64, Vec<String>) {
        let state = self.state.lock().unwrap();
        (state.events.len() as u64, state.events.clone())
    }
}

pub fn entry(host: &str, dial: &str, site: &str, block: u64, health: &str, born_ms: u64) -> String {
    format!(
        "{{\"host\":\"{host}\",\"dial\":\"{dial}\",\"site\":\"{site}\",\"class\":\"node-24c\",\"block\":{block},\"health\":\"{health}\",\"share\":1,\"born_ms\":{born_ms},\"unasked\":[24,32]}}"
    )
}

// ---- Hosts ----

/// How a host treats a set-up, by its description: `start=MS;run=MS`.
fn figure(description: &str, name: &str) -> Option<u64> {
    let at = description.find(&format!("{name}="))? + name.len() + 1;
    let digits: String = description[at..]
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok()
}

fn text_field(line: &str, name: &str) -> Option<String> {
    let mark = format!("\"{name}\":\"");
    let at = line.find(&mark)? + mark.len();
    let mut out = String::new();
    let mut chars = line[at..].chars();
    while let Some(c) = chars.next() {
        match c {
            '"' => return Some(out),
            '\\' => match chars.next()? {
                'n' => out.push('\n'),
                'r' => out.push('\r'),
                't' => out.push('\t'),
                other => out.push(other),
            },
            other => out.push(other),
        }
    }
    None
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum TaskState {
    Starting,
    Running,
}

struct HostTask {
    state: TaskState,
    conn: u64,
    key: String,
}

#[derive(Default)]
struct HostState {
    tasks: BTreeMap<u64, HostTask>,
    conns: BTreeMap<u64, TcpStream>,
    next_conn: u64,
    /// Releases that the next connection to open gets as well.
    repeat: Vec<(u64, String)>,
    ended: BTreeMap<u64, Instant>,
}

/// A host as the protocol page has it. The description of a set-up tells how long its start and its run take.
#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub address: String,
    state: Arc<Mutex<HostState>>,
    rec: Record,
    quiet_log: bool,
}

impl Host {
    pub fn start(rec: &Record, name: &str) -> Host {
        Host::start_with(rec, name, false)
    }

    pub fn start_with(rec: &Record, name: &str, quiet_log: bool) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let host = Host {
            name: name.into(),
            address: listener.local_addr().unwrap().to_string(),
            state: Arc::default(),
            rec: rec.clone(),
            quiet_log,
        };
        let accepting = host.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let host = accepting.clone();
                thread::spawn(move || host.serve(stream));
            }
        });
        host
    }

    fn note(&self, text: String) {
        if !self.quiet_log {
            self.rec.add(format!("host {}: {text}", self.name));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let conn = {
            let mut state = self.state.lock().unwrap();
            let conn = state.next_conn;
            state.next_conn += 1;
            let mut out = stream.try_clone().unwrap();
            self.note(format!("connection {conn} opens"));
            for (id, line) in std::mem::take(&mut state.repeat) {
                self.note(format!(
                    "connection {conn}: sends the release of {id:016x} also here"
                ));
                let _ = out.write_all(line.as_bytes());
            }
            state.conns.insert(conn, out);
            conn
        };
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        loop {
            line.clear();
            match reader.read_line(&mut line) {
                Ok(n) if n > 0 && line.ends_with('\n') => self.message(conn, &line),
                _ => break,
            }
        }
        let mut state = self.state.lock().unwrap();
        state.conns.remove(&conn);
        let given_up: Vec<u64> = state
            .tasks
            .iter()
            .filter(|(_, t)| t.conn == conn && t.state == TaskState::Starting)
            .map(|(id, _)| *id)
            .collect();
        for id in given_up {
            state.tasks.remove(&id);
            self.note(format!("{id:016x} is given up with its connection"));
        }
        self.note(format!("connection {conn} ends"));
    }

    fn message(&self, conn: u64, line: &str) {
        let id = text_field(line, "ref")
            .and_then(|t| u64::from_str_radix(&t, 16).ok())
            .unwrap_or(0);
        match text_field(line, "t").as_deref() {
            Some("new") => self.offered(conn, id, line),
            Some("down") => {
                let mut state = self.state.lock().unwrap();
                match state.tasks.remove(&id) {
                    Some(task) if task.state == TaskState::Running => {
                        self.note(format!("{id:016x} is released by the placer: cut"));
                        state.ended.insert(id, Instant::now());
                        let line = format!(
                            "{{\"t\":\"down\",\"ref\":\"{id:016x}\",\"f\":{{}},\"c\":31}}\n"
                        );
                        self.send_release(&mut state, task.conn, id, &line);
                    }
                    Some(_) => self.note(format!("{id:016x} is given up by the placer")),
                    None => self.note(format!("release of {id:016x}, which is not here")),
                }
            }
            Some("hb") => {
                let reply =
                    format!("{{\"t\":\"hb_ok\",\"ref\":\"{id:016x}\",\"f\":{{}},\"c\":1}}\n");
                if let Some(mut out) = self.state.lock().unwrap().conns.get(&conn) {
                    let _ = out.write_all(reply.as_bytes());
                }
            }
            Some("ack") => self.note(format!("release of {id:016x} is heard")),
            _ => {}
        }
    }

    fn offered(&self, conn: u64, id: u64, line: &str) {
        let key = text_field(line, "key").unwrap_or_default();
        let description = text_field(line, "d").unwrap_or_default();
        self.note(format!(
            "set-up {id:016x} (key {key}) arrives on connection {conn}"
        ));
        let start = figure(&description, "start").unwrap_or(10);
        let run = figure(&description, "run").unwrap_or(600_000);
        {
            let mut state = self.state.lock().unwrap();
            state.tasks.insert(
                id,
                HostTask {
                    state: TaskState::Starting,
                    conn,
                    key,
                },
            );
        }
        let host = self.clone();
        thread::spawn(move || {
            thread::sleep(ms(start));
            {
                let mut state = host.state.lock().unwrap();
                let Some(task) = state.tasks.get_mut(&id) else {
                    return;
                };
                task.state = TaskState::Running;
                let conn = task.conn;
                host.note(format!("{id:016x} runs: answer"));
                let line = format!(
                    "{{\"t\":\"up\",\"ref\":\"{id:016x}\",\"f\":{{}},\"d\":\"stands {id:016x} at {}\\r\\n\"}}\n",
                    host.name
                );
                if let Some(mut out) = state.conns.get(&conn) {
                    let _ = out.write_all(line.as_bytes());
                }
            }
            thread::sleep(ms(run));
            host.end(id);
        });
    }

    /// Ends a running task: its release goes out on its set-up's connection, else on any open one, and on the next
    /// connection to open.
    pub fn end(&self, id: u64) {
        let mut state = self.state.lock().unwrap();
        let Some(task) = state.tasks.remove(&id) else {
            return;
        };
        state.ended.insert(id, Instant::now());
        let line = format!("{{\"t\":\"down\",\"ref\":\"{id:016x}\",\"f\":{{}},\"c\":16}}\n");
        self.note(format!("{id:016x} has come to its end"));
        self.send_release(&mut state, task.conn, id, &line);
    }

    fn send_release(&self, state: &mut HostState, conn: u64, id: u64, line: &str) {
        let out = state.conns.get(&conn).map(|out| (conn, out));
        let out = out.or_else(|| state.conns.iter().next_back().map(|(c, out)| (*c, out)));
        match out {
            Some((conn, mut out)) => {
                let _ = out.write_all(line.as_bytes());
                self.note(format!(
                    "release of {id:016x} is written to connection {conn}"
                ));
            }
            None => self.note(format!("release of {id:016x} has no connection")),
        }
        state.repeat.push((id, line.to_string()));
    }

    pub fn runs(&self, id: u64) -> bool {
        self.state
            .lock()
            .unwrap()
            .tasks
            .get(&id)
            .is_some_and(|t| t.state == TaskState::Running)
    }

    /// How many tasks of this name run here.
    pub fn runs_named(&self, key: u64) -> usize {
        let (key, state) = (format!("{key:016x}"), self.state.lock().unwrap());
        let running = state
            .tasks
            .values()
            .filter(|task| task.state == TaskState::Running);
        running.filter(|task| task.key == key).count()
    }

    pub fn ended_at(&self, id: u64) -> Option<Instant> {
        self.state.lock().unwrap().ended.get(&id).copied()
    }
}

// ---- Owners ----

pub struct SetUp<'a> {
    pub id: u64,
    pub class: &'a str,
    pub left_ms: u64,
    pub key: u64,
    pub service: u64,
    pub at: Option<&'a str>,
    pub description: &'a str,
}

pub fn encode(kind: u8, id: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(id.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend(*value);
    }
    let mut all = (body.len() as u16).to_be_bytes().to_vec();
    all.extend(body);
    all
}

impl SetUp<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let size = if self.class == "totalizador" {
            "cores:4;memory:6"
        } else {
            "cores:1;memory:2"
        };
        let mut figures = format!("{size};service:{:016x}", self.service);
        if let Some(at) = self.at {
            figures.push_str(&format!(";at:{at}"));
        }
        let (left, key) = (self.left_ms.to_string(), format!("{:016x}", self.key));
        encode(
            1,
            self.id,
            &[
                (129, self.class.as_bytes()),
                (132, left.as_bytes()),
                (135, b"escritorio-rs"),
                (141, key.as_bytes()),
                (144, figures.as_bytes()),
                (174, self.description.as_bytes()),
            ],
        )
    }
}

#[derive(Clone, Debug)]
pub struct Heard {
    pub at: Instant,
    pub kind: u8,
    pub id: u64,
    pub cause: Option<u8>,
    pub conn: u64,
}

/// What the owners have read, on all their connections.
#[derive(Clone, Default)]
pub struct Inbox(pub Arc<Mutex<Vec<Heard>>>);

impl Inbox {
    pub fn first(&self, id: u64, kind: u8) -> Option<Heard> {
        self.0
            .lock()
            .unwrap()
            .iter()
            .find(|h| h.id == id && h.kind == kind)
            .cloned()
    }

    /// The final answer to a set-up: an answer, or a release before one.
    pub fn answer(&self, id: u64) -> Option<Heard> {
        self.0
            .lock()
            .unwrap()
            .iter()
            .find(|h| h.id == id && matches!(h.kind, 9 | 12))
            .cloned()
    }

    /// The release of a task that stands.
    pub fn release(&self, id: u64) -> Option<Heard> {
        self.first(id, 12)
    }

    pub fn wait(&self, id: u64, kind: u8, limit: Duration) -> Option<Heard> {
        let until = Instant::now() + limit;
        loop {
            if let Some(heard) = self.first(id, kind) {
                return Some(heard);
            }
            if Instant::now() > until {
                return None;
            }
            thread::sleep(ms(5));
        }
    }
}

static NEXT_OWNER_CONN: AtomicU64 = AtomicU64::new(1);

/// A connection of an owner. It hears every release that it reads, as owners do.
#[derive(Clone)]
pub struct Owner {
    pub conn: u64,
    stream: Arc<TcpStream>,
    pub closed: Arc<AtomicBool>,
    rec: Record,
    quiet_log: bool,
}

impl Owner {
    pub fn connect(rec: &Record, to: &str, inbox: &Inbox) -> Option<Owner> {
        Owner::connect_with(rec, to, inbox, false)
    }

    pub fn connect_with(rec: &Record, to: &str, inbox: &Inbox, quiet_log: bool) -> Option<Owner> {
        let stream = TcpStream::connect(to).ok()?;
        let _ = stream.set_nodelay(true);
        let owner = Owner {
            conn: NEXT_OWNER_CONN.fetch_add(1, Ordering::Relaxed),
            stream: Arc::new(stream),
            closed: Arc::default(),
            rec: rec.clone(),
            quiet_log,
        };
        owner.note("opens".into());
        let (reading, inbox) = (owner.clone(), inbox.clone());
        thread::Builder::new()
            .stack_size(128 * 1024)
            .spawn(move || reading.read(&inbox))
            .ok()?;
        Some(owner)
    }

    fn note(&self, text: String) {
        if !self.quiet_log {
            self.rec
                .add(format!("owner connection {}: {text}", self.conn));
        }
    }

    fn read(&self, inbox: &Inbox) {
        let mut stream = &*self.stream;
        loop {
            let mut head = [0; 2];
            if stream.read_exact(&mut head).is_err() {
                break;
            }
            let mut body = vec![0; usize::from(u16::from_be_bytes(head))];
            if stream.read_exact(&mut body).is_err() || body.len() < 9 {
                break;
            }
            let id = u64::from_be_bytes(body[1..9].try_into().unwrap());
            let (mut cause, mut rest) = (None, &body[9..]);
            while rest.len() >= 3 {
                let length = usize::from(u16::from_be_bytes([rest[1], rest[2]]));
                if rest[0] == 171 && length == 1 {
                    cause = Some(rest[3]);
                }
                rest = &rest[(3 + length).min(rest.len())..];
            }
            let heard = Heard {
                at: Instant::now(),
                kind: body[0],
                id,
                cause,
                conn: self.conn,
            };
            let what = match (body[0], cause) {
                (9, _) => "answer".to_string(),
                (12, Some(cause)) => format!("release, cause {cause}"),
                (16, _) => "release heard".to_string(),
                (53, Some(1)) => "test passed".to_string(),
                (53, _) => "test failed".to_string(),
                (kind, _) => format!("type {kind}"),
            };
            self.note(format!("reads {what} of {id:016x}"));
            if body[0] == 12 {
                self.send(&encode(16, id, &[]));
            }
            inbox.0.lock().unwrap().push(heard);
        }
        self.note("has ended".into());
        self.closed.store(true, Ordering::Relaxed);
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    pub fn send(&self, bytes: &[u8]) -> bool {
        (&*self.stream).write_all(bytes).is_ok()
    }

    pub fn ask(&self, setup: &SetUp) -> bool {
        let at = setup.at.map(|at| format!(" at {at}")).unwrap_or_default();
        self.note(format!(
            "sends set-up {:016x} ({}, key {:016x}){at}",
            setup.id, setup.class, setup.key
        ));
        self.send(&setup.bytes())
    }

    pub fn test(&self) -> bool {
        self.send(&encode(52, 0xfe, &[(171, &[0])]))
    }

    pub fn release(&self, id: u64, cause: u8) -> bool {
        self.note(format!("sends release of {id:016x}, cause {cause}"));
        self.send(&encode(12, id, &[(171, &[cause])]))
    }

    pub fn close(&self) {
        self.note("closes".into());
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }
}
