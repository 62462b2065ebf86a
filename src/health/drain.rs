//! Graceful shutdown behind load balancers, as a state machine of the phases of a drain.
//!
//! ```text
//!          begin               every check has seen it,          no response pending for a while
//!  ┌──────┐      ┌────────────┐ or its time is up  ┌─────────────┐                ┌────────────────┐
//!  │ idle ├─────▶│ announcing ├───────────────────▶│ closing idle├───────────────▶│ awaiting tasks │
//!  └──▲───┘      └────┬───────┘                    └──┬──┬───────┘                └──┬──┬──────────┘
//!     │ cancel        │             responses pending │  │ cancel                    │  │ none runs and all
//!     ◀───────────────┴──────────── beyond their time,│  ◀───────────────────────────┤  │ ends are reported,
//!     │                             or second signal  ▼                              │  │ or its time is up
//!     │                                      ┌───────────────┐  second signal        │  ▼
//!     │                                      │ answering all │◀──────────────────────┘ ┌─────────┐
//!     │                                      └────┬──────────┘                         │ drained │
//!     │                                           │ all answered                       └──┬───┬──┘
//!     │                                           ▼                to exit                │   │ cancel
//!     │                                       ┌──────────┐◀───────────────────────────────┘   │
//!     │                                       │ finished │                                    │
//!     │                                       └──────────┘                                    │
//!     ◀───────────────────────────────────────────────────────────────────────────────────────┘
//! ```
//!
//! - *announcing*: the state `drain` is reported to load balancers. New requests are accepted as before, since load
//!   balancers that have not polled yet still send them.
//! - *closing idle*: connections without a request or task are closed. New requests are still served.
//! - *awaiting tasks*: pending responses are sent, and the ends of running tasks are awaited and reported to clients.
//! - *answering all*: the decision module is notified to answer all pending requests within a time limit. The drain
//!   can't be cancelled any more, since requests that the module has given up can't be restored.
//!
//! The drain is deterministic: time is an argument, and there is no I/O. Logs and answers to operators use earlier
//! names of the phases; see [`Phase::as_str`].

mod effect;
mod phase;
mod pollers;

pub use effect::{AfterDrain, Effect, Outstanding};
pub use phase::{Phase, PhaseReason};
pub use pollers::{CheckKind, Poller, PollerCount};

use crate::Micros;
use pollers::Pollers;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;

/// The time limits of a drain, and the numbers of answered polls after which load balancers count as having seen the
/// drain.
#[derive(Debug, Clone, PartialEq)]
pub struct DrainLimits {
    /// The maximum time for which the process announces the drain and waits for load balancers to poll.
    pub max_announcement: Micros,
    /// The time that a load balancer is given to act on the answer that announces the drain.
    pub settle_time: Micros,
    /// The number of answered polls after which an agent check has seen the drain.
    pub agent_polls: u32,
    /// The number of answered polls after which an HTTP check has seen the drain. It equals the fall count of the
    /// check, the failures in a row after which the load balancer acts.
    pub http_polls: u32,
    /// The time without a pending response after which no further request is expected.
    pub quiet_time: Micros,
    /// The maximum time for which each phase of the drain waits for pending responses.
    pub max_answer_time: Micros,
    /// The maximum time for which the ends of running tasks are awaited.
    pub max_task_time: Micros,
    /// The time that the decision module gets to answer all pending requests once the drain stops waiting for them.
    pub final_answer_time: Micros,
    /// The time after which the process exits even if requests are unanswered. It runs, like `final_answer_time`, from
    /// the moment at which the drain stops waiting for pending responses.
    pub final_exit_time: Micros,
}

impl Default for DrainLimits {
    fn default() -> DrainLimits {
        DrainLimits {
            max_announcement: 10 * SECOND,
            settle_time: 500 * MILLISECOND,
            agent_polls: 1,
            http_polls: 3,
            quiet_time: SECOND,
            max_answer_time: 15 * SECOND,
            max_task_time: 120 * SECOND,
            final_answer_time: 3_300 * MILLISECOND,
            final_exit_time: 3_500 * MILLISECOND,
        }
    }
}

/// The error that a drain can't be cancelled any more, since the decision module was notified to answer all pending
/// requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("too late: the process ends")]
pub struct TooLateToCancel;

/// The state of the drain of one process.
#[derive(Debug, Clone)]
pub struct Drain {
    limits: DrainLimits,
    phase: Phase,
    phase_since: Micros,
    began_at: Micros,
    after: AfterDrain,
    /// The time since which no response has been pending, or `None` while one is pending.
    quiet_since: Option<Micros>,
    pollers: Pollers,
}

