//! Tests of the SCD probabilities against an exhaustive search over subsets of hosts, against examples calculated by
//! hand, and with extreme input.

use task_placer::{HostLoad, scd_probabilities};

fn host(load: f64, size: f64) -> HostLoad {
    HostLoad { load, size }
}

/// Returns the objective of the published method: the sum of ((a-1)p^2 + (2(q - mu*iwl) + 1)p) / mu over all hosts,
/// where iwl is the ideal workload.
fn objective(hosts: &[HostLoad], probabilities: &[f64], arrivals: f64, ideal_workload: f64) -> f64 {
    let term = |(host, p): (&HostLoad, &f64)| {
        let excess = 2.0 * (host.load - host.size * ideal_workload) + 1.0;
        ((arrivals - 1.0) * p * p + excess * p) / host.size
    };
    hosts.iter().zip(probabilities).map(term).sum()
}

/// Returns the ideal workload by bisection: the load per size up to which the less loaded hosts take all arrivals.
fn ideal_workload(hosts: &[HostLoad], arrivals: f64) -> f64 {
    let taken_up_to = |level: f64| {
        let taken = hosts
            .iter()
            .map(|host| (host.size * level - host.load).max(0.0));
        taken.sum::<f64>()
    };
    let (mut low, mut high) = (0.0, 1e6);
    for _ in 0..200 {
        let middle = (low + high) / 2.0;
        if taken_up_to(middle) < arrivals {
            low = middle
        } else {
            high = middle
        }
    }
    low
}

/// Returns the lowest objective over all subsets of hosts whose stationary point has no negative probability.
fn best_objective(hosts: &[HostLoad], arrivals: f64) -> f64 {
    let level = ideal_workload(hosts, arrivals);
    let mut best = f64::INFINITY;
    for mask in 1u32..(1 << hosts.len()) {
        let members: Vec<usize> = (0..hosts.len())
            .filter(|index| mask >> index & 1 == 1)
            .collect();
        let size: f64 = members.iter().map(|&index| hosts[index].size).sum();
        let headroom = members
            .iter()
            .map(|&index| hosts[index].size * level - hosts[index].load);
        let headroom: f64 = headroom.sum();
        let multiplier = (2.0 * headroom - members.len() as f64 - 2.0 * (arrivals - 1.0)) / size;
        let mut probabilities = vec![0.0; hosts.len()];
        for &index in &members {
            let HostLoad { load, size } = hosts[index];
            let numerator = 2.0 * (size * level - load) - 1.0 - size * multiplier;
            probabilities[index] = numerator / (2.0 * (arrivals - 1.0));
        }
        if probabilities.iter().all(|&p| p >= -1e-9) {
            best = best.min(objective(hosts, &probabilities, arrivals, level));
        }
    }
    best
}

/// Returns the probabilities after checking that they are non-negative, finite and add up to 1.
fn checked_probabilities(hosts: &[HostLoad], arrivals: f64) -> Vec<f64> {
    let probabilities = scd_probabilities(hosts, arrivals);
    assert_eq!(probabilities.len(), hosts.len());
    assert!(
        probabilities.iter().all(|&p| p >= 0.0 && p.is_finite()),
        "{probabilities:?}"
    );
    assert!(
        (probabilities.iter().sum::<f64>() - 1.0).abs() < 1e-9,
        "{probabilities:?}"
    );
    probabilities
}

#[test]
fn equals_the_exhaustive_search_on_small_cases() {
    // A linear congruential generator with a fixed seed gives loads and sizes of very different scales.
    let mut state = 12345u64;
    let mut next = || {
        state = state
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (state >> 33) as f64 / (1u64 << 31) as f64
    };
    for case in 0..2000 {
        let count = 1 + case % 6;
        let hosts: Vec<HostLoad> = (0..count)
            .map(|_| host(next() * 40.0, 0.5 + next() * 30.0))
            .collect();
        let arrivals = 1.0 + next() * [0.01, 1.0, 10.0, 100.0][case % 4] + 1e-6;

        let probabilities = checked_probabilities(&hosts, arrivals);

        let found = objective(
            &hosts,
            &probabilities,
            arrivals,
            ideal_workload(&hosts, arrivals),
        );
        let best = best_objective(&hosts, arrivals);
        assert!(
            (found - best).abs() <= 1e-6 * (1.0 + best.abs()),
            "{hosts:?}, a = {arrivals}: objective is {found}, the best is {best}"
        );
    }
}

#[test]
fn two_equal_hosts_share_evenly() {
    let probabilities = checked_probabilities(&[host(3.0, 2.0), host(3.0, 2.0)], 5.0);

    assert!((probabilities[0] - 0.5).abs() < 1e-12);
}

#[test]
fn matches_examples_calculated_by_hand() {
    // For q = (0, 2), mu = (1, 1) and a = 3 the ideal workload is 2.5. With both hosts the multiplier is
    // (2*3 - 2 - 4)/2 = 0 and p = ((5 - 1)/4, (1 - 1)/4) = (1, 0).
    let p = checked_probabilities(&[host(0.0, 1.0), host(2.0, 1.0)], 3.0);
    assert!((p[0] - 1.0).abs() < 1e-9 && p[1].abs() < 1e-9, "{p:?}");

    // For q = (0, 1), mu = (1, 1) and a = 3 the ideal workload is 2. With both hosts the multiplier is
    // (2*3 - 2 - 4)/2 = 0 and p = ((4 - 1)/4, (2 - 1)/4) = (0.75, 0.25).
    let p = checked_probabilities(&[host(0.0, 1.0), host(1.0, 1.0)], 3.0);
    assert!(
        (p[0] - 0.75).abs() < 1e-9 && (p[1] - 0.25).abs() < 1e-9,
        "{p:?}"
    );
}

#[test]
fn one_arrival_goes_to_the_least_loaded_and_ties_share_it() {
    let hosts = [host(4.0, 1.0), host(1.0, 1.0), host(9.0, 3.0)];
    assert_eq!(checked_probabilities(&hosts, 1.0), vec![0.0, 1.0, 0.0]);

    let ties = [host(1.0, 1.0), host(1.0, 1.0)];
    assert_eq!(checked_probabilities(&ties, 1.0), vec![0.5, 0.5]);

    // The marginal load (2q+1)/mu decides and not q/mu, so the large empty host is the least loaded.
    let empty = [host(0.0, 1.0), host(0.0, 8.0)];
    assert_eq!(checked_probabilities(&empty, 0.2), vec![0.0, 1.0]);
}

#[test]
fn extreme_input_gives_a_distribution() {
    assert!(scd_probabilities(&[], 3.0).is_empty());
    assert_eq!(checked_probabilities(&[host(7.0, 2.0)], 9.5), vec![1.0]);
    checked_probabilities(&[host(0.0, 1.0), host(0.0, 1.0)], 1.0 + 1e-9);
    checked_probabilities(&[host(1e6, 1.0), host(0.0, 1.0)], 2.5);
    checked_probabilities(&[host(1e6, 1e-3), host(0.0, 1e3)], 40.0);
    let p = checked_probabilities(&[host(5.0, 10.0), host(50.0, 30.0), host(0.0, 20.0)], 1e9);
    assert!(
        (p[0] - 10.0 / 60.0).abs() < 1e-3 && (p[2] - 20.0 / 60.0).abs() < 1e-3,
        "{p:?}"
    );
}
