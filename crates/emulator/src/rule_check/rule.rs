//! The rules by name, what a check of them depends on, and what it finds.

use crate::event_log::TimedEvent;
use crate::host_model::Micros;
use std::fmt;

/// A millisecond.
pub(super) const MILLISECOND: Micros = 1_000;

/// A rule that placers must keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// An accepted request is answered.
    Answer,
    /// The answer is in time.
    PromptAnswer,
    /// There is only one answer.
    SingleAnswer,
    /// A task is reported as placed only if a host has reported it as running.
    ConfirmedPlacement,
    /// Descriptions arrive unchanged.
    UnchangedDescription,
    /// A non-idempotent task is not retried if an earlier attempt may have started it.
    SafeRetry,
    /// A non-idempotent task does not run twice at the same time.
    SingleRun,
    /// A request has only one attempt in flight.
    SingleAttempt,
    /// No offers to a host that is known to be draining or removed.
    RespectDrain,
    /// No more tasks of a service in a zone than allowed.
    ZoneLimit,
    /// Hosts in slow start are not overloaded.
    SlowStart,
    /// Clients are notified of the end of a task in time.
    EndNotice,
    /// Placers exit only on request, and without an error.
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

    /// Returns the name of its violation in results and reports, a fixed format.
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

/// The rules of a task class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassRules {
    /// Whether its tasks must not be started twice.
    pub non_idempotent: bool,
    /// The tasks of one service that a placer may have in a zone, if limited.
    pub max_per_zone: Option<u32>,
}

/// The deployment and the tolerances that a check depends on.
#[derive(Debug, Clone)]
pub struct RuleSettings {
    /// The rules of each class.
    pub classes: Vec<ClassRules>,
    /// The zone of each host.
    pub host_zones: Vec<usize>,
    /// The slot of each host, for links; a host without an entry is in the slot of its number.
    pub host_slots: Vec<usize>,
    /// How long after its notification a placer may still send to a draining host.
    pub drain_grace: Micros,
    /// How late an answer may be.
    pub answer_grace: Micros,
    /// How soon a client is notified of the end of its task.
    pub end_notice_limit: Micros,
    /// The same where the host had no connection for its report.
    pub undelivered_end_limit: Micros,
    /// The tolerance between the times of different parties.
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
    /// The rule.
    pub rule: Rule,
    /// The id of the request; 0 where it concerns none.
    pub id: u64,
    /// The events that show it.
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
