//! Plans: everything that a rehearsal is made of, in one TOML file. Unknown keys are refused, and a value
//! that can't be meant is named with its field before anything starts.

use crate::clients::Policy;
use crate::network::{self, MOST_LINKS, Parties};
use crate::shape::{self, Shape};
use emulator::event_log::Peer;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::path::Path;
use std::time::Duration;

/// Durations as `250ms`.
mod span {
    use serde::{Deserialize, Deserializer, Serializer};
    use std::time::Duration;

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(from)?;
        humantime::parse_duration(&text).map_err(|e| {
            serde::de::Error::custom(format!(
                "expected a duration such as \"250ms\", found \"{text}\": {e}"
            ))
        })
    }

    pub fn serialize<S: Serializer>(span: &Duration, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&humantime::format_duration(*span).to_string())
    }
}

/// A whole plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Plan {
    /// What it is called in reports.
    pub name: String,
    /// Everything drawn at random comes from it.
    pub seed: u64,
    /// Rooms of placers, hosts and clients.
    pub rooms: Vec<String>,
    /// Real placers.
    pub placers: Placers,
    /// Stand-in hosts.
    pub hosts: Hosts,
    /// The control feed.
    pub feed: Feed,
    /// Classes of tasks.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Tenants.
    #[serde(rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// When tasks come.
    pub arrivals: Arrivals,
    /// What clients do. Earlier plans call the table `owners`.
    #[serde(alias = "owners")]
    pub clients: Clients,
    /// What goes wrong, and when.
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
    /// What the report judges by.
    pub aims: Aims,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            name: "rehearsal".into(),
            seed: 1,
            rooms: ["sala-a", "sala-b", "sala-c"].map(String::from).to_vec(),
            placers: Placers::default(),
            hosts: Hosts::default(),
            feed: Feed::default(),
            classes: vec![Class::default(), Class::totalizador()],
            tenants: [
                ("escritorio-rs", 0.34),
                ("escritorio-pr", 0.27),
                ("escritorio-sc", 0.25),
                ("escritorio-ms", 0.14),
            ]
            .map(|(name, share)| Tenant {
                name: name.into(),
                share,
                flood: 1.0,
            })
            .to_vec(),
            arrivals: Arrivals::default(),
            clients: Clients::default(),
            faults: Vec::new(),
            aims: Aims::default(),
        }
    }
}

/// Real placers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Placers {
    /// How many, spread over the rooms.
    pub count: usize,
    /// Their limits, as the configuration states them.
    pub memory_mb: u64,
    /// Descriptors.
    pub sockets: u64,
    /// The operator's file given to each; `{n}` stands for its number.
    pub operator: Option<String>,
}

impl Default for Placers {
    fn default() -> Placers {
        Placers {
            count: 3,
            memory_mb: 192,
            sockets: 1_024,
            operator: None,
        }
    }
}

/// Stand-in hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Hosts {
    /// How many, spread over the rooms.
    pub count: usize,
    /// Hosts of a rack: they fail together.
    pub rack: usize,
    /// Of each.
    pub cores: f64,
    /// Of each.
    pub memory: f64,
    /// Time to look at one offer; one at a time.
    #[serde(with = "span")]
    pub look: Duration,
    /// Offers that may wait to be looked at.
    pub queue: usize,
    /// Starts at a time.
    pub starts: usize,
    /// Time of a start where the program is there.
    #[serde(with = "span")]
    pub start: Duration,
    /// How many times longer a start takes where it is not.
    pub cold_start: f64,
    /// Programs kept after their last task.
    pub kept: usize,
    /// Whether lower priorities are pushed out to make room.
    pub preempts: bool,
    /// How long a host that has come up is cold.
    #[serde(with = "span")]
    pub cold: Duration,
    /// The part of its pace at which it begins.
    pub cold_from: f64,
    /// Between two tasks that a draining host sends away.
    #[serde(with = "span")]
    pub drain_pace: Duration,
}

