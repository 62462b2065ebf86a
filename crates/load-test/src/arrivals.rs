//! When tasks are due and what they are: pure, and the same for the same plan and seed, byte for byte.
//!
//! Each process makes unit-rate points on a line of its own; a point is laid onto the clock where the
//! shape's expected count reaches it (time change), so that every process follows every shape. The Poisson
//! process is made by thinning instead (Lewis and Shedler, 1979), which needs no inverse.

use crate::plan::{Batch, Class, Plan, Process, Tenant};
use crate::shape::{Micros, Shape};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, Gamma, LogNormal};

const SECOND: f64 = 1e6;
/// A plan makes no more.
pub const MOST_ARRIVALS: usize = 20_000_000;

/// A task that is due.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When, from the start of the plan.
    pub due: Micros,
    /// Index of its class in the plan.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Index of its service within its class.
    pub service: u32,
    /// The room of its client.
    pub room: usize,
    /// What it asks for.
    pub cores: f64,
    /// See `cores`.
    pub memory: f64,
    /// How long it is wanted.
    pub life: Micros,
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

/// The weight of a rank under a Zipf law: services are as unequal as the exponent says.
fn zipf(rank: usize, exponent: f64) -> f64 {
    1.0 / ((rank + 1) as f64).powf(exponent)
}

/// The times at which arrivals are due.
fn times(process: Process, shape: &Shape, rng: &mut ChaCha8Rng) -> Vec<Micros> {
    match process {
        Process::Poisson => thinned(shape, rng),
        Process::Even => laid(shape, std::iter::repeat_n(1.0, MOST_ARRIVALS)),
        Process::Gamma { cv } => {
            // Mean 1 and the given coefficient of variation.
            let order = 1.0 / (cv * cv);
            match Gamma::new(order, 1.0 / order) {
                Ok(gaps) => laid(
                    shape,
                    std::iter::repeat_with(|| gaps.sample(&mut *rng)).take(MOST_ARRIVALS),
                ),
                Err(_) => Vec::new(),
            }
        }
        Process::Markov { high, stay } => {
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
            laid(shape, gap.take(MOST_ARRIVALS))
        }
    }
}

fn thinned(shape: &Shape, rng: &mut ChaCha8Rng) -> Vec<Micros> {
    let mut found = Vec::new();
    // Phase by phase: the bound on the rate is then tight where it is low.
    for phase in &shape.phases {
        let alone = Shape {
            phases: vec![crate::shape::Phase {
                start: 0,
                ..phase.clone()
            }],
        };
        let most = alone.most();
        if most <= 0.0 {
            continue;
        }
        let mut at = 0.0;
        loop {
            let gap: f64 = Exp1.sample(rng);
            at += gap / most * SECOND;
            if at >= phase.length as f64 || found.len() >= MOST_ARRIVALS {
                break;
            }
            if rng.random::<f64>() * most < alone.rate(at as Micros) {
                found.push(phase.start + at as Micros);
            }
        }
    }
    found
}

