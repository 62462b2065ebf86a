//! Stand-ins of the second review: hosts, control feed, clients and the platform, with one subcommand for each case.
//! Standard library only; `build-2.sh` compiles it. Usage: `standin CASE ROOT RECORD TROUBLE`.
//! Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn shutdown(fd: i32, how: i32) -> i32;
}

const SIGKILL: i32 = 9;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// ---- Record ----

/// Writes what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    fn say(&self, text: impl AsRef<str>) {
        let now = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:>7} {}", text.as_ref());
    }
}

/// The placers that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn end_started() {
    for pid in STARTED.lock().unwrap().drain(..) {
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

fn cannot_run(record: &Record, why: &str) -> ! {
    end_started();
    record.say(format!("cannot run: {why}"));
    eprintln!("cannot run: {why}");
    std::process::exit(2);
}

// ---- Control feed ----

#[derive(Clone)]
struct Feed {
    events: Arc<Mutex<Vec<String>>>,
    address: SocketAddr,
}

impl Feed {
    /// Starts a feed whose first event is the given whole list.
    fn start(first: String) -> Feed {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let feed = Feed { events: Arc::new(Mutex::new(vec![first])), address };
        let events = feed.events.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let events = events.clone();
                spawn(move || serve_feed(stream, &events));
            }
        });
        feed
    }
}

fn serve_feed(mut stream: TcpStream, events: &Mutex<Vec<String>>) {
    let mut line = String::new();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    if reader.read_line(&mut line).is_err() {
        return;
    }
    let Some(mut told) = line.trim().strip_prefix("SUB ").and_then(|n| n.parse::<usize>().ok()) else {
        return;
    };
    let mut beat = Instant::now() - ms(1_000);
    loop {
        let news: Vec<String> = events.lock().unwrap().iter().skip(told).cloned().collect();
        told += news.len();
        let mut out = String::new();
        for event in &news {
            out.push_str(event);
            out.push('\n');
        }
        if beat.elapsed() >= ms(1_000) {
            out.push_str(&format!("{{\"n\":{told}}}\n"));
            beat = Instant::now();
        }
        if !out.is_empty() && stream.write_all(out.as_bytes()).is_err() {
            return;
        }
        sleep(ms(20));
    }
}

fn members(n: usize, whole: bool, hosts: &[String]) -> String {
    format!("{{\"n\":{n},\"members\":{{\"seq\":{n},\"whole\":{whole},\"hosts\":[{}]}}}}", hosts.join(","))
}

// ---- Hosts ----

struct Task {
    conn: u64,
    stands: bool,
    starts_at: Instant,
    ends_at: Instant,
}

#[derive(Default)]
struct HostState {
    conns: BTreeMap<u64, TcpStream>,
    tasks: BTreeMap<String, Task>,
    /// Releases that go out on the next connection to open, too.
    repeat: Vec<String>,
    /// Lines that wait because the machine is cut off.
    held: Vec<(u64, String)>,
    next_conn: u64,
}

#[derive(Clone)]
struct Host {
    name: String,
    zone: &'static str,
    address: SocketAddr,
    listener: Arc<TcpListener>,
    state: Arc<Mutex<HostState>>,
    cut: Arc<AtomicBool>,
    life: Arc<AtomicU64>,
    start_ms: Arc<AtomicU64>,
    record: Record,
}

fn text_of(line: &str, name: &str) -> Option<String> {
    let at = line.find(&format!("\"{name}\":\""))? + name.len() + 4;
    Some(line[at..].split('"').next()?.to_string())
}

fn down(id: &str, cause: u8) -> String {
    format!("{{\"t\":\"down\",\"ref\":\"{id}\",\"f\":{{}},\"c\":{cause}}}\n")
}

impl Host {
    fn start(name: &str, zone: &'static str, start_ms: u64, life_ms: u64, record: &Record) -> Host {
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0").unwrap());
        listener.set_nonblocking(true).unwrap();
        let host = Host {
            name: name.to_string(),
            zone,
            address: listener.local_addr().unwrap(),
            listener,
            state: Arc::default(),
            cut: Arc::default(),
            life: Arc::new(AtomicU64::new(life_ms)),
            start_ms: Arc::new(AtomicU64::new(start_ms)),
            record: record.clone(),
        };
        let accepting = host.clone();
        spawn(move || accepting.accept());
        let ticking = host.clone();
        spawn(move || ticking.tick());
        host
    }

    fn entry(&self, health: &str) -> String {
        self.entry_at(health, self.address)
    }

