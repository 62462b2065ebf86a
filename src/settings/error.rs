//! Errors in reading the settings.

/// A setting that is missing or cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A required setting is missing.
    #[error("setting {path}: missing setting")]
    Missing {
        /// Path of the setting, such as `services.0.aim`.
        path: String,
    },
    /// The value of a setting does not have the expected form.
    #[error("setting {path}: bad value: {found}, expected {expected}")]
    BadValue {
        /// Path of the setting.
        path: String,
        /// The text of the setting's value.
        found: String,
        /// Description of the expected form, or the list of accepted words.
        expected: String,
    },
    /// A list that must have one item for each class, tenant or host kind is too short.
    #[error("setting {path}: fewer items than names")]
    TooFewItems {
        /// Path of the setting.
        path: String,
    },
}

impl SettingsError {
    /// Returns the path of the setting.
    pub fn path(&self) -> &str {
        match self {
            SettingsError::Missing { path }
            | SettingsError::BadValue { path, .. }
            | SettingsError::TooFewItems { path } => path,
        }
    }

    /// Returns what is wrong with the setting, without its path.
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
