//! Flattens nested JSON into settings by path.

use super::SettingsByPath;
use simd_json::BorrowedValue;
use simd_json::prelude::*;

/// Flattens nested JSON into settings by path.
///
/// The names of nested objects are joined with dots, and the items of lists of plain values with commas. For a list of
/// objects, its length is stored under the list's path followed by `.count`, and each object under the list's path
/// followed by its index.
pub fn flatten(value: &BorrowedValue<'_>) -> SettingsByPath {
    let mut settings = SettingsByPath::new();
    add_paths(&mut settings, "", value);
    settings
}

fn add_paths(settings: &mut SettingsByPath, path: &str, value: &BorrowedValue<'_>) {
    let below = |name: &str| match path {
        "" => name.to_string(),
        path => format!("{path}.{name}"),
    };
    match value {
        BorrowedValue::Object(map) => {
            for (name, value) in map.iter() {
                add_paths(settings, &below(name), value);
            }
        }
        BorrowedValue::Array(items) if items.iter().any(|item| item.is_object()) => {
            settings.insert(below("count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                add_paths(settings, &below(&index.to_string()), item);
            }
        }
        BorrowedValue::Array(items) => {
            let items: Vec<String> = items.iter().map(plain_text).collect();
            settings.insert(path.to_string(), items.join(","));
        }
        plain => {
            settings.insert(path.to_string(), plain_text(plain));
        }
    }
}

fn plain_text(value: &BorrowedValue<'_>) -> String {
    match value.as_str() {
        Some(text) => text.replace([' ', ','], "_"),
        None if value.is_null() => "-".to_string(),
        None => value.encode(),
    }
}