    fn entry_at(&self, health: &str, address: SocketAddr) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"node-24c\",\"block\":{},\"health\":\"{health}\",\"share\":1,\"born_ms\":0,\"unasked\":[24,32]}}",
            self.name, address, self.zone, address.port()
        )
    }

    fn accept(&self) {
        loop {
            if self.cut.load(Ordering::SeqCst) {
                sleep(ms(2));
                continue;
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_nodelay(true).unwrap();
                    let mut state = self.state.lock().unwrap();
                    state.next_conn += 1;
                    let id = state.next_conn;
                    self.record.say(format!("{} connection {id} opens", self.name));
                    state.conns.insert(id, stream.try_clone().unwrap());
                    for line in std::mem::take(&mut state.repeat) {
                        self.write(&mut state, id, &line);
                    }
                    drop(state);
                    let host = self.clone();
                    spawn(move || host.read(id, stream));
                }
                Err(_) => sleep(ms(2)),
            }
        }
    }

    fn write(&self, state: &mut HostState, conn: u64, line: &str) {
        if self.cut.load(Ordering::SeqCst) {
            return state.held.push((conn, line.to_string()));
        }
        if let Some(stream) = state.conns.get_mut(&conn) {
            self.record.say(format!("{} connection {conn} > {}", self.name, line.trim()));
            let _ = stream.write_all(line.as_bytes());
        }
    }

    fn read(&self, conn: u64, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        loop {
            line.clear();
            let count = reader.read_line(&mut line);
            // Nothing comes through while the machine is cut off.
            while self.cut.load(Ordering::SeqCst) {
                sleep(ms(2));
            }
            if !matches!(count, Ok(n) if n > 0) {
                break;
            }
            self.record.say(format!("{} connection {conn} < {}", self.name, line.trim()));
            self.handle(conn, &line);
        }
        let mut state = self.state.lock().unwrap();
        state.conns.remove(&conn);
        // A closed connection gives up the set-ups open on it; tasks that stand go on.
        state.tasks.retain(|_, task| task.stands || task.conn != conn);
        self.record.say(format!("{} connection {conn} has ended", self.name));
    }

    fn handle(&self, conn: u64, line: &str) {
        let (kind, id) = (text_of(line, "t").unwrap_or_default(), text_of(line, "ref").unwrap_or_default());
        let mut state = self.state.lock().unwrap();
        match kind.as_str() {
            "new" => {
                let starts_at = Instant::now() + ms(self.start_ms.load(Ordering::SeqCst));
                let ends_at = starts_at + ms(self.life.load(Ordering::SeqCst));
                state.tasks.insert(id, Task { conn, stands: false, starts_at, ends_at });
            }
            "down" => {
                if state.tasks.remove(&id).is_some_and(|task| task.stands) {
                    self.record.say(format!("{} task {id} cut by the placer", self.name));
                    self.write(&mut state, conn, &down(&id, 31));
                }
            }
            "hb" => {
                let line = format!("{{\"t\":\"hb_ok\",\"ref\":\"{id}\",\"f\":{{}},\"c\":1}}\n");
                self.write(&mut state, conn, &line);
            }
            _ => {}
        }
    }

    fn tick(&self) {
        loop {
            sleep(ms(5));
            let now = Instant::now();
            let mut state = self.state.lock().unwrap();
            if !self.cut.load(Ordering::SeqCst) && !state.held.is_empty() {
                for (conn, line) in std::mem::take(&mut state.held) {
                    self.write(&mut state, conn, &line);
                }
            }
            let due: Vec<(String, u64)> = state.tasks.iter_mut()
                .filter(|(_, task)| !task.stands && task.starts_at <= now)
                .map(|(id, task)| {
                    task.stands = true;
                    (id.clone(), task.conn)
                })
                .collect();
            for (id, conn) in due {
                self.record.say(format!("{} task {id} starts", self.name));
                let line = format!("{{\"t\":\"up\",\"ref\":\"{id}\",\"f\":{{}},\"d\":\"{}/{id}\"}}\n", self.name);
                self.write(&mut state, conn, &line);
            }
            let ended: Vec<String> = state.tasks.iter()
                .filter(|(_, task)| task.stands && task.ends_at <= now)
                .map(|(id, _)| id.clone())
                .collect();
            for id in ended {
                let task = state.tasks.remove(&id).unwrap();
                self.record.say(format!("{} task {id} ends", self.name));
                let open = if state.conns.contains_key(&task.conn) { Some(task.conn) } else { state.conns.keys().next().copied() };
                let line = down(&id, 16);
                if let Some(conn) = open {
                    self.write(&mut state, conn, &line);
                }
                state.repeat.push(line);
            }
        }
    }

    fn stands(&self, id: &str) -> bool {
        self.state.lock().unwrap().tasks.get(id).is_some_and(|task| task.stands)
    }

    /// Cuts the machine off: open connections stay open and silent, new ones never come up.
    fn cut_off(&self) -> Vec<TcpStream> {
        self.cut.store(true, Ordering::SeqCst);
        // The kernel admits one connection more than the length of the queue.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        let fillers = (0..2).filter_map(|_| TcpStream::connect_timeout(&self.address, ms(100)).ok()).collect();
        self.record.say(format!("{} is cut off", self.name));
        fillers
    }

    fn reconnect(&self, fillers: Vec<TcpStream>) {
        let count = fillers.len();
        unsafe { listen(self.listener.as_raw_fd(), 128) };
        let mut taken = 0;
        while taken < count {
            match self.listener.accept() {
                Ok(_) => taken += 1,
                Err(_) => sleep(ms(1)),
            }
        }
        drop(fillers);
        self.cut.store(false, Ordering::SeqCst);
        self.record.say(format!("{} is reached again", self.name));
    }
}

