//! Comparing runs over seeds, and looking for the knee: the highest rate at which a goal holds.

use crate::results::Summary;

/// A figure over several seeds.
#[derive(Debug, Clone, PartialEq)]
pub struct Spread {
    /// What was measured.
    pub name: String,
    /// One for each seed.
    pub values: Vec<f64>,
}

impl Spread {
    /// The mean.
    pub fn mean(&self) -> f64 {
        self.values.iter().sum::<f64>() / self.values.len().max(1) as f64
    }

    /// The standard deviation of a single run, by what the runs show; 0 for one.
    pub fn deviation(&self) -> f64 {
        let n = self.values.len();
        if n < 2 {
            return 0.0;
        }
        let mean = self.mean();
        (self.values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1) as f64).sqrt()
    }
}

/// What a comparison says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The difference is larger than chance makes.
    Differs,
    /// Runs of one side differ as much among themselves.
    Noise,
    /// With one run of a side nothing can be said.
    TooFew,
}

impl Verdict {
    /// In words.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Differs => "differs",
            Verdict::Noise => "noise",
            Verdict::TooFew => "too few runs to tell",
        }
    }
}

/// Compares two figures by Welch's t statistic: a difference of more than three of its standard errors is
/// taken for one (about one in a hundred by chance with three runs a side).
pub fn compare(a: &Spread, b: &Spread) -> Verdict {
    if a.values.len() < 2 || b.values.len() < 2 {
        return Verdict::TooFew;
    }
    let error = |s: &Spread| s.deviation().powi(2) / s.values.len() as f64;
    let error = (error(a) + error(b)).sqrt();
    let difference = (a.mean() - b.mean()).abs();
    let differs = if error > 0.0 {
        difference > 3.0 * error
    } else {
        difference > 0.0
    };
    if differs {
        Verdict::Differs
    } else {
        Verdict::Noise
    }
}

/// The figures of a run that are compared.
pub fn figures(summary: &Summary) -> Vec<(String, f64)> {
    let mut found = Vec::new();
    for group in summary
        .groups
        .iter()
        .filter(|g| g.name == "all" || g.name.starts_with("class "))
    {
        found.push((format!("{}: in aim, %", group.name), 100.0 * group.share()));
        if summary.in_time {
            for (name, part) in [("p50", 0.5), ("p99", 0.99)] {
                // A percentile that is never reached is as bad as the longest latency that is kept.
                let value = group
                    .percentile(part)
                    .map_or(3.6e6, |latency| latency.as_secs_f64() * 1e3);
                found.push((format!("{}: {name}, ms", group.name), value));
            }
        }
    }
    found.push((
        "broken rules".into(),
        summary.broken.values().sum::<usize>() as f64,
    ));
    found
}

/// Puts the figures of several runs together, figure by figure.
pub fn spreads(runs: &[Vec<(String, f64)>]) -> Vec<Spread> {
    let names = runs
        .first()
        .map(|run| run.iter().map(|(name, _)| name.clone()).collect::<Vec<_>>())
        .unwrap_or_default();
    let of = |name: &String| {
        runs.iter()
            .filter_map(|run| run.iter().find(|(n, _)| n == name))
            .map(|(_, v)| *v)
            .collect()
    };
    names
        .iter()
        .map(|name| Spread {
            name: name.clone(),
            values: of(name),
        })
        .collect()
}

/// One try of a search.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Try {
    /// The rate, as a multiple of the plan's.
    pub factor: f64,
    /// Runs of it at which the goal held, and all.
    pub held: u32,
    /// See `held`.
    pub of: u32,
}

/// A search for the knee: pure; the caller runs what [`Search::next`] asks for.
#[derive(Debug, Clone)]
pub struct Search {
    /// The highest factor at which the goal held, and the lowest at which it did not.
    low: f64,
    high: Option<f64>,
    tries: Vec<Try>,
    repeats: u32,
    precision: f64,
    most: f64,
}

impl Search {
    /// Begins at the plan's own rate; each factor is run `repeats` times, and the goal holds where most of
    /// these runs say so.
    pub fn new(repeats: u32, precision: f64, most: f64) -> Search {
        Search {
            low: 0.0,
            high: None,
            tries: Vec::new(),
            repeats: repeats.max(1),
            precision,
            most,
        }
    }

