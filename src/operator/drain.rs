//! `[drain]`: graceful shutdown behind load balancers.

use super::reader::{Reader, Section};
use super::{micros, span};
use task_placer::health::drain::DrainLimits;

/// Reads the table. Without it, or if it is not enabled, SIGTERM ends the process as without an operator's file.
pub(super) fn read(reader: &mut Reader<'_>, root: &mut Section<'_>) -> Option<DrainLimits> {
    let mut section = reader.section(root, "drain");
    let default = DrainLimits::default();
    let is_enabled = reader.value(&mut section, "enabled", false);
    let max_announcement = reader.value(&mut section, "notice", span(default.max_announcement));
    let settle_time = reader.value(&mut section, "settle", span(default.settle_time));
    if settle_time > max_announcement {
        let what = "it is longer than notice, which ends the wait";
        reader.wrong(&section, "settle", what.into());
    }
    let agent_polls = read_polls(reader, &mut section, "agent-polls", default.agent_polls);
    let http_polls = read_polls(reader, &mut section, "http-polls", default.http_polls);
    let quiet_time = reader.value(&mut section, "quiet", span(default.quiet_time));
    let max_answer_time = reader.value(&mut section, "answer", span(default.max_answer_time));
    let max_task_time = reader.value(&mut section, "standing", span(default.max_task_time));
    reader.close(&section);
    is_enabled.then(|| DrainLimits {
        max_announcement: micros(max_announcement),
        settle_time: micros(settle_time),
        agent_polls,
        http_polls,
        quiet_time: micros(quiet_time),
        max_answer_time: micros(max_answer_time),
        max_task_time: micros(max_task_time),
        ..default
    })
}

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