// ---- Placer ----

struct Placer {
    child: Child,
    listen: SocketAddr,
    record: Record,
}

fn run_command(root: &Path) -> Option<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
    let line = text.lines().find(|line| line.trim_start().starts_with("run"))?;
    let mut parts = line.splitn(2, '=').nth(1)?.split('"');
    parts.nth(1).map(str::to_string)
}

struct Setup<'a> {
    root: &'a Path,
    dir: &'a Path,
    record: &'a Record,
}

/// Settings like those of a small deployment.
fn settings(placers: u32) -> String {
    let class = |name: &str, semantics: &str, aim: u32, limit: u32, worth: u32| {
        format!(
            "{{\"name\":\"{name}\",\"aim\":{aim}.0,\"hard_limit\":{limit}.0,\"semantics\":\"{semantics}\",\"group\":\"all\",\"worth\":{worth}.0,\"late_share\":0.2,\"memory_span\":5000.0,\"long_lived\":true}}"
        )
    };
    format!(
        r#"{{"me":0,"n_instances":{placers},"family":"place","locality":"room-a","zones":["room-a","room-b","room-c"],"step":2.0,
"models":["node-24c","node-48c"],"membership_mode":"subscribe","over_share_worth":0.1,
"services":[{},{}],
"realms":[{{"name":"office","portion":1.0,"allowance_per_s":1000.0}}],
"caps":{{"cancel":true,"connect_timeout":250.0,"conn_idle":30000.0,"max_retry_after":3000.0,"probing":false,"peers":false,"second_copies":false,"retry_after":true,"send_cap":4,"most_held":1000000}},
"family_info":{{"accepts_memory":1.0,"cores_multiple":1.0,"class_kind":[-1,-1],"class_most":[3,2],"class_priority":[0,2],"fades_over":[1.0,0.15],"full_up_to":[1.0,0.8],"kind_cores":[24,46],"kind_memory":[32.0,55.0],"lists_free":true,"make_sure":3000.0,"mean_memory":2.18,"usual_cores":1.58,"measured_by":"asked","no_price":0.03,"preempts":true,"prompt_start_s":[10.0,8.0],"spread_by":["zone","off"],"yes_at":"running","young_limit":22.0}},
"prices":{{"fleet":0.15,"moves":0.072,"handshake":0.0}},
"report":{{"names":[],"via":"off"}},
"rules":{{"ask_every":10000.0,"cold":17000.0,"cold_from":0.22,"drain_grace":2000.0,"grace_to_answer":8.0,"overload_factor":4.0,"overload_for":1000.0}}}}"#,
        class("page", "safe", 1000, 6000, 1),
        class("count", "unsafe", 5500, 9500, 3)
    )
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

impl Placer {
    fn start(setup: &Setup, listen: SocketAddr, feed: &Feed, memory_mb: u32, sockets: u32) -> Placer {
        Placer::start_with(setup, listen, feed, memory_mb, sockets, None)
    }

    fn start_with(setup: &Setup, listen: SocketAddr, feed: &Feed, memory_mb: u32, sockets: u32, admin: Option<SocketAddr>) -> Placer {
        let Some(run) = run_command(setup.root) else {
            cannot_run(setup.record, "no run command in deploy/balancer.toml");
        };
        let known: Vec<String> = feed.events.lock().unwrap().clone();
        let config = format!(
            "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\"feed\":\"{}\",\"known\":{{\"n\":{},\"events\":[{}]}},\"settings\":{}}}",
            feed.address, known.len(), known.join(","), settings(1)
        );
        let path = setup.dir.join("config.json");
        std::fs::write(&path, config.replace('\n', "")).unwrap();
        let log = File::options().create(true).append(true).open(setup.dir.join("placer.log")).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(setup.root)
            .env("LB_NAME", "n1")
            .env("LB_LISTEN", listen.to_string())
            .env("LB_CONFIG", &path)
            .env("TMPDIR", setup.dir)
            .env("LB_ADMIN", admin.map(|admin| admin.to_string()).unwrap_or_default())
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let Ok(child) = child else { cannot_run(setup.record, "the placer does not start") };
        STARTED.lock().unwrap().push(child.id());
        // For run-2.sh, should this process be ended from outside.
        if let Ok(mut pids) = File::options().create(true).append(true).open(setup.dir.join("pids")) {
            let _ = writeln!(pids, "{}", child.id());
        }
        let mut placer = Placer { child, listen, record: setup.record.clone() };
        placer.wait_ready();
        placer
    }

