//! Tests the estimated need of runs, and which runs are rejected.

use super::{BudgetError, Excess, MAX_PROCESSES, Machine, Need, RunSize, check};
use crate::settings::Settings;

const GIB_IN_KB: u64 = 1024 * 1024;

/// A machine with 24 GiB of memory, on which each process may have 20,000 open descriptors.
const MACHINE: Machine = Machine {
    memory_kb: 24 * GIB_IN_KB,
    descriptors: Some(20_000),
};

const SMALL: Need = Need {
    memory_kb: GIB_IN_KB,
    descriptors_own: 1000,
    descriptors_placer: 500,
    processes: 5,
};

const EMPTY_RUN: RunSize = RunSize {
    workers: 0,
    placers: 0,
    running_tasks: 0,
    connections: 0,
    placer_sockets: 1024,
};

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn need_within_the_limits_is_admitted_and_each_excess_is_named() {
    let memory = |needed_kb| Excess::Memory {
        needed_kb,
        allowed_kb: 12 * GIB_IN_KB,
    };
    let here = |needed| Excess::DescriptorsOwn {
        needed,
        allowed: 20_000,
    };
    let placer = |needed| Excess::DescriptorsPlacer {
        needed,
        allowed: 20_000,
    };
    let table: [(Need, Vec<Excess>); 10] = [
        (SMALL, vec![]),
        (
            Need {
                memory_kb: 12 * GIB_IN_KB,
                ..SMALL
            },
            vec![],
        ),
        (
            Need {
                memory_kb: 12 * GIB_IN_KB + 1,
                ..SMALL
            },
            vec![memory(12 * GIB_IN_KB + 1)],
        ),
        (
            Need {
                descriptors_own: 20_000,
                ..SMALL
            },
            vec![],
        ),
        (
            Need {
                descriptors_own: 20_001,
                ..SMALL
            },
            vec![here(20_001)],
        ),
        (
            Need {
                descriptors_placer: 20_000,
                ..SMALL
            },
            vec![],
        ),
        (
            Need {
                descriptors_placer: 20_001,
                ..SMALL
            },
            vec![placer(20_001)],
        ),
        (
            Need {
                processes: MAX_PROCESSES,
                ..SMALL
            },
            vec![],
        ),
        (
            Need {
                processes: 301,
                ..SMALL
            },
            vec![Excess::Processes { needed: 301 }],
        ),
        (
            Need {
                memory_kb: u64::MAX,
                processes: 400,
                ..SMALL
            },
            vec![memory(u64::MAX), Excess::Processes { needed: 400 }],
        ),
    ];
    for (need, excesses) in table {
        let expected = if excesses.is_empty() {
            Ok(())
        } else {
            Err(BudgetError { excesses })
        };
        assert_eq!(check(&need, &MACHINE), expected, "{need:?}");
    }
}

#[test]
fn machine_without_a_descriptor_limit_admits_any_number() {
    let machine = Machine {
        descriptors: None,
        ..MACHINE
    };
    let need = Need {
        descriptors_own: u64::MAX,
        descriptors_placer: u64::MAX,
        ..SMALL
    };
    assert_eq!(check(&need, &machine), Ok(()));
}

#[test]
fn each_excess_is_one_line_with_a_remedy() {
    let need = Need {
        memory_kb: 14 * GIB_IN_KB + GIB_IN_KB / 10,
        descriptors_own: 20_001,
        descriptors_placer: 20_002,
        processes: 301,
    };
    let expected = "\
needs 14.1 GiB of memory, half of the machine is 12.0 GiB: use fewer workers, placers or running tasks
needs 20001 descriptors in this process, its limit (ulimit -n) is 20000: use fewer workers, placers or connections, or raise the limit
needs 20002 descriptors in each placer, its limit (ulimit -n) is 20000: use fewer workers or connections, or raise the limit
needs 301 processes, a run may have at most 300: use fewer placers";
    assert_eq!(
        check(&need, &MACHINE)
            .expect_err("excessive need should be rejected")
            .to_string(),
        expected
    );
}

