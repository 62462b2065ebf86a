//! The scenarios: overload, partial failures, and faults of placers, hosts, links and clients during either.

use crate::simulation::{Fault, MILLISECOND, SECOND, Scenario};
use task_placer::Micros;
use task_placer::overload::Features;

/// A function that creates a scenario for a number of placers with the given features of overload control.
pub type MakeScenario = fn(usize, Features) -> Scenario;

/// Every scenario, with its name in the printed table.
pub const ALL: [(&str, MakeScenario); 11] = [
    ("load peak x3", load_peak_of_three_times_the_capacity),
    ("zone lost", zone_lost_under_load_and_replaced_cold),
    ("placers killed", placers_killed_during_a_load_peak),
    ("placers stalled", placers_stalled_during_a_load_peak),
    ("one bad link", one_placer_with_cut_links),
    ("cell cut off", cell_cut_off_from_all_placers),
    ("list late", endpoint_list_ten_seconds_late),
    ("clients", half_of_the_clients_ignore_retry_after),
    ("uneven", one_placer_with_most_of_the_traffic),
    ("rolling restart", placers_restarted_during_a_load_peak),
    ("flapping", hosts_that_flap),
];

/// Returns a scenario of sixteen seconds at a constant moderate load.
fn moderate_load(placer_count: usize, features: Features) -> Scenario {
    Scenario {
        load: vec![(0, 0.6)],
        duration: 16 * SECOND,
        ..Scenario::load_peak(placer_count, 1.0, features, 1)
    }
}

/// Returns a scenario with six seconds of load at nearly twice the capacity, preceded and followed by low load.
fn peak(placer_count: usize, features: Features) -> Scenario {
    Scenario {
        load: vec![(0, 0.2), (2 * SECOND, 1.8), (8 * SECOND, 0.2)],
        ..moderate_load(placer_count, features)
    }
}

fn three_quarters(placer_count: usize) -> Vec<usize> {
    (0..placer_count * 3 / 4).collect()
}

pub fn load_peak_of_three_times_the_capacity(placer_count: usize, features: Features) -> Scenario {
    Scenario {
        load: vec![(0, 0.2), (2 * SECOND, 3.0), (12 * SECOND, 0.2)],
        duration: 18 * SECOND,
        ..moderate_load(placer_count, features)
    }
}

pub fn zone_lost_under_load_and_replaced_cold(placer_count: usize, features: Features) -> Scenario {
    Scenario {
        faults: vec![
            (3 * SECOND, Fault::KillHosts(vec![0, 1])),
            (8 * SECOND, Fault::ReplaceHosts(vec![0, 1])),
        ],
        ..moderate_load(placer_count, features)
    }
}

pub fn placers_killed_during_a_load_peak(placer_count: usize, features: Features) -> Scenario {
    Scenario {
        faults: vec![
            (4 * SECOND, Fault::KillPlacers(three_quarters(placer_count))),
            (
                5 * SECOND,
                Fault::StartPlacers(three_quarters(placer_count)),
            ),
        ],
        ..peak(placer_count, features)
    }
}

pub fn placers_stalled_during_a_load_peak(placer_count: usize, features: Features) -> Scenario {
    Scenario {
        faults: vec![
            (
                4 * SECOND,
                Fault::StallPlacers(three_quarters(placer_count)),
            ),
            (
                5 * SECOND,
                Fault::ResumePlacers(three_quarters(placer_count)),
            ),
        ],
        ..peak(placer_count, features)
    }
}

pub fn one_placer_with_cut_links(placer_count: usize, features: Features) -> Scenario {
    let (placers, hosts) = (vec![0], vec![0, 1, 2]);
    let cut = Fault::CutLinks {
        placers: placers.clone(),
        hosts: hosts.clone(),
    };
    Scenario {
        faults: vec![
            (3 * SECOND, cut),
            (9 * SECOND, Fault::RestoreLinks { placers, hosts }),
        ],
        ..moderate_load(placer_count, features)
    }
}

pub fn cell_cut_off_from_all_placers(placer_count: usize, features: Features) -> Scenario {
    let (placers, hosts): (Vec<usize>, Vec<usize>) = ((0..placer_count).collect(), vec![0, 1]);
    let cut = Fault::CutLinks {
        placers: placers.clone(),
        hosts: hosts.clone(),
    };
    Scenario {
        hosts_per_cell: 2,
        faults: vec![
            (3 * SECOND, cut),
            (24 * SECOND, Fault::RestoreLinks { placers, hosts }),
        ],
        ..moderate_load(placer_count, features)
    }
}

pub fn endpoint_list_ten_seconds_late(placer_count: usize, features: Features) -> Scenario {
    Scenario {
        discovery_delay: 10 * SECOND,
        ..peak(placer_count, features)
    }
}

pub fn half_of_the_clients_ignore_retry_after(placer_count: usize, features: Features) -> Scenario {
    Scenario {
        retry_after_compliance: 0.5,
        ..peak(placer_count, features)
    }
}

pub fn one_placer_with_most_of_the_traffic(placer_count: usize, features: Features) -> Scenario {
    Scenario {
        first_placer_fraction: 0.7,
        ..peak(placer_count, features)
    }
}

pub fn placers_restarted_during_a_load_peak(placer_count: usize, features: Features) -> Scenario {
    let restart = |placer: usize| {
        let at = 4 * SECOND + placer as Micros * 100 * MILLISECOND;
        [
            (at, Fault::KillPlacers(vec![placer])),
            (at + 50 * MILLISECOND, Fault::StartPlacers(vec![placer])),
        ]
    };
    Scenario {
        faults: (0..placer_count).flat_map(restart).collect(),
        ..peak(placer_count, features)
    }
}

pub fn hosts_that_flap(placer_count: usize, features: Features) -> Scenario {
    let flap = |n: Micros| {
        [
            ((3 + 2 * n) * SECOND, Fault::SilenceHosts(vec![0, 3])),
            ((4 + 2 * n) * SECOND, Fault::ResumeHosts(vec![0, 3])),
        ]
    };
    Scenario {
        faults: (0..5).flat_map(flap).collect(),
        ..moderate_load(placer_count, features)
    }
}
