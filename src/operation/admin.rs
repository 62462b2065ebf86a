//! The admin protocol: each line is one command, and each command gets one reply.
//!
//! A reply is one line that begins with `ok` or `fail`. The reply to `vars` is one line of JSON followed by a
//! line `eof`. This module parses commands and encodes replies; it does not execute commands.

/// The maximum length of a command line, in bytes.
pub const MAX_COMMAND_BYTES: usize = 256;

/// A command sent by an operator or by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdminCommand {
    /// `check`: report whether this process accepts requests.
    Check,
    /// `vars`: report the request counters and gauges.
    Vars,
    /// `drain-on`: start draining the placer.
    DrainOn,
    /// `drain-off`: stop draining and serve again.
    DrainOff,
}

/// Why a command failed. The error text follows `fail` in the reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AdminError {
    /// The line is not UTF-8.
    #[error("not text")]
    NotText,
    /// The line is not the name of a command.
    #[error("unknown call: known are check, vars, drain-on, drain-off")]
    UnknownCommand,
    /// The line exceeds [`MAX_COMMAND_BYTES`].
    #[error("longer than any call")]
    TooLong,
    /// `check` found that the process does not accept requests.
    #[error("takes no requests")]
    NotServing,
    /// The process is shutting down, so its lifecycle can no longer change.
    #[error("the process ends")]
    ShuttingDown,
}

impl AdminCommand {
    /// All commands with their names on the wire.
    pub const ALL: [(&'static str, AdminCommand); 4] = [
        ("check", AdminCommand::Check),
        ("vars", AdminCommand::Vars),
        ("drain-on", AdminCommand::DrainOn),
        ("drain-off", AdminCommand::DrainOff),
    ];

    /// Parses a line without its line feed. Surrounding white space is ignored.
    ///
    /// # Errors
    ///
    /// Returns [`AdminError::NotText`] if the line is not UTF-8, and [`AdminError::UnknownCommand`] if it names no
    /// command.
    pub fn parse(line: &[u8]) -> Result<AdminCommand, AdminError> {
        let text = std::str::from_utf8(line).map_err(|_| AdminError::NotText)?;
        let name = text.trim();
        AdminCommand::ALL
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, command)| *command)
            .ok_or(AdminError::UnknownCommand)
    }
}

/// Encodes the reply to a command that returns no data.
pub fn encode_reply(result: Result<(), AdminError>) -> Vec<u8> {
    match result {
        Ok(()) => b"ok\n".to_vec(),
        Err(error) => format!("fail {error}\n").into_bytes(),
    }
}

/// Encodes the reply to `vars` from one line of JSON.
pub fn encode_vars_reply(json: &str) -> Vec<u8> {
    format!("{json}\neof\n").into_bytes()
}

#[cfg(test)]
mod tests;
