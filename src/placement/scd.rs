//! The probabilities of stochastic coordination (SCD).
//!
//! Many dispatchers send tasks to the same hosts without coordination messages. Each draws hosts with probabilities that
//! level the loads if all of them do so. In the notation of the published method a host has a load `q` and a size `mu`,
//! and `a` tasks arrive at all dispatchers together.

/// Load and size of a host, both in mean tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HostLoad {
    /// Tasks on it (`q`).
    pub load: f64,
    /// Tasks it can serve (`mu`).
    pub size: f64,
}

/// Sums over the first hosts of the order, and the solution for them.
#[derive(Debug, Default)]
struct Prefix {
    room: f64,
    size: f64,
    cost: f64,
}

/// The prefix of the order with the best value so far.
struct Best {
    value: f64,
    count: usize,
    multiplier: f64,
}

/// The probability of each host if `arrivals` tasks are expected at all dispatchers together.
pub fn scd_probabilities(hosts: &[HostLoad], arrivals: f64) -> Vec<f64> {
    let order = by_marginal_load(hosts);
    let Some(&least_loaded) = order.first() else {
        return Vec::new();
    };
    if arrivals <= 1.0 {
        return equal_among_least_loaded(hosts, &order);
    }
    let level = ideal_workload(hosts, arrivals);
    let best = best_prefix(hosts, &order, level, arrivals);
    let mut probabilities = vec![0.0; hosts.len()];
    let mut total = 0.0;
    for &index in &order[..best.count] {
        let numerator = prefix_numerator(hosts[index], level, best.multiplier);
        probabilities[index] = (numerator / (2.0 * (arrivals - 1.0))).max(0.0);
        total += probabilities[index];
    }
    if total > 0.0 {
        probabilities
            .iter_mut()
            .for_each(|probability| *probability /= total);
    } else {
        probabilities[least_loaded] = 1.0;
    }
    probabilities
}

/// The load of a host after half a task more, over its size.
fn marginal_load(host: HostLoad) -> f64 {
    (2.0 * host.load + 1.0) / host.size
}

fn by_marginal_load(hosts: &[HostLoad]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..hosts.len()).collect();
    order.sort_by(|&first, &second| {
        marginal_load(hosts[first]).total_cmp(&marginal_load(hosts[second]))
    });
    order
}

/// One task at a time: any of the least loaded hosts.
fn equal_among_least_loaded(hosts: &[HostLoad], order: &[usize]) -> Vec<f64> {
    let least = marginal_load(hosts[order[0]]);
    let ties = order
        .iter()
        .take_while(|index| marginal_load(hosts[**index]) <= least);
    let ties: Vec<usize> = ties.copied().collect();
    let mut probabilities = vec![0.0; hosts.len()];
    for &index in &ties {
        probabilities[index] = 1.0 / ties.len() as f64;
    }
    probabilities
}

/// A host's probability within a prefix, before the division by `2 (a - 1)`.
fn prefix_numerator(host: HostLoad, level: f64, multiplier: f64) -> f64 {
    2.0 * (host.size * level - host.load) - 1.0 - host.size * multiplier
}

/// The prefix of the order with the lowest value among those without a negative probability.
fn best_prefix(hosts: &[HostLoad], order: &[usize], level: f64, arrivals: f64) -> Best {
    let mut sums = Prefix::default();
    let mut best: Option<Best> = None;
    for (position, &index) in order.iter().enumerate() {
        let HostLoad { load, size } = hosts[index];
        sums.room += size * level - load;
        sums.size += size;
        sums.cost += (2.0 * (load - size * level) + 1.0).powi(2) / (4.0 * size * (arrivals - 1.0));
        let count = position + 1;
        let multiplier = (2.0 * sums.room - count as f64 - 2.0 * (arrivals - 1.0)) / sums.size;
        // Probabilities fall along the order, so the last one decides for all.
        if prefix_numerator(hosts[index], level, multiplier) < 0.0 {
            continue;
        }
        let value = multiplier * multiplier * sums.size / (4.0 * (arrivals - 1.0)) - sums.cost;
        if best.as_ref().is_none_or(|best| value < best.value) {
            best = Some(Best {
                value,
                count,
                multiplier,
            });
        }
    }
    best.unwrap_or(Best {
        value: 0.0,
        count: 1,
        multiplier: 0.0,
    })
}

/// The level to which `arrivals` tasks raise the lowest loads together.
fn ideal_workload(hosts: &[HostLoad], arrivals: f64) -> f64 {
    let mut loads: Vec<(f64, HostLoad)> = hosts
        .iter()
        .map(|host| (host.load / host.size, *host))
        .collect();
    loads.sort_by(|first, second| first.0.total_cmp(&second.0));
    let mut total_load = 0.0;
    let mut total_size = 0.0;
    for (position, (_, host)) in loads.iter().enumerate() {
        total_load += host.load;
        total_size += host.size;
        let level = (total_load + arrivals) / total_size;
        let next = loads.get(position + 1);
        if next.is_none_or(|(next_level, _)| level <= *next_level) {
            return level;
        }
    }
    0.0
}