    fn wait_ready(&mut self) {
        let until = Instant::now() + ms(30_000);
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                cannot_run(&self.record, &format!("the placer has ended at its start: {status}"));
            }
            if let Ok(mut client) = Client::connect(self.listen) {
                client.send(&message(52, 1, &[(171, &[0])]));
                if client.next(ms(500)).is_some_and(|m| m.kind == 53 && m.cause() == 1) {
                    return self.record.say("placer is ready");
                }
            }
            sleep(ms(20));
        }
        self.signal(SIGKILL);
        cannot_run(&self.record, "the placer is not ready");
    }

    fn signal(&self, signal: i32) {
        self.record.say(format!("signal {signal} to the placer"));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Private memory in kB (files that are mapped are left out).
    fn memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("RssAnon:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    fn end(&mut self) {
        if !self.has_ended() {
            self.signal(SIGKILL);
            let _ = self.child.wait();
        }
        let ended = self.child.id();
        STARTED.lock().unwrap().retain(|pid| *pid != ended);
    }
}

impl Drop for Placer {
    fn drop(&mut self) {
        self.end();
    }
}

// ---- Clients ----

#[derive(Debug, Clone)]
struct Message {
    kind: u8,
    id: u64,
    parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    fn cause(&self) -> u8 {
        let cause = self.parameters.iter().find(|(code, _)| *code == 171);
        cause.and_then(|(_, value)| value.first().copied()).unwrap_or(0)
    }
}

fn message(kind: u8, id: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
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

struct Ask<'a> {
    class: &'a str,
    wait_ms: u64,
    service: u64,
    cores: f64,
    memory: f64,
    at: Option<&'a str>,
}

const PAGE: Ask<'static> = Ask { class: "page", wait_ms: 6_000, service: 7, cores: 1.0, memory: 2.0, at: None };

const COUNT: Ask<'static> = Ask { class: "count", wait_ms: 9_500, service: 40, cores: 4.0, memory: 6.0, at: None };

fn setup_message(id: u64, ask: &Ask) -> Vec<u8> {
    setup_message_for(id, id, ask)
}

/// Returns a set-up with this id for the task that was first asked for with the id `task`.
fn setup_message_for(id: u64, task: u64, ask: &Ask) -> Vec<u8> {
    let at = ask.at.map(|host| format!(";at:{host}")).unwrap_or_default();
    let figures = format!("cores:{};memory:{};service:{:016x}{at}", ask.cores, ask.memory, ask.service);
    let key = format!("{:016x}", task ^ 0x7f3a_9c21_0000_0000);
    message(1, id, &[
        (129, ask.class.as_bytes()),
        (132, ask.wait_ms.to_string().as_bytes()),
        (135, b"office"),
        (141, key.as_bytes()),
        (144, figures.as_bytes()),
        (174, b"c=IN IP4 127.0.0.1"),
    ])
}

struct Client {
    stream: TcpStream,
    inbox: Vec<u8>,
    /// Whether the placer has ended the connection.
    ended: bool,
}

impl Client {
    fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, ms(2_000))?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, inbox: Vec::new(), ended: false })
    }

    fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    fn decode(&mut self) -> Option<Message> {
        let length = usize::from(u16::from_be_bytes([*self.inbox.first()?, *self.inbox.get(1)?]));
        if self.inbox.len() < length + 2 {
            return None;
        }
        let body: Vec<u8> = self.inbox.drain(..length + 2).skip(2).collect();
        let id = u64::from_be_bytes(body[1..9].try_into().unwrap());
        let (mut rest, mut parameters) = (&body[9..], Vec::new());
        while rest.len() >= 3 {
            let length = usize::from(u16::from_be_bytes([rest[1], rest[2]]));
            parameters.push((rest[0], rest[3..3 + length].to_vec()));
            rest = &rest[3 + length..];
        }
        Some(Message { kind: body[0], id, parameters })
    }

    /// Returns the next message, or `None` if none comes in time or the connection has ended.
    fn next(&mut self, limit: Duration) -> Option<Message> {
        let until = Instant::now() + limit;
        loop {
            if let Some(found) = self.decode() {
                return Some(found);
            }
            let left = until.saturating_duration_since(Instant::now());
            if self.ended || left.is_zero() {
                return None;
            }
            self.stream.set_read_timeout(Some(left.max(ms(1)))).unwrap();
            let mut chunk = [0; 4096];
            match self.stream.read(&mut chunk) {
                Ok(0) => self.ended = true,
                Ok(count) => self.inbox.extend_from_slice(&chunk[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted) => {}
                Err(_) => self.ended = true,
            }
        }
    }

    fn acknowledge(&mut self, id: u64) {
        self.send(&message(16, id, &[]));
    }
}

/// What became of one request of a usual client.
#[derive(Debug, Clone, PartialEq)]
enum Answer {
    Placed(Duration),
    Refused(Duration),
    Failed(Duration),
    Closed(Duration),
    None,
}

