//! A discrete-event model of both users' systems that drives the real decision code with a
//! simulated clock and compares it with two baselines.
//!
//! `cargo run --release --example model [-- SEED [QUERIES [SYSTEM]]]` prints the table of
//! `docs/MEASUREMENTS.md`. The same seed gives the same table.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "values in the model stay far below 2^53"
)]

mod baseline;
mod policy;
mod replica;
mod report;
mod simulation;
mod system;
#[path = "../../tests/standin/tables.rs"]
mod tables;

use policy::Policy;
use report::Report;
use system::{Fault, SYSTEMS, System};

const DEFAULT_SEED: u64 = 20_261_204;
const DEFAULT_QUERIES: usize = 20_000;

fn main() {
    let mut args = std::env::args().skip(1);
    let seed = args
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEED);
    let queries = args
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_QUERIES);
    let name_filter = args.next().unwrap_or_default();
    println!("seed {seed}, {queries} queries a row\n");
    println!("{}", Report::HEADER);
    for system in SYSTEMS
        .iter()
        .filter(|system| system.name.contains(&name_filter))
    {
        for report in run_system(system, seed, queries) {
            println!("{report}");
        }
    }
}

/// Runs all rows of one system in parallel; each has its own random number generator.
fn run_system(system: &'static System, seed: u64, queries: usize) -> Vec<Report> {
    let rows = Fault::ALL
        .into_iter()
        .flat_map(|fault| Policy::ALL.map(|policy| (fault, policy)));
    let threads: Vec<_> = rows
        .map(|(fault, policy)| {
            std::thread::spawn(move || simulation::run(system, fault, policy, seed, queries))
        })
        .collect();
    threads
        .into_iter()
        .map(|thread| thread.join().expect("the row completed"))
        .collect()
}
