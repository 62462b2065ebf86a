//! Computes a digest of actions that does not depend on the names in the code.

use task_placer::Action;

/// Digest of no lines: the offset basis of the FNV-1a hash.
pub const EMPTY: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the FNV-1a hash.
const PRIME: u64 = 0x0100_0000_01b3;

/// Returns an action as a number and its values. The numbers are used only in this digest and must not change.
pub fn rendered(action: &Action) -> String {
    match action {
        Action::Subscribe => "1".to_string(),
        Action::Unsubscribe => "2".to_string(),
        Action::PollEndpoints => "3".to_string(),
        Action::CloseIdleConnections { host } => format!("4 {}", host.0),
        Action::ReportFault(text) => format!("5 {text}"),
        Action::SendAttempt { id, host, timeout } => format!("6 {} {} {timeout}", id.0, host.0),
        Action::CancelAttempt { id, attempt } => format!("7 {} {attempt}", id.0),
        Action::Reject { id, retry_after } => format!("8 {} {retry_after}", id.0),
        Action::Fail { id } => format!("9 {}", id.0),
        Action::Migrate { id } => format!("10 {}", id.0),
        Action::SendHealthCheck { host } => format!("11 {}", host.0),
        Action::SetTimer { token, after } => format!("12 {} {after}", token.0),
        Action::Log(text) => format!("13 {text}"),
    }
}

/// Returns a digest after one more line.
pub fn add_line(digest: u64, line: &str) -> u64 {
    let bytes = line.bytes().chain([b'\n']);
    bytes.fold(digest, |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
