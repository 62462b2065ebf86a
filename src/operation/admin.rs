//! The calls of operators and of the platform, one line each, and the replies.
//!
//! A reply is a line that begins with `ok` or `fail`; to `vars` it is the figures, one line of JSON, and a
//! line `eof`.

/// No call is longer.
pub const MOST_CALL: usize = 256;

/// What is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Check,
    /// The figures.
    Vars,
    /// Empty the placer.
    DrainOn,
    /// Back to work.
    DrainOff,
}

impl Call {
    /// Every call, by its word.
    pub const ALL: [(&'static str, Call); 4] = [
        ("check", Call::Check),
        ("vars", Call::Vars),
        ("drain-on", Call::DrainOn),
        ("drain-off", Call::DrainOff),
    ];

    /// Reads a line without its line feed, or says what is wrong with it.
    pub fn read(line: &[u8]) -> Result<Call, &'static str> {
        let word = std::str::from_utf8(line).map_err(|_| "not text")?.trim();
        let found = Call::ALL.iter().find(|(name, _)| *name == word);
        found
            .map(|(_, call)| *call)
            .ok_or("unknown call: known are check, vars, drain-on, drain-off")
    }
}

/// A reply without figures: done, or what went wrong.
pub fn reply(done: Result<(), &str>) -> Vec<u8> {
    match done {
        Ok(()) => b"ok\n".to_vec(),
        Err(why) => format!("fail {why}\n").into_bytes(),
    }
}

/// The reply to `vars`.
pub fn figures(json: &str) -> Vec<u8> {
    format!("{json}\neof\n").into_bytes()
}

#[cfg(test)]
mod tests;