impl Default for Hosts {
    fn default() -> Hosts {
        Hosts {
            count: 12,
            rack: 2,
            cores: 48.0,
            memory: 96.0,
            look: Duration::from_millis(8),
            queue: 16,
            starts: 4,
            start: Duration::from_millis(40),
            cold_start: 8.0,
            kept: 8,
            preempts: true,
            cold: Duration::from_secs(17),
            cold_from: 0.22,
            drain_pace: Duration::from_millis(500),
        }
    }
}

/// The control feed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Feed {
    /// How late changes are told, at the least.
    #[serde(with = "span")]
    pub late_from: Duration,
    /// And at the most.
    #[serde(with = "span")]
    pub late_to: Duration,
    /// How often free capacity is told; 0s: never.
    #[serde(with = "span")]
    pub refresh: Duration,
}

impl Default for Feed {
    fn default() -> Feed {
        Feed {
            late_from: Duration::from_millis(200),
            late_to: Duration::from_millis(800),
            refresh: Duration::from_secs(2),
        }
    }
}

/// A class of tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the arrivals.
    pub share: f64,
    /// Whether it must not start twice.
    pub once: bool,
    /// Start wanted within.
    #[serde(with = "span")]
    pub aim: Duration,
    /// Given up after.
    #[serde(with = "span")]
    pub limit: Duration,
    /// How long a task is wanted, in the mean.
    #[serde(with = "span")]
    pub life: Duration,
    /// How uneven lives are (of a lognormal).
    pub life_sigma: f64,
    /// Services.
    pub services: u32,
    /// Cores and memory that are asked for, service by service in turn.
    pub sizes: Vec<[f64; 2]>,
    /// 0 to 3.
    pub priority: u8,
    /// The most of a service that a placer may have in a room; 0: no bound.
    pub most_in_room: u32,
    /// Worth of a second.
    pub worth: f64,
}

impl Default for Class {
    fn default() -> Class {
        Class {
            name: "pagina".into(),
            share: 0.97,
            once: false,
            aim: Duration::from_secs(1),
            limit: Duration::from_secs(6),
            life: Duration::from_secs(18),
            life_sigma: 0.8,
            services: 60,
            sizes: vec![[0.5, 0.5], [1.0, 2.0], [2.0, 2.0]],
            priority: 0,
            most_in_room: 3,
            worth: 1.0,
        }
    }
}

impl Class {
    /// The class that must not start twice.
    pub fn totalizador() -> Class {
        Class {
            name: "totalizador".into(),
            share: 0.03,
            once: true,
            aim: Duration::from_millis(5_500),
            limit: Duration::from_millis(9_500),
            life: Duration::from_secs(40),
            services: 6,
            sizes: vec![[4.0, 6.0], [8.0, 13.0]],
            priority: 2,
            most_in_room: 0,
            worth: 3.0,
            ..Class::default()
        }
    }
}

/// A tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share, as the placers are told.
    pub share: f64,
    /// How many times its share it sends.
    pub flood: f64,
}

impl Default for Tenant {
    fn default() -> Tenant {
        Tenant {
            name: "tenant".into(),
            share: 1.0,
            flood: 1.0,
        }
    }
}

impl Tenant {
    /// The weight of its arrivals.
    pub fn arrivals(&self) -> f64 {
        self.share * self.flood
    }
}

/// How arrivals are spaced.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub enum Process {
    /// One after another at even distances.
    Even,
    /// Independent of each other.
    Poisson,
    /// Gaps of a gamma distribution with this coefficient of variation.
    Gamma {
        /// Standard deviation over mean.
        cv: f64,
    },
    /// Poisson with two rates, between which it changes.
    Markov {
        /// How many times higher the high rate is.
        high: f64,
        /// Arrivals that a state lasts, in the mean.
        stay: f64,
    },
}

/// Several tasks of one service at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Batch {
    /// At least so many.
    pub least: u32,
    /// At most.
    pub most: u32,
}

