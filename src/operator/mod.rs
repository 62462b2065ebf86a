//! The operator's file: TOML, named by `--operator` or `TASK_PLACER_OPERATOR`. Without one nothing in it
//! is on, and the program is what the platform runs.

mod overload;
mod reader;

pub use reader::{InForce, Problem};

use reader::{Reader, Section};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use task_placer::Micros;
use task_placer::health::drain::Bounds;
use task_placer::health::{Code, Pace, Settings};
use task_placer::overload::Features;
use toml::de::DeTable;

/// How lines of the log look.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    /// Words and fields.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// What is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum LogLevel {
    /// What failed here.
    Error,
    /// And what may need a look.
    Warn,
    /// And each connection that ended, and each change of state.
    #[default]
    Info,
    /// And each poll and each request of a balancer.
    Debug,
}

impl LogLevel {
    const ALL: [(&'static str, LogLevel); 4] = [
        ("error", LogLevel::Error),
        ("warn", LogLevel::Warn),
        ("info", LogLevel::Info),
        ("debug", LogLevel::Debug),
    ];
}

/// `[log]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Log {
    /// How lines look.
    pub format: LogFormat,
    /// What is logged.
    pub level: LogLevel,
    /// Bytes that may wait for whoever reads the log.
    pub queue: usize,
}

impl Default for Log {
    fn default() -> Log {
        Log {
            format: LogFormat::Text,
            level: LogLevel::Info,
            queue: 256 * 1024,
        }
    }
}

/// `[health]`.
#[derive(Debug, Clone, PartialEq)]
pub struct Health {
    /// Where agent checks are answered.
    pub agent: Vec<SocketAddr>,
    /// Where HTTP checks are answered.
    pub http: Vec<SocketAddr>,
    /// Connections of balancers at a time, on all of these together.
    pub connections: usize,
    /// How long an agent's connection may take to say a line first.
    pub line_wait: Duration,
    /// How long a request may take to come in.
    pub request_time: Duration,
    /// How long a connection may wait for its next request.
    pub idle: Duration,
    /// The status that tells HTTP checks of a drain.
    pub drain_status: u16,
    /// Whether agents are told `maxconn`.
    pub maxconn: bool,
    /// Envoy is told `degraded` below this weight.
    pub degraded_below: u8,
    /// The engine.
    pub engine: Settings,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            agent: Vec::new(),
            http: Vec::new(),
            connections: 32,
            line_wait: Duration::from_millis(20),
            request_time: Duration::from_secs(2),
            idle: Duration::from_secs(30),
            drain_status: 503,
            maxconn: false,
            degraded_below: 50,
            engine: Settings::default(),
        }
    }
}

impl Health {
    /// Whether anything of it is on.
    pub fn listens(&self) -> bool {
        !self.agent.is_empty() || !self.http.is_empty()
    }
}

/// All that the file can say.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Operator {
    /// `[log]`.
    pub log: Log,
    /// `[health]`.
    pub health: Health,
    /// `[drain]`; none: SIGTERM ends the process as it does without a file.
    pub drain: Option<Bounds>,
    /// `[ctl]`: the socket for orders.
    pub ctl: Option<PathBuf>,
    /// `[overload]`: what the fleet sheds, repeats and tries as one.
    pub overload: Features,
}

impl Operator {
    /// Whether the health engine has anyone to tell.
    pub fn watches(&self) -> bool {
        self.health.listens() || self.drain.is_some() || self.ctl.is_some()
    }
}

/// The file as it was read.
#[derive(Debug, Default)]
pub struct Loaded {
    /// What holds.
    pub operator: Operator,
    /// Each value, with its origin.
    pub in_force: Vec<InForce>,
    /// All that is wrong.
    pub problems: Vec<Problem>,
}

/// Reads a file. Its absence is a problem too: whoever names a file means it.
pub fn load(path: &Path) -> Loaded {
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&text),
        Err(e) => {
            let problem = Problem {
                place: None,
                field: String::new(),
                what: format!("can't be read: {e}"),
            };
            Loaded {
                problems: vec![problem],
                ..Loaded::default()
            }
        }
    }
}

/// Reads the text of a file.
pub fn parse(text: &str) -> Loaded {
    let (document, errors) = DeTable::parse_recoverable(text);
    let mut reader = Reader::new(text, &errors);
    let mut operator = Operator::default();
    if errors.is_empty() {
        let mut root = reader.root(&document);
        operator = Operator {
            log: log(&mut reader, &mut root),
            health: health(&mut reader, &mut root),
            drain: drain(&mut reader, &mut root),
            ctl: ctl(&mut reader, &mut root),
            overload: overload::read(&mut reader, &mut root),
        };
        reader.close(&root);
    }
    let (in_force, problems) = reader.finish();
    Loaded {
        operator,
        in_force,
        problems,
    }
}

