//! `hyssopwalk class list`: lists all classes.

use std::process::ExitCode;

use anyhow::Result;
use async_std::task::block_on;

use super::class::{CLASSES_PATH, print_classes};
use super::client::{ApiRequest, Client};
use super::operator_args::ClassListArgs;
use super::table::print_json;
use crate::connection::ClassListWire;

impl ClassListArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let client = Client::for_operator(&self.operator)?;
        let json = self.operator.ask.json;
        let list: ClassListWire = match block_on(client.send(&ApiRequest::get(CLASSES_PATH))) {
            Ok(list) => list,
            Err(error) => return error.report(json),
        };
        if json {
            print_json(&list)?;
            return Ok(ExitCode::SUCCESS);
        }
        if !list.current {
            eprintln!("hyssopwalk: could not read from the platform; showing the classes in force");
        }
        print_classes(&list.classes)?;
        Ok(ExitCode::SUCCESS)
    }
}
