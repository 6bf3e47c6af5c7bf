//! `hyssopwalk class remove`: removes a class.

use std::process::ExitCode;

use anyhow::Result;
use tide::http::Method;

use super::class::{change, find, path, print_accepted};
use super::client::{Ask, Client};
use super::operator_args::ClassRemoveArgs;
use crate::types::ChangeNumber;

impl ClassRemoveArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let client = Client::operator(&self.operator)?;
        let json = self.operator.ask.json;
        let found = match find(&client, &self.name) {
            Ok(found) => found.map(|class| ChangeNumber(class.change)),
            Err(failure) => return failure.report(json),
        };
        let seen = self.seen.or(found).unwrap_or_default();
        let ask = Ask::new(Method::Delete, path(&self.name));
        match change(&client, ask, Some(seen)) {
            Ok(accepted) => print_accepted(&accepted, json)?,
            Err(failure) => return failure.report(json),
        }
        Ok(ExitCode::SUCCESS)
    }
}
