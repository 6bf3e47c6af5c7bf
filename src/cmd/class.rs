//! What the `hyssopwalk class` commands share.

use async_std::task::block_on;
use rand::Rng;

use super::client::{Ask, Client, Failure};
use super::table::{print_json, print_table};
use crate::connection::AcceptedWire;
use crate::error::ErrorKind;
use crate::types::{ChangeId, ChangeNumber, ClassName};
use crate::version::ClassWire;

pub(super) const CLASSES: &str = "/v1/operator/classes";

pub(super) fn path(name: &ClassName) -> String {
    format!("{CLASSES}/{name}")
}

/// The class as it is now; none when there is none.
pub(super) fn find(client: &Client, name: &ClassName) -> Result<Option<ClassWire>, Failure> {
    match block_on(client.ask(&Ask::get(path(name)))) {
        Ok(class) => Ok(Some(class)),
        Err(failure) if failure.is(ErrorKind::NotFound) => Ok(None),
        Err(failure) => Err(failure),
    }
}

/// Sends a change of a class that was last set by `seen`.
pub(super) fn change(
    client: &Client,
    ask: Ask,
    seen: Option<ChangeNumber>,
) -> Result<AcceptedWire, Failure> {
    let id = ChangeId(rand::rng().random());
    let ask = ask.header("hw-change", &id);
    let ask = match seen {
        Some(number) => ask.header("if-match", &number),
        None => ask.header("if-none-match", &"*"),
    };
    block_on(client.ask(&ask))
}

pub(super) fn print_accepted(accepted: &AcceptedWire, json: bool) -> anyhow::Result<()> {
    if json {
        return print_json(accepted);
    }
    for warning in &accepted.warnings {
        eprintln!("hyssopwalk: {warning}");
    }
    println!(
        "change {} of class {} is accepted, in force from configuration {} on",
        accepted.change.number, accepted.change.class, accepted.config
    );
    Ok(())
}

pub(super) fn print_classes(classes: &[ClassWire]) -> anyhow::Result<()> {
    let headings = [
        "CLASS",
        "INDEX",
        "LATENCY",
        "COVERAGE",
        "EXTRA LOAD",
        "REPEATABLE",
        "CHANGE",
    ];
    let row = |class: &ClassWire| {
        vec![
            class.name.clone(),
            class.index.clone(),
            class.latency.clone(),
            class.coverage.clone(),
            class.extra_load.clone(),
            class.repeatable.to_string(),
            class.change.to_string(),
        ]
    };
    let rows: Vec<_> = classes.iter().map(row).collect();
    print_table(&headings, &rows)
}
