//! Why settings could not be read.

/// A setting that is missing or cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// It is not stated.
    #[error("setting {path}: missing setting")]
    Missing {
        /// Its path, such as `services.0.aim`.
        path: String,
    },
    /// Its value is not of the expected form.
    #[error("setting {path}: bad value: {found}, expected {expected}")]
    BadValue {
        /// Its path.
        path: String,
        /// The value.
        found: String,
        /// What it should be.
        expected: String,
    },
    /// A list that has one item for each name is too short.
    #[error("setting {path}: fewer items than names")]
    TooFewItems {
        /// Its path.
        path: String,
    },
}

impl SettingsError {
    /// The path of the setting.
    pub fn path(&self) -> &str {
        match self {
            SettingsError::Missing { path }
            | SettingsError::BadValue { path, .. }
            | SettingsError::TooFewItems { path } => path,
        }
    }

    /// What is wrong with it, without its path.
    pub fn problem(&self) -> String {
        match self {
            SettingsError::Missing { .. } => "missing setting".to_string(),
            SettingsError::BadValue {
                found, expected, ..
            } => format!("bad value: {found}, expected {expected}"),
            SettingsError::TooFewItems { .. } => "fewer items than names".to_string(),
        }
    }
}
