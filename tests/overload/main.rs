//! Tests a fleet of placers under overload and after partial failures, in simulated time. The scenarios are the hard
//! cases of `docs/design/overload.md`.
//!
//! Each scenario is simulated with 3, 12 and 30 placers with overload control, where its condition must hold for each
//! number of placers, and with 12 placers without the features under test, where its condition must not hold.

mod scenarios;
mod simulation;

use scenarios::MakeScenario;
use simulation::{SECOND, Scenario, Simulation, Summary};
use task_placer::overload::{Features, health_check_schedule};

const PLACER_COUNTS: [usize; 3] = [3, 12, 30];

/// Asserts that `condition` holds for a scenario with all features, for each number of placers, and that it does not
/// hold if only the features in `without` are enabled.
fn assert_holds_only_with_overload_control(
    make_scenario: MakeScenario,
    without: &Features,
    condition: impl Fn(&Summary) -> bool,
) {
    for placer_count in PLACER_COUNTS {
        let summary = Simulation::run(make_scenario(placer_count, Features::all()));
        let figures = format!(
            "success {:.3}, at the end {:.3}, attempts per task {:.2}, futile attempts {:?}",
            summary.success(),
            summary.success_between(12, 16),
            summary.attempts_per_task(),
            summary.futile_attempts
        );
        assert!(
            condition(&summary),
            "condition does not hold with {placer_count} placers: {figures}"
        );
        assert_eq!(
            (summary.unanswered, summary.duplicate_responses),
            (0, 0),
            "unanswered requests and duplicate responses with {placer_count} placers"
        );
    }

    let summary = Simulation::run(make_scenario(12, without.clone()));

    assert!(
        !condition(&summary),
        "condition holds without the features under test: success {:.3}, at the end {:.3}",
        summary.success(),
        summary.success_between(12, 16)
    );
}

/// Asserts that the fraction of tasks started within the objective is above `min_success` over the whole scenario,
/// and above `min_final_success` in its last seconds, but only with overload control.
fn assert_recovers(
    make_scenario: MakeScenario,
    without: &Features,
    min_success: f64,
    min_final_success: f64,
) {
    assert_holds_only_with_overload_control(make_scenario, without, |summary| {
        summary.success() > min_success && summary.success_between(12, 16) > min_final_success
    });
}

#[test]
fn load_peak_of_three_times_the_capacity_is_shed_alike_by_three_placers_and_by_thirty() {
    assert_holds_only_with_overload_control(
        scenarios::load_peak_of_three_times_the_capacity,
        &Features::default(),
        |summary| summary.success() > 0.32 && summary.attempts_per_task() < 0.6,
    );
}

#[test]
fn zone_lost_under_load_and_replaced_cold_leaves_no_overload_behind() {
    assert_recovers(
        scenarios::zone_lost_under_load_and_replaced_cold,
        &Features::default(),
        0.93,
        0.95,
    );
}

#[test]
fn placers_killed_during_a_load_peak_do_not_prolong_it_when_they_start_again() {
    assert_recovers(
        scenarios::placers_killed_during_a_load_peak,
        &Features::default(),
        0.52,
        0.95,
    );
}

#[test]
fn placers_stalled_during_a_load_peak_do_not_prolong_it_when_they_resume() {
    assert_recovers(
        scenarios::placers_stalled_during_a_load_peak,
        &Features::default(),
        0.49,
        0.95,
    );
}

#[test]
fn faults_seen_by_one_placer_only_are_not_attributed_to_the_fleet() {
    assert_recovers(
        scenarios::one_placer_with_cut_links,
        &Features::default(),
        0.97,
        0.98,
    );
}

#[test]
fn unreachable_cell_is_checked_in_time_slots_whatever_the_number_of_placers() {
    // A quarter of a second may contain parts of the slots of two groups of placers.
    let concurrent_placers = health_check_schedule::Settings::default().concurrent_placers;
    let max_checks = 2 * concurrent_placers as u32;
    assert_holds_only_with_overload_control(
        scenarios::cell_cut_off_from_all_placers,
        &Features::default(),
        |summary| {
            summary.success() > 0.9
                && summary.max_futile_attempts_per_quarter(6 * SECOND) <= max_checks
        },
    );
}

#[test]
fn endpoint_list_ten_seconds_late_does_not_prolong_an_overload() {
    assert_recovers(
        scenarios::endpoint_list_ten_seconds_late,
        &Features::default(),
        0.56,
        0.95,
    );
}

#[test]
fn clients_that_ignore_retry_after_do_not_crowd_out_those_that_honour_it() {
    // Without concurrency limits and admission control, a Retry-After alone does not help.
    let retry_after_only = Features {
        retry_after: true,
        ..Features::default()
    };
    assert_recovers(
        scenarios::half_of_the_clients_ignore_retry_after,
        &retry_after_only,
        0.55,
        0.95,
    );
}

#[test]
fn placer_with_most_of_the_traffic_gets_its_part_of_the_hosts() {
    assert_holds_only_with_overload_control(
        scenarios::one_placer_with_most_of_the_traffic,
        &Features::default(),
        |summary| summary.success() > 0.53 && summary.attempts_per_task() < 0.95,
    );
}

#[test]
fn placers_restarted_without_state_during_a_load_peak_do_not_prolong_it() {
    assert_recovers(
        scenarios::placers_restarted_during_a_load_peak,
        &Features::default(),
        0.54,
        0.95,
    );
}

#[test]
fn hosts_that_flap_do_not_overload_the_others() {
    assert_recovers(scenarios::hosts_that_flap, &Features::default(), 0.95, 0.97);
}

fn features_label(features: &Features) -> &'static str {
    if features.any() { "with" } else { "without" }
}

#[test]
#[ignore = "a table for people: cargo test --release --test overload load_peak_table -- --ignored --nocapture"]
fn load_peak_table() {
    for features in [Features::default(), Features::all()] {
        for placer_count in [1, 3, 12, 30] {
            let mut line = format!("{:<7} {placer_count:>3}", features_label(&features));
            for seed in 1..=3 {
                let scenario = Scenario::load_peak(placer_count, 1.8, features.clone(), seed);
                let summary = Simulation::run(scenario);
                line.push_str(&format!(
                    "   {:.1} % {:.1} % {:.2}",
                    100.0 * summary.success(),
                    100.0 * summary.success_between(8, 18),
                    summary.attempts_per_task()
                ));
                assert_eq!((summary.unanswered, summary.duplicate_responses), (0, 0));
            }
            println!("{line}");
        }
    }
}

/// Prints the results of each scenario without and with overload control.
#[test]
#[ignore = "a table for people: cargo test --release --test overload scenario_table -- --ignored --nocapture"]
fn scenario_table() {
    for (name, make_scenario) in scenarios::ALL {
        for placer_count in PLACER_COUNTS {
            for features in [Features::default(), Features::all()] {
                let label = features_label(&features);
                let summary = Simulation::run(make_scenario(placer_count, features));
                println!(
                    "{name:<16} {placer_count:>2} {label:<7} success {:>5.1} % at the end {:>5.1} % attempts per task {:.2} futile at most {} a quarter, {} in all; unanswered {}",
                    100.0 * summary.success(),
                    100.0 * summary.success_between(12, 16),
                    summary.attempts_per_task(),
                    summary.max_futile_attempts_per_quarter(0),
                    summary.futile_attempts.values().sum::<u32>(),
                    summary.unanswered,
                );
            }
        }
    }
}
