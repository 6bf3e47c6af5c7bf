//! `hyssopwalk class apply`: creates a class or changes its targets.

use std::process::ExitCode;

use anyhow::{Context, Result};
use tide::http::Method;

use super::class::{change, find, path, print_accepted};
use super::client::{Ask, Client};
use super::operator_args::ClassApplyArgs;
use crate::connection::TargetsWire;
use crate::types::ChangeNumber;
use crate::version::ClassWire;

impl ClassApplyArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let client = Client::operator(&self.operator)?;
        let json = self.operator.ask.json;
        let now = match find(&client, &self.name) {
            Ok(now) => now,
            Err(failure) => return failure.report(json),
        };
        let targets = self.targets(now.as_ref())?;
        let ask = Ask::new(Method::Put, path(&self.name)).body(serde_json::to_vec(&targets)?);
        let found = now.map(|class| ChangeNumber(class.change));
        match change(&client, ask, self.seen.or(found)) {
            Ok(accepted) => print_accepted(&accepted, json)?,
            Err(failure) => return failure.report(json),
        }
        Ok(ExitCode::SUCCESS)
    }

    /// The targets to send: those that are given, and for the rest those of the class now.
    fn targets(&self, now: Option<&ClassWire>) -> Result<TargetsWire> {
        let or_now = |given: &Option<String>, now: Option<&String>, flag: &str| {
            let value = given.as_ref().or(now).cloned();
            value.with_context(|| format!("could not create a class without {flag}"))
        };
        let repeatable = self.repeatable.or(now.map(|now| now.repeatable));
        Ok(TargetsWire {
            index: or_now(&self.index, now.map(|now| &now.index), "--index")?,
            latency: or_now(&self.latency, now.map(|now| &now.latency), "--latency")?,
            coverage: or_now(&self.coverage, now.map(|now| &now.coverage), "--coverage")?,
            extra_load: or_now(
                &self.extra_load,
                now.map(|now| &now.extra_load),
                "--extra-load",
            )?,
            repeatable: repeatable.context("could not create a class without --repeatable")?,
        })
    }
}
