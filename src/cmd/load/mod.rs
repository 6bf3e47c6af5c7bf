//! `hyssopwalk load`: sends open-loop load to running instances and reports the results.
//!
//! Requests arrive on a schedule that slow answers do not delay, and latency is measured
//! from the scheduled arrival, so that a stalled instance cannot hide its own stall
//! (coordinated omission); see `docs/OPERATING.md`, "Load tool".

mod arrival_schedule;
mod caller;
mod legs;
mod plot;
mod report;
mod stats;

#[cfg(test)]
mod load_tests;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Instant;

use anyhow::{Context, Result, bail};
use async_std::channel::{self, Receiver, Sender};
use async_std::task;

use super::LoadArgs;
use arrival_schedule::ArrivalSchedule;
use caller::{Caller, RequestResult};
use legs::LegCounts;
use report::ReportWire;
use stats::LoadStats;

use crate::types::Span;

const PROGRESS_INTERVAL: Span = Span::from_secs(1);
const ANSWER_TIMEOUT: Span = Span::from_secs(10);

impl LoadArgs {
    pub(crate) fn run(self) -> Result<ExitCode> {
        if self.instance.is_empty() || self.callers == 0 {
            bail!("could not send load without an --instance and --callers");
        }
        task::block_on(load(Arc::new(self)))
    }
}

async fn load(args: Arc<LoadArgs>) -> Result<ExitCode> {
    let before = LegCounts::read(&args.instance)
        .await
        .context("could not read /metrics")?;
    let (arrival_tx, arrivals) = channel::unbounded();
    let (result_tx, results) = channel::unbounded();
    let started = Instant::now();
    for number in 0..args.callers {
        let caller = Caller::new(&args, number);
        task::spawn(caller.run(arrivals.clone(), result_tx.clone()));
    }
    drop((arrivals, result_tx));
    task::spawn(send_arrivals(
        ArrivalSchedule::new(args.rate, args.duration, args.seed),
        started,
        arrival_tx,
    ));
    let stats = collect_results(&args, started, results).await;
    let elapsed = started.elapsed();
    let after = LegCounts::read(&args.instance)
        .await
        .context("could not read /metrics")?;
    let report = ReportWire::new(&args, &stats, elapsed, &after.since(&before));
    if let Some(path) = &args.plot {
        let svg = plot::draw(&stats, args.target).context("could not draw the plot")?;
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

/// Sends each arrival at its scheduled time, even if earlier ones are still queued.
async fn send_arrivals(schedule: ArrivalSchedule, started: Instant, arrival_tx: Sender<Instant>) {
    for offset in schedule {
        let at = started + offset.as_duration();
        task::sleep(at.saturating_duration_since(Instant::now())).await;
        if arrival_tx.send(at).await.is_err() {
            return;
        }
    }
}

async fn collect_results(
    args: &LoadArgs,
    started: Instant,
    results: Receiver<RequestResult>,
) -> LoadStats {
    let mut stats = LoadStats::new(args.target);
    let mut progress_at = PROGRESS_INTERVAL;
    while let Ok(result) = results.recv().await {
        stats.record(&result);
        if started.elapsed() >= progress_at.as_duration() {
            eprintln!("{progress_at}: {stats}");
            progress_at = Span(progress_at.0 + PROGRESS_INTERVAL.0);
        }
    }
    stats
}
