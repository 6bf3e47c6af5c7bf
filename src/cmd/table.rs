//! Prints output as a table or as JSON.

use std::io::Write;

use anyhow::Result;
use serde::Serialize;
use tabwriter::TabWriter;

use crate::types::{Span, UnixSeconds};

/// Prints a line of headings and one line for each row, in aligned columns.
pub(super) fn print_table(headings: &[&str], rows: &[Vec<String>]) -> Result<()> {
    let mut out = TabWriter::new(std::io::stdout().lock());
    writeln!(out, "{}", headings.join("\t"))?;
    for row in rows {
        writeln!(out, "{}", row.join("\t"))?;
    }
    out.flush()?;
    Ok(())
}

/// Prints a value as one line of JSON.
pub(super) fn print_json(value: &impl Serialize) -> Result<()> {
    println!("{}", serde_json::to_string(value)?);
    Ok(())
}

/// Formats seconds since 1970 as an RFC 3339 date and time in UTC.
pub(super) fn format_time(at: u64) -> String {
    let since_epoch = Span::from_secs(UnixSeconds(at).0).as_duration();
    let time = std::time::UNIX_EPOCH.checked_add(since_epoch);
    time.map_or_else(
        || at.to_string(),
        |time| humantime::format_rfc3339_seconds(time).to_string(),
    )
}
