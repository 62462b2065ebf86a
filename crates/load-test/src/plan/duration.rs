//! Serialization of durations in plans, which are written as text such as `250ms`.

use serde::{Deserialize, Deserializer, Serializer};
use std::time::Duration;

pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(from)?;
    humantime::parse_duration(&text).map_err(|e| {
        serde::de::Error::custom(format!(
            "expected a duration such as \"250ms\", found \"{text}\": {e}"
        ))
    })
}

pub(super) fn serialize<S: Serializer>(duration: &Duration, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&humantime::format_duration(*duration).to_string())
}