/// Asks on a new connection, as a sound client does, and waits a second longer than it is owed an answer. Then reads until
/// the task has ended, and acknowledges that.
fn usual_request(address: SocketAddr, id: u64, ask: &Ask, record: &Record) -> Answer {
    let Ok(mut client) = Client::connect(address) else {
        record.say(format!("client {id:x} is refused a connection"));
        return Answer::Closed(ms(0));
    };
    if !client.send(&setup_message(id, ask)) {
        return Answer::Closed(ms(0));
    }
    let sent = Instant::now();
    record.say(format!("client {id:x} has sent its set-up, wait {} ms", ask.wait_ms));
    let until = sent + ms(ask.wait_ms + 1_550);
    let answer = loop {
        let Some(found) = client.next(until.saturating_duration_since(Instant::now())) else {
            break if client.ended { Answer::Closed(sent.elapsed()) } else { Answer::None };
        };
        match (found.kind, found.id == id) {
            (9, true) => break Answer::Placed(sent.elapsed()),
            (12, true) if matches!(found.cause(), 34 | 42 | 102) => break Answer::Refused(sent.elapsed()),
            (12, true) => break Answer::Failed(sent.elapsed()),
            (12 | 51, false) => client.acknowledge(found.id),
            _ => {}
        }
    };
    record.say(format!("client {id:x}: {answer:?}"));
    if let Answer::Placed(_) = answer {
        spawn(move || {
            let until = Instant::now() + ms(30_000);
            while let Some(found) = client.next(until.saturating_duration_since(Instant::now())) {
                client.acknowledge(found.id);
                if found.id == id {
                    break;
                }
            }
        });
    }
    answer
}

// ---- Cases ----

fn wall_id() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    (now.as_nanos() as u64) & 0xffff_ffff_0000_0000 | 0x1000
}

/// Reads what a bad client is sent.
fn bad_client(mut client: Client, number: u64, stop: &AtomicBool, record: &Record) {
    while !client.ended && !stop.load(Ordering::SeqCst) {
        if let Some(found) = client.next(ms(500)) {
            record.say(format!("bad client {number} < type {} id {:x} cause {}", found.kind, found.id, found.cause()));
        }
    }
    if client.ended {
        record.say(format!("bad client {number}: the placer has closed the connection"));
    }
}

/// Hundreds of bad clients with figures out of range take all places for clients; usual clients on new connections.
fn starve(setup: &Setup, trouble: bool) -> bool {
    let record = setup.record;
    let hosts: Vec<Host> = ["h-a", "h-b", "h-c"].iter().zip(["room-a", "room-b", "room-c"])
        .map(|(name, zone)| Host::start(name, zone, 120, 5_000, record)).collect();
    let entries: Vec<String> = hosts.iter().map(|h| h.entry("up")).collect();
    let feed = Feed::start(members(1, true, &entries));
    let mut placer = Placer::start(setup, free_address(), &feed, 64, 256);
    let (listen, base) = (placer.listen, wall_id());
    let begin = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let mut bad = 0;
    let mut usual = Vec::new();
    for n in 0..60u64 {
        if trouble && n == 6 {
            for k in 0..500u64 {
                if let Ok(mut client) = Client::connect(listen) {
                    let ask = Ask { cores: 60.0, service: 900 + k, ..PAGE };
                    client.send(&setup_message(base + 0x10_0000 + k, &ask));
                    bad += 1;
                    let (record, stop) = (record.clone(), stop.clone());
                    spawn(move || bad_client(client, k, &stop, &record));
                }
            }
            record.say(format!("{bad} bad clients have sent a set-up with cores:60, ids from {:x} on", base + 0x10_0000));
        }
        let record = record.clone();
        usual.push(spawn(move || usual_request(listen, base + n, &Ask { service: 100 + n, ..PAGE }, &record)));
        let next = begin + ms(500 * (n + 1));
        sleep(next.saturating_duration_since(Instant::now()));
    }
    let answers: Vec<Answer> = usual.into_iter().map(|thread| thread.join().unwrap()).collect();
    stop.store(true, Ordering::SeqCst);
    let late = |after: &Duration| *after > ms(6_000 + 500 + 50);
    let lost = answers.iter().filter(|answer| match answer {
        Answer::None => true,
        Answer::Placed(after) | Answer::Refused(after) | Answer::Failed(after) => late(after),
        Answer::Closed(_) => false,
    }).count();
    let placed = answers.iter().filter(|answer| matches!(answer, Answer::Placed(_))).count();
    record.say(format!("{} usual requests: {placed} placed, {lost} without an answer in time", answers.len()));
    if placed == 0 || placer.has_ended() {
        cannot_run(record, "nothing was placed");
    }
    lost > 0
}

