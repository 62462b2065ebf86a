//! Tests that arrivals and running tasks follow the settings and their seed.

use super::*;
use std::collections::BTreeMap;

fn settings() -> Settings {
    Settings {
        rate: 200.0,
        urgent_share: 0.3,
        once_share: 0.1,
        tenants: 67,
        ..Settings::default()
    }
}

#[test]
fn arrivals_are_determined_by_the_settings_and_the_seed() {
    let of = |seed| -> Vec<Arrival> {
        Arrivals::new(&Settings { seed, ..settings() })
            .take(500)
            .collect()
    };
    assert_eq!(of(1), of(1));
    assert_ne!(of(1), of(2));
}

#[test]
fn gaps_class_shares_and_lifetimes_match_the_settings() {
    let all: Vec<Arrival> = Arrivals::new(&settings()).take(20_000).collect();
    assert!(all.windows(2).all(|pair| pair[0].due <= pair[1].due));
    let share = |class| all.iter().filter(|a| a.class == class).count() as f64 / all.len() as f64;
    // Each tolerance is four standard deviations of the share among 20,000 arrivals.
    assert!((share(Class::Urgent) - 0.3).abs() < 0.013);
    assert!((share(Class::Once) - 0.1).abs() < 0.009);
    assert!(
        all.iter()
            .all(|a| a.shape.non_idempotent == (a.class == Class::Once))
    );
    let mean = |values: Vec<f64>| values.iter().sum::<f64>() / values.len() as f64;
    let gaps: Vec<f64> = all
        .windows(2)
        .map(|pair| (pair[1].due - pair[0].due).as_secs_f64())
        .collect();
    let (gap, lifetime) = (
        mean(gaps.clone()),
        mean(all.iter().map(|a| a.shape.lifetime.as_secs_f64()).collect()),
    );
    assert!((gap * 200.0 - 1.0).abs() < 0.03, "{gap}");
    assert!((lifetime / 20.0 - 1.0).abs() < 0.03, "{lifetime}");
    // In a Poisson process, the standard deviation of the gaps equals their mean.
    let variance = gaps.iter().map(|value| (value - gap).powi(2)).sum::<f64>() / gaps.len() as f64;
    assert!((variance.sqrt() / gap - 1.0).abs() < 0.05);
    assert_eq!(all.iter().map(|a| a.tenant).max(), Some(66));
}

#[test]
fn no_task_arrives_at_rate_zero() {
    assert_eq!(
        Arrivals::new(&Settings {
            rate: 0.0,
            ..settings()
        })
        .next(),
        None
    );
}

#[test]
fn running_tasks_are_spread_over_workers_and_placers() {
    let settings = Settings {
        workers: 300,
        placers: 3,
        running_tasks: 4_000,
        ..settings()
    };
    let all = running_tasks(&settings);
    assert_eq!(all.len(), 4_000);
    let (mut by_worker, mut by_placer) = (BTreeMap::new(), BTreeMap::new());
    for task in &all {
        *by_worker.entry(task.worker).or_insert(0) += 1;
        *by_placer.entry(task.placer).or_insert(0) += 1;
    }
    assert_eq!(by_worker.len(), 300);
    assert!(by_worker.values().all(|count| (13..=14).contains(count)));
    assert!(
        by_placer
            .values()
            .all(|count| (1_300..=1_370).contains(count)),
        "{by_placer:?}"
    );
}
