//! What a fleet of placers does in an overload and after a loss, in simulated time: the hard cases of
//! `docs/design/overload.md` by their letters, and properties of the engine's features.

mod model;

use model::{Day, Fault, MS, Model, Outcome, SECOND};
use task_placer::Micros;
use task_placer::overload::{Features, health_check_schedule};

#[test]
#[ignore = "a table for people: cargo test --release --test overload table -- --ignored --nocapture"]
fn table() {
    for features in [Features::default(), Features::all()] {
        for placers in [1, 3, 12, 30] {
            let mut line = format!(
                "{} {placers:>3}",
                if features.any() { "as one" } else { "before" }
            );
            for seed in 1..=3 {
                let out = Model::play(Day::crowd(placers, 1.8, features.clone(), seed));
                line.push_str(&format!(
                    "   {:.1} % {:.1} % {:.2}",
                    100.0 * out.whole(),
                    100.0 * out.in_aim(8, 18),
                    out.offers_a_task()
                ));
                assert_eq!((out.unanswered, out.twice), (0, 0));
            }
            println!("{line}");
        }
    }
}

fn day(placers: usize, features: Features) -> Day {
    Day {
        load: vec![(0, 0.6)],
        length: 16 * SECOND,
        ..Day::crowd(placers, 1.0, features, 1)
    }
}

/// What each case comes to, before and as one: for people.
#[test]
#[ignore = "a table for people: cargo test --release --test overload cases -- --ignored --nocapture"]
fn cases() {
    for (name, make) in CASES {
        for placers in [3, 12, 30] {
            for features in [Features::default(), Features::all()] {
                let out = Model::play(make(placers, features.clone()));
                println!(
                    "{name:<12} {placers:>2} {:<7} whole {:>5.1} % end {:>5.1} % offers {:.2} trials at most {} a quarter, {} in all; unanswered {}",
                    if features.any() { "as one" } else { "before" },
                    100.0 * out.whole(),
                    100.0 * out.in_aim(12, 16),
                    out.offers_a_task(),
                    out.trials.values().max().copied().unwrap_or(0),
                    out.trials.values().sum::<u32>(),
                    out.unanswered,
                );
            }
        }
    }
}

/// Plays a case with 3, 12 and 30 placers, and with 12 without what is under test: `with` holds for each of the
/// first and not for the last.
fn shown(name: &str, without: &Features, with: impl Fn(usize, &Outcome) -> bool) {
    let make = CASES.iter().find(|(n, _)| *n == name).expect("a case").1;
    for placers in [3, 12, 30] {
        let out = Model::play(make(placers, Features::all()));
        let told = format!(
            "{:.3} {:.3} {:.2} {:?}",
            out.whole(),
            out.in_aim(12, 16),
            out.offers_a_task(),
            out.trials
        );
        assert!(with(placers, &out), "{name}, {placers} placers: {told}");
        assert_eq!(
            (out.unanswered, out.twice),
            (0, 0),
            "{name}, {placers} placers"
        );
    }
    let out = Model::play(make(12, without.clone()));
    assert!(
        !with(12, &out),
        "{name}: the same without it: {:.3} {:.3}",
        out.whole(),
        out.in_aim(12, 16)
    );
}

/// The most offers in a quarter of a second at one host in trouble, from a time on, when all know of it.
fn trials(out: &Outcome, from: Micros) -> u32 {
    let late = out
        .trials
        .iter()
        .filter(|((_, quarter), _)| quarter * 250 * MS >= from);
    late.map(|(_, count)| *count).max().unwrap_or(0)
}

#[test]
fn a_crowd_of_three_times_what_hosts_start_is_met_alike_by_three_placers_and_by_thirty() {
    shown("a crowd x3", &Features::default(), |_, out| {
        out.whole() > 0.32 && out.offers_a_task() < 0.6
    });
}

#[test]
fn b_a_room_lost_at_load_and_back_cold_leaves_no_overload_behind() {
    shown("b room", &Features::default(), |_, out| {
        out.whole() > 0.93 && out.in_aim(12, 16) > 0.95
    });
}

#[test]
fn c_placers_killed_in_a_crowd_and_back_do_not_bring_it_back() {
    shown("c killed", &Features::default(), |_, out| {
        out.whole() > 0.52 && out.in_aim(12, 16) > 0.95
    });
}

#[test]
fn c_placers_stalled_in_a_crowd_do_not_either() {
    shown("c stalled", &Features::default(), |_, out| {
        out.whole() > 0.49 && out.in_aim(12, 16) > 0.95
    });
}

#[test]
fn d_one_placer_with_bad_links_is_not_taken_for_the_fleet() {
    shown("d one link", &Features::default(), |_, out| {
        out.whole() > 0.97 && out.in_aim(12, 16) > 0.98
    });
}

#[test]
fn e_a_cell_out_of_reach_of_all_is_tried_by_turns_whatever_the_number_of_placers() {
    // Turns of two groups may fall into one quarter of the clock.
    let bound = 2 * health_check_schedule::Settings::default().concurrent_placers as u32;
    shown("e cell", &Features::default(), |_, out| {
        out.whole() > 0.9 && trials(out, 6 * SECOND) <= bound
    });
}

