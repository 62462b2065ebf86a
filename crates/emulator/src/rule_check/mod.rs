//! The rules, checked on what clients, hosts, feeds and the keeper of the placers wrote down.
//!
//! Each party notes what it sent and saw with the time of the one clock. After a run [`check`] joins the
//! notes task by task and names each broken rule with the notes that show it. It looks at nothing else.

use crate::host_model::Micros;
use std::collections::{BTreeMap, HashMap};
use std::fmt;

const MS: Micros = 1_000;

/// The state of a host in a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listed {
    /// In service.
    Up,
    /// Finishing its work.
    Draining,
    /// Gone.
    Gone,
}

/// What a client was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// The task stands; the fingerprint of the description.
    Placed(u64),
    /// A release with this cause.
    Released(u8),
    /// It moves.
    Moved,
}

/// What a host said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Said {
    /// The task runs; the fingerprint of the description that it gave.
    Up(u64),
    /// Refused, or over.
    Down(u8),
    /// The same, with no connection to say it on: it goes out on the next to open.
    Unsent(u8),
    /// The connection was ended by the host: what was said on it may not arrive.
    Cut,
}

/// What became of a placer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    /// It was started.
    Started,
    /// It was killed.
    Killed,
    /// It was stopped, and takes no notice until it goes on.
    Stopped,
    /// It went on.
    Went,
    /// It was told to end.
    Told,
    /// It ended by itself, with this code.
    Ended(i32),
}

/// Whom a placer has a link with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Peer {
    /// All clients.
    Clients,
    /// The host in a place.
    Host(usize),
    /// Its feed.
    Feed,
}

/// One note.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// A client has written a whole set-up.
    Sent {
        /// Its id.
        id: u64,
        /// The task.
        key: u64,
        /// Index of its class.
        class: usize,
        /// Its service.
        service: u64,
        /// The placer.
        placer: usize,
        /// How long the client waits.
        wait: Micros,
        /// The fingerprint of its description.
        description: u64,
        /// The host that holds it already.
        at: Option<usize>,
    },
    /// A client has read a word.
    Told(u64, Told),
    /// A client has given a set-up up.
    GaveUp(u64),
    /// The connection of an open set-up ended.
    Broken(u64),
    /// A whole offer has come to a host.
    Offered {
        /// The id.
        id: u64,
        /// The host.
        host: usize,
        /// The fingerprint of the description that came.
        description: u64,
    },
    /// A host has written a word on an id.
    Said(u64, usize, Said),
    /// A host has read that an offer is given up, or that a task is to stop.
    Stopped(u64, usize),
    /// The connection of an open offer ended at a host.
    Closed(u64, usize),
    /// The host's process died: nothing of it runs any more.
    Died(usize),
    /// A host was pushed over while it was cold.
    Fell(usize),
    /// A connection of a placer came up at a host.
    Called(usize),
    /// A feed has told a placer of a host.
    Listed(usize, usize, Listed),
    /// Something became of a placer.
    Placer(usize, Life),
    /// A link of a placer is no longer whole, or is whole again: what was said on it in between may have come late, or
    /// never.
    Link {
        /// The placer.
        placer: usize,
        /// Whom it is with.
        peer: Peer,
        /// Whether it is whole from now on.
        whole: bool,
    },
}

/// What a check goes by.
#[derive(Debug, Clone)]
pub struct Rules {
    /// By class: whether it must not start twice, and the most of a service that a placer may have in a room.
    pub classes: Vec<(bool, Option<u32>)>,
    /// The room of each host.
    pub rooms: Vec<usize>,
    /// The place of each host, for links; a host that is not there stands in the place of its number.
    pub places: Vec<usize>,
    /// How long after being told a placer may still send to a draining host.
    pub drain_grace: Micros,
    /// By how much a final answer may be late.
    pub answer_grace: Micros,
    /// How soon the end of a task must be told.
    pub end_told: Micros,
    /// How soon where its host had no connection to tell it on.
    pub end_found: Micros,
    /// Times of different parties may differ by so much.
    pub slack: Micros,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            classes: Vec::new(),
            rooms: Vec::new(),
            places: Vec::new(),
            drain_grace: 2_000 * MS,
            answer_grace: 8 * MS,
            end_told: 1_000 * MS,
            end_found: 8_000 * MS,
            slack: 50 * MS,
        }
    }
}