#[test]
fn each_number_of_a_run_adds_to_its_need() {
    let base = RunSize {
        workers: 10,
        placers: 2,
        running_tasks: 100,
        connections: 4,
        placer_sockets: 1024,
    };
    let need = Need::of(&base);
    let more_workers = Need::of(&RunSize {
        workers: 11,
        ..base
    });
    assert_eq!(
        more_workers.descriptors_own,
        need.descriptors_own + 3 * base.placers
    );
    assert_eq!(more_workers.descriptors_placer, need.descriptors_placer + 3);
    assert!(more_workers.memory_kb > need.memory_kb);
    let more_placers = Need::of(&RunSize { placers: 3, ..base });
    assert!(more_placers.descriptors_own >= need.descriptors_own + 3 * base.workers);
    assert_eq!(more_placers.processes, need.processes + 1);
    assert!(more_placers.memory_kb > need.memory_kb);
    let more_running_tasks = Need::of(&RunSize {
        running_tasks: 101,
        ..base
    });
    assert!(more_running_tasks.memory_kb > need.memory_kb);
    let more_connections = Need::of(&RunSize {
        connections: 5,
        ..base
    });
    assert_eq!(more_connections.descriptors_own, need.descriptors_own + 1);
    assert_eq!(
        more_connections.descriptors_placer,
        need.descriptors_placer + 1
    );
}

#[test]
fn connections_of_a_placer_are_limited_by_its_configuration() {
    let few = Need::of(&RunSize {
        workers: 1024,
        placers: 4,
        ..EMPTY_RUN
    });
    let many = Need::of(&RunSize {
        workers: 7300,
        placers: 4,
        ..EMPTY_RUN
    });
    assert_eq!(many.descriptors_placer, few.descriptors_placer);
    assert_eq!(many.descriptors_own, few.descriptors_own);
}

#[test]
fn workers_get_the_connections_that_are_not_reserved_for_clients() {
    let idle = Need::of(&RunSize {
        placers: 2,
        placer_sockets: 900,
        ..EMPTY_RUN
    });
    let full = Need::of(&RunSize {
        placers: 2,
        workers: 7300,
        placer_sockets: 900,
        ..EMPTY_RUN
    });
    assert_eq!(full.descriptors_placer, idle.descriptors_placer + 600);
    assert_eq!(full.descriptors_own, idle.descriptors_own + 2 * 600);
}

#[test]
fn empty_run_needs_one_process() {
    assert_eq!(Need::of(&EMPTY_RUN).processes, 1);
}

#[test]
fn largest_numbers_are_rejected_without_overflow() {
    let max = u64::MAX;
    let size = RunSize {
        workers: max,
        placers: max,
        running_tasks: max,
        connections: max,
        placer_sockets: max,
    };
    let rejected =
        check(&Need::of(&size), &MACHINE).expect_err("excessive need should be rejected");
    assert_eq!(rejected.excesses.len(), 4);
}

#[test]
fn resources_of_this_machine_are_read() {
    let machine = Machine::read().expect("cannot read the resources of the machine");
    assert!(machine.memory_kb > 0);
    assert_ne!(machine.descriptors, Some(0));
}

#[test]
fn default_settings_are_admitted_and_too_many_placers_are_rejected() {
    let need = Need::of_settings(&Settings::default());
    assert_eq!(check(&need, &MACHINE), Ok(()));
    let settings = Settings {
        placers: 40,
        ..Settings::default()
    };
    let needed = settings.descriptors_needed();
    let here = Excess::DescriptorsOwn {
        needed,
        allowed: 20_000,
    };
    let rejected = check(&Need::of_settings(&settings), &MACHINE)
        .expect_err("too many placers should be rejected");
    assert_eq!(
        rejected,
        BudgetError {
            excesses: vec![here]
        }
    );
}

#[test]
fn run_size_is_taken_from_the_settings() {
    let settings = Settings {
        workers: 70,
        placers: 5,
        running_tasks: 90,
        ..Settings::default()
    };
    let size = RunSize {
        workers: 70,
        placers: 5,
        running_tasks: 90,
        connections: 20,
        placer_sockets: 1_024,
    };
    assert_eq!(RunSize::of(&settings), size);
}
