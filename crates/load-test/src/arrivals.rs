//! Generates the arrivals of a plan: when tasks are due, and their properties. The functions are pure: the same plan
//! and seed give exactly the same arrivals.
//!
//! Each arrival process draws points at unit rate. A point is placed at the time at which the expected number of
//! arrivals of the load profile reaches it (time change), so that every process follows every profile. The Poisson
//! process is drawn by thinning instead (Lewis and Shedler, 1979), which does not need the inverse of the expected
//! number.

use crate::load_profile::{LoadProfile, Micros};
use crate::plan::{ArrivalProcess, Batch, Plan, TaskClass, Tenant};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, Gamma, LogNormal};

const SECOND: f64 = 1e6;
/// Combined with the seed of the plan, so that the properties of tasks are drawn from another stream than their times.
const PROPERTIES_SEED_SALT: u64 = 0x6d61_726b;
/// Minimum and maximum run time of a task, in microseconds.
const MIN_RUN_TIME: f64 = 1e3;
const MAX_RUN_TIME: f64 = 1e12;
/// Maximum number of arrivals that are drawn for a plan.
pub const MAX_ARRIVALS: usize = 20_000_000;

/// The arrival of a task.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When the task is due, from the start of the plan.
    pub due: Micros,
    /// Index of the task's class in the plan.
    pub class: usize,
    /// Index of the task's tenant in the plan.
    pub tenant: usize,
    /// Index of the task's service within its class.
    pub service: u32,
    /// Index of the client's zone in the plan.
    pub zone: usize,
    /// Requested cores.
    pub cores: f64,
    /// Requested memory.
    pub memory: f64,
    /// How long the task runs.
    pub run_time: Micros,
}

/// Draws an index with a probability in proportion to its weight.
fn draw(rng: &mut ChaCha8Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = weights.clone().sum();
    let mut remaining = rng.random::<f64>() * total;
    let mut last = 0;
    for (n, weight) in weights.enumerate() {
        last = n;
        remaining -= weight;
        if remaining < 0.0 {
            return n;
        }
    }
    last
}

/// Returns the weight of a rank, counted from 0, in a Zipf distribution.
fn zipf(rank: usize, exponent: f64) -> f64 {
    1.0 / ((rank + 1) as f64).powf(exponent)
}

/// Draws the times at which arrivals are due, in increasing order.
fn arrival_times(
    process: ArrivalProcess,
    profile: &LoadProfile,
    rng: &mut ChaCha8Rng,
) -> Vec<Micros> {
    match process {
        ArrivalProcess::Poisson => poisson_times(profile, rng),
        ArrivalProcess::Even => place_points(profile, std::iter::repeat_n(1.0, MAX_ARRIVALS)),
        ArrivalProcess::Gamma { cv } => {
            // A gamma distribution with mean 1 has this shape for a coefficient of variation `cv`.
            let shape = 1.0 / (cv * cv);
            match Gamma::new(shape, 1.0 / shape) {
                Ok(gaps) => place_points(
                    profile,
                    std::iter::repeat_with(|| gaps.sample(&mut *rng)).take(MAX_ARRIVALS),
                ),
                Err(_) => Vec::new(),
            }
        }
        ArrivalProcess::Markov { high, stay } => {
            // Two states that last for exponentially distributed times, with rates whose mean is 1.
            let rates = [2.0 * high / (1.0 + high), 2.0 / (1.0 + high)];
            let (mut state, mut remaining) = (usize::from(rng.random::<bool>()), 0.0);
            let gap = std::iter::from_fn(|| {
                let (mut need, mut gap): (f64, f64) = (Exp1.sample(&mut *rng), 0.0);
                loop {
                    if remaining <= 0.0 {
                        state = 1 - state;
                        let drawn: f64 = Exp1.sample(&mut *rng);
                        remaining = drawn * stay;
                    }
                    let within = remaining * rates[state];
                    if need <= within {
                        remaining -= need / rates[state];
                        return Some(gap + need / rates[state]);
                    }
                    (need, gap, remaining) = (need - within, gap + remaining, 0.0);
                }
            });
            place_points(profile, gap.take(MAX_ARRIVALS))
        }
    }
}

