//! `hyssopwalk completions`: prints shell completions.

use std::process::ExitCode;

use clap::CommandFactory;

use super::Cmd;
use super::operator_args::CompletionsArgs;

impl CompletionsArgs {
    pub(crate) fn run(self) -> ExitCode {
        let mut command = Cmd::command();
        clap_complete::generate(
            self.shell,
            &mut command,
            "hyssopwalk",
            &mut std::io::stdout(),
        );
        ExitCode::SUCCESS
    }
}
