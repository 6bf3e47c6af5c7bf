//! The report of a load run, as text and as JSON.

use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;

use super::legs::LegCounts;
use super::stats::LoadStats;
use crate::cmd::LoadArgs;

const QUANTILES: [(&str, f64); 5] = [
    ("p50", 0.5),
    ("p90", 0.9),
    ("p99", 0.99),
    ("p99.9", 0.999),
    ("max", 1.0),
];
const MAX_UPSTREAMS_SHOWN: usize = 10;

/// The results of a load run.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(super) struct ReportWire {
    class: String,
    rate: String,
    seconds: f64,
    asked: u64,
    pub(super) finished: u64,
    finished_per_second: f64,
    late: u64,
    incomplete: u64,
    broken: u64,
    refused: IndexMap<String, u64>,
    coverage: String,
    extra_load: String,
    latency_us: IndexMap<&'static str, u64>,
    legs_by_upstream: IndexMap<String, u64>,
}

impl ReportWire {
    pub(super) fn new(
        args: &LoadArgs,
        stats: &LoadStats,
        elapsed: Duration,
        legs: &LegCounts,
    ) -> Self {
        let quantile = |(name, quantile)| (name, stats.latency.value_at_quantile(quantile));
        #[expect(
            clippy::cast_precision_loss,
            reason = "a count of requests is below 2^53"
        )]
        let finished = stats.finished as f64;
        Self {
            class: args.class.to_string(),
            rate: args.rate.to_string(),
            seconds: elapsed.as_secs_f64(),
            asked: stats.requests,
            finished: stats.finished,
            finished_per_second: finished / elapsed.as_secs_f64(),
            late: stats.late,
            incomplete: stats.incomplete,
            broken: stats.broken,
            refused: stats.refused.clone(),
            coverage: stats.coverage().to_string(),
            extra_load: stats.extra_load().to_string(),
            latency_us: QUANTILES.into_iter().map(quantile).collect(),
            legs_by_upstream: legs.by_upstream.clone(),
        }
    }
}

impl fmt::Display for ReportWire {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "class       {} at {} for {:.1} s",
            self.class, self.rate, self.seconds
        )?;
        writeln!(f, "asked       {}", self.asked)?;
        writeln!(
            f,
            "finished    {} ({:.1}/s)",
            self.finished, self.finished_per_second
        )?;
        writeln!(f, "late        {}", self.late)?;
        writeln!(f, "incomplete  {}", self.incomplete)?;
        writeln!(f, "broken      {}", self.broken)?;
        for (kind, count) in &self.refused {
            writeln!(f, "refused     {count} {kind}")?;
        }
        writeln!(f, "coverage    {} on average", self.coverage)?;
        writeln!(f, "extra load  {}", self.extra_load)?;
        for (name, micros) in &self.latency_us {
            writeln!(f, "{name:<11} {micros} us")?;
        }
        for (upstream, legs) in self.legs_by_upstream.iter().take(MAX_UPSTREAMS_SHOWN) {
            writeln!(f, "legs        {legs} to {upstream}")?;
        }
        Ok(())
    }
}