/// Bad clients name ids that no host knows with `at`, hundreds at once. The platform kills a placer over its memory limit.
fn memory(setup: &Setup, trouble: bool) -> bool {
    const LIMIT_MB: u32 = 32;
    let record = setup.record;
    let hosts: Vec<Host> = ["h-a", "h-b", "h-c"].iter().zip(["room-a", "room-b", "room-c"])
        .map(|(name, zone)| Host::start(name, zone, 120, 5_000, record)).collect();
    let entries: Vec<String> = hosts.iter().map(|h| h.entry("up")).collect();
    let feed = Feed::start(members(1, true, &entries));
    let mut placer = Placer::start(setup, free_address(), &feed, LIMIT_MB, 256);
    let (listen, base) = (placer.listen, wall_id());
    let (stop, named) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    for bad in 0..if trouble { 4u64 } else { 0 } {
        let (stop, named, record) = (stop.clone(), named.clone(), record.clone());
        spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let Ok(mut client) = Client::connect(listen) else { return };
                let mut bytes = Vec::new();
                for _ in 0..300 {
                    let n = named.fetch_add(1, Ordering::SeqCst);
                    let ask = Ask { service: 10_000 + n % 97, at: Some("h-a"), ..PAGE };
                    bytes.extend(setup_message(base + 0x100_0000 * (bad + 1) + n, &ask));
                }
                client.send(&bytes);
                record.say(format!("bad client {bad} has sent 300 set-ups with at:h-a, {} in all so far", named.load(Ordering::SeqCst)));
                let until = Instant::now() + ms(1_000);
                while let Some(found) = client.next(until.saturating_duration_since(Instant::now())) {
                    record.say(format!("bad client {bad} < type {} id {:x} cause {}", found.kind, found.id, found.cause()));
                }
                if client.ended {
                    record.say(format!("bad client {bad}: the placer has closed the connection"));
                }
            }
        });
    }
    let begin = Instant::now();
    let (mut peak, mut is_killed, mut usual) = (0, false, Vec::new());
    for n in 0..180u64 {
        if n % 4 == 0 {
            let record = record.clone();
            usual.push(spawn(move || usual_request(listen, base + n, &Ask { service: 100 + n, ..PAGE }, &record)));
        }
        let next = begin + ms(500 * (n + 1));
        while Instant::now() < next && !is_killed {
            sleep(ms(100));
            peak = peak.max(placer.memory_kb());
            if peak > u64::from(LIMIT_MB) * 1_024 {
                record.say(format!("{peak} kB of private memory with {} ids named: over {LIMIT_MB} MB, the platform kills the placer", named.load(Ordering::SeqCst)));
                placer.signal(SIGKILL);
                is_killed = true;
            }
        }
        if n % 10 == 0 {
            record.say(format!("{} kB of private memory, {} ids named", placer.memory_kb(), named.load(Ordering::SeqCst)));
        }
        if is_killed || placer.has_ended() {
            break;
        }
    }
    stop.store(true, Ordering::SeqCst);
    let has_ended = placer.has_ended();
    placer.end();
    let answers: Vec<Answer> = usual.into_iter().map(|thread| thread.join().unwrap()).collect();
    let placed = answers.iter().filter(|answer| matches!(answer, Answer::Placed(_))).count();
    record.say(format!("peak {peak} kB; {} usual requests, {placed} placed", answers.len()));
    if placed == 0 {
        cannot_run(record, "nothing was placed");
    }
    is_killed || has_ended
}

/// A client that holds a task and keeps a connection for as long as the task stands. If `asks` is set, it asks for another
/// task every 10 s. Returns when it was told the end of the task.
fn patient_client(mut client: Client, listen: SocketAddr, id: u64, asks: bool, until: Instant, record: &Record) -> Option<Instant> {
    let (mut asked_at, mut asked) = (Instant::now(), 0);
    while Instant::now() < until {
        while let Some(found) = client.next(ms(100)) {
            record.say(format!("client < type {} id {:x} cause {}", found.kind, found.id, found.cause()));
            if found.kind != 9 {
                client.acknowledge(found.id);
            }
            if found.id == id && matches!(found.kind, 12 | 51) {
                return Some(Instant::now());
            }
        }
        if client.ended {
            record.say("client: the placer has closed the connection; connects again");
            match Client::connect(listen) {
                Ok(again) => client = again,
                Err(_) => sleep(ms(100)),
            }
        }
        if asks && asked_at.elapsed() >= ms(10_000) {
            (asked_at, asked) = (Instant::now(), asked + 1);
            client.send(&setup_message(id + asked, &Ask { service: 100 + asked, ..PAGE }));
            record.say(format!("client asks for task {:x}", id + asked));
        }
    }
    None
}

/// A client asks once for a long task and keeps its connection.
fn quiet(setup: &Setup, trouble: bool) -> bool {
    let record = setup.record;
    let host = Host::start("h-a", "room-a", 120, 66_000, record);
    let feed = Feed::start(members(1, true, &[host.entry("up")]));
    let placer = Placer::start(setup, free_address(), &feed, 64, 256);
    let (listen, id) = (placer.listen, wall_id());
    let name = format!("{id:016x}");
    let mut client = Client::connect(listen).unwrap();
    client.send(&setup_message(id, &PAGE));
    record.say(format!("client asks for task {name}"));
    if !client.next(ms(7_000)).is_some_and(|m| m.kind == 9 && m.id == id) {
        cannot_run(record, "the task was not placed");
    }
    record.say("client < answer");
    host.life.store(3_000, Ordering::SeqCst);
    let until = Instant::now() + ms(66_000 + 12_000);
    let watching = record.clone();
    let told = spawn(move || patient_client(client, listen, id, !trouble, until, &watching));
    while host.stands(&name) && Instant::now() < until {
        sleep(ms(5));
    }
    let ended = Instant::now();
    match told.join().unwrap() {
        Some(told) => {
            let after = told.saturating_duration_since(ended);
            record.say(format!("told {} ms after the host's release", after.as_millis()));
            after > ms(1_050)
        }
        None => {
            record.say(format!("not told within {} ms of the host's release", ended.elapsed().as_millis()));
            true
        }
    }
}

