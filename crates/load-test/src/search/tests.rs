//! Tests of comparisons and of the search for the knee.

use super::*;

fn samples(values: &[f64]) -> Samples {
    Samples {
        name: "x".into(),
        values: values.to_vec(),
    }
}

#[test]
fn difference_within_the_deviation_is_noise() {
    for (a, b, verdict) in [
        (
            &[1.0, 1.1, 0.9][..],
            &[1.05, 0.95, 1.1][..],
            Comparison::Noise,
        ),
        (&[1.0, 1.1, 0.9], &[2.0, 2.1, 1.9], Comparison::Differs),
        (&[1.0], &[2.0, 2.0], Comparison::TooFew),
        (&[1.0, 1.0], &[1.0, 1.0], Comparison::Noise),
        (&[1.0, 1.0], &[1.5, 1.5], Comparison::Differs),
        (&[0.0, 4.0, 2.0], &[3.0, 5.0, 4.0], Comparison::Noise),
    ] {
        assert_eq!(compare(&samples(a), &samples(b)), verdict, "{a:?} {b:?}");
    }
}

/// Runs a search on a simulated system that meets the objective up to the factor `knee`. Runs within the fraction `noise`
/// of that factor alternately pass and fail.
fn search(knee: f64, noise: f64, max_factor: f64) -> KneeSearch {
    let mut search = KneeSearch::new(3, 0.05, max_factor);
    let mut run_count = 0u32;
    while let Some(factor) = search.next_factor() {
        let passes = (0..3)
            .filter(|_| {
                run_count += 1;
                let offset = if run_count.is_multiple_of(2) {
                    noise
                } else {
                    -noise
                };
                factor <= knee * (1.0 + offset)
            })
            .count() as u32;
        search.record_trial(factor, passes, 3);
        assert!(search.trials().len() < 40, "the search ends");
    }
    search
}

#[test]
fn knee_is_found_above_and_below_the_rate_of_the_plan() {
    for knee in [0.03, 0.7, 1.0, 3.3, 17.0] {
        let search = search(knee, 0.0, 100.0);
        let (low, high) = search.bounds();
        let high = high.expect("upper bound");
        assert!(
            low <= knee && knee < high && high - low <= 0.05 * high + 1e-9,
            "{knee}: {low} to {high}"
        );
        assert_eq!(search.agreement(), 1.0);
    }
    let noisy = search(3.3, 0.04, 100.0);
    let (low, high) = noisy.bounds();
    assert!(
        low > 2.9 && high.expect("upper bound") < 3.8,
        "{low} {high:?}"
    );
    assert_eq!(
        search(1e9, 0.0, 8.0).bounds(),
        (8.0, None),
        "the objective is met up to the maximum factor"
    );
    let (low, high) = search(0.0, 0.0, 8.0).bounds();
    assert!(low == 0.0 && high.expect("upper bound") < 0.002);
}