/// Draws the times of a Poisson process that follows a load profile, by thinning.
fn poisson_times(profile: &LoadProfile, rng: &mut ChaCha8Rng) -> Vec<Micros> {
    let mut found = Vec::new();
    // Thinning each phase by itself keeps the bound on the rate tight in phases with a low rate.
    for phase in &profile.phases {
        let single_phase = LoadProfile {
            phases: vec![crate::load_profile::Phase {
                start: 0,
                ..phase.clone()
            }],
        };
        let max_rate = single_phase.max_rate();
        if max_rate <= 0.0 {
            continue;
        }
        let mut at = 0.0;
        loop {
            let gap: f64 = Exp1.sample(rng);
            at += gap / max_rate * SECOND;
            if at >= phase.length as f64 || found.len() >= MAX_ARRIVALS {
                break;
            }
            if rng.random::<f64>() * max_rate < single_phase.rate(at as Micros) {
                found.push(phase.start + at as Micros);
            }
        }
    }
    found
}

/// Converts points with these gaps, whose mean is 1, to times that follow a load profile.
fn place_points(profile: &LoadProfile, gaps: impl Iterator<Item = f64>) -> Vec<Micros> {
    let (mut found, mut point, mut from) = (Vec::new(), 0.0, 0);
    let (length, total) = (profile.length(), profile.expected(profile.length()));
    for gap in gaps {
        point += gap;
        if point > total {
            break;
        }
        // The expected number of arrivals never decreases over time, so the time can be found by bisection.
        let (mut low, mut high) = (from, length);
        while low < high {
            let middle = low + (high - low) / 2;
            if profile.expected(middle) < point {
                low = middle + 1
            } else {
                high = middle
            }
        }
        from = low;
        found.push(low);
    }
    found
}

/// Returns all arrivals of a plan in order of their times.
pub fn arrivals(plan: &Plan, profile: &LoadProfile) -> Vec<Arrival> {
    let mut time_rng = ChaCha8Rng::seed_from_u64(plan.seed);
    // The properties of tasks are drawn from a random stream of their own, so that a change of the arrival process
    // does not change them.
    let mut property_rng = ChaCha8Rng::seed_from_u64(plan.seed ^ PROPERTIES_SEED_SALT);
    let mut found = Vec::new();
    for due in arrival_times(plan.arrivals.process, profile, &mut time_rng) {
        let class = draw(
            &mut property_rng,
            plan.classes.iter().map(|class| class.share),
        );
        let Some(chosen) = plan.classes.get(class) else {
            continue;
        };
        let tenant = draw(
            &mut property_rng,
            plan.tenants
                .iter()
                .map(|tenant: &Tenant| tenant.arrival_weight()),
        );
        let services = chosen.services.max(1) as usize;
        let service = draw(
            &mut property_rng,
            (0..services).map(|rank| zipf(rank, plan.arrivals.service_skew)),
        );
        let zone = draw(
            &mut property_rng,
            (0..plan.zones.len().max(1)).map(|rank| zipf(rank, plan.arrivals.zone_skew)),
        );
        let size = chosen
            .sizes
            .get(service % chosen.sizes.len().max(1))
            .copied()
            .unwrap_or_default();
        let batch = plan.arrivals.batch.map_or(1, |Batch { min, max }| {
            property_rng.random_range(min..=max.max(min))
        });
        for _ in 0..batch {
            let run_time = run_time(chosen, &mut property_rng);
            let service = service as u32;
            found.push(Arrival {
                due,
                class,
                tenant,
                service,
                zone,
                cores: size.cores,
                memory: size.memory,
                run_time,
            });
        }
    }
    found
}

/// Draws the run time of a task.
fn run_time(class: &TaskClass, rng: &mut impl Rng) -> Micros {
    let mean = class.run_time.as_micros() as f64;
    // The location parameter is chosen so that the lognormal distribution has this mean.
    let sigma = class.run_time_sigma;
    let drawn = LogNormal::new(mean.max(1.0).ln() - sigma * sigma / 2.0, sigma)
        .map_or(mean, |d| d.sample(rng));
    drawn.clamp(MIN_RUN_TIME, MAX_RUN_TIME) as Micros
}

#[cfg(test)]
mod tests;
