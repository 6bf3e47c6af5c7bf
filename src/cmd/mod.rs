//! The command line: one file with its types, and one file for each subcommand.

mod args;
mod load;
mod serve;

pub use args::{Cmd, LoadArgs, ServeArgs};
