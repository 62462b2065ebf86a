//! Tests that arrivals follow the plan, its load profile and the seed.

use super::*;
use crate::load_profile::parse;

fn plan(process: &str) -> Plan {
    let text = format!(
        "seed = 7\narrivals.shape = \"20/s for 100s, rise to 60/s over 10s, silence 5s, 10/s for 20s\"\n\
         arrivals.process = {process}\narrivals.service-skew = 1.0\n"
    );
    Plan::parse(&text).expect("valid plan")
}

const PROCESSES: [&str; 4] = [
    "{ kind = \"poisson\" }",
    "{ kind = \"even\" }",
    "{ kind = \"gamma\", cv = 2.0 }",
    "{ kind = \"markov\", high = 4.0, stay = 20.0 }",
];

#[test]
fn arrivals_are_determined_by_plan_and_seed() {
    for process in PROCESSES {
        let plan = plan(process);
        let profile = parse(&plan.arrivals.profile).expect("valid load profile");
        let first = arrivals(&plan, &profile);
        assert_eq!(first, arrivals(&plan, &profile), "{process}");
        let other = Plan { seed: 8, ..plan };
        let others = arrivals(&other, &profile);
        assert_ne!(first, others, "{process}");
    }
}

#[test]
fn counts_follow_the_load_profile_in_every_phase_and_times_are_ordered() {
    for process in PROCESSES {
        let plan = plan(process);
        let profile = parse(&plan.arrivals.profile).expect("valid load profile");
        let all = arrivals(&plan, &profile);
        assert!(
            all.windows(2).all(|pair| pair[0].due <= pair[1].due),
            "{process}"
        );
        for phase in &profile.phases {
            let end = phase.start + phase.length;
            let expected = profile.expected(end) - profile.expected(phase.start);
            let found = all
                .iter()
                .filter(|a| (phase.start..end).contains(&a.due))
                .count() as f64;
            // Five times the standard deviation of the most irregular of these processes.
            let slack = 5.0 * 4.0 * expected.sqrt() + 1.0;
            assert!(
                (found - expected).abs() <= slack,
                "{process}, {}: {found} of {expected}",
                phase.name
            );
        }
    }
}

#[test]
fn gaps_have_the_requested_coefficient_of_variation() {
    let cv = |process: &str| {
        let plan = plan(process);
        let profile = parse("50/s for 200s").expect("valid load profile");
        let all = arrivals(&plan, &profile);
        let gaps: Vec<f64> = all
            .windows(2)
            .map(|pair| (pair[1].due - pair[0].due) as f64)
            .collect();
        let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
        let variance = gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / gaps.len() as f64;
        variance.sqrt() / mean
    };
    for (process, expected) in [
        ("{ kind = \"even\" }", 0.0),
        ("{ kind = \"poisson\" }", 1.0),
        ("{ kind = \"gamma\", cv = 0.5 }", 0.5),
        ("{ kind = \"gamma\", cv = 2.0 }", 2.0),
    ] {
        let found = cv(process);
        assert!((found - expected).abs() < 0.1, "{process}: {found}");
    }
    assert!(cv("{ kind = \"markov\", high = 8.0, stay = 50.0 }") > 1.3);
}

#[test]
fn services_zones_and_batches_follow_the_plan() {
    let mut plan = plan("{ kind = \"poisson\" }");
    plan.arrivals.batch = Some(Batch { min: 2, max: 4 });
    plan.arrivals.zone_skew = 2.0;
    let profile = parse("20/s for 100s").expect("valid load profile");
    let all = arrivals(&plan, &profile);
    let mut groups = std::collections::BTreeMap::<Micros, Vec<&Arrival>>::new();
    all.iter()
        .for_each(|a| groups.entry(a.due).or_default().push(a));
    assert!(groups.values().all(|group| (2..=8).contains(&group.len())));
    assert!(
        groups
            .values()
            .filter(|g| g.len() <= 4)
            .all(|g| g.iter().all(|a| a.service == g[0].service))
    );
    let count_in_zone = |zone| all.iter().filter(|a| a.zone == zone).count();
    assert!(
        count_in_zone(0) > 3 * count_in_zone(1) && count_in_zone(1) > count_in_zone(2),
        "{} {} {}",
        count_in_zone(0),
        count_in_zone(1),
        count_in_zone(2)
    );
    let first = all
        .iter()
        .filter(|a| a.class == 0 && a.service == 0)
        .count();
    let tenth = all
        .iter()
        .filter(|a| a.class == 0 && a.service == 9)
        .count();
    assert!(first > 4 * tenth, "{first} {tenth}");
}
