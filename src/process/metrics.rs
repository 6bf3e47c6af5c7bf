//! Metrics of the process; each is listed with its unit in `docs/OPERATING.md`.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::process_collector::ProcessCollector;
use prometheus::{Encoder, Registry, TextEncoder};

use super::UpstreamSignals;
use super::member_metrics::MemberMetrics;
use crate::error::ErrorKind;
use crate::request::LegFailure;
use crate::types::{ClassName, Span, UpstreamName};

const METER: &str = "hyssopwalk";

/// The metric instruments of one process.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    answers: Counter<u64>,
    refusals: Counter<u64>,
    latency: Histogram<f64>,
    legs: Counter<u64>,
    leg_failures: Counter<u64>,
    signals: Counter<u64>,
    pub(crate) undelivered_answers: Counter<u64>,
    pub(crate) members: MemberMetrics,
}

impl Metrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        registry.register(Box::new(ProcessCollector::for_self()))?;
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(METER);
        Ok(Self {
            registry,
            provider,
            answers: meter.u64_counter("hyssopwalk_answers").build(),
            refusals: meter.u64_counter("hyssopwalk_refusals").build(),
            latency: meter.f64_histogram("hyssopwalk_answer_seconds").build(),
            legs: meter.u64_counter("hyssopwalk_legs").build(),
            leg_failures: meter.u64_counter("hyssopwalk_leg_failures").build(),
            signals: meter.u64_counter("hyssopwalk_upstream_signals").build(),
            undelivered_answers: meter.u64_counter("hyssopwalk_unheard_answers").build(),
            members: MemberMetrics::new(&meter),
        })
    }

    /// Adds a counter of the log lines that were dropped, which `count` returns.
    pub(crate) fn count_dropped_lines(&self, count: impl Fn() -> u64 + Send + Sync + 'static) {
        let meter = self.provider.meter(METER);
        let counter = meter.u64_observable_counter("hyssopwalk_dropped_log_lines");
        counter
            .with_callback(move |observer| observer.observe(count(), &[]))
            .build();
    }

    pub(crate) fn answered(&self, class: &ClassName, meets_target: bool, took: Span) {
        let class = KeyValue::new("class", class.to_string());
        self.answers
            .add(1, &[class.clone(), KeyValue::new("complete", meets_target)]);
        self.latency
            .record(took.as_duration().as_secs_f64(), &[class]);
    }

    pub(crate) fn refused(&self, kind: ErrorKind) {
        self.refusals
            .add(1, &[KeyValue::new("kind", kind.row().code)]);
    }

    pub(crate) fn leg_sent(&self, upstream: &UpstreamName) {
        self.legs
            .add(1, &[KeyValue::new("upstream", upstream.to_string())]);
    }

    pub(crate) fn leg_failed(&self, upstream: &UpstreamName, failure: LegFailure) {
        let upstream = KeyValue::new("upstream", upstream.to_string());
        self.leg_failures
            .add(1, &[upstream, KeyValue::new("failure", failure.code())]);
    }

    /// Counts what an upstream said of itself in a reply.
    pub(crate) fn signalled(&self, signals: UpstreamSignals) {
        let count = |signal, number| {
            if number > 0 {
                self.signals.add(number, &[KeyValue::new("signal", signal)]);
            }
        };
        count("rate-limit", u64::from(signals.rate_limit.is_some()));
        count("leaving", u64::from(signals.leaving));
        count("pause", u64::from(signals.pause.is_some()));
        count("invalid", u64::from(signals.invalid));
    }

    /// Renders all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> anyhow::Result<String> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(String::from_utf8(buf)?)
    }
}