fn log(reader: &mut Reader<'_>, root: &mut Section<'_>) -> Log {
    let mut section = reader.section(root, "log");
    let default = Log::default();
    let format = reader.value(&mut section, "format", "text".to_string());
    let level = reader.value(&mut section, "level", "info".to_string());
    let queue = reader.checked(
        &mut section,
        "queue-bytes",
        default.queue as u64,
        |n| (4_096..=16 << 20).contains(n),
        "4096 to 16777216",
    );
    let format = match format.as_str() {
        "text" => LogFormat::Text,
        "json" => LogFormat::Json,
        other => {
            reader.wrong(
                &section,
                "format",
                format!("expected text or json, found \"{other}\""),
            );
            LogFormat::Text
        }
    };
    let found = LogLevel::ALL
        .iter()
        .find(|(name, _)| *name == level)
        .map(|(_, level)| *level);
    if found.is_none() {
        reader.wrong(
            &section,
            "level",
            format!("expected error, warn, info or debug, found \"{level}\""),
        );
    }
    reader.close(&section);
    Log {
        format,
        level: found.unwrap_or_default(),
        queue: usize::try_from(queue).unwrap_or(default.queue),
    }
}

fn health(reader: &mut Reader<'_>, root: &mut Section<'_>) -> Health {
    let mut section = reader.section(root, "health");
    let default = Health::default();
    let agent = reader.value(&mut section, "agent", Vec::<SocketAddr>::new());
    let http = reader.value(&mut section, "http", Vec::<SocketAddr>::new());
    let mut all: Vec<SocketAddr> = agent.iter().chain(&http).copied().collect();
    all.sort();
    if let Some([twice, _]) = all
        .windows(2)
        .find(|pair| matches!(pair, [a, b] if a == b && a.port() != 0))
    {
        reader.wrong(&section, "http", format!("{twice} is named twice"));
    }
    let connections = reader.checked(
        &mut section,
        "connections",
        default.connections as u64,
        |n| (1..=4_096).contains(n),
        "1 to 4096",
    );
    let short = |longest: Duration| move |d: &Duration| !d.is_zero() && *d <= longest;
    let line_wait = reader.checked(
        &mut section,
        "agent-line-wait",
        default.line_wait,
        |d| *d <= Duration::from_secs(1),
        "at most 1s",
    );
    let minute = Duration::from_secs(60);
    let request_time = reader.checked(
        &mut section,
        "request-time",
        default.request_time,
        short(minute),
        "1ms to 1m",
    );
    let idle = reader.checked(
        &mut section,
        "idle",
        default.idle,
        short(10 * minute),
        "1ms to 10m",
    );
    let drain_status = reader.checked(
        &mut section,
        "drain-status",
        u64::from(default.drain_status),
        |n| matches!(n, 404 | 503),
        "503 or 404",
    );
    let maxconn = reader.value(&mut section, "agent-maxconn", default.maxconn);
    let degraded_below = reader.checked(
        &mut section,
        "envoy-degraded-below",
        u64::from(default.degraded_below),
        |n| (0..=100).contains(n),
        "0 to 100",
    );
    let engine = engine(reader, &mut section);
    reader.close(&section);
    Health {
        agent,
        http,
        connections: usize::try_from(connections).unwrap_or(default.connections),
        line_wait,
        request_time,
        idle,
        drain_status: u16::try_from(drain_status).unwrap_or(default.drain_status),
        maxconn,
        degraded_below: u8::try_from(degraded_below).unwrap_or(default.degraded_below),
        engine,
    }
}

/// A duration in the engine's unit; the reader bounds it to a year.
fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX / 4)
}