/// The rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A set-up that was taken got no answer.
    NoAnswer,
    /// Its answer came too late.
    LateAnswer,
    /// It got more than one.
    SecondAnswer,
    /// It was placed with what no host said.
    Invented,
    /// A description was changed on its way.
    Changed,
    /// A task that must not start twice was offered again although it may have begun.
    SentAgain,
    /// A task that must not start twice ran twice at once.
    RanTwice,
    /// Two attempts were out at once.
    TwoAtOnce,
    /// New work went to a draining or gone host.
    Drain,
    /// Too many tasks of a service in a room.
    Spread,
    /// A cold host was pushed over.
    PushedOver,
    /// The end of a task was not told in time.
    EndUntold,
    /// A placer ended that was not told to.
    Crash,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 13] = [
        Rule::NoAnswer,
        Rule::LateAnswer,
        Rule::SecondAnswer,
        Rule::Invented,
        Rule::Changed,
        Rule::SentAgain,
        Rule::RanTwice,
        Rule::TwoAtOnce,
        Rule::Drain,
        Rule::Spread,
        Rule::PushedOver,
        Rule::EndUntold,
        Rule::Crash,
    ];

    /// Its name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Rule::NoAnswer => "no-answer",
            Rule::LateAnswer => "late-answer",
            Rule::SecondAnswer => "second-answer",
            Rule::Invented => "invented",
            Rule::Changed => "changed",
            Rule::SentAgain => "sent-again",
            Rule::RanTwice => "ran-twice",
            Rule::TwoAtOnce => "two-at-once",
            Rule::Drain => "drain",
            Rule::Spread => "spread",
            Rule::PushedOver => "pushed-over",
            Rule::EndUntold => "end-untold",
            Rule::Crash => "crash",
        }
    }
}

/// A broken rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Which.
    pub rule: Rule,
    /// The task, by the id of its set-up; 0 where it is no task's.
    pub id: u64,
    /// The notes that show it, with their times.
    pub shown: Vec<(Micros, Note)>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.rule.as_str())?;
        if self.id != 0 {
            write!(f, " of {:016x}", self.id)?;
        }
        for (at, note) in &self.shown {
            write!(f, "\n    {:>10}.{:03} ms  {note:?}", at / MS, at % MS)?;
        }
        Ok(())
    }
}

/// A placer's lives: which one a time falls in, and whether it was stopped or killed in a span.
struct Lives {
    events: Vec<(Micros, Life)>,
}

impl Lives {
    fn number(&self, at: Micros) -> usize {
        self.events
            .iter()
            .filter(|(t, life)| *t <= at && *life == Life::Started)
            .count()
    }

    /// Whether it could not be expected to act within a span, or some time before.
    fn hindered(&self, from: Micros, to: Micros) -> bool {
        let mut since = None;
        for (at, life) in &self.events {
            match life {
                Life::Stopped | Life::Killed | Life::Ended(_) => since = since.or(Some(*at)),
                Life::Went | Life::Started => {
                    if since.take().is_some_and(|s| s <= to && *at >= from) {
                        return true;
                    }
                }
                Life::Told => {}
            }
        }
        since.is_some_and(|s| s <= to)
    }
}

