//! The reports of agent checks, in the format that HAProxy's public documentation of `agent-check` describes.

/// A report of an agent check. Absent parts change nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AgentReport {
    /// The weight, as a percentage of the configured one.
    pub weight: Option<u32>,
    /// The administrative state.
    pub admin: Option<AdminState>,
    /// The operational state: whether the server is up.
    pub up: Option<bool>,
    /// The maximum number of connections.
    pub max_connections: Option<u32>,
}

/// The administrative state of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AdminState {
    /// The server gets its share of new connections.
    #[default]
    Ready,
    /// The server gets no new connections.
    Drain,
    /// The server gets no new connections, and is not checked.
    Maintenance,
}

/// The reason why the report of an agent check is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidAgentReport {
    /// The line is not terminated.
    #[error("the line is not terminated")]
    Unterminated,
    /// There is text after the first line.
    #[error("text after the first line")]
    TrailingText,
    /// The line contains non-ASCII characters.
    #[error("the line contains non-ASCII characters")]
    NotAscii,
    /// A percentage is not a valid number.
    #[error("expected a percentage, found `{0}`")]
    BadPercentage(String),
    /// A connection limit is not a valid number.
    #[error("expected a number of connections, found `{0}`")]
    BadConnectionLimit(String),
    /// A word is not part of the format.
    #[error("unknown word `{0}`")]
    UnknownWord(String),
    /// There are two words of the same kind.
    #[error("`{0}` follows another word of the same kind")]
    Repeated(String),
    /// The administrative and the operational state contradict each other.
    #[error("the server is reported as both in maintenance and up")]
    Contradiction,
}

/// Parses a report. It consists of words separated by spaces, tabs or commas, with at most one word of each kind
/// (administrative state, operational state, percentage, `maxconn:`). A comment begins with `#`.
///
/// # Errors
///
/// Returns an error for anything that is not part of the format. Load balancers ignore such text, but a test should
/// reveal it.
pub fn parse_agent_report(line: &str) -> Result<AgentReport, InvalidAgentReport> {
    let end = line
        .find(['\r', '\n'])
        .ok_or(InvalidAgentReport::Unterminated)?;
    let (text, rest) = line.split_at(end);
    if !rest.trim_matches(['\r', '\n']).is_empty() {
        return Err(InvalidAgentReport::TrailingText);
    }
    if !text.is_ascii() {
        return Err(InvalidAgentReport::NotAscii);
    }
    let words = text.split('#').next().unwrap_or_default();
    let mut report = AgentReport::default();
    for word in words
        .split([' ', '\t', ','])
        .filter(|word| !word.is_empty())
    {
        report.apply_word(word)?;
    }
    if report.admin == Some(AdminState::Maintenance) && report.up == Some(true) {
        return Err(InvalidAgentReport::Contradiction);
    }
    Ok(report)
}

impl AgentReport {
    fn apply_word(&mut self, word: &str) -> Result<(), InvalidAgentReport> {
        let lower = word.to_ascii_lowercase();
        let repeated = match lower.as_str() {
            "ready" => self.admin.replace(AdminState::Ready).is_some(),
            "drain" => self.admin.replace(AdminState::Drain).is_some(),
            "maint" => self.admin.replace(AdminState::Maintenance).is_some(),
            "up" => self.up.replace(true).is_some(),
            "down" | "fail" | "stopped" => self.up.replace(false).is_some(),
            other => {
                if let Some(percentage) = other.strip_suffix('%') {
                    let weight = percentage
                        .parse()
                        .map_err(|_| InvalidAgentReport::BadPercentage(word.to_string()))?;
                    self.weight.replace(weight).is_some()
                } else if let Some(limit) = other.strip_prefix("maxconn:") {
                    let limit = limit
                        .parse()
                        .map_err(|_| InvalidAgentReport::BadConnectionLimit(word.to_string()))?;
                    self.max_connections.replace(limit).is_some()
                } else {
                    return Err(InvalidAgentReport::UnknownWord(word.to_string()));
                }
            }
        };
        if repeated {
            return Err(InvalidAgentReport::Repeated(word.to_string()));
        }
        Ok(())
    }
}
