//! The rules with their printed names, the settings of a check, and its findings.

use crate::event_log::TimedEvent;
use crate::host_model::Micros;
use std::fmt;

/// One millisecond.
pub(super) const MILLISECOND: Micros = 1_000;

/// A rule that placers must not violate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Every accepted request is answered.
    Answer,
    /// A request is answered within the time that its client waits, plus a tolerance.
    PromptAnswer,
    /// A request is answered only once.
    SingleAnswer,
    /// A task is reported to its client as placed only if a host has reported it as running.
    ConfirmedPlacement,
    /// The descriptions of tasks are passed on unchanged, to hosts and to clients.
    UnchangedDescription,
    /// A non-idempotent task is not offered again if an earlier attempt may have started it.
    SafeRetry,
    /// A non-idempotent task never runs twice at the same time.
    SingleRun,
    /// A request never has more than one attempt in flight.
    SingleAttempt,
    /// No offer is sent to a host that the placer knows to be draining or removed.
    RespectDrain,
    /// A placer has no more tasks of a service in a zone than its limit allows.
    ZoneLimit,
    /// A host in slow start is not overloaded.
    SlowStart,
    /// The client of a running task is notified in time of its end.
    EndNotice,
    /// A placer exits only on request, and with exit code 0.
    CleanExit,
}

impl Rule {
    /// All rules.
    pub const ALL: [Rule; 13] = [
        Rule::Answer,
        Rule::PromptAnswer,
        Rule::SingleAnswer,
        Rule::ConfirmedPlacement,
        Rule::UnchangedDescription,
        Rule::SafeRetry,
        Rule::SingleRun,
        Rule::SingleAttempt,
        Rule::RespectDrain,
        Rule::ZoneLimit,
        Rule::SlowStart,
        Rule::EndNotice,
        Rule::CleanExit,
    ];

    /// Returns the name under which a violation appears in results and reports. These names must not change, as they
    /// are part of the output format.
    pub fn as_str(self) -> &'static str {
        match self {
            Rule::Answer => "no-answer",
            Rule::PromptAnswer => "late-answer",
            Rule::SingleAnswer => "second-answer",
            Rule::ConfirmedPlacement => "invented",
            Rule::UnchangedDescription => "changed",
            Rule::SafeRetry => "sent-again",
            Rule::SingleRun => "ran-twice",
            Rule::SingleAttempt => "two-at-once",
            Rule::RespectDrain => "drain",
            Rule::ZoneLimit => "spread",
            Rule::SlowStart => "pushed-over",
            Rule::EndNotice => "end-untold",
            Rule::CleanExit => "crash",
        }
    }
}

/// The rules that apply to the tasks of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassRules {
    /// Whether the tasks of the class must not be started twice.
    pub non_idempotent: bool,
    /// The maximum number of tasks of one service that a placer may have in a zone, or `None` for no limit.
    pub max_per_zone: Option<u32>,
}

/// The description of the deployment and the tolerances that a check uses.
#[derive(Debug, Clone)]
pub struct RuleSettings {
    /// The rules of each class, by its index.
    pub classes: Vec<ClassRules>,
    /// The zone of each host, by the number of the host.
    pub host_zones: Vec<usize>,
    /// The slot of each host, by the number of the host, used to look up its links. A host without an entry is in the
    /// slot that equals its number.
    pub host_slots: Vec<usize>,
    /// How long after the notification of a drain the placer may still send offers to the draining host.
    pub drain_grace: Micros,
    /// How long after the client's waiting time an answer is still in time.
    pub answer_grace: Micros,
    /// The time within which a client must be notified of the end of its task.
    pub end_notice_limit: Micros,
    /// The time within which a client must be notified of the end of its task if the host had no connection to report
    /// it on.
    pub undelivered_end_limit: Micros,
    /// The tolerance when comparing the times that different parties have recorded.
    pub time_tolerance: Micros,
}

impl Default for RuleSettings {
    fn default() -> RuleSettings {
        RuleSettings {
            classes: Vec::new(),
            host_zones: Vec::new(),
            host_slots: Vec::new(),
            drain_grace: 2_000 * MILLISECOND,
            answer_grace: 8 * MILLISECOND,
            end_notice_limit: 1_000 * MILLISECOND,
            undelivered_end_limit: 8_000 * MILLISECOND,
            time_tolerance: 50 * MILLISECOND,
        }
    }
}

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// The violated rule.
    pub rule: Rule,
    /// The id of the request, or 0 if the violation does not concern a request.
    pub id: u64,
    /// The events that show the violation.
    pub evidence: Vec<TimedEvent>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.rule.as_str())?;
        if self.id != 0 {
            write!(f, " of {:016x}", self.id)?;
        }
        for (at, event) in &self.evidence {
            let (millis, micros) = (at / MILLISECOND, at % MILLISECOND);
            write!(f, "\n    {millis:>10}.{micros:03} ms  {event:?}")?;
        }
        Ok(())
    }
}
