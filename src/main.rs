//! The `hyssopwalk` command.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    hyssopwalk::Cmd::parse().run()
}
