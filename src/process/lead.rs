//! Leader election and the leader's work on the platform: takes and renews the lease of
//! the cell, publishes its summary, and clears the summary of a lost cell.

use super::cells::CellId;
use super::heartbeat::exchange_heartbeats;
use super::lease::{Lease, LeaseAction};
use super::lease_store::{
    clear_lost_cell, own_record, put_lease, put_summary, read_lease, read_summary,
};
use super::{Expected, Instance, PlatformError};
use crate::types::{Epoch, ObjectVersion, Span, Timestamp};

/// The state kept between heartbeat rounds while this instance contends for the lease or
/// leads.
#[derive(Debug, Default)]
pub(crate) struct LeaderState {
    summary: Option<Expected>,
    renewed_at: Timestamp,
    monitored_at: Timestamp,
    monitored: Option<MonitoredCell>,
}

#[derive(Debug)]
struct MonitoredCell {
    cell: CellId,
    lease: Lease,
}

impl LeaderState {
    /// Drops the state that only a leader needs.
    pub(crate) fn reset(&mut self) {
        self.summary = None;
        self.monitored = None;
    }

    /// Joins a cell, reads its lease, and takes the lease or follows its holder. Returns
    /// whether the platform or the holder replied.
    pub(crate) async fn contend(&mut self, instance: &Instance) -> bool {
        let Some(cell) = join(instance).await else {
            return false;
        };
        let may_lead = instance.members.lock().may_lead();
        let Ok(found) = read_lease(instance, &cell).await else {
            return false;
        };
        let now = instance.clock.now();
        let action = {
            let mut members = instance.members.lock();
            members.on_platform_reply(now, None);
            let me = members.me().clone();
            let object = found.as_ref().map(|found| (&found.record, found.version));
            members
                .lease
                .next_action(now, (&me.name, me.incarnation), object)
        };
        match (action, found) {
            (LeaseAction::Follow, Some(found)) => {
                let record = &found.record;
                exchange_heartbeats(instance, Some(&record.holder), record.peer_addr).await
            }
            (LeaseAction::Own(epoch, renewals), Some(found)) => {
                let expected = Expected::Version(found.version);
                self.write_lease(instance, &cell, epoch, renewals + 1, expected)
                    .await
            }
            (LeaseAction::Take(_), _) if !may_lead => true,
            (LeaseAction::Take(epoch), found) => {
                let epoch = instance.members.lock().epoch_above(epoch);
                let expected =
                    found.map_or(Expected::Absent, |found| Expected::Version(found.version));
                self.write_lease(instance, &cell, epoch, 0, expected).await
            }
            (LeaseAction::Follow | LeaseAction::Own(..), None) => false,
        }
    }

    async fn write_lease(
        &mut self,
        instance: &Instance,
        cell: &CellId,
        epoch: Epoch,
        renewals: u64,
        expected: Expected,
    ) -> bool {
        let sent = instance.clock.now();
        let record = own_record(instance, epoch, renewals, false);
        match put_lease(instance, cell, &record, expected).await {
            Ok(version) => {
                begin_leading(instance, sent, epoch, version, renewals);
                self.renewed_at = sent;
                self.summary = None;
                tracing::info!(%cell, %epoch, "took the lease");
                instance.engine.metrics.members.took_lease();
                self.publish(instance).await;
                true
            }
            Err(error) => {
                tracing::debug!(%error, %cell, "could not take the lease");
                matches!(error, PlatformError::Conflict)
            }
        }
    }

    /// Renews the lease, publishes the summary, and checks the lease of the monitored cell.
    pub(crate) async fn lead(&mut self, instance: &Instance) {
        let interval = instance.members.lock().timing().lease_renewal_interval();
        if instance.clock.now().since(self.renewed_at) >= interval {
            self.renew(instance).await;
        }
        self.publish(instance).await;
        if instance.clock.now().since(self.monitored_at) >= interval {
            self.monitored_at = instance.clock.now();
            self.monitor_next_cell(instance).await;
        }
    }

    async fn renew(&mut self, instance: &Instance) {
        let sent = instance.clock.now();
        let (cell, renewal) = {
            let members = instance.members.lock();
            (members.cell().cloned(), members.lease.renewal(sent))
        };
        let (Some(cell), Some((epoch, version, renewals))) = (cell, renewal) else {
            return;
        };
        let record = own_record(instance, epoch, renewals, false);
        let expected = Expected::Version(version);
        match put_lease(instance, &cell, &record, expected).await {
            Ok(version) => {
                self.renewed_at = sent;
                let mut members = instance.members.lock();
                members.lease.record_write(sent, epoch, version, renewals);
                members.on_platform_reply(sent, None);
            }
            Err(PlatformError::Conflict | PlatformError::Unsettled(_)) => {
                check_lease(instance, &cell, epoch).await;
            }
            Err(error) => tracing::debug!(%error, %cell, "could not renew the lease"),
        }
    }

