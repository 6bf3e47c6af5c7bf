//! `hyssopwalk class show`: shows one class.

use std::process::ExitCode;

use anyhow::Result;
use async_std::task::block_on;

use super::class::{path, print_classes};
use super::client::{Ask, Client};
use super::operator_args::ClassShowArgs;
use super::table::print_json;
use crate::version::ClassWire;

impl ClassShowArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let client = Client::operator(&self.operator)?;
        let json = self.operator.ask.json;
        let class: ClassWire = match block_on(client.ask(&Ask::get(path(&self.name)))) {
            Ok(class) => class,
            Err(failure) => return failure.report(json),
        };
        if json {
            print_json(&class)?;
        } else {
            print_classes(&[class])?;
        }
        Ok(ExitCode::SUCCESS)
    }
}