/// When tasks come.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Arrivals {
    /// The rate over time, in the language of `shape`.
    pub shape: String,
    /// How they are spaced.
    pub process: Process,
    /// Several at once.
    pub batch: Option<Batch>,
    /// How unequal services are: the exponent of a Zipf law.
    pub service_skew: f64,
    /// And rooms.
    pub room_skew: f64,
}

impl Default for Arrivals {
    fn default() -> Arrivals {
        let shape =
            "calm: 8/s for 10s, polls-close: rise to 40/s over 5s, peak: hold 10s".to_string();
        Arrivals {
            shape,
            process: Process::Poisson,
            batch: None,
            service_skew: 0.6,
            room_skew: 0.0,
        }
    }
}

/// What clients do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Clients {
    /// How they space their repeats.
    pub policy: Policy,
    /// The least that a repeat waits.
    #[serde(with = "span")]
    pub base: Duration,
    /// The most.
    #[serde(with = "span")]
    pub most: Duration,
    /// Repeats for each first try that the budgeted policy allows.
    pub budget: f64,
    /// The share of clients that stay away as long as a refusal asks.
    pub honour: f64,
    /// How long the client of a task that must not start twice waits where an attempt may have run.
    #[serde(with = "span")]
    pub settle: Duration,
    /// Connections to each placer.
    pub connections: usize,
    /// A connection without a task is closed after this.
    #[serde(with = "span")]
    pub idle: Duration,
    /// How long after the last arrival clients go on.
    #[serde(with = "span")]
    pub drain: Duration,
    /// Spread blind, or by what the placers' agents tell.
    pub spread: Spread,
}

/// How the front layer spreads clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// In turn, over those that pass their tests.
    Blind,
    /// By the weights of their agent checks; `[placers] operator` must open them.
    Agent,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            policy: Policy::Jitter,
            base: Duration::from_millis(1_500),
            most: Duration::from_secs(8),
            budget: 0.2,
            honour: 0.9,
            settle: Duration::from_secs(3),
            connections: 4,
            idle: Duration::from_secs(4),
            drain: Duration::from_secs(10),
            spread: Spread::Blind,
        }
    }
}

/// What goes wrong.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fault {
    /// When, from the start.
    #[serde(with = "span")]
    pub at: Duration,
    /// For how long; what has no end leaves it out.
    #[serde(with = "span", default)]
    pub length: Duration,
    /// What.
    pub kind: FaultKind,
    /// Which placers, hosts or racks, counted from 0: a number, a list, or a range such as `"3..12"`.
    #[serde(default)]
    pub which: Which,
    /// Between one of them and the next.
    #[serde(with = "span", default)]
    pub stagger: Duration,
    /// The parties whose links to those of `to` it strikes, for faults of links: see [`Parties`].
    #[serde(default, skip_serializing_if = "Parties::is_empty")]
    pub from: Parties,
    /// The other side.
    #[serde(default, skip_serializing_if = "Parties::is_empty")]
    pub to: Parties,
    /// How late bytes are on a slow link, each way.
    #[serde(with = "span", default, skip_serializing_if = "Duration::is_zero")]
    pub by: Duration,
    /// It comes so many times, one after another, with a pause as long as itself between.
    #[serde(default = "once")]
    pub times: u32,
}

fn once() -> u32 {
    1
}

impl Fault {
    /// All that it strikes.
    pub fn targets(&self) -> Vec<usize> {
        self.which.all()
    }
}

/// One, several, or a range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    untagged,
    expecting = "expected a number, a list of numbers, or a range such as \"3..12\""
)]
pub enum Which {
    /// One.
    One(usize),
    /// Several.
    List(Vec<usize>),
    /// From the first to before the second.
    Range(Range),
}

impl Default for Which {
    fn default() -> Which {
        Which::One(0)
    }
}

impl Which {
    /// All of them.
    pub fn all(&self) -> Vec<usize> {
        match self {
            Which::One(n) => vec![*n],
            Which::List(list) => list.clone(),
            Which::Range(Range(from, to)) => (*from..*to).collect(),
        }
    }
}

