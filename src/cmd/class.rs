//! Helpers shared by the `hyssopwalk class` subcommands.

use async_std::task::block_on;
use rand::Rng;

use super::client::{ApiRequest, Client, ClientError};
use super::table::{print_json, print_table};
use crate::connection::AcceptedWire;
use crate::error::ErrorKind;
use crate::types::{ChangeId, ChangeNumber, ClassName};
use crate::version::ClassWire;

pub(super) const CLASSES_PATH: &str = "/v1/operator/classes";

pub(super) fn class_path(name: &ClassName) -> String {
    format!("{CLASSES_PATH}/{name}")
}

/// Fetches the current state of a class, or `None` if it does not exist.
pub(super) fn find_class(
    client: &Client,
    name: &ClassName,
) -> Result<Option<ClassWire>, ClientError> {
    match block_on(client.send(&ApiRequest::get(class_path(name)))) {
        Ok(class) => Ok(Some(class)),
        Err(error) if error.is_refusal(ErrorKind::NotFound) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Sends a change of a class, conditional on `last_change` being the change that last set it.
/// Without `last_change` the class must not exist.
pub(super) fn send_change(
    client: &Client,
    request: ApiRequest,
    last_change: Option<ChangeNumber>,
) -> Result<AcceptedWire, ClientError> {
    let id = ChangeId(rand::rng().random());
    let request = request.header("hw-change", &id);
    let request = match last_change {
        Some(number) => request.header("if-match", &number),
        None => request.header("if-none-match", &"*"),
    };
    block_on(client.send(&request))
}

pub(super) fn print_accepted(accepted: &AcceptedWire, json: bool) -> anyhow::Result<()> {
    if json {
        return print_json(accepted);
    }
    for warning in &accepted.warnings {
        eprintln!("hyssopwalk: {warning}");
    }
    println!(
        "change {} of class {} is accepted and takes effect with configuration {}",
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
