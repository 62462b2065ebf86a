//! Plain blocking calls round the decision module: [`Facade::pick`], [`Facade::report`] and
//! [`Facade::tick`].
//!
//! Only this file sees the module's events and actions. What stands before it, whatever protocol it
//! speaks, hands in asks and news and gets [`Verdict`]s. The facade also keeps the module's timers,
//! and answers its requests for the host list from the state of the feed.

use crate::interface::*;
use crate::operation::process_group::BudgetShare;
use crate::overload::{self, Overload, Parts};
use crate::policy::Placer;
use crate::settings::Names;
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// One ask in the caller's hands, numbered by the caller. A number is never used again, so that a
/// wire id that comes back can't be taken for the ask that carried it before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

impl Ticket {
    fn id(self) -> ReqId {
        ReqId(Arc::from(format!("{:016x}", self.0)))
    }

    fn of(id: &ReqId) -> Option<Ticket> {
        u64::from_str_radix(&id.0, 16).ok().map(Ticket)
    }
}

/// A task to place, with the names that its client gave.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ask {
    /// The class, as the settings name it.
    pub class: String,
    /// The tenant, as the settings name it.
    pub tenant: Option<String>,
    /// The service it belongs to.
    pub service: u64,
    /// The task, the same whenever it comes again.
    pub key: u64,
    /// Cores asked for.
    pub cores: f64,
    /// Memory asked for.
    pub memory: f64,
    /// Time until the client gives up.
    pub budget: Micros,
    /// Marked by its client as a repeat.
    pub resent: bool,
}

/// An ask that no deployment with these settings can mean, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unfit(pub &'static str);

/// A wait beyond so many times the class's limit is no wait.
const MOST_WAIT: Micros = 4;

/// What the caller has learned.
#[derive(Debug, Clone)]
pub enum News {
    /// The attempt placed the task.
    Placed {
        /// The ask.
        ticket: Ticket,
        /// The attempt, counted from 0.
        attempt: u32,
        /// Its host.
        host: HostId,
        /// Time since the offer.
        elapsed: Micros,
    },
    /// An attempt, or the task that it placed, has ended.
    Ended {
        /// The ask.
        ticket: Ticket,
        /// The attempt, counted from 0.
        attempt: u32,
        /// Its host.
        host: HostId,
        /// How.
        outcome: Outcome,
        /// Why.
        detail: Detail,
        /// Time since the offer.
        elapsed: Micros,
    },
    /// A host tells something of a task that stands.
    Noted {
        /// The ask.
        ticket: Ticket,
        /// Its host.
        host: HostId,
        /// What is told.
        note: Note,
        /// The figure.
        value: f64,
    },
    /// The client gave up; no answer is owed.
    GivenUp(Ticket),
    /// The whole list of hosts, as configured at start.
    Known(Vec<Entry>),
    /// News of the host list from the feed.
    Listed {
        /// Whether this is the whole list.
        whole: bool,
        /// Its entries.
        entries: Vec<Entry>,
    },
    /// The feed delivers.
    FeedUp,
    /// The feed is dead until further notice.
    FeedDown,
    /// The process is to end: all that is owed must be answered within this time.
    Closing(Micros),
}

/// What the module has decided.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Offer the task to a host and wait so long.
    Offer {
        /// The ask.
        ticket: Ticket,
        /// The host.
        host: HostId,
        /// How long to wait.
        timeout: Micros,
    },
    /// Final: refused. Trying again is harmless.
    Refuse {
        /// The ask.
        ticket: Ticket,
        /// How long the client should stay away; 0: no word.
        retry_after: Micros,
    },
    /// Final: failed.
    Fail {
        /// The ask.
        ticket: Ticket,
    },
    /// Stop a task that stands; its client asks again.
    Move {
        /// The ask.
        ticket: Ticket,
    },
    /// Stop waiting for one attempt.
    GiveUp {
        /// The ask.
        ticket: Ticket,
        /// The attempt.
        attempt: u32,
    },
    /// A line for the log.
    Note(String),
}

/// What can be asked of a class.
struct Most {
    aim: Micros,
    deadline: Micros,
    /// The cores and memory of the largest machine for it.
    size: [f64; 2],
}

