//! `hyssopwalk class list`: shows all classes.

use std::process::ExitCode;

use anyhow::Result;
use async_std::task::block_on;

use super::class::{CLASSES, print_classes};
use super::client::{Ask, Client};
use super::operator_args::ClassListArgs;
use super::table::print_json;
use crate::connection::ClassListWire;

impl ClassListArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let client = Client::operator(&self.operator)?;
        let json = self.operator.ask.json;
        let list: ClassListWire = match block_on(client.ask(&Ask::get(CLASSES))) {
            Ok(list) => list,
            Err(failure) => return failure.report(json),
        };
        if json {
            print_json(&list)?;
            return Ok(ExitCode::SUCCESS);
        }
        if !list.current {
            eprintln!("hyssopwalk: the platform cannot be asked; shown is what is in force");
        }
        print_classes(&list.classes)?;
        Ok(ExitCode::SUCCESS)
    }
}
