//! Reads `[drain]`: graceful shutdown behind load balancers.

use super::reader::{Reader, Section};
use super::{to_duration, to_micros};
use task_placer::health::drain::DrainLimits;

/// Reads `[drain]`. Returns `None` if the table is absent or not enabled; SIGTERM then ends the process without a
/// drain.
pub(super) fn read(reader: &mut Reader<'_>, root: &mut Section<'_>) -> Option<DrainLimits> {
    let mut section = reader.section(root, "drain");
    let default = DrainLimits::default();
    let is_enabled = reader.value(&mut section, "enabled", false);
    let max_announcement = reader.value(
        &mut section,
        "notice",
        to_duration(default.max_announcement),
    );
    let settle_time = reader.value(&mut section, "settle", to_duration(default.settle_time));
    if settle_time > max_announcement {
        let message = "longer than notice, which limits the whole wait";
        reader.report(&section, "settle", message.into());
    }
    let agent_polls = read_polls(reader, &mut section, "agent-polls", default.agent_polls);
    let http_polls = read_polls(reader, &mut section, "http-polls", default.http_polls);
    let quiet_time = reader.value(&mut section, "quiet", to_duration(default.quiet_time));
    let max_answer_time =
        reader.value(&mut section, "answer", to_duration(default.max_answer_time));
    let max_task_time = reader.value(&mut section, "standing", to_duration(default.max_task_time));
    reader.close(&section);
    is_enabled.then(|| DrainLimits {
        max_announcement: to_micros(max_announcement),
        settle_time: to_micros(settle_time),
        agent_polls,
        http_polls,
        quiet_time: to_micros(quiet_time),
        max_answer_time: to_micros(max_answer_time),
        max_task_time: to_micros(max_task_time),
        ..default
    })
}

/// Reads a number of polls, from 1 to 100.
fn read_polls(reader: &mut Reader<'_>, section: &mut Section<'_>, key: &str, default: u32) -> u32 {
    let polls = reader.checked(
        section,
        key,
        u64::from(default),
        |polls| (1..=100).contains(polls),
        "1 to 100",
    );
    u32::try_from(polls).unwrap_or(default)
}