/// The decision module behind blocking calls.
pub struct Facade {
    placer: Placer,
    names: Names,
    most: Vec<Most>,
    ordinary: Option<[f64; 2]>,
    timers: BTreeSet<(Micros, TimerToken)>,
    feed_up: bool,
    /// The module has asked for the list and has no answer yet.
    watch_owed: bool,
    /// What the fleet bears, where an operator's file asks for it.
    overload: Option<Overload>,
}

impl Facade {
    /// A module with these settings, and the names that they state.
    pub fn new(settings: Settings, names: Names, seed: u64) -> Facade {
        let most = |class: &Class| {
            let kinds = settings.kinds.iter().enumerate();
            let kinds = kinds.filter(|(i, _)| class.kind.is_none_or(|kind| kind.0 == *i));
            let size = kinds.map(|(_, kind)| {
                [
                    kind.cores * settings.accepts_cores,
                    kind.memory * settings.accepts_memory,
                ]
            });
            let size = size.fold([0.0; 2], |a, b| {
                [f64::max(a[0], b[0]), f64::max(a[1], b[1])]
            });
            Most {
                aim: class.aim,
                deadline: class.deadline,
                size,
            }
        };
        Facade {
            most: settings.classes.iter().map(most).collect(),
            ordinary: settings
                .list_shows_room
                .then_some([settings.mean_cores, settings.mean_memory]),
            placer: Placer::new(settings, seed),
            names,
            timers: BTreeSet::new(),
            feed_up: false,
            watch_owed: false,
            overload: None,
        }
    }

    /// The same, bounded by what the fleet of placers bears. `wall` is the wall clock at the time 0 of all
    /// calls, in microseconds since 1970.
    pub fn bounded(
        settings: Settings,
        names: Names,
        seed: u64,
        parts: Parts,
        wall: Micros,
    ) -> Facade {
        let overload = parts
            .any()
            .then(|| Overload::new(parts, &settings, wall, seed));
        Facade {
            overload,
            ..Facade::new(settings, names, seed)
        }
    }

    /// What bounds it, if anything does.
    pub fn overload(&self) -> Option<&Overload> {
        self.overload.as_ref()
    }

    /// So many processes act as this placer from now on, and this is one of them.
    pub fn share(&mut self, now: Micros, share: BudgetShare) -> Vec<Verdict> {
        self.give(
            now,
            Event::Bounds(vec![Bound::Processes {
                of: share.process_count,
                me: share.process_index,
            }]),
        )
    }

    /// The names of the settings.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// The place of a class among those that the settings name.
    pub fn class(&self, class: &str) -> Option<usize> {
        self.names.classes.iter().position(|name| name == class)
    }

    /// The aim of a class, as the settings name it.
    pub fn aim(&self, class: &str) -> Option<Micros> {
        self.most.get(self.class(class)?).map(|most| most.aim)
    }

    /// The longest that a client of any class waits.
    pub fn longest(&self) -> Micros {
        self.most
            .iter()
            .map(|most| most.deadline)
            .max()
            .unwrap_or(0)
    }

    /// Listed machines that get no offers now, whatever is asked: they drain, or are shut after failures.
    pub fn avoided(&self) -> usize {
        self.placer.avoided()
    }

    /// Cores and memory of an ordinary task, where the list shows what hosts have left.
    pub fn ordinary(&self) -> Option<[f64; 2]> {
        self.ordinary
    }

    /// Takes a task to place.
    pub fn pick(&mut self, now: Micros, ticket: Ticket, ask: &Ask) -> Result<Vec<Verdict>, Unfit> {
        let mut task = self.task(ticket, ask)?;
        if let Some(overload) = &mut self.overload {
            let admission = overload.ask(now, &task);
            (task.order, task.away) = (admission.order, admission.away);
        }
        Ok(self.give(now, Event::Request(task)))
    }

    /// Takes a task that already stands at a host; no answer is owed for it.
    pub fn adopt(
        &mut self,
        now: Micros,
        ticket: Ticket,
        ask: &Ask,
        host: &HostId,
    ) -> Result<Vec<Verdict>, Unfit> {
        let event = Event::Open(self.task(ticket, ask)?, host.clone());
        Ok(self.give(now, event))
    }