fn span(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

fn engine(reader: &mut Reader<'_>, health: &mut Section<'_>) -> Settings {
    let default = Settings::default();
    let mut weight = reader.section(health, "weight");
    let positive = |d: &Duration| !d.is_zero();
    let slow_start = reader.value(&mut weight, "slow-start", span(default.slow_start));
    let floor = reader.checked(
        &mut weight,
        "floor",
        default.pace.floor,
        |f| (1.0..=100.0).contains(f),
        "1 to 100",
    );
    let rise = reader.checked(
        &mut weight,
        "rise",
        span(default.pace.rise),
        positive,
        "more than 0s",
    );
    let fall_pause = reader.value(&mut weight, "fall-pause", span(default.pace.fall_pause));
    let hold = reader.checked(
        &mut weight,
        "hold",
        span(default.pace.hold),
        positive,
        "more than 0s",
    );
    let most_hold = reader.value(&mut weight, "most-hold", span(default.pace.most_hold));
    if most_hold < hold {
        reader.wrong(
            &weight,
            "most-hold",
            "it is shorter than hold, from which it is doubled up".into(),
        );
    }
    let memory = reader.value(&mut weight, "memory", span(default.pace.memory));
    let most_memory = reader.value(&mut weight, "most-memory", span(default.pace.most_memory));
    if most_memory < memory {
        reader.wrong(
            &weight,
            "most-memory",
            "it is shorter than memory, from which it is doubled up".into(),
        );
    }
    let changes = reader.checked(
        &mut weight,
        "most-changes",
        default.pace.most_changes as u64,
        |n| (4..=120).contains(n),
        "4 to 120 a minute",
    );
    reader.close(&weight);
    let mut signals = reader.section(health, "signals");
    let mut ramps = default.ramps;
    for (code, ramp) in Code::ALL.iter().zip(&mut ramps) {
        let mut section = reader.section(&mut signals, code.as_str());
        let share = |part: &f64| (0.0..=1.0).contains(part);
        ramp.ok = reader.value(&mut section, "ok", ramp.ok);
        ramp.bad = reader.value(&mut section, "bad", ramp.bad);
        ramp.step = reader.checked(&mut section, "step", ramp.step, share, "0 to 1");
        ramp.reach = reader.checked(&mut section, "reach", ramp.reach, share, "0 to 1");
        if ramp.ok >= ramp.bad {
            reader.wrong(
                &section,
                "bad",
                format!("{} is no more than ok, {}", ramp.bad, ramp.ok),
            );
        }
        reader.close(&section);
    }
    reader.close(&signals);
    let pace = Pace {
        floor,
        fall_pause: micros(fall_pause),
        hold: micros(hold),
        most_hold: micros(most_hold),
        rise: micros(rise),
        memory: micros(memory),
        most_memory: micros(most_memory),
        most_changes: usize::try_from(changes).unwrap_or(default.pace.most_changes),
    };
    Settings {
        slow_start: micros(slow_start),
        ramps,
        pace,
        ..default
    }
}

fn drain(reader: &mut Reader<'_>, root: &mut Section<'_>) -> Option<Bounds> {
    let mut section = reader.section(root, "drain");
    let default = Bounds::default();
    let enabled = reader.value(&mut section, "enabled", false);
    let notice = reader.value(&mut section, "notice", span(default.notice));
    let settle = reader.value(&mut section, "settle", span(default.settle));
    if settle > notice {
        reader.wrong(
            &section,
            "settle",
            "it is longer than notice, which ends the wait".into(),
        );
    }
    let polls = |n: &u64| (1..=100).contains(n);
    let agent = reader.checked(
        &mut section,
        "agent-polls",
        u64::from(default.agent_polls),
        polls,
        "1 to 100",
    );
    let http = reader.checked(
        &mut section,
        "http-polls",
        u64::from(default.http_polls),
        polls,
        "1 to 100",
    );
    let quiet = reader.value(&mut section, "quiet", span(default.quiet));
    let answer = reader.value(&mut section, "answer", span(default.answer));
    let standing = reader.value(&mut section, "standing", span(default.standing));
    reader.close(&section);
    enabled.then(|| Bounds {
        notice: micros(notice),
        settle: micros(settle),
        agent_polls: u32::try_from(agent).unwrap_or(default.agent_polls),
        http_polls: u32::try_from(http).unwrap_or(default.http_polls),
        quiet: micros(quiet),
        answer: micros(answer),
        standing: micros(standing),
        ..default
    })
}

fn ctl(reader: &mut Reader<'_>, root: &mut Section<'_>) -> Option<PathBuf> {
    let mut section = reader.section(root, "ctl");
    let socket = reader.optional::<PathBuf>(&mut section, "socket");
    // A longer one does not fit a socket's address.
    if socket
        .as_ref()
        .is_some_and(|path| path.as_os_str().len() > 107)
    {
        reader.wrong(
            &section,
            "socket",
            "expected a path of at most 107 bytes".into(),
        );
    }
    reader.close(&section);
    socket
}

#[cfg(test)]
mod tests;