/// From the first to before the second, as `3..12`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Range(pub usize, pub usize);

impl TryFrom<String> for Range {
    type Error = String;

    fn try_from(text: String) -> Result<Range, String> {
        let ends = text
            .split_once("..")
            .and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
        match ends {
            // A bound, so that no plan asks for a list that does not fit memory.
            Some((from, to)) if from < to && to <= 4_096 => Ok(Range(from, to)),
            _ => Err(format!(
                "expected a range such as \"3..12\", found \"{text}\""
            )),
        }
    }
}

impl From<Range> for String {
    fn from(Range(from, to): Range) -> String {
        format!("{from}..{to}")
    }
}

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A placer is killed, and started again at the end.
    PlacerKill,
    /// A placer is stopped, and goes on at the end.
    PlacerStop,
    /// A placer is told to end (SIGTERM), and started again at the end.
    PlacerRestart,
    /// A host's process dies, and comes back cold at the end under a new id at its old address.
    HostDie,
    /// All hosts of a rack die so.
    RackDie,
    /// A host takes offers and answers none.
    HostSilent,
    /// A host refuses everything.
    HostRefuse,
    /// A host resets connections before it reads an offer.
    HostResetBefore,
    /// A host resets the connection after it has read an offer.
    HostResetAfter,
    /// A host's answers can't be read.
    HostSpoilt,
    /// A host is slow.
    HostSlow,
    /// A host drains.
    HostDrain,
    /// The feed of a placer breaks off and takes no calls.
    FeedCut,
    /// It stays open and says nothing.
    FeedSilent,
    /// It says each event twice.
    FeedDoubled,
    /// It moves to another address; the placer is told by its configuration and SIGHUP.
    FeedMoved,
    /// Nothing arrives on links, either way, and new connections do not come up. What was said arrives at the end.
    LinkCut,
    /// The same for what `from` says to `to`.
    LinkCutTo,
    /// The same for what `to` says to `from`.
    LinkCutFrom,
    /// Bytes wait on links.
    LinkStall,
    /// Bytes are late on links.
    LinkSlow,
    /// Connections are reset, and new ones as soon as they are there.
    LinkReset,
    /// New connections do not come up; those that are open go on.
    LinkBlackHole,
}

/// What the report judges by.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Aims {
    /// The class.
    pub class: String,
    /// The share of its tasks that start within its aim.
    pub share: f64,
    /// The generator's own lateness at the 99th percentile, beyond which a run tells no percentiles.
    #[serde(with = "span")]
    pub own_lateness: Duration,
}

impl Default for Aims {
    fn default() -> Aims {
        Aims {
            class: "pagina".into(),
            share: 0.99,
            own_lateness: Duration::from_millis(20),
        }
    }
}

/// What is wrong with a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanError(pub String);

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for PlanError {}

