//! Metrics of membership; listed in `docs/OPERATING.md`.

use http::StatusCode;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter};

use super::fleet::Freshness;
use super::members::{Members, Readiness, Role};
use crate::types::{Era, Timestamp};

/// How a request for updates to another instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateOutcome {
    Applied,
    /// The updates came too long after the store confirmed them.
    Stale,
    /// The updates had passed through this instance before.
    Loop,
    /// The updates are of an earlier era of the store than this instance knows.
    EarlierEra,
    /// Their sender has lost contact with the instances that it follows.
    Disconnected,
    /// No complete reply came.
    Failed,
}

impl From<Freshness> for UpdateOutcome {
    fn from(freshness: Freshness) -> Self {
        match freshness {
            Freshness::Fresh => Self::Applied,
            Freshness::Stale => Self::Stale,
            Freshness::EarlierEra => Self::EarlierEra,
            Freshness::Loop => Self::Loop,
            Freshness::Disconnected => Self::Disconnected,
        }
    }
}

impl UpdateOutcome {
    const fn code(self) -> &'static str {
        match self {
            Self::Applied => "applied",
            Self::Stale => "stale",
            Self::EarlierEra => "earlier-era",
            Self::Loop => "loop",
            Self::Disconnected => "disconnected",
            Self::Failed => "failed",
        }
    }
}

/// The membership metrics of this instance.
#[derive(Debug)]
pub(crate) struct MemberMetrics {
    live: Gauge<u64>,
    leading: Gauge<u64>,
    epoch: Gauge<u64>,
    lease_left: Gauge<f64>,
    config: Gauge<u64>,
    ready: Gauge<u64>,
    leases: Counter<u64>,
    summaries: Counter<u64>,
    lost_cells: Counter<u64>,
    failed_heartbeats: Counter<u64>,
    refused_peers: Counter<u64>,
    updates: Counter<u64>,
    update_bytes: Counter<u64>,
    sent_update_bytes: Counter<u64>,
    era: Gauge<u64>,
}

impl MemberMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name| meter.u64_counter(name).build();
        let gauge = |name| meter.u64_gauge(name).build();
        Self {
            live: gauge("hyssopwalk_live_instances"),
            leading: gauge("hyssopwalk_leading"),
            epoch: gauge("hyssopwalk_cell_epoch"),
            era: gauge("hyssopwalk_store_era"),
            lease_left: meter.f64_gauge("hyssopwalk_lease_left_seconds").build(),
            config: gauge("hyssopwalk_config_version"),
            ready: gauge("hyssopwalk_ready"),
            leases: counter("hyssopwalk_leases_taken"),
            summaries: counter("hyssopwalk_summaries_published"),
            lost_cells: counter("hyssopwalk_lost_cells"),
            failed_heartbeats: counter("hyssopwalk_failed_heartbeats"),
            refused_peers: counter("hyssopwalk_refused_peers"),
            updates: counter("hyssopwalk_updates"),
            update_bytes: counter("hyssopwalk_update_bytes"),
            sent_update_bytes: counter("hyssopwalk_sent_update_bytes"),
        }
    }

    /// Updates the gauges from the current membership.
    pub(crate) fn record_state(&self, now: Timestamp, members: &Members, live: u32) {
        let (leading, epoch) = match members.role(now) {
            Role::Leading(epoch) => (1, epoch.0),
            Role::Following(epoch) => (0, epoch.0),
            Role::Orphan => (0, 0),
        };
        self.live.record(u64::from(live), &[]);
        self.leading.record(leading, &[]);
        self.epoch.record(epoch, &[]);
        let left = members.lease.left(now).as_duration();
        self.lease_left.record(left.as_secs_f64(), &[]);
        self.config.record(members.config().0, &[]);
        let ready = members.readiness(now) == Readiness::Ready;
        self.ready.record(u64::from(ready), &[]);
    }

    /// Records the era of the store.
    pub(crate) fn entered_era(&self, era: Era) {
        self.era.record(era.0, &[]);
    }

    pub(crate) fn took_lease(&self) {
        self.leases.add(1, &[]);
    }

    pub(crate) fn published(&self) {
        self.summaries.add(1, &[]);
    }

    pub(crate) fn lost_cell(&self) {
        self.lost_cells.add(1, &[]);
    }

    pub(crate) fn heartbeat_failed(&self) {
        self.failed_heartbeats.add(1, &[]);
    }

    pub(crate) fn refused_peer(&self, status: StatusCode) {
        let status = KeyValue::new("status", i64::from(status.as_u16()));
        self.refused_peers.add(1, &[status]);
    }

    /// Records how a request for updates ended, and the size of the objects received.
    pub(crate) fn updated(&self, outcome: UpdateOutcome, object_bytes: usize) {
        let outcome = KeyValue::new("outcome", outcome.code());
        self.updates.add(1, &[outcome]);
        self.update_bytes.add(object_bytes as u64, &[]);
    }

    /// Records the size of the objects sent to a follower.
    pub(crate) fn sent_update(&self, object_bytes: usize) {
        self.sent_update_bytes.add(object_bytes as u64, &[]);
    }
}
