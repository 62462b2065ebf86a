//! When tasks are due and what they are. Pure, and the same for the same plan and seed, byte for byte.
//!
//! Each process draws points of unit rate. A point is placed at the time at which the expected number of arrivals of
//! the load profile reaches it (time change), so that every process follows every profile. The Poisson process is
//! drawn by thinning instead (Lewis and Shedler, 1979), which needs no inverse.

use crate::load_profile::{LoadProfile, Micros};
use crate::plan::{ArrivalProcess, Batch, Plan, TaskClass, Tenant};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, Gamma, LogNormal};

const SECOND: f64 = 1e6;
/// Sets the draws of properties apart from those of times.
const PROPERTIES_SEED_SALT: u64 = 0x6d61_726b;
/// Bounds of the time that a task runs, in microseconds.
const MIN_RUN_TIME: f64 = 1e3;
const MAX_RUN_TIME: f64 = 1e12;
/// Maximum number of arrivals of a plan.
pub const MAX_ARRIVALS: usize = 20_000_000;

/// A task that is due.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When it is due, from the start of the plan.
    pub due: Micros,
    /// Index of its class in the plan.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Index of its service within its class.
    pub service: u32,
    /// Index of the zone of its client.
    pub zone: usize,
    /// Requested cores.
    pub cores: f64,
    /// Requested memory.
    pub memory: f64,
    /// How long it runs.
    pub run_time: Micros,
}

/// Draws an index by weights.
fn draw(rng: &mut ChaCha8Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = weights.clone().sum();
    let mut left = rng.random::<f64>() * total;
    let mut last = 0;
    for (n, weight) in weights.enumerate() {
        last = n;
        left -= weight;
        if left < 0.0 {
            return n;
        }
    }
    last
}

/// The weight of a rank in a Zipf distribution.
fn zipf(rank: usize, exponent: f64) -> f64 {
    1.0 / ((rank + 1) as f64).powf(exponent)
}

/// The times at which arrivals are due.
fn times(process: ArrivalProcess, profile: &LoadProfile, rng: &mut ChaCha8Rng) -> Vec<Micros> {
    match process {
        ArrivalProcess::Poisson => thinned(profile, rng),
        ArrivalProcess::Even => place_points(profile, std::iter::repeat_n(1.0, MAX_ARRIVALS)),
        ArrivalProcess::Gamma { cv } => {
            // Mean 1 and the given coefficient of variation.
            let order = 1.0 / (cv * cv);
            match Gamma::new(order, 1.0 / order) {
                Ok(gaps) => place_points(
                    profile,
                    std::iter::repeat_with(|| gaps.sample(&mut *rng)).take(MAX_ARRIVALS),
                ),
                Err(_) => Vec::new(),
            }
        }
        ArrivalProcess::Markov { high, stay } => {
            // Two states with exponential stays, and rates that are 1 in the mean.
            let rates = [2.0 * high / (1.0 + high), 2.0 / (1.0 + high)];
            let (mut state, mut left) = (usize::from(rng.random::<bool>()), 0.0);
            let gap = std::iter::from_fn(|| {
                let (mut need, mut gap): (f64, f64) = (Exp1.sample(&mut *rng), 0.0);
                loop {
                    if left <= 0.0 {
                        state = 1 - state;
                        let drawn: f64 = Exp1.sample(&mut *rng);
                        left = drawn * stay;
                    }
                    let within = left * rates[state];
                    if need <= within {
                        left -= need / rates[state];
                        return Some(gap + need / rates[state]);
                    }
                    (need, gap, left) = (need - within, gap + left, 0.0);
                }
            });
            place_points(profile, gap.take(MAX_ARRIVALS))
        }
    }
}

fn thinned(profile: &LoadProfile, rng: &mut ChaCha8Rng) -> Vec<Micros> {
    let mut found = Vec::new();
    // Phase by phase: the bound on the rate is then tight where it is low.
    for phase in &profile.phases {
        let alone = LoadProfile {
            phases: vec![crate::load_profile::Phase {
                start: 0,
                ..phase.clone()
            }],
        };
        let max_rate = alone.max_rate();
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
            if rng.random::<f64>() * max_rate < alone.rate(at as Micros) {
                found.push(phase.start + at as Micros);
            }
        }
    }
    found
}

/// Places points with these gaps, of mean 1, on the clock.
fn place_points(profile: &LoadProfile, gaps: impl Iterator<Item = f64>) -> Vec<Micros> {
    let (mut found, mut point, mut from) = (Vec::new(), 0.0, 0);
    let (length, total) = (profile.length(), profile.expected(profile.length()));
    for gap in gaps {
        point += gap;
        if point > total {
            break;
        }
        // The expected number never decreases: bisect.
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

/// Returns all arrivals of a plan, in order.
pub fn arrivals(plan: &Plan, profile: &LoadProfile) -> Vec<Arrival> {
    let mut clock = ChaCha8Rng::seed_from_u64(plan.seed);
    // The properties of tasks have a random stream of their own, so that another process does not change them.
    let mut properties = ChaCha8Rng::seed_from_u64(plan.seed ^ PROPERTIES_SEED_SALT);
    let mut found = Vec::new();
    for due in times(plan.arrivals.process, profile, &mut clock) {
        let class = draw(
            &mut properties,
            plan.classes.iter().map(|class| class.share),
        );
        let Some(chosen) = plan.classes.get(class) else {
            continue;
        };
        let tenant = draw(
            &mut properties,
            plan.tenants
                .iter()
                .map(|tenant: &Tenant| tenant.arrival_weight()),
        );
        let services = chosen.services.max(1) as usize;
        let service = draw(
            &mut properties,
            (0..services).map(|rank| zipf(rank, plan.arrivals.service_skew)),
        );
        let zone = draw(
            &mut properties,
            (0..plan.zones.len().max(1)).map(|rank| zipf(rank, plan.arrivals.zone_skew)),
        );
        let size = chosen
            .sizes
            .get(service % chosen.sizes.len().max(1))
            .copied()
            .unwrap_or_default();
        let batch = plan.arrivals.batch.map_or(1, |Batch { min, max }| {
            properties.random_range(min..=max.max(min))
        });
        for _ in 0..batch {
            let run_time = run_time(chosen, &mut properties);
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

fn run_time(class: &TaskClass, rng: &mut impl Rng) -> Micros {
    let mean = class.run_time.as_micros() as f64;
    // Lognormal with this mean.
    let spread = class.run_time_sigma;
    let drawn = LogNormal::new(mean.max(1.0).ln() - spread * spread / 2.0, spread)
        .map_or(mean, |d| d.sample(rng));
    drawn.clamp(MIN_RUN_TIME, MAX_RUN_TIME) as Micros
}

#[cfg(test)]
mod tests;
