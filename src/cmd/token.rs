//! `hyssopwalk token`: signs a token for an operator.

use std::process::ExitCode;

use anyhow::{Context, Result};

use super::keys::read_keys;
use super::operator_args::TokenArgs;
use crate::connection::sign_token;
use crate::process::Clock;
use crate::types::UnixSeconds;

impl TokenArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        let more_keys = read_keys(self.operator_keys_file.as_deref())?;
        let key = self.operator_keys.first().or(more_keys.first());
        let key = key.context("could not sign a token without --operator-keys")?;
        let now = Clock::new().wall();
        let until = UnixSeconds(now.0.saturating_add(self.duration.as_duration().as_secs()));
        println!("{}", sign_token(key, &self.operator, until));
        Ok(ExitCode::SUCCESS)
    }
}
