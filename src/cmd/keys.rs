//! Reads the keys that sign operators' tokens.

use std::path::Path;

use anyhow::{Context, Result};

use crate::types::OperatorKey;

/// Reads keys from a file, one per line; returns no keys without a file.
///
/// # Errors
/// If the file cannot be read or a line is not a valid key. The error does not reveal the key.
pub(super) fn read_keys(path: Option<&Path>) -> Result<Vec<OperatorKey>> {
    let Some(path) = path else {
        return Ok(Vec::new());
    };
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("could not read {}", path.display()))?;
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    lines
        .enumerate()
        .map(|(index, line)| {
            let key = line.parse();
            key.with_context(|| format!("could not use key {} of {}", index + 1, path.display()))
        })
        .collect()
}