impl Drain {
    /// Creates the state of a process that is not draining.
    pub fn new(limits: DrainLimits) -> Drain {
        Drain {
            limits,
            phase: Phase::Idle,
            phase_since: 0,
            began_at: 0,
            after: AfterDrain::Wait,
            quiet_since: None,
            pollers: Pollers::default(),
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether the process exits after the drain.
    pub fn exits(&self) -> bool {
        self.after == AfterDrain::Exit
    }

    /// Returns how many load balancer checks poll, and how many of them have seen the drain.
    pub fn pollers(&self, now: Micros) -> PollerCount {
        self.pollers.count(now)
    }

    /// Records that a load balancer's check was answered.
    pub fn record_poll(&mut self, now: Micros, poller: &Poller) {
        self.pollers.record_poll(now, poller);
        if self.phase != Phase::Idle {
            let needed = match poller.kind {
                CheckKind::Agent => self.limits.agent_polls,
                CheckKind::Http => self.limits.http_polls,
            };
            self.pollers.record_drain_answer(now, poller, needed);
        }
    }

    /// Begins a drain. If a drain is in progress after which the process exits, a further request to exit ends the
    /// wait for pending responses and running tasks.
    pub fn begin(&mut self, now: Micros, after: AfterDrain) -> Vec<Effect> {
        match self.phase {
            Phase::Idle => {
                self.after = after;
                self.began_at = now;
                self.pollers.reset_drain_answers();
                let reason = match after {
                    AfterDrain::Exit => PhaseReason::Signal,
                    AfterDrain::Wait => PhaseReason::Command,
                };
                vec![
                    Effect::AnnounceDrain,
                    self.enter(now, Phase::Announcing, reason),
                ]
            }
            Phase::AnsweringAll | Phase::Finished => Vec::new(),
            _ if after == AfterDrain::Exit && self.exits() => {
                self.stop_waiting(now, PhaseReason::SecondSignal)
            }
            _ => {
                if after == AfterDrain::Exit {
                    self.after = AfterDrain::Exit;
                }
                Vec::new()
            }
        }
    }

    /// Cancels the drain, so that the process returns to service.
    ///
    /// # Errors
    ///
    /// Returns [`TooLateToCancel`] once the decision module has been notified to answer all pending requests.
    pub fn cancel(&mut self, now: Micros) -> Result<Vec<Effect>, TooLateToCancel> {
        match self.phase {
            Phase::Idle => Ok(Vec::new()),
            Phase::AnsweringAll | Phase::Finished => Err(TooLateToCancel),
            _ => {
                self.after = AfterDrain::Wait;
                Ok(vec![
                    Effect::WithdrawDrain,
                    Effect::StopClosingIdle,
                    self.enter(now, Phase::Idle, PhaseReason::Cancelled),
                ])
            }
        }
    }

    /// Advances the drain to its next phase if the time and the unfinished work call for it, and returns the effects
    /// that the program must carry out.
    pub fn advance(&mut self, now: Micros, outstanding: Outstanding) -> Vec<Effect> {
        self.update_quiet(now, outstanding);
        match self.phase {
            Phase::Idle | Phase::Finished => Vec::new(),
            Phase::Announcing => self.advance_announcing(now),
            Phase::ClosingIdle => self.advance_closing(now),
            Phase::AwaitingTasks => self.advance_awaiting(now, outstanding),
            Phase::Drained => self.advance_drained(now, outstanding),
            Phase::AnsweringAll => self.advance_answering(now, outstanding),
        }
    }

    fn update_quiet(&mut self, now: Micros, outstanding: Outstanding) {
        if outstanding.pending_responses > 0 {
            self.quiet_since = None;
        } else {
            self.quiet_since.get_or_insert(now);
        }
    }

    /// Returns whether no response has been pending for at least [`DrainLimits::quiet_time`].
    fn is_quiet(&self, now: Micros) -> bool {
        self.quiet_since
            .is_some_and(|since| now - since >= self.limits.quiet_time)
    }

    fn time_in_phase(&self, now: Micros) -> Micros {
        now - self.phase_since
    }

    fn advance_announcing(&mut self, now: Micros) -> Vec<Effect> {
        let Some(reason) = self.announcement_end(now) else {
            return Vec::new();
        };
        vec![
            Effect::StartClosingIdle,
            self.enter(now, Phase::ClosingIdle, reason),
        ]
    }

    /// Returns why the announcement of the drain ends now, or `None` if it goes on. If no load balancer polls, the
    /// announcement lasts for [`DrainLimits::quiet_time`], so that requests that are on their way arrive.
    fn announcement_end(&self, now: Micros) -> Option<PhaseReason> {
        let elapsed = now - self.began_at;
        if elapsed >= self.limits.max_announcement {
            return Some(PhaseReason::AnnouncementLimit);
        }
        if self.pollers.count(now).live == 0 {
            return (elapsed >= self.limits.quiet_time).then_some(PhaseReason::NobodyPolls);
        }
        self.pollers
            .all_settled(now, self.limits.settle_time)
            .then_some(PhaseReason::AllNotified)
    }

    fn advance_closing(&mut self, now: Micros) -> Vec<Effect> {
        let elapsed = self.time_in_phase(now);
        if self.is_quiet(now) && elapsed >= self.limits.quiet_time {
            return vec![self.enter(now, Phase::AwaitingTasks, PhaseReason::NothingPending)];
        }
        // Responses take far less time than this limit unless something blocks them, so the drain stops waiting.
        if elapsed >= self.limits.max_answer_time {
            return self.stop_waiting(now, PhaseReason::AnswerLimit);
        }
        Vec::new()
    }

    fn advance_awaiting(&mut self, now: Micros, outstanding: Outstanding) -> Vec<Effect> {
        let elapsed = self.time_in_phase(now);
        if self.responses_are_overdue(now, outstanding) {
            return self.stop_waiting(now, PhaseReason::AnswerLimit);
        }
        let reason = if outstanding.is_answered() && outstanding.has_no_tasks() {
            PhaseReason::NoTaskRuns
        } else if elapsed >= self.limits.max_task_time && outstanding.pending_responses == 0 {
            PhaseReason::TaskLimit
        } else {
            return Vec::new();
        };
        let mut effects = vec![self.enter(now, Phase::Drained, reason)];
        effects.extend(self.exit_after_drain(now, outstanding));
        effects
    }

    fn advance_drained(&mut self, now: Micros, outstanding: Outstanding) -> Vec<Effect> {
        if self.responses_are_overdue(now, outstanding) {
            return self.stop_waiting(now, PhaseReason::AnswerLimit);
        }
        if outstanding.is_answered() {
            return self.exit_after_drain(now, outstanding);
        }
        Vec::new()
    }

    /// Returns whether a process that is to exit still has pending responses after [`DrainLimits::max_answer_time`]
    /// in this phase.
    fn responses_are_overdue(&self, now: Micros, outstanding: Outstanding) -> bool {
        self.exits()
            && outstanding.pending_responses > 0
            && self.time_in_phase(now) >= self.limits.max_answer_time
    }

    fn advance_answering(&mut self, now: Micros, outstanding: Outstanding) -> Vec<Effect> {
        let is_answered = outstanding.is_answered();
        let is_overdue = self.time_in_phase(now) >= self.limits.final_exit_time;
        let is_done = is_answered && self.is_quiet(now);
        if !is_done && !is_overdue {
            return Vec::new();
        }
        let reason = if is_answered {
            PhaseReason::AllAnswered
        } else {
            PhaseReason::ExitLimit
        };
        self.finish(now, reason, outstanding)
    }

    fn exit_after_drain(&mut self, now: Micros, outstanding: Outstanding) -> Vec<Effect> {
        if self.exits() {
            self.finish(now, PhaseReason::Drained, outstanding)
        } else {
            Vec::new()
        }
    }

    fn finish(&mut self, now: Micros, reason: PhaseReason, left: Outstanding) -> Vec<Effect> {
        vec![
            self.enter(now, Phase::Finished, reason),
            Effect::Exit { left },
        ]
    }

    /// Stops waiting for pending responses. A process that is to exit has the decision module answer all pending
    /// requests. A process that is not to exit awaits running tasks next, since a blocked request must not end the
    /// process.
    fn stop_waiting(&mut self, now: Micros, reason: PhaseReason) -> Vec<Effect> {
        if !self.exits() {
            return vec![self.enter(now, Phase::AwaitingTasks, reason)];
        }
        self.quiet_since = None;
        vec![
            self.enter(now, Phase::AnsweringAll, reason),
            Effect::AnswerAll {
                within: self.limits.final_answer_time,
            },
        ]
    }

    fn enter(&mut self, now: Micros, phase: Phase, reason: PhaseReason) -> Effect {
        self.phase = phase;
        self.phase_since = now;
        Effect::Entered { phase, reason }
    }
}

#[cfg(test)]
mod tests;
