//! SCD against an exhaustive search over subsets, hand-worked examples and the edges.

use task_placer::scd_probabilities;

/// The paper's objective for given probabilities: sum of ((a-1)p^2 + (2(q - mu*iwl) + 1)p) / mu.
fn objective(machines: &[(f64, f64)], p: &[f64], a: f64, iwl: f64) -> f64 {
    let term = |(&(q, mu), &p): (&(f64, f64), &f64)| {
        ((a - 1.0) * p * p + (2.0 * (q - mu * iwl) + 1.0) * p) / mu
    };
    machines.iter().zip(p).map(term).sum()
}

/// The level at which the machines below it take `a` tasks, by bisection.
fn level(machines: &[(f64, f64)], a: f64) -> f64 {
    let spent = |w: f64| {
        machines
            .iter()
            .map(|&(q, mu)| (mu * w - q).max(0.0))
            .sum::<f64>()
    };
    let (mut low, mut high) = (0.0, 1e6);
    for _ in 0..200 {
        let middle = (low + high) / 2.0;
        if spent(middle) < a {
            low = middle
        } else {
            high = middle
        }
    }
    low
}

/// The best objective over all subsets whose stationary point has no negative probability.
fn exhaustive(machines: &[(f64, f64)], a: f64) -> f64 {
    let iwl = level(machines, a);
    let mut best = f64::INFINITY;
    for mask in 1u32..(1 << machines.len()) {
        let members: Vec<usize> = (0..machines.len()).filter(|i| mask >> i & 1 == 1).collect();
        let mus: f64 = members.iter().map(|&i| machines[i].1).sum();
        let room: f64 = members
            .iter()
            .map(|&i| machines[i].1 * iwl - machines[i].0)
            .sum();
        let l = (2.0 * room - members.len() as f64 - 2.0 * (a - 1.0)) / mus;
        let mut p = vec![0.0; machines.len()];
        for &i in &members {
            let (q, mu) = machines[i];
            p[i] = (2.0 * (mu * iwl - q) - 1.0 - mu * l) / (2.0 * (a - 1.0));
        }
        if p.iter().all(|&x| x >= -1e-9) {
            best = best.min(objective(machines, &p, a, iwl));
        }
    }
    best
}

fn check(machines: &[(f64, f64)], a: f64) -> Vec<f64> {
    let p = scd_probabilities(machines, a);
    assert_eq!(p.len(), machines.len());
    assert!(p.iter().all(|&x| x >= 0.0 && x.is_finite()), "{p:?}");
    assert!((p.iter().sum::<f64>() - 1.0).abs() < 1e-9, "{p:?}");
    p
}

#[test]
fn equals_the_exhaustive_search_on_small_cases() {
    // A small fixed generator of cases: loads and sizes of very different scale.
    let mut x = 12345u64;
    let mut next = || {
        x = x
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (x >> 33) as f64 / (1u64 << 31) as f64
    };
    for case in 0..2000 {
        let n = 1 + case % 6;
        let machines: Vec<(f64, f64)> = (0..n)
            .map(|_| (next() * 40.0, 0.5 + next() * 30.0))
            .collect();
        let a = 1.0 + next() * [0.01, 1.0, 10.0, 100.0][case % 4] + 1e-6;
        let p = check(&machines, a);
        let iwl = level(&machines, a);
        let found = objective(&machines, &p, a, iwl);
        let best = exhaustive(&machines, a);
        assert!(
            (found - best).abs() <= 1e-6 * (1.0 + best.abs()),
            "{machines:?} a={a}: {found} {best}"
        );
    }
}

#[test]
fn two_equal_machines_share_evenly() {
    let p = check(&[(3.0, 2.0), (3.0, 2.0)], 5.0);
    assert!((p[0] - 0.5).abs() < 1e-12);
}

#[test]
fn a_hand_worked_case() {
    // q = (0, 2), mu = (1, 1), a = 3: IWL = 2.5. Both: L = (2*3 - 2 - 4)/2 = 0,
    // p = ((5 - 1)/4, (1 - 1)/4) = (1, 0).
    let p = check(&[(0.0, 1.0), (2.0, 1.0)], 3.0);
    assert!((p[0] - 1.0).abs() < 1e-9 && p[1].abs() < 1e-9, "{p:?}");
    // q = (0, 1), mu = (1, 1), a = 3: IWL = 2. Both: L = (2*3 - 2 - 4)/2 = 0,
    // p = ((4 - 1)/4, (2 - 1)/4) = (0.75, 0.25).
    let p = check(&[(0.0, 1.0), (1.0, 1.0)], 3.0);
    assert!(
        (p[0] - 0.75).abs() < 1e-9 && (p[1] - 0.25).abs() < 1e-9,
        "{p:?}"
    );
}

#[test]
fn a_of_one_takes_the_least_and_shares_ties() {
    assert_eq!(
        check(&[(4.0, 1.0), (1.0, 1.0), (9.0, 3.0)], 1.0),
        vec![0.0, 1.0, 0.0]
    );
    assert_eq!(check(&[(1.0, 1.0), (1.0, 1.0)], 1.0), vec![0.5, 0.5]);
    // (2q+1)/mu decides, not q/mu: the large empty machine is the least.
    assert_eq!(check(&[(0.0, 1.0), (0.0, 8.0)], 0.2), vec![0.0, 1.0]);
}

#[test]
fn edges() {
    assert!(scd_probabilities(&[], 3.0).is_empty());
    assert_eq!(check(&[(7.0, 2.0)], 9.5), vec![1.0]);
    check(&[(0.0, 1.0), (0.0, 1.0)], 1.0 + 1e-9);
    check(&[(1e6, 1.0), (0.0, 1.0)], 2.5);
    check(&[(1e6, 1e-3), (0.0, 1e3)], 40.0);
    let p = check(&[(5.0, 10.0), (50.0, 30.0), (0.0, 20.0)], 1e9);
    assert!(
        (p[0] - 10.0 / 60.0).abs() < 1e-3 && (p[2] - 20.0 / 60.0).abs() < 1e-3,
        "{p:?}"
    );
}
