//! The interface of the decision module: settings, events and actions, as plain data.
//!
//! Nothing here decides anything. Times are whole microseconds. Names (kinds, zones, classes,
//! tenants) are indices into the lists that the deployment stated at start.

use std::sync::Arc;

/// A point in time or a span, in microseconds.
pub type Micros = i64;

/// One ask to place a task. Never reused; a task that comes back carries a fresh one.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReqId(pub Arc<str>);

/// A machine. The same at every placer.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub Arc<str>);

/// The service (program) that a task belongs to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u64);

/// A task, the same whenever it comes again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey(pub u64);

/// Index into [`Settings::classes`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// Index into [`Settings::kinds`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);

/// Index into the deployment's list of zones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// A cell: a few machines grouped together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);

/// Names a timer; chosen by the module.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u64);

/// The hosts that drop repeats of a keyed task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// Every host.
    All,
    /// The hosts of one zone.
    Zone,
    /// The hosts of one cell.
    Cell,
}

/// What a second run of a task of a class does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// A second copy does no harm.
    Safe,
    /// Repeats are dropped inside the group, for the class's `window`.
    Keyed(Group),
    /// Must never run twice.
    Unsafe,
}

/// The kind of place over which a service's tasks are spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spread {
    /// No such rule.
    None,
    /// At most `most` on one machine.
    Machine,
    /// At most `most` in one cell.
    Cell,
    /// At most `most` in one zone.
    Zone,
}

/// When a machine says yes to an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ack {
    /// As soon as it has accepted the task.
    Accepted,
    /// When the task runs.
    Running,
}

/// What one value of a load report means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportField {
    /// Tasks held.
    Inflight,
    /// Offers and starts waiting.
    Queue,
    /// Fraction of the cores in use.
    Util,
    /// Cores free, as `Settings::counts_asked` says.
    FreeCores,
    /// Memory free, likewise.
    FreeMemory,
    /// Another value, unused.
    Other,
}

/// One class of tasks.
#[derive(Debug, Clone)]
pub struct Class {
    /// A first start within this time earns its full worth.
    pub aim: Micros,
    /// How long a client waits for a placement.
    pub deadline: Micros,
    /// The part of a start's worth that is left between aim and deadline.
    pub late_worth: f64,
    /// What a second run does.
    pub effect: Effect,
    /// For keyed classes: how long repeats are remembered.
    pub window: Micros,
    /// Worth of a second of full service at mean size.
    pub worth: f64,
    /// Seconds of service that a start in time is worth.
    pub start_s: f64,
    /// The machine kind required.
    pub kind: Option<KindId>,
    /// Where the spread rule counts.
    pub spread: Spread,
    /// The most tasks of a service in one such place.
    pub most: usize,
    /// 0 (lowest) to 3.
    pub priority: u8,
    /// Served in full while cores are busy up to this fraction.
    pub calm: f64,
    /// Service falls to nothing over this much more.
    pub fade: f64,
}

/// One tenant and its share.
#[derive(Debug, Clone)]
pub struct Tenant {
    /// Its fraction of the service.
    pub share: f64,
    /// New tasks a second within its share, over all placers.
    pub quota_per_s: f64,
    /// Cores asked for within its share, over all placers (0: not told).
    pub quota_cores: f64,
}

/// One kind of machine.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Its cores.
    pub cores: f64,
    /// Its memory.
    pub memory: f64,
}

/// What a deployment states at start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Index of this placer.
    pub me: usize,
    /// Number of placers.
    pub placers: usize,
    /// Zone of this placer.
    pub zone: Option<ZoneId>,
    /// Smallest gap between batches of events.
    pub tick: Micros,
    /// Machine kinds.
    pub kinds: Vec<Kind>,
    /// Task classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a task beyond its tenant's share, as a fraction.
    pub over_share_worth: f64,
    /// Most attempts for one ask.
    pub max_attempts: u32,
    /// Whether probing is allowed.
    pub probes: bool,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// Whether clients are told when to come back.
    pub retry_after: bool,
    /// Longest `retry_after` that is honoured.
    pub max_retry_after: Micros,
    /// Connections not made within this fail.
    pub connect_timeout: Micros,
    /// Whether the host list comes only when asked for.
    pub list_on_ask: bool,
    /// Longest time without subscription or asking.
    pub ask_within: Micros,
    /// What the values of a load report are.
    pub report: Vec<ReportField>,
    /// Report and list values subtract what was asked (else: what is used).
    pub counts_asked: bool,
    /// List entries carry free cores and memory.
    pub list_shows_room: bool,
    /// When a machine says yes.
    pub ack: Ack,
    /// A machine accepts up to this many times its cores.
    pub accepts_cores: f64,
    /// A machine accepts up to this many times its memory.
    pub accepts_memory: f64,
    /// Machines push out lower priorities to make room.
    pub preempts: bool,
    /// Mean cores asked by a task.
    pub mean_cores: f64,
    /// Mean memory asked by a task.
    pub mean_memory: f64,
    /// How long a client waits after an attempt that may have run.
    pub settle: Micros,
    /// Answers this long after a deadline are still in time.
    pub answer_slack: Micros,
    /// Sends to a draining host must stop within this.
    pub drain_grace: Micros,
    /// A host is warm after this at the latest.
    pub cold: Micros,
    /// Part of its pace at which a new host starts.
    pub cold_from: f64,
    /// Multiple of its capacity at which a cold host falls over.
    pub fall_multiple: f64,
    /// When held so long.
    pub fall: Micros,
    /// Offers within `fall` that a cold host always bears, from all placers.
    pub cold_sends: f64,
    /// Points (as fractions of 1) for running in another zone.
    pub price_cross_zone: f64,
    /// For probes, one a task.
    pub price_probe: f64,
    /// For machines held beyond need.
    pub price_fleet: f64,
    /// For one refused offer a task.
    pub price_refused: f64,
    /// For one move a task.
    pub price_moves: f64,
    /// For one new connection to a host for each task.
    pub price_handshake: f64,
}

