//! Comparison of runs over several seeds, and the search for the knee: the highest rate at which an objective is met.

use crate::results::Summary;

/// A difference of more standard errors than this is significant.
const SIGNIFICANT_ERRORS: f64 = 3.0;
/// What a percentile counts as that is never reached: the longest latency that is recorded.
const MAX_LATENCY_MS: f64 = 3.6e6;
/// The search for a knee below the plan's rate ends here.
const MIN_FACTOR: f64 = 1.0 / 1_024.0;

/// A metric of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Metric {
    /// Its name in comparisons.
    pub name: String,
    /// Its value.
    pub value: f64,
}

impl Metric {
    /// Returns a metric.
    pub fn new(name: impl Into<String>, value: f64) -> Metric {
        Metric {
            name: name.into(),
            value,
        }
    }
}

/// The values of a metric over several seeds.
#[derive(Debug, Clone, PartialEq)]
pub struct Samples {
    /// The name of the metric.
    pub name: String,
    /// One for each seed.
    pub values: Vec<f64>,
}

impl Samples {
    /// Returns the mean.
    pub fn mean(&self) -> f64 {
        self.values.iter().sum::<f64>() / self.values.len().max(1) as f64
    }

    /// Returns the estimated standard deviation of a single run; 0 for one run.
    pub fn deviation(&self) -> f64 {
        let n = self.values.len();
        if n < 2 {
            return 0.0;
        }
        let mean = self.mean();
        (self.values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1) as f64).sqrt()
    }
}

/// The result of a comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// The difference is larger than chance makes.
    Differs,
    /// The runs of one side differ as much from each other.
    Noise,
    /// One run of a side is not enough to tell.
    TooFew,
}

impl Comparison {
    /// Returns the result in words.
    pub fn as_str(self) -> &'static str {
        match self {
            Comparison::Differs => "differs",
            Comparison::Noise => "noise",
            Comparison::TooFew => "too few runs to tell",
        }
    }
}

/// Compares two metrics by Welch's t statistic. A difference of more than three standard errors counts (about one
/// in a hundred by chance, with three runs a side).
pub fn compare(a: &Samples, b: &Samples) -> Comparison {
    if a.values.len() < 2 || b.values.len() < 2 {
        return Comparison::TooFew;
    }
    let squared_error =
        |samples: &Samples| samples.deviation().powi(2) / samples.values.len() as f64;
    let error = (squared_error(a) + squared_error(b)).sqrt();
    let difference = (a.mean() - b.mean()).abs();
    let differs = if error > 0.0 {
        difference > SIGNIFICANT_ERRORS * error
    } else {
        difference > 0.0
    };
    if differs {
        Comparison::Differs
    } else {
        Comparison::Noise
    }
}

/// Returns the metrics of a run that are compared.
pub fn compared_metrics(summary: &Summary) -> Vec<Metric> {
    let mut metrics = Vec::new();
    for group in summary
        .groups
        .iter()
        .filter(|group| group.name == "all" || group.name.starts_with("class "))
    {
        metrics.push(Metric::new(
            format!("{}: in aim, %", group.name),
            100.0 * group.fraction_within_objective(),
        ));
        if summary.generator_in_time {
            for (name, fraction) in [("p50", 0.5), ("p99", 0.99)] {
                let value = group
                    .percentile(fraction)
                    .map_or(MAX_LATENCY_MS, |latency| latency.as_secs_f64() * 1e3);
                metrics.push(Metric::new(format!("{}: {name}, ms", group.name), value));
            }
        }
    }
    let violations: usize = summary.violations.values().sum();
    metrics.push(Metric::new("broken rules", violations as f64));
    metrics
}

/// Collects the metrics of several runs by name.
pub fn collect_samples(runs: &[Vec<Metric>]) -> Vec<Samples> {
    let values = |name: &str| {
        runs.iter()
            .filter_map(|run| run.iter().find(|metric| metric.name == name))
            .map(|metric| metric.value)
            .collect()
    };
    let metrics = runs.first().into_iter().flatten();
    metrics
        .map(|metric| Samples {
            name: metric.name.clone(),
            values: values(&metric.name),
        })
        .collect()
}

/// The runs of one factor.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Trial {
    /// The rate, as a multiple of the plan's.
    pub factor: f64,
    /// Runs that met the objective.
    pub passes: u32,
    /// Runs in total.
    pub runs: u32,
}

/// A search for the knee. Pure: the caller makes the runs that [`KneeSearch::next_factor`] asks for.
#[derive(Debug, Clone)]
pub struct KneeSearch {
    /// The highest factor that met the objective.
    low: f64,
    /// The lowest factor that did not.
    high: Option<f64>,
    trials: Vec<Trial>,
    runs_per_trial: u32,
    precision: f64,
    max_factor: f64,
}

impl KneeSearch {
    /// Returns a search that begins at the plan's own rate. A factor meets the objective where most of its runs do.
    pub fn new(runs_per_trial: u32, precision: f64, max_factor: f64) -> KneeSearch {
        KneeSearch {
            low: 0.0,
            high: None,
            trials: Vec::new(),
            runs_per_trial: runs_per_trial.max(1),
            precision,
            max_factor,
        }
    }

    /// Returns the next factor to run; none where the knee is known with the precision.
    pub fn next_factor(&self) -> Option<f64> {
        match self.high {
            None if self.low <= 0.0 => Some(1.0f64.min(self.max_factor)),
            None if self.low >= self.max_factor => None,
            None => Some((self.low * 2.0).min(self.max_factor)),
            Some(high) if high - self.low <= self.precision * high => None,
            // Below the plan's rate nothing is known yet: halve until something holds.
            Some(high) if self.low <= 0.0 => (high > MIN_FACTOR).then_some(high / 2.0),
            Some(high) => Some((self.low + high) / 2.0),
        }
    }

    /// Returns the number of runs of a factor.
    pub fn runs_per_trial(&self) -> u32 {
        self.runs_per_trial
    }

    /// Records the runs of a factor.
    pub fn record_trial(&mut self, factor: f64, passes: u32, runs: u32) {
        self.trials.push(Trial {
            factor,
            passes,
            runs,
        });
        if 2 * passes > runs {
            self.low = self.low.max(factor);
        } else {
            self.high = Some(self.high.map_or(factor, |high| high.min(factor)));
        }
    }

    /// Returns the factors between which the knee lies; no upper one where the objective is met up to the maximum.
    pub fn bounds(&self) -> (f64, Option<f64>) {
        (self.low, self.high)
    }

    /// Returns the trials so far.
    pub fn trials(&self) -> &[Trial] {
        &self.trials
    }

    /// Returns the confidence: the fraction of runs that agree with the verdict on their factor.
    pub fn agreement(&self) -> f64 {
        let (agree, all) = self.trials.iter().fold((0, 0), |(agree, all), t| {
            (agree + t.passes.max(t.runs - t.passes), all + t.runs)
        });
        if all == 0 {
            0.0
        } else {
            f64::from(agree) / f64::from(all)
        }
    }
}

#[cfg(test)]
mod tests;
