//! Compares runs over several seeds, and searches for the knee: the highest rate at which the objective of a plan is met.

use crate::results::Summary;

/// A difference of two means is significant if it exceeds this many standard errors.
const SIGNIFICANT_ERRORS: f64 = 3.0;
/// Value of a latency percentile that too few tasks reached because the others never started, in milliseconds. It is
/// the longest latency that histograms record.
const MAX_LATENCY_MS: f64 = 3.6e6;
/// Lowest factor on the rate of the plan at which the search for a knee continues.
const MIN_FACTOR: f64 = 1.0 / 1_024.0;

/// The value of a metric in one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Metric {
    /// Name of the metric in comparisons.
    pub name: String,
    /// Value in the run.
    pub value: f64,
}

impl Metric {
    /// Returns a metric with a name and a value.
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
    /// One value for each seed.
    pub values: Vec<f64>,
}

impl Samples {
    /// Returns the mean of the values.
    pub fn mean(&self) -> f64 {
        self.values.iter().sum::<f64>() / self.values.len().max(1) as f64
    }

    /// Returns the sample standard deviation; 0 if there are fewer than two values.
    pub fn deviation(&self) -> f64 {
        let n = self.values.len();
        if n < 2 {
            return 0.0;
        }
        let mean = self.mean();
        (self.values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1) as f64).sqrt()
    }
}

/// The result of comparing a metric between two sets of runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// The means differ by more than chance explains.
    Differs,
    /// The difference is within the variation between runs of the same set.
    Noise,
    /// A set has fewer than two runs, so the variation between its runs is unknown.
    TooFew,
}

impl Comparison {
    /// Returns the result as it is printed.
    pub fn as_str(self) -> &'static str {
        match self {
            Comparison::Differs => "differs",
            Comparison::Noise => "noise",
            Comparison::TooFew => "too few runs to tell",
        }
    }
}

/// Compares a metric between two sets of runs by Welch's t statistic. A difference of more than three standard errors
/// is significant. With three runs in each set, chance alone produces one in about a hundred comparisons.
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

/// Returns the metrics of a run that are compared with other runs.
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

/// Collects the values of each metric of the first run from all runs.
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

/// The result of the runs at one factor on the rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Trial {
    /// Rate of the runs, as a multiple of the rate of the plan.
    pub factor: f64,
    /// Number of runs that met the objective.
    pub passes: u32,
    /// Number of runs in total.
    pub runs: u32,
}

/// A search for the knee. It performs no runs itself: the caller runs the plan at the factor that
/// [`KneeSearch::next_factor`] returns, and records the result.
#[derive(Debug, Clone)]
pub struct KneeSearch {
    /// Highest factor that met the objective; 0 until one did.
    low: f64,
    /// Lowest factor that did not meet the objective.
    high: Option<f64>,
    trials: Vec<Trial>,
    runs_per_trial: u32,
    precision: f64,
    max_factor: f64,
}

impl KneeSearch {
    /// Returns a search that begins at the rate of the plan. A factor meets the objective if more than half of its runs do.
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

    /// Returns the next factor to run. Returns `None` once the knee is known to the precision, or lies above the maximum
    /// factor or below the lowest one that is searched.
    pub fn next_factor(&self) -> Option<f64> {
        match self.high {
            None if self.low <= 0.0 => Some(1.0f64.min(self.max_factor)),
            None if self.low >= self.max_factor => None,
            None => Some((self.low * 2.0).min(self.max_factor)),
            Some(high) if high - self.low <= self.precision * high => None,
            // No factor has met the objective yet: the factor is halved until one does.
            Some(high) if self.low <= 0.0 => (high > MIN_FACTOR).then_some(high / 2.0),
            Some(high) => Some((self.low + high) / 2.0),
        }
    }

    /// Returns the number of runs to make at each factor.
    pub fn runs_per_trial(&self) -> u32 {
        self.runs_per_trial
    }

    /// Records the result of the runs at a factor.
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

    /// Returns the factors between which the knee lies. The upper one is `None` if the objective was met at every factor.
    pub fn bounds(&self) -> (f64, Option<f64>) {
        (self.low, self.high)
    }

    /// Returns the trials so far.
    pub fn trials(&self) -> &[Trial] {
        &self.trials
    }

    /// Returns the fraction of runs whose result agrees with the verdict on their factor, as a measure of confidence.
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
