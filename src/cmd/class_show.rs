//! `hyssopwalk class show`: shows one class.

use std::process::ExitCode;

use anyhow::Result;
use async_std::task::block_on;

use super::class::{class_path, print_classes};
use super::client::{ApiRequest, Client};
use super::operator_args::ClassShowArgs;
use super::table::print_json;
use crate::version::ClassWire;

impl ClassShowArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let client = Client::for_operator(&self.operator)?;
        let json = self.operator.ask.json;
        let class: ClassWire = match block_on(client.send(&ApiRequest::get(class_path(&self.name))))
        {
            Ok(class) => class,
            Err(error) => return error.report(json),
        };
        if json {
            print_json(&class)?;
        } else {
            print_classes(&[class])?;
        }
        Ok(ExitCode::SUCCESS)
    }
}
