//! Formats actions as lines of the simulator's protocol.

use std::fmt::Write;
use task_placer::{Action, Micros};

/// Appends the line that represents an action.
pub fn write_action(output: &mut String, action: &Action) {
    let written = match action {
        Action::Subscribe => writeln!(output, "TRACK\t1"),
        Action::Unsubscribe => writeln!(output, "TRACK\t0"),
        Action::PollEndpoints => writeln!(output, "SNAPSHOT"),
        Action::CloseIdleConnections { host } => writeln!(output, "LET_GO\t{}", host.0),
        Action::ReportFault(text) => writeln!(output, "BAIL_OUT\t{}", one_line(text)),
        Action::SendAttempt { id, host, timeout } => {
            writeln!(
                output,
                "PROPOSE\t{}\t{}\t{}",
                id.0,
                host.0,
                to_millis(*timeout)
            )
        }
        Action::CancelAttempt { id, attempt } => writeln!(output, "RETRACT\t{}\t{attempt}", id.0),
        Action::Reject { id, retry_after } => {
            writeln!(output, "SHED\t{}\t{}", id.0, to_millis(*retry_after))
        }
        Action::Fail { id } => writeln!(output, "FINISH_ERROR\t{}", id.0),
        Action::Migrate { id } => writeln!(output, "TAKE_OFF\t{}", id.0),
        Action::SendHealthCheck { host } => writeln!(output, "SOUND_OUT\t{}", host.0),
        Action::SetTimer { token, after } => {
            writeln!(output, "SET_ALARM\t{}\t{}", token.0, to_millis(*after))
        }
        Action::Log(text) => writeln!(output, "RECORD\t{}", one_line(text)),
    };
    written.expect("writing to a String cannot fail");
}

fn to_millis(duration: Micros) -> f64 {
    duration as f64 / 1000.0
}

/// Replaces line feeds and tabs, which separate messages and values, with spaces.
fn one_line(text: &str) -> String {
    text.replace(['\n', '\t'], " ")
}

#[cfg(test)]
mod tests;
