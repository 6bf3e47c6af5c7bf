//! Reads the keys that operators' tokens are signed with.

use std::path::Path;

use anyhow::{Context, Result};

use crate::types::OperatorKey;

/// The keys in a file, one on each line; none without a file.
///
/// # Errors
/// When the file cannot be read, or a line of it is not a key; the error shows no key.
pub(super) fn read_keys(path: Option<&Path>) -> Result<Vec<OperatorKey>> {
    let Some(path) = path else {
        return Ok(Vec::new());
    };
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("could not read {}", path.display()))?;
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
    lines
        .enumerate()
        .map(|(at, line)| {
            let key = line.parse();
            key.with_context(|| format!("could not use key {} of {}", at + 1, path.display()))
        })
        .collect()
}
