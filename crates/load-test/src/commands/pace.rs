//! `pace`: finds the highest rate at which one core requests tasks in time. The clients write to a listener in the same
//! program, which reads and discards everything.

use super::{CommandError, print_line};
use load_test::run::measure_generator_lateness;
use std::time::Duration;

/// Rates that are tried, in tasks per second.
const RATES: [u32; 8] = [500, 1_000, 2_000, 4_000, 8_000, 16_000, 32_000, 64_000];
/// A rate is in time if the 99th percentile of the lateness is below this, in milliseconds.
const MAX_P99_MS: f64 = 1.0;

pub(super) fn measure(seconds: u64) -> Result<u8, CommandError> {
    let mut best = None;
    for rate in RATES {
        let lateness = measure_generator_lateness(f64::from(rate), Duration::from_secs(seconds))?;
        let quantile_ms = |quantile: f64| lateness.value_at_quantile(quantile) as f64 / 1e3;
        let p99_ms = quantile_ms(0.99);
        print_line(&format!(
            "{rate:>7}/s: lateness p50 {:.3} ms, p99 {p99_ms:.3} ms, at most {:.2} ms",
            quantile_ms(0.5),
            lateness.max() as f64 / 1e3
        ));
        if p99_ms >= MAX_P99_MS {
            break;
        }
        best = Some(rate);
    }
    match best {
        Some(rate) => print_line(&format!(
            "one core requests {rate} tasks per second with p99 lateness under 1 ms"
        )),
        None => print_line("p99 lateness exceeds the limit even at the lowest rate"),
    }
    Ok(0)
}
