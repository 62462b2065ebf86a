//! Reports of an agent check, as the public description of HAProxy's `agent-check` has them.

/// What an agent check has reported; absent parts change nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AgentReport {
    /// The weight, as a percentage of the configured one.
    pub weight: Option<u32>,
    /// The administrative state.
    pub admin: Option<AdminState>,
    /// The operational state: whether it is up.
    pub up: Option<bool>,
    /// The maximum number of connections.
    pub max_connections: Option<u32>,
}

/// The administrative state of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AdminState {
    /// It gets its part of new connections.
    #[default]
    Ready,
    /// It gets no new connections.
    Drain,
    /// It gets no new connections, and is not checked.
    Maintenance,
}

/// Why an agent's report is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidAgentReport {
    /// The line has no end.
    #[error("no end of line")]
    Unterminated,
    /// There is something after the line.
    #[error("more than one line")]
    TrailingText,
    /// The line has other characters than ASCII.
    #[error("not ASCII")]
    NotAscii,
    /// A percentage without a number.
    #[error("expected a percentage, found `{0}`")]
    BadPercentage(String),
    /// A connection limit without a number.
    #[error("expected a number of connections, found `{0}`")]
    BadConnectionLimit(String),
    /// A word that no agent check knows.
    #[error("unknown word `{0}`")]
    UnknownWord(String),
    /// Two words of one kind.
    #[error("`{0}` after another word of its kind")]
    Repeated(String),
    /// Words that contradict each other.
    #[error("in maintenance and up")]
    Contradiction,
}

/// Parses a report: words separated by spaces, tabs or commas, at most one of each kind (administrative state,
/// operational state, percentage, `maxconn:`); a comment begins with `#`.
///
/// # Errors
///
/// Load balancers ignore what they do not understand. Here it is an error, so that a test shows it.
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