/// State of a host in the list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum HostState {
    /// In service.
    #[default]
    Up,
    /// Completing its work, takes nothing new.
    Draining,
    /// Withdrawn.
    Gone,
}

/// One entry of the host list.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Which host.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its kind.
    pub kind: KindId,
    /// Its state.
    pub state: HostState,
    /// When it last started; 0: long ago.
    pub ready_at: Micros,
    /// Cores that nobody has asked for, some time ago.
    pub free_cores: f64,
    /// Memory that nobody has asked for, some time ago.
    pub free_memory: f64,
}

/// Which kind of list event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as this placer last held it, possibly stale.
    Cached,
    /// A call failed or the subscription broke.
    Failed,
}

/// A task as it is asked for.
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// This ask.
    pub id: ReqId,
    /// Its class.
    pub class: ClassId,
    /// Its service.
    pub service: ServiceId,
    /// The task.
    pub key: TaskKey,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Cores asked for.
    pub cores: f64,
    /// Memory asked for.
    pub memory: f64,
    /// Expected remaining run time in seconds, where told.
    pub hint: Option<f64>,
    /// Time until its client gives up.
    pub budget: Micros,
    /// A client's repeat.
    pub resent: bool,
    /// Came again after a refusal, failure, move or loss.
    pub came_back: bool,
    /// Its place in the order of shedding, from 0, let through first, to 1.
    pub order: f64,
    /// How long its client should stay away if it is refused; 0: as the module sees fit.
    pub away: Micros,
}

/// How far the module may go, as the fleet of placers bears it (`overload`). What is not told is not bounded.
#[derive(Debug, Clone, PartialEq)]
pub enum Bound {
    /// At a host.
    Line {
        /// Which.
        host: HostId,
        /// Own offers that may be out there, those that are among them; none: as the module sees fit.
        most: Option<u32>,
        /// The host is in doubt, and one offer is wanted there to see whether it is back.
        trial: bool,
    },
    /// At all hosts together.
    Total {
        /// Own offers that may be out, those that are among them.
        most: u32,
        /// There was no room under it, and is now.
        freed: bool,
    },
    /// What is let through.
    Gate {
        /// Tasks whose order is less than this.
        through: f64,
        /// A task that has waited for this part of its aim is given up.
        late: Option<f64>,
    },
    /// An ask is not to be attempted again.
    Last(ReqId),
    /// So many processes act as this placer at the moment; the number of this one among them.
    Processes {
        /// How many.
        of: u32,
        /// Which, from 0.
        me: u32,
    },
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The task ended.
    Ok,
    /// Answered with an error; may have started.
    Error,
    /// Refused; never ran.
    Full,
    /// No reply in time; may have started.
    Timeout,
    /// Not connected; never ran.
    ConnectFailed,
    /// Cut off.
    Reset,
    /// Abandoned, moved or stopped by its client.
    Cancelled,
    /// Not sent; never ran.
    Moot,
}

/// Why an attempt ended so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Detail {
    /// Not told.
    None,
    /// No cores left.
    NoCores,
    /// No memory left.
    NoMemory,
    /// Too many offers wait.
    Busy,
    /// Not here: wrong kind, draining, too late, or a copy stands.
    NotHere,
    /// Evicted for memory.
    Evicted,
    /// Pushed out for a higher priority.
    PushedOut,
    /// Sent away by a draining machine.
    SentAway,
}

/// What a note on a running attempt tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Note {
    /// The task runs.
    Runs,
    /// Cores it uses now.
    Cores,
    /// Memory it uses now.
    Memory,
    /// Share of full service.
    Served,
    /// Share of its host's memory in use.
    HostMemory,
    /// Another kind, unused.
    Other,
}