/// Looks for broken rules in the notes of a run, in the order of their times.
pub fn check(notes: &[(Micros, Note)], rules: &Rules, end: Micros) -> Vec<Finding> {
    let mut notes: Vec<(Micros, Note)> = notes.to_vec();
    notes.sort_by_key(|(at, _)| *at);
    let mut lives: BTreeMap<usize, Lives> = BTreeMap::new();
    let mut by_id: HashMap<u64, Vec<usize>> = HashMap::new();
    let mut links: BTreeMap<(usize, Peer), Vec<Span>> = BTreeMap::new();
    for (n, (at, note)) in notes.iter().enumerate() {
        match note {
            Note::Placer(placer, life) => {
                lives
                    .entry(*placer)
                    .or_insert(Lives { events: Vec::new() })
                    .events
                    .push((*at, *life));
            }
            Note::Sent { id, .. }
            | Note::Told(id, _)
            | Note::GaveUp(id)
            | Note::Broken(id)
            | Note::Offered { id, .. }
            | Note::Said(id, ..)
            | Note::Stopped(id, _)
            | Note::Closed(id, _) => by_id.entry(*id).or_default().push(n),
            Note::Link {
                placer,
                peer,
                whole,
            } => {
                let spans = links.entry((*placer, *peer)).or_default();
                match spans.last_mut().filter(|(_, to)| to.is_none()) {
                    Some(open) if *whole => open.1 = Some(*at),
                    None if !whole => spans.push((*at, None)),
                    _ => {}
                }
            }
            Note::Died(_) | Note::Fell(_) | Note::Called(_) | Note::Listed(..) => {}
        }
    }
    let mut check = Check {
        rules,
        end,
        notes: &notes,
        lives,
        links,
        by_id,
        found: Vec::new(),
    };
    check.crashes();
    check.hosts_pushed_over();
    let mut ids: Vec<u64> = check.by_id.keys().copied().collect();
    ids.sort_unstable();
    for id in ids {
        check.answers(id);
        check.attempts(id);
        check.ends(id);
    }
    check.running_twice();
    check.drains();
    check.spread();
    let mut found = check.found;
    found.sort_by_key(|finding| (finding.shown.first().map(|(at, _)| *at), finding.rule));
    found
}

/// A span, and its end if it has one.
type Span = (Micros, Option<Micros>);

struct Check<'a> {
    rules: &'a Rules,
    end: Micros,
    notes: &'a [(Micros, Note)],
    lives: BTreeMap<usize, Lives>,
    /// When a link was not whole.
    links: BTreeMap<(usize, Peer), Vec<Span>>,
    by_id: HashMap<u64, Vec<usize>>,
    found: Vec<Finding>,
}

impl<'a> Check<'a> {
    fn report(&mut self, rule: Rule, id: u64, shown: Vec<(Micros, Note)>) {
        self.found.push(Finding { rule, id, shown });
    }

