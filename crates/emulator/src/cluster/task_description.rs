//! The description of an emulated task: text that placers pass on unchanged, with everything that a host needs to know
//! about the task.

use crate::host_model::{Micros, Offer};

/// How long a task runs if its description does not contain the run time.
const DEFAULT_RUN_TIME: Micros = 1_000_000;

/// Returns the description of a task.
pub fn describe(offer: &Offer, key: u64) -> String {
    format!(
        "k={key:016x}\r\ns={:016x}\r\na={} {}\r\np={}\r\nl={}\r\n",
        offer.service, offer.cores, offer.memory, offer.priority, offer.run_time
    )
}

/// Parses a description. Missing or malformed fields get default values.
pub(super) fn parse_description(text: &str, id: u64, time_left: Micros) -> Offer {
    let field = |prefix: &str| {
        text.lines()
            .find_map(|line| line.strip_prefix(prefix))
            .unwrap_or_default()
    };
    let (cores, memory) = field("a=").split_once(' ').unwrap_or(("1", "1"));
    Offer {
        id,
        service: u64::from_str_radix(field("s="), 16).unwrap_or(0),
        cores: cores.parse().unwrap_or(1.0),
        memory: memory.parse().unwrap_or(1.0),
        priority: field("p=").parse().unwrap_or(0),
        run_time: field("l=").parse().unwrap_or(DEFAULT_RUN_TIME),
        time_left,
    }
}