/// What the module is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// News of the host list.
    Members {
        /// Which kind.
        kind: ListKind,
        /// Its entries; none for `Failed`.
        entries: Vec<Entry>,
    },
    /// A task to place.
    Request(Task),
    /// A task that runs already, and on which host.
    Open(Task, HostId),
    /// The attempt placed the task.
    First {
        /// The ask.
        id: ReqId,
        /// The attempt.
        attempt: u32,
        /// Its host.
        host: HostId,
        /// Time since the send.
        elapsed: Micros,
    },
    /// News about a running attempt.
    Noted {
        /// The ask.
        id: ReqId,
        /// Its host.
        host: HostId,
        /// What is told.
        note: Note,
        /// The value.
        value: f64,
    },
    /// An attempt has ended.
    Outcome {
        /// The ask.
        id: ReqId,
        /// The attempt.
        attempt: u32,
        /// Its host.
        host: HostId,
        /// How it ended.
        outcome: Outcome,
        /// Why.
        detail: Detail,
        /// The ask is over with it.
        done: bool,
        /// Time since the send.
        elapsed: Micros,
        /// The host's load report, where one came along.
        report: Vec<f64>,
    },
    /// The ask is over; nothing more is owed.
    Gone(ReqId),
    /// How far to go from now on.
    Bounds(Vec<Bound>),
    /// The placer is to end: all that is owed must be answered within this time.
    Closing(Micros),
    /// A timer came due.
    Timer(TimerToken),
    /// A probe came back.
    Probed {
        /// Its host.
        host: HostId,
        /// `Ok`, or why not.
        outcome: Outcome,
        /// Time since the probe.
        elapsed: Micros,
        /// The host's load report, where one came along.
        report: Vec<f64>,
    },
}

/// What the module wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Subscribe to the host list.
    Watch,
    /// End the subscription.
    Unwatch,
    /// Ask for the whole host list once.
    Fetch,
    /// Close idle connections to a host.
    Close {
        /// The host.
        host: HostId,
    },
    /// The module declares itself broken.
    Fault(String),
    /// Offer a task to a host, with a time-out.
    Send {
        /// The ask.
        id: ReqId,
        /// The host.
        host: HostId,
        /// Time-out of the attempt.
        timeout: Micros,
    },
    /// Give up waiting for an attempt.
    Cancel {
        /// The ask.
        id: ReqId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: refused, trying again is harmless.
    Refuse {
        /// The ask.
        id: ReqId,
        /// When to come back; 0: no word.
        retry_after: Micros,
    },
    /// Final answer: failed, no promise.
    Fail {
        /// The ask.
        id: ReqId,
    },
    /// Stop a placed task so that its client asks again.
    Move {
        /// The ask.
        id: ReqId,
    },
    /// Ask a host for its load report.
    Probe {
        /// The host.
        host: HostId,
    },
    /// Ask for a timer event.
    SetTimer {
        /// Its name.
        token: TimerToken,
        /// Time from now.
        after: Micros,
    },
    /// A line for the log.
    Log(String),
}

impl Settings {
    /// A small made-up deployment, for examples and tests: three placers, one kind, one safe class.
    pub fn example() -> Settings {
        const SECOND: Micros = 1_000_000;
        Settings {
            me: 0,
            placers: 3,
            zone: Some(ZoneId(0)),
            tick: 2_000,
            kinds: vec![Kind {
                cores: 32.0,
                memory: 64.0,
            }],
            classes: vec![Class {
                aim: SECOND,
                deadline: 5 * SECOND,
                late_worth: 0.1,
                effect: Effect::Safe,
                window: 5 * SECOND,
                worth: 1.0,
                start_s: 8.0,
                kind: None,
                spread: Spread::None,
                most: 2,
                priority: 0,
                calm: 0.8,
                fade: 0.2,
            }],
            tenants: Vec::new(),
            over_share_worth: 0.1,
            max_attempts: 3,
            probes: true,
            cancel: true,
            retry_after: true,
            max_retry_after: 3 * SECOND,
            connect_timeout: SECOND / 4,
            list_on_ask: false,
            ask_within: 10 * SECOND,
            report: vec![ReportField::FreeCores, ReportField::FreeMemory],
            counts_asked: true,
            list_shows_room: true,
            ack: Ack::Accepted,
            accepts_cores: 2.0,
            accepts_memory: 1.5,
            preempts: false,
            mean_cores: 1.0,
            mean_memory: 2.0,
            settle: 3 * SECOND,
            answer_slack: 8_000,
            drain_grace: SECOND / 4,
            cold: 14 * SECOND,
            cold_from: 0.2,
            fall_multiple: 2.0,
            fall: 2 * SECOND,
            cold_sends: 60.0,
            price_cross_zone: 0.02,
            price_probe: 0.004,
            price_fleet: 0.2,
            price_refused: 0.02,
            price_moves: 0.08,
            price_handshake: 0.0,
        }
    }
}
