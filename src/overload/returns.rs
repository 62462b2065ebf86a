//! When refused clients are told to come back.
//!
//! One time for all brings all back together. Times are spread over a span by a hash of the task's name, so
//! that all placers together see returns as even as refusals were. The span begins where starts that are out
//! now have had their time, and is longer the more is shed: what comes back sooner is shed again.

use super::gate::unit;
use crate::Micros;

/// The span in shortest aims at step 0, and what each step adds.
const SPAN_AIMS: f64 = 1.0;
const STEP_AIMS: f64 = 0.5;
/// Where less than an aim is honoured, the span is this part of it, at its end.
const LEAST_PART: f64 = 0.5;

/// How long a client should stay away; 0 where no time may be told.
pub fn away(step: u8, name: u64, epoch: u64, aim: Micros, most: Micros) -> Micros {
    if most <= 0 {
        return 0;
    }
    let from = (aim as f64).min(LEAST_PART * most as f64);
    let span = aim as f64 * (SPAN_AIMS + STEP_AIMS * f64::from(step));
    let until = (from + span).min(most as f64);
    (from + (until - from) * unit(name, epoch ^ 0x7265_7475)) as Micros
}