#[test]
fn f_a_list_ten_seconds_late_does_not_make_an_overload_worse() {
    shown("f late list", &Features::default(), |_, out| {
        out.whole() > 0.56 && out.in_aim(12, 16) > 0.95
    });
}

#[test]
fn g_clients_who_do_not_wait_as_told_do_not_crowd_out_those_who_do() {
    // Half of them; without the line and the order it is all one.
    shown(
        "g clients",
        &Features {
            retry_after: true,
            ..Features::default()
        },
        |_, out| out.whole() > 0.55 && out.in_aim(12, 16) > 0.95,
    );
}

#[test]
fn h_a_placer_with_seven_tenths_of_the_traffic_gets_its_part_of_the_hosts() {
    shown("h uneven", &Features::default(), |_, out| {
        out.whole() > 0.53 && out.offers_a_task() < 0.95
    });
}

#[test]
fn i_placers_that_restart_in_a_crowd_know_nothing_and_do_not_open_the_gate() {
    shown("i restart", &Features::default(), |_, out| {
        out.whole() > 0.54 && out.in_aim(12, 16) > 0.95
    });
}

#[test]
fn k_hosts_that_flap_do_not_take_the_others_down() {
    shown("k flap", &Features::default(), |_, out| {
        out.whole() > 0.95 && out.in_aim(12, 16) > 0.97
    });
}

type Case = (&'static str, fn(usize, Features) -> Day);

const CASES: [Case; 11] = [
    ("a crowd x3", |n, features| Day {
        load: vec![(0, 0.2), (2 * SECOND, 3.0), (12 * SECOND, 0.2)],
        length: 18 * SECOND,
        ..day(n, features)
    }),
    ("b room", |n, features| Day {
        load: vec![(0, 0.6)],
        faults: vec![
            (3 * SECOND, Fault::Die(vec![0, 1])),
            (8 * SECOND, Fault::Rise(vec![0, 1])),
        ],
        ..day(n, features)
    }),
    ("c killed", |n, features| Day {
        load: vec![(0, 0.2), (2 * SECOND, 1.8), (8 * SECOND, 0.2)],
        faults: vec![
            (4 * SECOND, Fault::Kill((0..n * 3 / 4).collect())),
            (5 * SECOND, Fault::Start((0..n * 3 / 4).collect())),
        ],
        ..day(n, features)
    }),
    ("c stalled", |n, features| Day {
        load: vec![(0, 0.2), (2 * SECOND, 1.8), (8 * SECOND, 0.2)],
        faults: vec![
            (4 * SECOND, Fault::Stall((0..n * 3 / 4).collect(), true)),
            (5 * SECOND, Fault::Stall((0..n * 3 / 4).collect(), false)),
        ],
        ..day(n, features)
    }),
    ("d one link", |n, features| Day {
        faults: vec![
            (3 * SECOND, Fault::Cut(vec![0], vec![0, 1, 2], true)),
            (9 * SECOND, Fault::Cut(vec![0], vec![0, 1, 2], false)),
        ],
        ..day(n, features)
    }),
    ("e cell", |n, features| Day {
        cell: 2,
        faults: vec![
            (3 * SECOND, Fault::Cut((0..n).collect(), vec![0, 1], true)),
            (24 * SECOND, Fault::Cut((0..n).collect(), vec![0, 1], false)),
        ],
        ..day(n, features)
    }),
    ("f late list", |n, features| Day {
        load: vec![(0, 0.2), (2 * SECOND, 1.8), (8 * SECOND, 0.2)],
        late: 10 * SECOND,
        ..day(n, features)
    }),
    ("g clients", |n, features| Day {
        load: vec![(0, 0.2), (2 * SECOND, 1.8), (8 * SECOND, 0.2)],
        honour: 0.5,
        ..day(n, features)
    }),
    ("h uneven", |n, features| Day {
        load: vec![(0, 0.2), (2 * SECOND, 1.8), (8 * SECOND, 0.2)],
        uneven: 0.7,
        ..day(n, features)
    }),
    ("i restart", |n, features| Day {
        load: vec![(0, 0.2), (2 * SECOND, 1.8), (8 * SECOND, 0.2)],
        faults: (0..n)
            .map(|p| (4 * SECOND + p as Micros * 100 * MS, p))
            .flat_map(|(at, p)| {
                [
                    (at, Fault::Kill(vec![p])),
                    (at + 50 * MS, Fault::Start(vec![p])),
                ]
            })
            .collect(),
        ..day(n, features)
    }),
    ("k flap", |n, features| Day {
        faults: (0..5)
            .flat_map(|i| {
                [
                    ((3 + 2 * i) * SECOND, Fault::Silent(vec![0, 3], true)),
                    ((4 + 2 * i) * SECOND, Fault::Silent(vec![0, 3], false)),
                ]
            })
            .collect(),
        ..day(n, features)
    }),
];