/// A host with an unsafe task is cut off for 6 s, and the placer is killed and started again in that time.
fn run_twice(setup: &Setup, trouble: bool) -> bool {
    const MAKE_SURE: Duration = Duration::from_millis(3_000);
    let record = setup.record;
    let hosts: Vec<Host> = ["h-a", "h-b"].iter().zip(["room-a", "room-b"])
        .map(|(name, zone)| Host::start(name, zone, 120, 60_000, record)).collect();
    let entries: Vec<String> = hosts.iter().map(|h| h.entry("up")).collect();
    let feed = Feed::start(members(1, true, &entries));
    let mut placer = Placer::start(setup, free_address(), &feed, 64, 256);
    let id = wall_id();
    let name = format!("{id:016x}");
    let mut client = Client::connect(placer.listen).unwrap();
    client.send(&setup_message(id, &COUNT));
    if !client.next(ms(7_000)).is_some_and(|m| m.kind == 9) {
        cannot_run(record, "the task was not placed");
    }
    let host = hosts.iter().find(|host| host.stands(&name)).unwrap();
    record.say(format!("client < answer: unsafe task {name} is placed at {}", host.name));
    sleep(ms(2_000));
    let mut fillers = trouble.then(|| host.cut_off());
    let cut_at = Instant::now();
    placer.end();
    let mut placer = Placer::start(setup, placer.listen, &feed, 64, 256);
    // The set-ups of a start arrive as soon as the first test passes.
    let mut client = Client::connect(placer.listen).unwrap();
    client.send(&setup_message(id, &Ask { at: Some(&host.name), ..COUNT }));
    let named_at = Instant::now();
    record.say(format!("client names task {name} at {}", host.name));
    let (mut told, mut asked, mut most) = (None, false, 0);
    while cut_at.elapsed() < ms(12_000) {
        if let Some(found) = client.next(ms(20)) {
            record.say(format!("client < type {} id {:016x} cause {}", found.kind, found.id, found.cause()));
            if found.kind == 12 {
                client.acknowledge(found.id);
            }
            if found.id == id && found.kind == 12 {
                record.say(format!("told {} ms after it was named that task {name} is over; it runs: {}", named_at.elapsed().as_millis(), host.stands(&name)));
                told.get_or_insert_with(Instant::now);
            }
        }
        // The owner of an unsafe task makes sure first: it asks again only if no machine that can be reached holds the task.
        if !asked && told.is_some_and(|at: Instant| at.elapsed() >= MAKE_SURE) {
            asked = true;
            if host.cut.load(Ordering::SeqCst) {
                record.say("the owner has waited 3 s, no machine that can be reached holds the task: it asks again");
                client.send(&setup_message_for(id + 1, id, &COUNT));
            } else {
                record.say(format!("the owner has waited 3 s: {} holds the task, it is named there", host.name));
                client.send(&setup_message(id, &Ask { at: Some(&host.name), ..COUNT }));
            }
        }
        if cut_at.elapsed() >= ms(6_000) && let Some(fillers) = fillers.take() {
            host.reconnect(fillers);
        }
        let again = format!("{:016x}", id + 1);
        let copies = hosts.iter().filter(|host| host.stands(&name) || host.stands(&again)).count();
        if copies > most {
            record.say(format!("{copies} hosts run the unsafe task"));
            most = copies;
        }
    }
    record.say(format!("at most {most} hosts ran the unsafe task at the same time; {} runs it now: {}", host.name, host.stands(&name)));
    if placer.has_ended() {
        cannot_run(record, "the placer has ended");
    }
    most > 1
}

/// A host that holds all the connections that it accepts refuses another one; its tasks run on.
fn refused(setup: &Setup, trouble: bool) -> bool {
    let record = setup.record;
    let host = Host::start("h-a", "room-a", 120, 60_000, record);
    let feed = Feed::start(members(1, true, &[host.entry("up")]));
    let placer = Placer::start(setup, free_address(), &feed, 64, 256);
    let id = wall_id();
    let mut client = Client::connect(placer.listen).unwrap();
    for n in 0..2u64 {
        client.send(&setup_message(id + n, &Ask { class: "count", service: 40 + n, ..PAGE }));
        if !client.next(ms(7_000)).is_some_and(|m| m.kind == 9) {
            cannot_run(record, "the task was not placed");
        }
    }
    if trouble {
        // Nothing listens any more, the open connections go on.
        host.cut.store(true, Ordering::SeqCst);
        sleep(ms(20));
        let stop = unsafe { shutdown(host.listener.as_raw_fd(), 2) };
        host.cut.store(false, Ordering::SeqCst);
        record.say(format!("h-a accepts no further connection ({stop})"));
    }
    host.start_ms.store(2_500, Ordering::SeqCst);
    client.send(&setup_message(id + 2, &Ask { service: 99, ..PAGE }));
    record.say("client asks for a task that takes 2.5 s to start");
    let until = Instant::now() + ms(8_000);
    let mut wrong = 0;
    while let Some(found) = client.next(until.saturating_duration_since(Instant::now())) {
        let name = format!("{:016x}", found.id);
        record.say(format!("client < type {} id {name} cause {}; the task stands: {}", found.kind, found.cause(), host.stands(&name)));
        client.acknowledge(found.id);
        if found.id < id + 2 && matches!(found.kind, 12 | 51) && host.stands(&name) {
            wrong += 1;
        }
    }
    record.say(format!("{wrong} tasks were called over while they stand"));
    wrong > 0
}