    /// Takes news.
    pub fn report(&mut self, now: Micros, news: News) -> Vec<Verdict> {
        let event = match news {
            News::Placed {
                ticket,
                attempt,
                host,
                elapsed,
            } => Event::First {
                id: ticket.id(),
                attempt,
                host,
                elapsed,
            },
            News::Ended {
                ticket,
                attempt,
                host,
                outcome,
                detail,
                elapsed,
            } => Event::Outcome {
                id: ticket.id(),
                attempt,
                host,
                outcome,
                detail,
                done: outcome == Outcome::Ok,
                elapsed,
                report: Vec::new(),
            },
            News::Noted {
                ticket,
                host,
                note,
                value,
            } => Event::Noted {
                id: ticket.id(),
                host,
                note,
                value,
            },
            News::GivenUp(ticket) => Event::Gone(ticket.id()),
            News::Known(entries) => Event::Members {
                kind: ListKind::Cached,
                entries,
            },
            News::Listed { whole, entries } => Event::Members {
                kind: if whole {
                    ListKind::Full
                } else {
                    ListKind::Delta
                },
                entries,
            },
            News::FeedUp => {
                self.feed_up = true;
                if !std::mem::take(&mut self.watch_owed) {
                    return Vec::new();
                }
                Event::Members {
                    kind: ListKind::Delta,
                    entries: Vec::new(),
                }
            }
            News::FeedDown => {
                self.feed_up = false;
                self.watch_owed = false;
                Event::Members {
                    kind: ListKind::Failed,
                    entries: Vec::new(),
                }
            }
            News::Closing(within) => Event::Closing(within),
        };
        self.give(now, event)
    }