/// Lays points with these gaps, of mean 1, onto the clock.
fn laid(shape: &Shape, gaps: impl Iterator<Item = f64>) -> Vec<Micros> {
    let (mut found, mut point, mut from) = (Vec::new(), 0.0, 0);
    let (length, total) = (shape.length(), shape.expected(shape.length()));
    for gap in gaps {
        point += gap;
        if point > total {
            break;
        }
        // The expected count never falls: halve until the place is found.
        let (mut low, mut high) = (from, length);
        while low < high {
            let middle = low + (high - low) / 2;
            if shape.expected(middle) < point {
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

/// All arrivals of a plan, in order.
pub fn arrivals(plan: &Plan, shape: &Shape) -> Vec<Arrival> {
    let mut clock = ChaCha8Rng::seed_from_u64(plan.seed);
    // The marks have a stream of their own: another process leaves them as they are.
    let mut marks = ChaCha8Rng::seed_from_u64(plan.seed ^ 0x6d61_726b);
    let mut found = Vec::new();
    for due in times(plan.arrivals.process, shape, &mut clock) {
        let class = draw(&mut marks, plan.classes.iter().map(|class| class.share));
        let Some(chosen) = plan.classes.get(class) else {
            continue;
        };
        let tenant = draw(
            &mut marks,
            plan.tenants.iter().map(|tenant: &Tenant| tenant.arrivals()),
        );
        let services = chosen.services.max(1) as usize;
        let service = draw(
            &mut marks,
            (0..services).map(|rank| zipf(rank, plan.arrivals.service_skew)),
        );
        let room = draw(
            &mut marks,
            (0..plan.rooms.len().max(1)).map(|rank| zipf(rank, plan.arrivals.room_skew)),
        );
        let size = chosen
            .sizes
            .get(service % chosen.sizes.len().max(1))
            .copied()
            .unwrap_or([1.0, 1.0]);
        let batch = plan.arrivals.batch.map_or(1, |Batch { least, most }| {
            marks.random_range(least..=most.max(least))
        });
        for _ in 0..batch {
            let life = life(chosen, &mut marks);
            let service = service as u32;
            found.push(Arrival {
                due,
                class,
                tenant,
                service,
                room,
                cores: size[0],
                memory: size[1],
                life,
            });
        }
    }
    found
}

fn life(class: &Class, rng: &mut impl Rng) -> Micros {
    let mean = class.life.as_micros() as f64;
    // Lognormal with this mean.
    let spread = class.life_sigma;
    let drawn = LogNormal::new(mean.max(1.0).ln() - spread * spread / 2.0, spread)
        .map_or(mean, |d| d.sample(rng));
    drawn.clamp(1e3, 1e12) as Micros
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::shape::parse;

    fn plan(process: &str) -> Plan {
        let text = format!(
            "seed = 7\narrivals.shape = \"20/s for 100s, rise to 60/s over 10s, silence 5s, 10/s for 20s\"\n\
             arrivals.process = {process}\narrivals.service-skew = 1.0\n"
        );
        Plan::parse(&text).expect("a plan")
    }

    const PROCESSES: [&str; 4] = [
        "{ kind = \"poisson\" }",
        "{ kind = \"even\" }",
        "{ kind = \"gamma\", cv = 2.0 }",
        "{ kind = \"markov\", high = 4.0, stay = 20.0 }",
    ];

    #[test]
    fn the_same_plan_and_seed_give_the_same_arrivals_and_another_seed_others() {
        for process in PROCESSES {
            let plan = plan(process);
            let shape = parse(&plan.arrivals.shape).expect("a shape");
            let first = arrivals(&plan, &shape);
            assert_eq!(first, arrivals(&plan, &shape), "{process}");
            let other = Plan { seed: 8, ..plan };
            let others = arrivals(&other, &shape);
            assert_ne!(first, others, "{process}");
        }
    }

    #[test]
    fn counts_follow_the_shape_in_every_phase_and_times_are_in_order() {
        for process in PROCESSES {
            let plan = plan(process);
            let shape = parse(&plan.arrivals.shape).expect("a shape");
            let all = arrivals(&plan, &shape);
            assert!(
                all.windows(2).all(|pair| pair[0].due <= pair[1].due),
                "{process}"
            );
            for phase in &shape.phases {
                let end = phase.start + phase.length;
                let expected = shape.expected(end) - shape.expected(phase.start);
                let found = all
                    .iter()
                    .filter(|a| (phase.start..end).contains(&a.due))
                    .count() as f64;
                // Five times the deviation that the least even of these processes has.
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
    fn gaps_are_as_uneven_as_they_are_asked_to_be() {
        let cv = |process: &str| {
            let plan = plan(process);
            let shape = parse("50/s for 200s").expect("a shape");
            let all = arrivals(&plan, &shape);
            let gaps: Vec<f64> = all
                .windows(2)
                .map(|pair| (pair[1].due - pair[0].due) as f64)
                .collect();
            let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
            let variance =
                gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / gaps.len() as f64;
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
    fn services_rooms_and_batches_are_drawn_as_the_plan_says() {
        let mut plan = plan("{ kind = \"poisson\" }");
        plan.arrivals.batch = Some(Batch { least: 2, most: 4 });
        plan.arrivals.room_skew = 2.0;
        let shape = parse("20/s for 100s").expect("a shape");
        let all = arrivals(&plan, &shape);
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
        let of = |room| all.iter().filter(|a| a.room == room).count();
        assert!(
            of(0) > 3 * of(1) && of(1) > of(2),
            "{} {} {}",
            of(0),
            of(1),
            of(2)
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
}
