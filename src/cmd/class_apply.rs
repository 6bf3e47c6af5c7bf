//! `hyssopwalk class apply`: creates a class or changes its targets.

use std::process::ExitCode;

use anyhow::{Context, Result};
use tide::http::Method;

use super::class::{class_path, find_class, print_accepted, send_change};
use super::client::{ApiRequest, Client};
use super::operator_args::ClassApplyArgs;
use crate::connection::TargetsWire;
use crate::types::ChangeNumber;
use crate::version::ClassWire;

impl ClassApplyArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let client = Client::for_operator(&self.operator)?;
        let json = self.operator.ask.json;
        let current = match find_class(&client, &self.name) {
            Ok(class) => class,
            Err(error) => return error.report(json),
        };
        let targets = self.targets(current.as_ref())?;
        let request = ApiRequest::new(Method::Put, class_path(&self.name))
            .body(serde_json::to_vec(&targets)?);
        let last_change = current.map(|class| ChangeNumber(class.change));
        match send_change(&client, request, self.seen.or(last_change)) {
            Ok(accepted) => print_accepted(&accepted, json)?,
            Err(error) => return error.report(json),
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Returns the targets to send: the given ones, completed with those of the current class.
    fn targets(&self, current: Option<&ClassWire>) -> Result<TargetsWire> {
        let or_current = |given: &Option<String>, current: Option<&String>, flag: &str| {
            let value = given.as_ref().or(current).cloned();
            value.with_context(|| format!("could not create a class without {flag}"))
        };
        let repeatable = self.repeatable.or(current.map(|class| class.repeatable));
        Ok(TargetsWire {
            index: or_current(&self.index, current.map(|class| &class.index), "--index")?,
            latency: or_current(
                &self.latency,
                current.map(|class| &class.latency),
                "--latency",
            )?,
            coverage: or_current(
                &self.coverage,
                current.map(|class| &class.coverage),
                "--coverage",
            )?,
            extra_load: or_current(
                &self.extra_load,
                current.map(|class| &class.extra_load),
                "--extra-load",
            )?,
            repeatable: repeatable.context("could not create a class without --repeatable")?,
        })
    }
}