    /// The next factor to run; none where the knee is known well enough.
    pub fn next(&self) -> Option<f64> {
        match self.high {
            None if self.low <= 0.0 => Some(1.0f64.min(self.most)),
            None if self.low >= self.most => None,
            None => Some((self.low * 2.0).min(self.most)),
            Some(high) if high - self.low <= self.precision * high => None,
            // Below the plan's rate nothing is known yet: halve until something holds.
            Some(high) if self.low <= 0.0 => (high > 1.0 / 1_024.0).then_some(high / 2.0),
            Some(high) => Some((self.low + high) / 2.0),
        }
    }

    /// How many runs a factor gets.
    pub fn repeats(&self) -> u32 {
        self.repeats
    }

    /// Takes the runs of a factor.
    pub fn tried(&mut self, factor: f64, held: u32, of: u32) {
        self.tries.push(Try { factor, held, of });
        if 2 * held > of {
            self.low = self.low.max(factor);
        } else {
            self.high = Some(self.high.map_or(factor, |high| high.min(factor)));
        }
    }

    /// The knee lies between these two factors; the second is none where the goal held up to the most.
    pub fn between(&self) -> (f64, Option<f64>) {
        (self.low, self.high)
    }

    /// All tries.
    pub fn tries(&self) -> &[Try] {
        &self.tries
    }

    /// How sure it is: the share of runs that agree with the verdict on their factor, over the tries on both
    /// sides of the knee.
    pub fn agreement(&self) -> f64 {
        let (agree, all) = self.tries.iter().fold((0, 0), |(agree, all), t| {
            (agree + t.held.max(t.of - t.held), all + t.of)
        });
        if all == 0 {
            0.0
        } else {
            f64::from(agree) / f64::from(all)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spread(values: &[f64]) -> Spread {
        Spread {
            name: "x".into(),
            values: values.to_vec(),
        }
    }

    #[test]
    fn a_difference_within_the_spread_is_noise() {
        for (a, b, verdict) in [
            (&[1.0, 1.1, 0.9][..], &[1.05, 0.95, 1.1][..], Verdict::Noise),
            (&[1.0, 1.1, 0.9], &[2.0, 2.1, 1.9], Verdict::Differs),
            (&[1.0], &[2.0, 2.0], Verdict::TooFew),
            (&[1.0, 1.0], &[1.0, 1.0], Verdict::Noise),
            (&[1.0, 1.0], &[1.5, 1.5], Verdict::Differs),
            (&[0.0, 4.0, 2.0], &[3.0, 5.0, 4.0], Verdict::Noise),
        ] {
            assert_eq!(compare(&spread(a), &spread(b)), verdict, "{a:?} {b:?}");
        }
    }

    /// Searches against a system that holds up to a factor, with runs near it that go either way.
    fn search(knee: f64, noise: f64, most: f64) -> Search {
        let mut search = Search::new(3, 0.05, most);
        let mut turn = 0u32;
        while let Some(factor) = search.next() {
            let held = (0..3)
                .filter(|_| {
                    turn += 1;
                    let sway = if turn.is_multiple_of(2) {
                        noise
                    } else {
                        -noise
                    };
                    factor <= knee * (1.0 + sway)
                })
                .count() as u32;
            search.tried(factor, held, 3);
            assert!(search.tries().len() < 40, "it ends");
        }
        search
    }

    #[test]
    fn the_knee_is_found_above_and_below_the_plans_rate() {
        for knee in [0.03, 0.7, 1.0, 3.3, 17.0] {
            let search = search(knee, 0.0, 100.0);
            let (low, high) = search.between();
            let high = high.expect("a knee");
            assert!(
                low <= knee && knee < high && high - low <= 0.05 * high + 1e-9,
                "{knee}: {low} to {high}"
            );
            assert_eq!(search.agreement(), 1.0);
        }
        let noisy = search(3.3, 0.04, 100.0);
        let (low, high) = noisy.between();
        assert!(low > 2.9 && high.expect("a knee") < 3.8, "{low} {high:?}");
        assert_eq!(
            search(1e9, 0.0, 8.0).between(),
            (8.0, None),
            "it held as far as was asked"
        );
        let (low, high) = search(0.0, 0.0, 8.0).between();
        assert!(low == 0.0 && high.expect("never held") < 0.002);
    }
}