fn admin_call(address: SocketAddr, call: &str) -> String {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, ms(1_000)) else { return String::new() };
    let _ = stream.set_read_timeout(Some(ms(1_000)));
    let _ = stream.write_all(format!("{call}\n").as_bytes());
    let mut line = String::new();
    let _ = BufReader::new(stream).read_line(&mut line);
    line.trim().to_string()
}

/// An operator drains the placer while a client goes on using its connection.
fn drain(setup: &Setup, trouble: bool) -> bool {
    let record = setup.record;
    let hosts: Vec<Host> = ["h-a", "h-b", "h-c"].iter().zip(["room-a", "room-b", "room-c"])
        .map(|(name, zone)| Host::start(name, zone, 120, 15_000, record)).collect();
    let entries: Vec<String> = hosts.iter().map(|h| h.entry("up")).collect();
    let feed = Feed::start(members(1, true, &entries));
    let admin = free_address();
    let placer = Placer::start_with(setup, free_address(), &feed, 64, 256, Some(admin));
    let id = wall_id();
    let mut client = Client::connect(placer.listen).unwrap();
    let begin = Instant::now();
    let (mut first_no, mut drained_at, mut sent_at, mut sent, mut answered) = (None, None, begin, 0u64, 0u64);
    let mut next_check = begin;
    loop {
        if !client.ended && (sent == 0 || sent_at.elapsed() >= ms(500)) {
            if client.send(&setup_message(id + sent, &Ask { service: 100 + sent, ..PAGE })) {
                sent += 1;
                sent_at = Instant::now();
                record.say(format!("client sends set-up {sent} on its connection"));
            }
        }
        if let Some(found) = client.next(ms(20)) {
            answered += u64::from(found.kind == 9);
            if found.kind != 9 {
                client.acknowledge(found.id);
            }
            record.say(format!("client < type {} id {:x}", found.kind, found.id));
        }
        if drained_at.is_none() && begin.elapsed() >= ms(4_000) {
            drained_at = Some(Instant::now());
            if trouble {
                record.say(format!("drain-on: {}", admin_call(admin, "drain-on")));
            }
        }
        if drained_at.is_some() && Instant::now() >= next_check {
            next_check = Instant::now() + ms(100);
            if !admin_call(admin, "check").starts_with("ok") {
                first_no.get_or_insert_with(|| {
                    record.say("the front gets its first no");
                    Instant::now()
                });
            }
        }
        if drained_at.is_some_and(|at: Instant| at.elapsed() >= ms(4_600)) {
            break;
        }
    }
    if answered == 0 {
        cannot_run(record, "nothing was placed");
    }
    let says_yes = admin_call(admin, "check").starts_with("ok");
    record.say(format!(
        "4.6 s after drain-on: check yes {says_yes}, first no seen {}, connection open {}, last set-up on it {} ms ago; {answered} of {sent} placed",
        first_no.is_some(), !client.ended, sent_at.elapsed().as_millis()
    ));
    trouble && (says_yes || !client.ended && sent_at.elapsed() < ms(2_000))
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    // `refused` is a probe that REPORT-2.md names, and no case.
    let [_, case, root, record_path, trouble] = &args[..] else {
        eprintln!("usage: standin CASE ROOT RECORD TROUBLE");
        std::process::exit(2);
    };
    let Ok(file) = File::create(record_path) else {
        eprintln!("cannot write {record_path}");
        std::process::exit(2);
    };
    let record = Record { file: Arc::new(Mutex::new(file)), start: Instant::now() };
    let dir: PathBuf = std::env::var_os("CASE_DIR").map(PathBuf::from).unwrap_or_else(std::env::temp_dir);
    let setup = Setup { root: Path::new(root), dir: &dir, record: &record };
    let trouble = trouble != "0";
    let watched = record.clone();
    spawn(move || {
        sleep(ms(117_000));
        cannot_run(&watched, "the case takes too long");
    });
    let is_broken = match case.as_str() {
        "starve" => starve(&setup, trouble),
        "memory" => memory(&setup, trouble),
        "run-twice" => run_twice(&setup, trouble),
        "refused" => refused(&setup, trouble),
        "drain" => drain(&setup, trouble),
        "quiet" => quiet(&setup, trouble),
        _ => cannot_run(&record, "no such case"),
    };
    record.say(if is_broken { "RULE BROKEN" } else { "rule held" });
    println!("{case}: {}", if is_broken { "rule broken" } else { "rule held" });
    std::process::exit(i32::from(is_broken));
}
