//! `hyssopwalk load`: loads running instances open-loop and reports what callers saw.
//!
//! Arrivals follow a plan that slow answers do not hold back, and each latency counts
//! from the planned time, so that a stalled instance cannot hide its own stall; see
//! `docs/OPERATING.md`, "Load tool".

mod caller;
mod legs;
mod plan;
mod plot;
mod report;
mod tally;

#[cfg(test)]
mod load_tests;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Instant;

use anyhow::{Context, Result, bail};
use async_std::channel::{self, Receiver, Sender};
use async_std::task;

use super::LoadArgs;
use caller::{Caller, Seen};
use legs::Legs;
use plan::Plan;
use report::ReportWire;
use tally::Tally;

use crate::types::Span;

const PROGRESS_EVERY: Span = Span::from_secs(1);
const ANSWER_TIMEOUT: Span = Span::from_secs(10);

impl LoadArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        if self.instance.is_empty() || self.callers == 0 {
            bail!("could not load anything without an --instance and --callers");
        }
        task::block_on(load(Arc::new(self)))
    }
}

async fn load(args: Arc<LoadArgs>) -> Result<ExitCode> {
    let before = Legs::read(&args.instance)
        .await
        .context("could not read /metrics")?;
    let (arrive, arrivals) = channel::unbounded();
    let (see, seen) = channel::unbounded();
    let begun = Instant::now();
    for number in 0..args.callers {
        let caller = Caller::new(&args, number);
        task::spawn(caller.run(arrivals.clone(), see.clone()));
    }
    drop((arrivals, see));
    task::spawn(release(
        Plan::new(args.rate, args.duration, args.seed),
        begun,
        arrive,
    ));
    let tally = count(&args, begun, seen).await;
    let took = begun.elapsed();
    let after = Legs::read(&args.instance)
        .await
        .context("could not read /metrics")?;
    let report = ReportWire::new(&args, &tally, took, &after.since(&before));
    if let Some(path) = &args.plot {
        let svg = plot::draw(&tally, args.target).context("could not draw the plot")?;
        std::fs::write(path, svg).with_context(|| format!("could not write {}", path.display()))?;
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(if report.finished > 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Releases each arrival at its planned time, however many are still waiting.
async fn release(plan: Plan, begun: Instant, arrive: Sender<Instant>) {
    for after in plan {
        let at = begun + after.as_duration();
        task::sleep(at.saturating_duration_since(Instant::now())).await;
        if arrive.send(at).await.is_err() {
            return;
        }
    }
}

async fn count(args: &LoadArgs, begun: Instant, seen: Receiver<Seen>) -> Tally {
    let mut tally = Tally::new(args.target);
    let mut progress_at = PROGRESS_EVERY;
    while let Ok(seen) = seen.recv().await {
        tally.note(&seen);
        if begun.elapsed() >= progress_at.as_duration() {
            eprintln!("{progress_at}: {tally}");
            progress_at = Span(progress_at.0 + PROGRESS_EVERY.0);
        }
    }
    tally
}