    /// Lets the module's timers that are due by now go off.
    pub fn tick(&mut self, now: Micros) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        while let Some(&(due, token)) = self.timers.first() {
            if due > now {
                break;
            }
            self.timers.pop_first();
            verdicts.extend(self.give(now, Event::Timer(token)));
        }
        if let Some(overload) = &mut self.overload {
            let mut bounds = Vec::new();
            overload.handle(now, overload::Event::Tick, &mut bounds);
            if !bounds.is_empty() {
                verdicts.extend(self.give(now, Event::Bounds(bounds)));
            }
        }
        verdicts
    }

    /// Whether the settings leave any sense to an ask. Guards the module's picture of load and of healthy
    /// machines against asks that every machine must turn away. One that stands already waits for nothing.
    pub fn check(&self, ask: &Ask, stands: bool) -> Result<(), Unfit> {
        let class = self.class(&ask.class);
        let Some(Most { deadline, size, .. }) = class.and_then(|class| self.most.get(class)) else {
            return Err(Unfit("unknown class"));
        };
        let tenant = ask
            .tenant
            .as_ref()
            .is_none_or(|tenant| self.names.tenants.contains(tenant));
        if !tenant && !self.names.tenants.is_empty() {
            return Err(Unfit("unknown tenant"));
        }
        // Twice the size: kinds state what is usual, and a machine may be larger.
        let mut asks = [ask.cores, ask.memory]
            .into_iter()
            .zip(size.iter().copied());
        if asks.any(|(asked, most)| !(0.0..=2.0 * most).contains(&asked)) {
            return Err(Unfit("more than any machine has"));
        }
        if !stands && (ask.budget <= 0 || ask.budget > deadline.saturating_mul(MOST_WAIT)) {
            return Err(Unfit("no such wait"));
        }
        Ok(())
    }

    fn task(&self, ticket: Ticket, ask: &Ask) -> Result<Task, Unfit> {
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        Ok(Task {
            id: ticket.id(),
            class: place(&self.names.classes, &ask.class)
                .map(ClassId)
                .ok_or(Unfit("unknown class"))?,
            service: ServiceId(ask.service),
            key: TaskKey(ask.key),
            tenant: ask
                .tenant
                .as_deref()
                .and_then(|t| place(&self.names.tenants, t))
                .map(TenantId),
            cores: ask.cores,
            memory: ask.memory,
            hint: None,
            budget: ask.budget,
            resent: ask.resent,
            came_back: ask.resent,
            order: 0.0,
            away: 0,
        })
    }

    /// Hands one event to the module, and the bounds that come of it. A call for the list is answered by the
    /// feed's state: at once while it delivers, else when it does again.
    fn give(&mut self, now: Micros, event: Event) -> Vec<Verdict> {
        let mut events = VecDeque::from([event]);
        let (mut verdicts, mut actions, mut bounds) = (Vec::new(), Vec::new(), Vec::new());
        let mut asked = false;
        while let Some(event) = events.pop_front() {
            self.bound_by_event(now, &event, &mut bounds);
            // What an attempt's end allows is known before the module thinks of another.
            if !bounds.is_empty() && matches!(event, Event::Outcome { .. }) {
                let first = Event::Bounds(std::mem::take(&mut bounds));
                self.placer.handle(now, &first, &mut actions);
            }
            self.placer.handle(now, &event, &mut actions);
            for action in actions.drain(..) {
                if let Some(overload) = &mut self.overload {
                    bound_by_action(overload, now, &action, &mut bounds);
                }
                verdicts.extend(match action {
                    Action::Watch | Action::Fetch => {
                        asked = true;
                        None
                    }
                    Action::SetTimer { token, after } => {
                        self.timers.insert((now.saturating_add(after), token));
                        None
                    }
                    Action::Send { id, host, timeout } => {
                        Ticket::of(&id).map(|ticket| Verdict::Offer {
                            ticket,
                            host,
                            timeout,
                        })
                    }
                    Action::Refuse { id, retry_after } => {
                        Ticket::of(&id).map(|ticket| Verdict::Refuse {
                            ticket,
                            retry_after,
                        })
                    }
                    Action::Fail { id } => Ticket::of(&id).map(|ticket| Verdict::Fail { ticket }),
                    Action::Move { id } => Ticket::of(&id).map(|ticket| Verdict::Move { ticket }),
                    Action::Cancel { id, attempt } => {
                        Ticket::of(&id).map(|ticket| Verdict::GiveUp { ticket, attempt })
                    }
                    Action::Fault(text) | Action::Log(text) => Some(Verdict::Note(text)),
                    // Nothing may be probed here, the feed needs no farewell, and connections to hosts
                    // stay open for the releases of what stands there.
                    Action::Probe { .. } | Action::Unwatch | Action::Close { .. } => None,
                });
            }
            if !bounds.is_empty() {
                events.push_back(Event::Bounds(std::mem::take(&mut bounds)));
            }
        }
        if asked && self.feed_up {
            verdicts.extend(self.give(
                now,
                Event::Members {
                    kind: ListKind::Delta,
                    entries: Vec::new(),
                },
            ));
        } else if asked {
            self.watch_owed = true;
        }
        verdicts
    }

    /// What an event says to the engine that bounds the module.
    fn bound_by_event(&mut self, now: Micros, event: &Event, bounds: &mut Vec<Bound>) {
        let Some(overload) = &mut self.overload else {
            return;
        };
        let told = match event {
            Event::Members { kind, entries } if *kind != ListKind::Failed => {
                overload::Event::Listed {
                    whole: *kind != ListKind::Delta,
                    entries,
                }
            }
            Event::First { id, .. } => overload::Event::Started { id },
            Event::Outcome {
                id,
                outcome,
                detail,
                ..
            } => overload::Event::Ended {
                id,
                outcome: *outcome,
                detail: *detail,
            },
            Event::Gone(id) => overload::Event::Over {
                id,
                given_up: false,
            },
            _ => return,
        };
        overload.handle(now, told, bounds);
    }
}

/// What an action of the module says to the engine that bounds it.
fn bound_by_action(overload: &mut Overload, now: Micros, action: &Action, bounds: &mut Vec<Bound>) {
    let told = match action {
        Action::Send { id, host, .. } => overload::Event::Offered { id, host },
        Action::Refuse { id, .. } | Action::Fail { id } => {
            overload::Event::Over { id, given_up: true }
        }
        _ => return,
    };
    overload.handle(now, told, bounds);
}