    async fn publish(&mut self, instance: &Instance) {
        let Some(cell) = instance.members.lock().cell().cloned() else {
            return;
        };
        let Some(expected) = self.expected(instance, &cell).await else {
            return;
        };
        let now = instance.clock.now();
        let Some(summary) = instance.members.lock().summary_to_publish(now) else {
            return;
        };
        match put_summary(instance, &summary, expected).await {
            Ok(version) => {
                self.summary = Some(Expected::Version(version));
                instance.members.lock().adopt_summary(&summary);
                instance.engine.metrics.members.published();
            }
            Err(error) => {
                tracing::debug!(%error, %cell, "could not publish the summary");
                self.summary = None;
            }
        }
    }

    /// The expected state of the summary's object. It is read again after the lease was
    /// taken or a write failed.
    async fn expected(&mut self, instance: &Instance, cell: &CellId) -> Option<Expected> {
        if let Some(expected) = self.summary {
            return Some(expected);
        }
        let expected = read_summary(instance, cell).await.ok()?;
        self.summary = Some(expected);
        Some(expected)
    }

    async fn monitor_next_cell(&mut self, instance: &Instance) {
        let (monitored, duration) = {
            let members = instance.members.lock();
            (members.monitored_cell(), members.timing().lease_duration())
        };
        let Some(cell) = monitored else {
            self.monitored = None;
            return;
        };
        let Ok(Some(found)) = read_lease(instance, &cell).await else {
            return;
        };
        let monitored = self
            .monitored
            .take()
            .filter(|monitored| monitored.cell == cell);
        let mut monitored = monitored.unwrap_or_else(|| MonitoredCell {
            lease: Lease::new(Span(duration.0 * 2)),
            cell,
        });
        let now = instance.clock.now();
        let me = instance.members.lock().me().clone();
        let object = Some((&found.record, found.version));
        let action = monitored
            .lease
            .next_action(now, (&me.name, me.incarnation), object);
        if let LeaseAction::Take(epoch) = action
            && self.is_occupied(instance, &monitored.cell)
        {
            clear_lost_cell(instance, &monitored.cell, epoch, found.version).await;
        }
        self.monitored = Some(monitored);
    }

    #[expect(clippy::unused_self, reason = "it is one step of a leader")]
    fn is_occupied(&self, instance: &Instance, cell: &CellId) -> bool {
        let summary = instance.members.lock().summary(cell);
        summary.is_some_and(|summary| !summary.members.is_empty())
    }
}

fn begin_leading(
    instance: &Instance,
    sent: Timestamp,
    epoch: Epoch,
    version: ObjectVersion,
    renewals: u64,
) {
    let mut members = instance.members.lock();
    members.lease.record_write(sent, epoch, version, renewals);
    members.begin_leading(sent);
}

/// Releases the lease, so that another member can take it at once.
pub(crate) async fn release(instance: &Instance) {
    let now = instance.clock.now();
    let (cell, renewal) = {
        let members = instance.members.lock();
        (members.cell().cloned(), members.lease.renewal(now))
    };
    let (Some(cell), Some((epoch, version, renewals))) = (cell, renewal) else {
        return;
    };
    instance.members.lock().lease.clear_held();
    let released = own_record(instance, epoch, renewals, true);
    let expected = Expected::Version(version);
    match put_lease(instance, &cell, &released, expected).await {
        Ok(_) => tracing::info!(%cell, %epoch, "released the lease"),
        Err(error) => tracing::warn!(%error, %cell, "could not release the lease; it expires"),
    }
}

async fn join(instance: &Instance) -> Option<CellId> {
    if let Some(cell) = instance.members.lock().cell() {
        return Some(cell.clone());
    }
    let prefix = format!(
        "{}{}/",
        super::cell_wire::CELL_PREFIX,
        instance.settings.failure_domain
    );
    if let Ok(listed) = instance.platform.instances().await {
        instance.members.lock().set_listed(listed);
    }
    let known = match instance.platform.list(&prefix).await {
        Ok(listing) => {
            let objects = listing.objects.iter();
            objects.for_each(|object| super::follow::adopt(instance, object));
            true
        }
        Err(_) => instance.members.lock().has_synced_peer(),
    };
    known.then(|| {
        let mut members = instance.members.lock();
        members.join(&mut instance.engine.tables.rng.lock())
    })
}

async fn check_lease(instance: &Instance, cell: &CellId, epoch: Epoch) {
    let Ok(found) = read_lease(instance, cell).await else {
        return;
    };
    let mut members = instance.members.lock();
    let me = members.me().clone();
    let own = found.filter(|found| {
        let record = &found.record;
        record.epoch == epoch && record.holder == me.name && record.incarnation == me.incarnation
    });
    if let Some(found) = own {
        members
            .lease
            .record_found(found.version, found.record.renewals);
        return;
    }
    members.lease.clear_held();
    tracing::info!(%cell, %epoch, "lost the lease");
}
