//! Computes the probabilities of stochastic coordination (SCD).
//!
//! Many dispatchers send tasks to the same hosts without coordination messages. Each of them draws hosts with
//! probabilities that balance the loads if all dispatchers do so. In the notation of the published method a host has a
//! load `q` and a size `mu`, and `a` tasks arrive at all dispatchers together.

/// The load and the size of a host, both counted in tasks of mean size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HostLoad {
    /// The tasks that are on the host (`q`).
    pub load: f64,
    /// The tasks that the host can serve (`mu`).
    pub size: f64,
}

/// Sums over a prefix of the hosts in the order of their marginal loads.
#[derive(Debug, Default)]
struct Prefix {
    /// Total load that the hosts of the prefix would have at the ideal workload, minus their current load.
    headroom: f64,
    /// Sum of the sizes of the hosts of the prefix.
    size: f64,
    /// The part of the optimization's objective that does not depend on the Lagrange multiplier.
    constant: f64,
}

/// The prefix of the ordered hosts with the lowest objective among those examined so far.
struct Best {
    /// Value that the optimization minimizes, for this prefix.
    objective: f64,
    /// Number of hosts in the prefix.
    count: usize,
    /// Lagrange multiplier of the condition that the probabilities add up to 1.
    multiplier: f64,
}

/// Returns the probability with which a dispatcher draws each host, if `arrivals` tasks are expected at all dispatchers
/// together.
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

/// Returns twice the load that a host would have with half a task more, divided by the host's size.
fn marginal_load(host: HostLoad) -> f64 {
    (2.0 * host.load + 1.0) / host.size
}

/// Returns the indices of the hosts in ascending order of their marginal loads.
fn by_marginal_load(hosts: &[HostLoad]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..hosts.len()).collect();
    order.sort_by(|&first, &second| {
        marginal_load(hosts[first]).total_cmp(&marginal_load(hosts[second]))
    });
    order
}

/// Returns equal probabilities for the least loaded hosts, for the case that at most one task arrives at a time.
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

/// Returns the probability of drawing a host of a prefix, before the division by `2 (a - 1)`, where `a` is the number
/// of tasks that arrive at all dispatchers together.
fn prefix_numerator(host: HostLoad, level: f64, multiplier: f64) -> f64 {
    2.0 * (host.size * level - host.load) - 1.0 - host.size * multiplier
}

/// Returns the prefix of the hosts in `order` with the lowest objective, among the prefixes in which no probability is
/// negative.
fn best_prefix(hosts: &[HostLoad], order: &[usize], level: f64, arrivals: f64) -> Best {
    let mut sums = Prefix::default();
    let mut best: Option<Best> = None;
    for (position, &index) in order.iter().enumerate() {
        let HostLoad { load, size } = hosts[index];
        sums.headroom += size * level - load;
        sums.size += size;
        sums.constant +=
            (2.0 * (load - size * level) + 1.0).powi(2) / (4.0 * size * (arrivals - 1.0));
        let count = position + 1;
        let multiplier = (2.0 * sums.headroom - count as f64 - 2.0 * (arrivals - 1.0)) / sums.size;
        // Probabilities decrease along the order, so only the last host of a prefix has to be checked.
        if prefix_numerator(hosts[index], level, multiplier) < 0.0 {
            continue;
        }
        let objective =
            multiplier * multiplier * sums.size / (4.0 * (arrivals - 1.0)) - sums.constant;
        if best.as_ref().is_none_or(|best| objective < best.objective) {
            best = Some(Best {
                objective,
                count,
                multiplier,
            });
        }
    }
    best.unwrap_or(Best {
        objective: 0.0,
        count: 1,
        multiplier: 0.0,
    })
}

/// Returns the ideal workload: the load divided by size that the least loaded hosts have in common once `arrivals`
/// tasks are spread over them so that it is equal.
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
