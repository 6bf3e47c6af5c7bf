//! `hyssopwalk class remove`: removes a class.

use std::process::ExitCode;

use anyhow::Result;
use tide::http::Method;

use super::class::{class_path, find_class, print_accepted, send_change};
use super::client::{ApiRequest, Client};
use super::operator_args::ClassRemoveArgs;
use crate::types::ChangeNumber;

impl ClassRemoveArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let client = Client::for_operator(&self.operator)?;
        let json = self.operator.ask.json;
        let last_change = match find_class(&client, &self.name) {
            Ok(class) => class.map(|class| ChangeNumber(class.change)),
            Err(error) => return error.report(json),
        };
        let last_change = self.seen.or(last_change).unwrap_or_default();
        let request = ApiRequest::new(Method::Delete, class_path(&self.name));
        match send_change(&client, request, Some(last_change)) {
            Ok(accepted) => print_accepted(&accepted, json)?,
            Err(error) => return error.report(json),
        }
        Ok(ExitCode::SUCCESS)
    }
}