    fn of(&self, id: u64) -> Vec<&'a (Micros, Note)> {
        let notes = self.notes;
        self.by_id
            .get(&id)
            .into_iter()
            .flatten()
            .filter_map(|n| notes.get(*n))
            .collect()
    }

    /// Whether a link was not whole at a time in a span: what was said on it then may come only after it.
    fn held(&self, placer: usize, peer: Peer, from: Micros, to: Micros) -> bool {
        let spans = self.links.get(&(placer, peer)).into_iter().flatten();
        let mut spans = spans.map(|(begun, ended)| {
            (
                *begun,
                ended.map_or(Micros::MAX, |at| at + self.rules.slack),
            )
        });
        spans.any(|(begun, ended)| begun <= to && ended >= from)
    }

    /// The same for the link of a placer to a host.
    fn held_to(&self, placer: usize, host: usize, from: Micros, to: Micros) -> bool {
        let place = self.rules.places.get(host).copied().unwrap_or(host);
        self.held(placer, Peer::Host(place), from, to)
    }

    /// The set-up of an id: when, to whom, its class and service.
    fn sent(&self, id: u64) -> Option<(Micros, usize, usize, u64)> {
        self.of(id).iter().find_map(|(at, note)| match note {
            Note::Sent {
                placer,
                class,
                service,
                at: None,
                ..
            } => Some((*at, *placer, *class, *service)),
            _ => None,
        })
    }

    fn once(&self, class: usize) -> bool {
        self.rules.classes.get(class).is_some_and(|(once, _)| *once)
    }

    fn crashes(&mut self) {
        let mut found = Vec::new();
        for lives in self.lives.values() {
            let mut told = false;
            for (at, life) in &lives.events {
                match life {
                    Life::Told => told = true,
                    Life::Started => told = false,
                    Life::Ended(code) if !told || *code != 0 => found.push((*at, *life)),
                    _ => {}
                }
            }
        }
        for (at, life) in found {
            self.report(Rule::Crash, 0, vec![(at, Note::Placer(0, life))]);
        }
    }

    fn hosts_pushed_over(&mut self) {
        let fell: Vec<(Micros, Note)> = self
            .notes
            .iter()
            .filter(|(_, note)| matches!(note, Note::Fell(_)))
            .cloned()
            .collect();
        for note in fell {
            self.report(Rule::PushedOver, 0, vec![note]);
        }
    }

    /// One final answer in time, with what a host said.
    fn answers(&mut self, id: u64) {
        let notes = self.of(id);
        let sent = notes.iter().find_map(|(at, note)| match note {
            Note::Sent {
                placer,
                wait,
                description,
                at: None,
                ..
            } => Some((*at, *placer, *wait, *description)),
            _ => None,
        });
        let Some((at, placer, wait, description)) = sent else {
            return;
        };
        let mut first: Option<(Micros, Told)> = None;
        let mut second = None;
        let mut excused = None;
        for (when, note) in &notes {
            match note {
                Note::Told(_, told) => match (first, told) {
                    (None, _) => first = Some((*when, *told)),
                    // After 'placed' a release or a move is the end of the task, once or told again.
                    (Some((_, Told::Placed(_))), Told::Released(_) | Told::Moved) => {}
                    _ => second = second.or(Some((*when, note))),
                },
                Note::GaveUp(_) | Note::Broken(_) => excused = excused.or(Some(*when)),
                _ => {}
            }
        }
        let shown = || notes.iter().map(|n| (*n).clone()).collect::<Vec<_>>();
        if second.is_some() {
            self.report(Rule::SecondAnswer, id, shown());
        }
        let due = at + wait + self.rules.answer_grace + self.rules.slack;
        let hindered = self
            .lives
            .get(&placer)
            .is_some_and(|lives| lives.hindered(at, due))
            || self.held(placer, Peer::Clients, at, due);
        match first {
            Some((when, _)) if when > due && !hindered => {
                self.report(Rule::LateAnswer, id, shown())
            }
            // Its client gives up when its time is over, and not before it: then an answer was owed.
            None if !hindered && self.end > due => {
                let early = excused.is_some_and(|when| when < at + wait - self.rules.slack);
                if !early {
                    self.report(Rule::NoAnswer, id, shown());
                }
            }
            _ => {}
        }
        for (_, note) in &notes {
            match note {
                Note::Offered {
                    description: came, ..
                } if *came != description => {
                    self.report(Rule::Changed, id, shown());
                    break;
                }
                _ => {}
            }
        }
        if let Some((when, Told::Placed(given))) = first {
            let said = notes.iter().filter_map(|(t, note)| match note {
                Note::Said(_, _, Said::Up(said)) if *t <= when + self.rules.slack => Some(*said),
                _ => None,
            });
            let said: Vec<u64> = said.collect();
            if said.is_empty() {
                self.report(Rule::Invented, id, shown());
            } else if !said.contains(&given) {
                self.report(Rule::Changed, id, shown());
            }
        }
    }

    /// Attempts of one set-up: never two at once, and none after one that may have run where its class
    /// must not start twice.
    fn attempts(&mut self, id: u64) {
        let Some((_, placer, class, _)) = self.sent(id) else {
            return;
        };
        let notes = self.of(id);
        let shown = || notes.iter().map(|n| (*n).clone()).collect::<Vec<_>>();
        // Each attempt: its host, when it came, and its end: when, and whether it proves that nothing ran.
        type Attempt = (usize, Micros, Option<(Micros, bool)>);
        let mut attempts: Vec<Attempt> = Vec::new();
        for (at, note) in &notes {
            let (host, ends) = match note {
                Note::Offered { host, .. } => {
                    attempts.push((*host, *at, None));
                    continue;
                }
                Note::Said(_, host, Said::Down(cause) | Said::Unsent(cause)) => {
                    (*host, matches!(cause, 34 | 102))
                }
                Note::Said(_, host, Said::Up(_) | Said::Cut) => (*host, false),
                Note::Stopped(_, host) | Note::Closed(_, host) => (*host, false),
                _ => continue,
            };
            if let Some((.., end)) = attempts.iter_mut().rev().find(|(h, ..)| *h == host)
                && end.is_none()
            {
                *end = Some((*at, ends));
            }
        }
        let (mut two, mut again) = (false, false);
        for pair in attempts.windows(2) {
            let [(host, out, end), (_, came, _)] = pair else {
                continue;
            };
            // That it was given up had to wait on its way.
            if self.held_to(placer, *host, *out, *came) {
                continue;
            }
            match end {
                Some((ended, proven)) => {
                    two |= *came + self.rules.slack < *ended;
                    again |= self.once(class) && !proven && *came > *ended;
                }
                None => two = true,
            }
        }
        if two {
            self.report(Rule::TwoAtOnce, id, shown());
        }
        if again {
            self.report(Rule::SentAgain, id, shown());
        }
    }

    /// What has stood and is over must be told.
    fn ends(&mut self, id: u64) {
        let notes = self.of(id);
        let mut up = None;
        let mut over = None;
        // Where it stands, as its client was told. A copy elsewhere, whose start nobody heard, ends unheard.
        let mut stands = None;
        for (at, note) in &notes {
            match note {
                Note::Told(_, Told::Placed(given)) if up.is_none() => {
                    up = Some(*at);
                    stands = notes.iter().find_map(|(_, note)| match note {
                        Note::Said(_, host, Said::Up(said)) if said == given => Some(*host),
                        _ => None,
                    });
                }
                Note::Sent { at: Some(host), .. } if up.is_none() => {
                    (up, stands) = (Some(*at), Some(*host))
                }
                Note::Said(_, host, Said::Down(cause))
                    if stands == Some(*host) && !matches!(cause, 31) =>
                {
                    over = over.or(Some((*at, self.rules.end_told)))
                }
                Note::Said(_, host, Said::Unsent(cause))
                    if stands == Some(*host) && !matches!(cause, 31) =>
                {
                    over = over.or(Some((*at, self.rules.end_found)))
                }
                _ => {}
            }
        }
        let (Some(up), Some(host), Some((over, within))) = (up, stands, over) else {
            return;
        };
        let placer = notes.iter().rev().find_map(|(_, note)| match note {
            Note::Sent { placer, .. } => Some(*placer),
            _ => None,
        });
        let due = over.max(up) + within + self.rules.slack;
        let held = placer.is_some_and(|p| {
            self.held(p, Peer::Clients, over, due) || self.held_to(p, host, over, due)
        });
        let hindered = held
            || placer
                .and_then(|p| self.lives.get(&p))
                .is_some_and(|lives| lives.hindered(up, due));
        let told = notes.iter().any(|(at, note)| {
            matches!(note, Note::Told(_, Told::Released(_) | Told::Moved))
                && *at >= up
                && *at <= due
        });
        // A client that ended it itself is owed nothing.
        let given_up = notes
            .iter()
            .any(|(_, note)| matches!(note, Note::GaveUp(_)));
        if !told && !hindered && !given_up && self.end > due {
            self.report(
                Rule::EndUntold,
                id,
                notes.iter().map(|n| (*n).clone()).collect(),
            );
        }
    }

    /// A task that must not start twice and ran at two places at once, over all its set-ups.
    fn running_twice(&mut self) {
        let mut keys: HashMap<u64, u64> = HashMap::new();
        for (_, note) in self.notes {
            if let Note::Sent { id, key, class, .. } = note
                && self.once(*class)
            {
                keys.insert(*id, *key);
            }
        }
        let mut runs: BTreeMap<u64, Vec<(Micros, Micros, u64, usize)>> = BTreeMap::new();
        let mut open: HashMap<(u64, usize), Micros> = HashMap::new();
        let mut close =
            |open: &mut HashMap<(u64, usize), Micros>, id: u64, host: usize, at: Micros| {
                if let Some(from) = open.remove(&(id, host))
                    && let Some(key) = keys.get(&id)
                {
                    runs.entry(*key).or_default().push((from, at, id, host));
                }
            };
        for (at, note) in self.notes {
            match note {
                Note::Said(id, host, Said::Up(_)) => {
                    open.insert((*id, *host), *at);
                }
                Note::Said(id, host, Said::Down(_) | Said::Unsent(_)) | Note::Stopped(id, host) => {
                    close(&mut open, *id, *host, *at)
                }
                Note::Died(host) => {
                    let gone: Vec<u64> = open
                        .keys()
                        .filter(|(_, h)| h == host)
                        .map(|(id, _)| *id)
                        .collect();
                    gone.into_iter()
                        .for_each(|id| close(&mut open, id, *host, *at));
                }
                _ => {}
            }
        }
        let left: Vec<(u64, usize)> = open.keys().copied().collect();
        left.into_iter()
            .for_each(|(id, host)| close(&mut open, id, host, self.end));
        for spans in runs.into_values() {
            let mut spans = spans;
            spans.sort_unstable();
            for pair in spans.windows(2) {
                if let [(_, to, first, a), (from, _, second, b)] = pair
                    && from < to
                {
                    let shown = [*first, *second]
                        .into_iter()
                        .flat_map(|id| self.of(id))
                        .cloned()
                        .collect();
                    let _ = (a, b);
                    self.report(Rule::RanTwice, *second, shown);
                }
            }
        }
    }

    /// Nothing new to a host that a placer was told is draining or gone.
    fn drains(&mut self) {
        let mut told: HashMap<(usize, usize), Micros> = HashMap::new();
        let mut late = Vec::new();
        for (at, note) in self.notes {
            match note {
                Note::Listed(placer, host, Listed::Up) => {
                    told.remove(&(*placer, *host));
                }
                Note::Listed(placer, host, _) => {
                    told.entry((*placer, *host)).or_insert(*at);
                }
                Note::Placer(placer, Life::Started) => told.retain(|(p, _), _| p != placer),
                Note::Offered { id, host, .. } => {
                    let Some((_, placer, ..)) = self.sent(*id) else {
                        continue;
                    };
                    if let Some(since) = told.get(&(placer, *host))
                        && at - since > self.rules.drain_grace + self.rules.slack
                        && !self.held_to(placer, *host, *since, *at)
                        && !self.held(placer, Peer::Feed, *since, *at)
                    {
                        let listed = Note::Listed(placer, *host, Listed::Draining);
                        late.push((*id, vec![(*since, listed), (*at, note.clone())]));
                    }
                }
                _ => {}
            }
        }
        late.into_iter()
            .for_each(|(id, shown)| self.report(Rule::Drain, id, shown));
    }

    /// Attempts and tasks of a service that a placer has in a room.
    fn spread(&mut self) {
        // What each life of a placer has there: by id, and since when it counts.
        type Place = (usize, usize, u64, usize);
        let mut held: HashMap<Place, BTreeMap<u64, Micros>> = HashMap::new();
        let mut where_is: HashMap<u64, Vec<Place>> = HashMap::new();
        let mut over = Vec::new();
        let room = |host: usize| self.rules.rooms.get(host).copied().unwrap_or(0);
        for (at, note) in self.notes {
            match note {
                Note::Sent {
                    id,
                    placer,
                    class,
                    service,
                    at: Some(host),
                    ..
                } if self
                    .rules
                    .classes
                    .get(*class)
                    .is_some_and(|(_, most)| most.is_some()) =>
                {
                    let life = self.lives.get(placer).map_or(0, |lives| lives.number(*at));
                    let place = (*placer, life, *service, room(*host));
                    held.entry(place).or_default().insert(*id, *at + 200 * MS);
                    where_is.entry(*id).or_default().push(place);
                }
                Note::Offered { id, host, .. } => {
                    let Some((_, placer, class, service)) = self.sent(*id) else {
                        continue;
                    };
                    let Some((_, Some(most))) = self.rules.classes.get(class) else {
                        continue;
                    };
                    let life = self.lives.get(&placer).map_or(0, |lives| lives.number(*at));
                    let place = (placer, life, service, room(*host));
                    let there = held.entry(place).or_default();
                    let before = there
                        .iter()
                        .filter(|(other, since)| **other != *id && **since <= *at)
                        .count();
                    if before >= *most as usize {
                        over.push((
                            *id,
                            *at,
                            note.clone(),
                            there.keys().copied().collect::<Vec<_>>(),
                        ));
                    }
                    there.insert(*id, *at);
                    where_is.entry(*id).or_default().push(place);
                }
                Note::Said(id, _, Said::Down(_) | Said::Unsent(_) | Said::Cut)
                | Note::Stopped(id, _)
                | Note::Closed(id, _)
                | Note::Told(id, Told::Released(_) | Told::Moved) => {
                    for place in where_is.remove(id).into_iter().flatten() {
                        if let Some(there) = held.get_mut(&place) {
                            there.remove(id);
                        }
                    }
                }
                _ => {}
            }
        }
        for (id, at, note, others) in over {
            let mut shown: Vec<(Micros, Note)> = others
                .iter()
                .filter_map(|other| {
                    self.of(*other)
                        .into_iter()
                        .find(|(_, n)| matches!(n, Note::Offered { .. }))
                })
                .cloned()
                .collect();
            shown.push((at, note));
            self.report(Rule::Spread, id, shown);
        }
    }
}

#[cfg(test)]
mod tests;
