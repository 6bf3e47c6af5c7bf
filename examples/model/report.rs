//! The results of one run, printed as a table row.

use std::fmt;

use hdrhistogram::Histogram;
use hyssopwalk::{Answer, Refusal, Span};

const MAX_LATENCY_US: u64 = 10_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// The results of one run.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) system: &'static str,
    pub(crate) fault: &'static str,
    pub(crate) policy: &'static str,
    latency: Histogram<u64>,
    queries: u64,
    finished: u64,
    refused: u64,
    coverage_ppm: u64,
    shards: u64,
    legs: u64,
    /// Load of the busiest upstream above an even share, in percent.
    max_extra: f64,
}

impl Report {
    pub(crate) const HEADER: &'static str = "\
| system | fault | policy | finished % | p50 ms | p99 ms | p99.9 ms | coverage % | refused % | extra load % | most at one upstream % |
| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |";

    pub(crate) fn new(
        system: &'static str,
        fault: &'static str,
        policy: &'static str,
        shards: u64,
    ) -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .expect("valid bounds");
        Self {
            system,
            fault,
            policy,
            latency,
            queries: 0,
            finished: 0,
            refused: 0,
            coverage_ppm: 0,
            shards,
            legs: 0,
            max_extra: 0.0,
        }
    }

    /// Records the outcome of a query and the time `took` until the caller received it.
    pub(crate) fn record(&mut self, outcome: &Result<Answer, Refusal>, took: Span, target: Span) {
        self.queries += 1;
        match outcome {
            Ok(answer) => {
                self.latency.saturating_record(took.0);
                self.coverage_ppm += u64::from(answer.coverage.ratio().ppm());
                self.finished += u64::from(answer.meets_target && took <= target);
            }
            Err(_) => self.refused += 1,
        }
    }

    /// Records the number of legs that each upstream received.
    pub(crate) fn record_legs(&mut self, legs: impl Iterator<Item = u64>, replicas: u64) {
        let legs: Vec<u64> = legs.collect();
        self.legs = legs.iter().sum();
        let even_share = self.queries as f64 / replicas as f64;
        let max_legs = legs.iter().copied().max().unwrap_or_default();
        self.max_extra = (max_legs as f64 / even_share - 1.0) * 100.0;
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = |part: u64| part as f64 * 100.0 / self.queries as f64;
        let millis = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1_000.0;
        let answered = (self.queries - self.refused).max(1);
        let coverage = self.coverage_ppm as f64 / 10_000.0 / answered as f64;
        let extra = (self.legs as f64 / (self.queries * self.shards) as f64 - 1.0) * 100.0;
        write!(
            f,
            "| {} | {} | {} | {:.2} | {:.1} | {:.1} | {:.1} | {:.3} | {:.2} | {:.2} | {:.1} |",
            self.system,
            self.fault,
            self.policy,
            percent(self.finished),
            millis(0.5),
            millis(0.99),
            millis(0.999),
            coverage,
            percent(self.refused),
            extra,
            self.max_extra,
        )
    }
}
