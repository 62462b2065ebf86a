//! Feeds random legal sequences of events to placers with different settings. Checks the five rules that the `checker`
//! module lists, and that every request gets exactly one final response, by records that are independent of the
//! decision module.

mod checker;
#[path = "../common/mod.rs"]
mod common;
mod digest;
mod run;

use common::*;
use run::RandomRun;
use std::collections::BTreeSet;
use task_placer::*;

/// Digest of all actions of the runs below, in order. A different digest means that a decision has changed, which must
/// not happen when code is only renamed, moved or split.
const DIGEST_OF_ALL_ACTIONS: u64 = 0x8b9fdbbdc2c439bc;
const SEEDS: u64 = 40;
const STEPS: usize = 400;
const TICKS_TO_RUN_OUT: usize = 4_000;

/// Settings of a placer and the number of hosts in its endpoint list.
struct Variant {
    settings: Settings,
    hosts: usize,
}

/// Returns settings with one class for each scope of an idempotency key and one for tasks that must not run twice, each
/// with another spread domain.
fn all_idempotencies() -> Settings {
    let base = Settings::example();
    let template = base.classes[0].clone();
    let key = |scope| Idempotency::IdempotencyKey { scope };
    let idempotencies = [
        key(KeyScope::All),
        key(KeyScope::Zone),
        key(KeyScope::Cell),
        Idempotency::NonIdempotent,
    ];
    let domains = [
        SpreadDomain::Host,
        SpreadDomain::Zone,
        SpreadDomain::Cell,
        SpreadDomain::None,
    ];
    let classes = idempotencies.into_iter().zip(domains);
    let classes = classes.map(|(idempotency, spread_domain)| TaskClass {
        idempotency,
        spread_domain,
        ..template.clone()
    });
    Settings {
        classes: classes.collect(),
        ..base
    }
}

/// Returns the settings of `all_idempotencies` with one more class of one task per host, for a fleet of placers that
/// subscribe to the endpoint list.
fn mixed_fleet() -> Settings {
    let mut settings = all_idempotencies();
    settings.classes.push(TaskClass {
        max_per_domain: 1,
        spread_domain: SpreadDomain::Host,
        ..Settings::example().classes[0].clone()
    });
    settings.placer_count = 12;
    settings.requires_subscription = true;
    settings.acknowledgement = Acknowledgement::Running;
    settings
}

/// Returns settings of a single placer without health checks and load reports.
fn without_reports() -> Settings {
    Settings {
        placer_count: 1,
        allows_health_checks: false,
        load_report: Vec::new(),
        endpoints_show_free_resources: false,
        counts_requested_resources: false,
        ..Settings::example()
    }
}

fn variants() -> Vec<Variant> {
    let large_fleet = Settings {
        placer_count: 250,
        ..mixed_fleet()
    };
    let no_attempts = Settings {
        max_attempts: 0,
        ..Settings::example()
    };
    let no_kinds = Settings {
        host_kinds: Vec::new(),
        mean_cores: 0.0,
        ..Settings::example()
    };
    let variants = [
        (Settings::example(), 6),
        (all_idempotencies(), 8),
        (mixed_fleet(), 8),
        (mixed_fleet(), 1),
        (large_fleet, 8),
        (without_reports(), 3),
        (no_attempts, 3),
        (no_kinds, 2),
    ];
    variants
        .map(|(settings, hosts)| Variant { settings, hosts })
        .into()
}

#[test]
fn rules_hold_and_every_request_gets_one_response() {
    let mut digest = digest::EMPTY;
    for (number, variant) in variants().iter().enumerate() {
        for seed in 0..SEEDS {
            let mut run = RandomRun::new(&variant.settings, variant.hosts, number, seed, digest);

            (0..STEPS).for_each(|step| run.step(step));
            run.run_out(TICKS_TO_RUN_OUT);

            let requests = &run.checker.requests;
            let pending: BTreeSet<_> = requests
                .iter()
                .filter(|(_, request)| request.is_pending())
                .map(|(id, _)| id)
                .collect();
            assert!(
                pending.is_empty(),
                "variant {number}, seed {seed}: no response for {pending:?}"
            );
            let answered = requests
                .values()
                .filter(|request| request.is_answered || request.is_placed);
            assert_eq!(
                run.checker.responses,
                answered.count(),
                "variant {number}, seed {seed}: number of responses"
            );
            assert!(run.requests > 50);
            digest = run.digest;
        }
    }
    assert_eq!(
        digest, DIGEST_OF_ALL_ACTIONS,
        "digest {digest:#018x}: the actions have changed"
    );
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut placer = Placer::new(Settings::example(), 9);
        let mut actions = Vec::new();
        placer.handle(0, &complete_list(8), &mut actions);
        for n in 0..50 {
            let request = Event::TaskRequested(task(n, n as u64 % 7));
            placer.handle(n as Micros * MS, &request, &mut actions);
        }
        actions
    };

    assert_eq!(run(), run());
}
