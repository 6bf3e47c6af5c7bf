//! The command line: argument types, and one module for each subcommand.

mod addresses;
mod args;
mod audit;
mod class;
mod class_apply;
mod class_list;
mod class_remove;
mod class_show;
mod client;
mod completions;
mod exit;
mod keys;
mod load;
mod log;
mod operator_args;
mod query;
mod serve;
mod status;
mod stop;
mod table;
mod token;

pub(crate) use log::{Log, report_dropped_lines};
pub(crate) use serve::{bind, set_io_threads};
pub(crate) use stop::{Accepting, listen_for_signals, run_node_until_stopped};

pub use args::{Cmd, LoadArgs, ServeArgs};
