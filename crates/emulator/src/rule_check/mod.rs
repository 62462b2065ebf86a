//! Checks the event log of a run for violations of the protocol's rules.
//!
//! [`check`] groups the events of clients, hosts, feeds and the supervisor by request, and returns each violation with
//! the events that show it. It uses no other information. A placer is excused for what it could not do while its
//! process was not active or one of its links was impaired.

mod answers;
mod attempts;
mod deployment;
mod rule;
mod run;
#[cfg(test)]
mod tests;

use crate::event_log::TimedEvent;
use crate::host_model::Micros;
pub use rule::{ClassRules, Finding, Rule, RuleSettings};
use run::Run;

/// Returns the violations in the events of a run that ended at `end`, ordered by the times of their first events.
pub fn check(events: &[TimedEvent], settings: &RuleSettings, end: Micros) -> Vec<Finding> {
    let mut events: Vec<TimedEvent> = events.to_vec();
    events.sort_by_key(|(at, _)| *at);
    let run = Run::new(&events, settings, end);
    let mut findings = Vec::new();
    deployment::check_exits(&run, &mut findings);
    deployment::check_slow_starts(&run, &mut findings);
    for id in run.request_ids() {
        answers::check_answer(&run, id, &mut findings);
        attempts::check_attempts(&run, id, &mut findings);
        answers::check_end_notice(&run, id, &mut findings);
    }
    attempts::check_concurrent_runs(&run, &mut findings);
    deployment::check_drains(&run, &mut findings);
    deployment::check_zone_limits(&run, &mut findings);
    findings.sort_by_key(|finding| (finding.evidence.first().map(|(at, _)| *at), finding.rule));
    findings
}
