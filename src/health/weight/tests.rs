//! Tests of `weight.rs`.

use super::*;

const LOOK: Micros = 250_000;

fn run(weight: &mut Weight, from: Micros, looks: i64, target: f64) -> Vec<u8> {
    let cause = Some(Code::LoopLate);
    (1..=looks)
        .map(|n| {
            weight.steer(from + n * LOOK, target, cause, 0);
            weight.told()
        })
        .collect()
}

#[test]
fn it_falls_by_halves_with_a_pause_and_never_under_the_floor() {
    let mut weight = Weight::new(Pace::default(), 100.0, 0);
    let told = run(&mut weight, 0, 16, 0.0);
    assert_eq!(&told[..6], [30, 30, 15, 15, 8, 8]);
    let mut weight = Weight::new(Pace::default(), 100.0, 0);
    let told: Vec<u8> = (1..=4)
        .map(|n| {
            weight.steer(n * LOOK, 0.0, Some(Code::AskAge), 0);
            weight.told()
        })
        .collect();
    assert_eq!(
        told,
        [50, 50, 25, 25],
        "what others may explain goes by halves from the first on"
    );
    assert!(told.iter().all(|told| *told >= 5));
}

#[test]
fn it_holds_then_climbs_in_steps_and_creeps_where_trouble_began() {
    let mut weight = Weight::new(Pace::default(), 80.0, 0);
    run(&mut weight, 0, 1, 40.0);
    let told = run(&mut weight, LOOK, 60, 100.0);
    assert_eq!(told[6], 40, "held for 2 s");
    let at = |n: usize| f64::from(told[n]);
    assert!(at(12) >= 45.0, "then 10 a second: {told:?}");
    assert!(
        at(56) < 65.0,
        "then it creeps past what was too much: {told:?}"
    );
    assert!(told.windows(2).all(|pair| pair[1] >= pair[0]));
}

#[test]
fn each_rise_that_ends_in_a_fall_makes_the_next_one_wait_twice_as_long() {
    let mut weight = Weight::new(Pace::default(), 100.0, 0);
    let (mut now, mut waits) = (0, Vec::new());
    for _ in 0..6 {
        while !(weight.steer(now, 20.0, Some(Code::AskAge), 0)) {
            now += LOOK;
        }
        let (fell, low) = (now, weight.told());
        while weight.told() <= low {
            now += LOOK;
            weight.steer(now, 100.0, None, 0);
        }
        waits.push((now - fell) / SECOND);
        // It climbs on until a fall is worth the name.
        for _ in 0..40 {
            now += LOOK;
            weight.steer(now, 100.0, None, 0);
        }
    }
    assert!(waits.windows(2).all(|pair| pair[1] >= pair[0]), "{waits:?}");
    assert!(
        waits.last() >= Some(&30) && waits.first() <= Some(&4),
        "{waits:?}"
    );
}

#[test]
fn a_small_step_of_the_target_moves_nothing() {
    let mut weight = Weight::new(Pace::default(), 80.0, 0);
    assert!(run(&mut weight, 0, 40, 76.0).iter().all(|told| *told == 80));
}
