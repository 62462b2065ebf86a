//! Evaluates a run after all placers have exited: checks the rules, and measures the impact of overload on the hosts.

use super::deployment::Deployment;
use super::state::GeneratorState;
use crate::fault_injector::Action;
use crate::load_profile::{LoadProfile, Micros};
use crate::outcome::{Outcome, TaskRecord};
use crate::overload_impact::OverloadImpact;
use crate::plan::Plan;
use emulator::event_log::{Event as LogEvent, EventLog, TimedEvent};
use emulator::rule_check::{ClassRules, RuleSettings, check};
use emulator::supervisor::Supervisor;

/// A run whose clients have stopped and whose placers have exited.
pub(super) struct FinishedRun {
    pub(super) supervisor: Supervisor,
    /// When the plan began.
    pub(super) start: Micros,
    /// When clients stopped.
    pub(super) end: Micros,
    pub(super) actions: Vec<(Micros, Action)>,
    pub(super) interrupted: bool,
}

/// Returns the outcome of a run.
pub(super) fn evaluate(
    plan: &Plan,
    profile: LoadProfile,
    deployment: Deployment,
    run: FinishedRun,
    state: &GeneratorState,
    log: &EventLog,
) -> Outcome {
    let placers = 0..run.supervisor.count();
    let peak_memory_kb = placers
        .clone()
        .map(|placer| run.supervisor.peak_memory_kb(placer))
        .collect();
    let peak_descriptors = placers
        .map(|placer| run.supervisor.peak_descriptors(placer))
        .collect();
    let cluster = deployment.cluster;
    let load_samples = cluster.load_samples();
    let (host_zones, host_slots) = (cluster.host_zones(), cluster.host_slots());
    drop(cluster);
    let events = events_until(log, run.end);
    let settings = RuleSettings {
        host_zones,
        host_slots: host_slots.clone(),
        ..rule_settings(plan, state)
    };
    let slot = |host: usize| host_slots.get(host).copied();
    let mut tasks: Vec<TaskRecord> = state.tasks.values().cloned().collect();
    tasks.sort_by_key(|task| task.key);
    Outcome {
        plan: plan.clone(),
        profile,
        tasks,
        start: run.start,
        end: run.end,
        lateness: state.lateness.clone(),
        counts: state.clients.counts(),
        findings: check(&events, &settings, run.end),
        impact: OverloadImpact::measure(plan, &events, run.start, run.end, slot),
        event_count: events.len(),
        load_samples,
        peak_memory_kb,
        peak_descriptors,
        actions: run.actions,
        interrupted: run.interrupted,
    }
}

/// Returns the events until the clients stopped, since no client received later messages, and all later events about
/// placers, since how they exited is checked as well.
fn events_until(log: &EventLog, end: Micros) -> Vec<TimedEvent> {
    log.events()
        .into_iter()
        .filter(|(at, event)| *at <= end || matches!(event, LogEvent::PlacerChanged { .. }))
        .collect()
}

/// Returns the settings of the rule check for a plan. The tolerance includes the generator's own lateness, by which it
/// may have seen every answer late.
fn rule_settings(plan: &Plan, state: &GeneratorState) -> RuleSettings {
    let lateness = Micros::try_from(state.lateness.max()).unwrap_or(0);
    let limit = |max: u32| (max > 0).then_some(max);
    let defaults = RuleSettings::default();
    RuleSettings {
        classes: plan
            .classes
            .iter()
            .map(|class| ClassRules {
                non_idempotent: class.non_idempotent,
                max_per_zone: limit(class.max_per_zone),
            })
            .collect(),
        time_tolerance: defaults.time_tolerance + lateness,
        ..defaults
    }
}
