//! `hyssopwalk query`: sends one query and prints the answer and its coverage.

use std::process::ExitCode;

use anyhow::Result;
use async_std::task::block_on;
use tide::http::Method;

use super::client::{ApiRequest, Client};
use super::exit::Exit;
use super::operator_args::QueryArgs;
use super::table::{print_json, print_table};
use crate::connection::AnswerWire;

impl QueryArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let client = Client::new(&self.ask);
        let answer: AnswerWire = match block_on(client.send(&self.request())) {
            Ok(answer) => answer,
            Err(error) => return error.report(self.ask.json),
        };
        if self.ask.json {
            print_json(&answer)?;
        } else {
            print_answer(&answer)?;
        }
        Ok(if answer.meets_target {
            ExitCode::SUCCESS
        } else {
            Exit::Incomplete.into()
        })
    }

    fn request(&self) -> ApiRequest {
        let path = format!("/v1/classes/{}/query", self.class);
        let request = ApiRequest::new(Method::Post, path)
            .header("hw-caller", &self.caller)
            .body(self.body.as_bytes());
        let request = match self.within {
            Some(within) => request.header("hw-timeout", &within),
            None => request,
        };
        match &self.key {
            Some(key) => request.header("idempotency-key", key),
            None => request,
        }
    }
}

fn print_answer(answer: &AnswerWire) -> Result<()> {
    let rows: Vec<_> = answer
        .parts
        .iter()
        .map(|part| vec![part.range.clone(), part.body.to_string()])
        .collect();
    print_table(&["KEYS", "PART"], &rows)?;
    println!(
        "coverage {} of snapshot {}, {} legs, {} us",
        answer.coverage.ratio, answer.snapshot, answer.legs, answer.took_us
    );
    Ok(())
}