impl Plan {
    /// Reads a file.
    pub fn load(path: &Path) -> Result<Plan, PlanError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| PlanError(format!("{}: {e}", path.display())))?;
        Plan::parse(&text).map_err(|e| PlanError(format!("{}: {e}", path.display())))
    }

    /// Reads a text.
    pub fn parse(text: &str) -> Result<Plan, PlanError> {
        let plan: Plan = toml::from_str(text).map_err(|e| PlanError(e.to_string()))?;
        let problems = plan.problems();
        if problems.is_empty() {
            Ok(plan)
        } else {
            Err(PlanError(problems.join("\n")))
        }
    }

    /// The shape of arrivals; a plan that was parsed has one.
    pub fn shape(&self) -> Shape {
        shape::parse(&self.arrivals.shape).unwrap_or_default()
    }

    /// All that can't be meant.
    fn problems(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut want = |fits: bool, what: String| {
            if !fits {
                found.push(what);
            }
        };
        if let Err(e) = shape::parse(&self.arrivals.shape) {
            want(false, format!("arrivals.shape: {e}"));
        }
        let share = |value: f64| (0.0..=1.0).contains(&value);
        let positive = |value: f64| value.is_finite() && value > 0.0;
        want(
            !self.rooms.is_empty(),
            "rooms: expected at least one".into(),
        );
        want(
            (1..=64).contains(&self.placers.count),
            format!(
                "placers.count: expected 1 to 64, found {}",
                self.placers.count
            ),
        );
        want(
            (1..=512).contains(&self.hosts.count),
            format!("hosts.count: expected 1 to 512, found {}", self.hosts.count),
        );
        want(
            self.hosts.rack > 0,
            "hosts.rack: expected at least 1".into(),
        );
        want(
            positive(self.hosts.cores) && positive(self.hosts.memory),
            "hosts.cores, hosts.memory: expected more than 0".into(),
        );
        want(
            self.hosts.starts > 0 && self.hosts.queue > 0,
            "hosts.starts, hosts.queue: expected at least 1".into(),
        );
        want(
            positive(self.hosts.cold_from) && self.hosts.cold_from <= 1.0,
            "hosts.cold-from: expected more than 0, at most 1".into(),
        );
        want(
            self.hosts.cold_start >= 1.0,
            "hosts.cold-start: expected at least 1".into(),
        );
        want(
            self.feed.late_from <= self.feed.late_to,
            "feed.late-to: shorter than feed.late-from".into(),
        );
        want(
            !self.classes.is_empty(),
            "class: expected at least one".into(),
        );
        for (n, class) in self.classes.iter().enumerate() {
            want(
                !class.sizes.is_empty() && class.sizes.iter().flatten().all(|v| positive(*v)),
                format!("class {n}: sizes: expected pairs of cores and memory over 0"),
            );
            want(
                class.aim <= class.limit,
                format!("class {n}: aim is longer than limit"),
            );
            want(
                class.share.is_finite() && class.share >= 0.0,
                format!("class {n}: share: expected 0 or more"),
            );
            want(
                (0.0..=3.0).contains(&class.life_sigma),
                format!("class {n}: life-sigma: expected 0 to 3"),
            );
            want(
                class.priority <= 3,
                format!("class {n}: priority: expected 0 to 3"),
            );
            let fits = class
                .sizes
                .iter()
                .all(|[c, m]| *c <= self.hosts.cores && *m <= self.hosts.memory);
            want(fits, format!("class {n}: sizes: one fits no host"));
            want(
                self.classes
                    .iter()
                    .filter(|other| other.name == class.name)
                    .count()
                    == 1,
                format!("class {n}: {} is there twice", class.name),
            );
        }
        want(
            self.classes.iter().map(|c| c.share).sum::<f64>() > 0.0,
            "class: the shares are all 0".into(),
        );
        want(
            self.classes.iter().any(|c| c.name == self.aims.class),
            format!("aims.class: no class {}", self.aims.class),
        );
        want(
            !self.tenants.is_empty(),
            "tenant: expected at least one".into(),
        );
        want(
            self.tenants.iter().all(|t| positive(t.arrivals())),
            "tenant: share and flood: expected more than 0".into(),
        );
        match self.arrivals.process {
            Process::Gamma { cv } => want(
                (0.05..=10.0).contains(&cv),
                format!("arrivals.process.cv: expected 0.05 to 10, found {cv}"),
            ),
            Process::Markov { high, stay } => {
                want(
                    (1.0..=1e3).contains(&high) && positive(stay),
                    "arrivals.process: high: expected 1 to 1000; stay: more than 0".into(),
                );
            }
            Process::Even | Process::Poisson => {}
        }
        if let Some(batch) = self.arrivals.batch {
            want(
                batch.least >= 1 && batch.least <= batch.most && batch.most <= 1_000,
                "arrivals.batch: expected 1 <= least <= most <= 1000".into(),
            );
        }
        let skew = |value: f64| (0.0..=5.0).contains(&value);
        want(
            skew(self.arrivals.service_skew) && skew(self.arrivals.room_skew),
            "arrivals.service-skew, room-skew: expected 0 to 5".into(),
        );
        want(
            share(self.clients.honour) && share(self.aims.share),
            "clients.honour, aims.share: expected 0 to 1".into(),
        );
        want(
            (1..=256).contains(&self.clients.connections),
            "clients.connections: expected 1 to 256".into(),
        );
        want(
            self.clients.base <= self.clients.most && !self.clients.base.is_zero(),
            "clients.base: expected more than 0s and at most clients.most".into(),
        );
        want(
            self.clients.budget.is_finite() && self.clients.budget >= 0.0,
            "clients.budget: expected 0 or more".into(),
        );
        if self.clients.spread == Spread::Agent {
            let opens = self
                .placers
                .operator
                .as_ref()
                .is_some_and(|text| text.contains("{agent}"));
            want(
                opens,
                "clients.spread: agent: [placers] operator must open an agent check at {agent}"
                    .into(),
            );
        }
        let mut struck = BTreeSet::new();
        for (n, fault) in self.faults.iter().enumerate() {
            use FaultKind::*;
            let most = match fault.kind {
                PlacerKill | PlacerStop | PlacerRestart | FeedCut | FeedSilent | FeedDoubled
                | FeedMoved => self.placers.count,
                RackDie => self.hosts.count.div_ceil(self.hosts.rack.max(1)),
                _ => self.hosts.count,
            };
            match network::fault(fault) {
                Some(_) => {
                    let named = !fault.from.is_empty() && !fault.to.is_empty();
                    want(
                        named,
                        format!("fault {n}: from, to: expected parties, such as \"placers 0..3\""),
                    );
                    want(
                        fault.which == Which::default(),
                        format!("fault {n}: which: links are named by from and to"),
                    );
                    want(
                        fault.kind != LinkSlow || !fault.by.is_zero(),
                        format!("fault {n}: by: expected how late bytes are"),
                    );
                    for (side, parties) in [("from", &fault.from), ("to", &fault.to)] {
                        if let Err(what) = parties.ends(self) {
                            want(false, format!("fault {n}: {side}: {what}"));
                        }
                    }
                    match network::struck(self, fault) {
                        Ok(links) => {
                            let moved = self.faults.iter().any(|f| f.kind == FeedMoved);
                            let feeds = links.iter().any(|(_, peer)| *peer == Peer::Feed);
                            want(
                                !(moved && feeds),
                                format!("fault {n}: a feed behind a link does not move"),
                            );
                            struck.extend(links);
                        }
                        Err(what) if named => want(false, format!("fault {n}: {what}")),
                        Err(_) => {}
                    }
                    want(
                        (1..=1_000).contains(&fault.times),
                        format!("fault {n}: times: expected 1 to 1000"),
                    );
                    continue;
                }
                None => {
                    let plain = fault.from.is_empty() && fault.to.is_empty() && fault.by.is_zero();
                    want(
                        plain,
                        format!("fault {n}: from, to, by: only faults of links have them"),
                    );
                }
            }
            let beyond = fault.targets().into_iter().find(|target| *target >= most);
            want(
                beyond.is_none(),
                format!(
                    "fault {n}: which: there are {most}, counted from 0, found {}",
                    beyond.unwrap_or(0)
                ),
            );
            want(
                !fault.targets().is_empty(),
                format!("fault {n}: which: expected at least one"),
            );
            want(
                (1..=1_000).contains(&fault.times),
                format!("fault {n}: times: expected 1 to 1000"),
            );
            want(
                fault.times == 1 || !fault.length.is_zero(),
                format!("fault {n}: times: what has no length comes once"),
            );
        }
        let links = struck.len();
        want(
            links <= MOST_LINKS,
            format!("fault: expected at most {MOST_LINKS} links in all, found {links}"),
        );
        found
    }
}

#[cfg(test)]
mod tests;
