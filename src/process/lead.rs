//! What an instance does on the platform for its cell: contends for the lease, renews
//! it, publishes the summary, and takes over the lease of a cell that is lost.

use super::cells::CellId;
use super::heartbeat::exchange;
use super::lease::{Contend, Lease};
use super::lease_store::{empty, put_lease, put_summary, read_lease, read_summary, record};
use super::{Expected, Instance, PlatformError};
use crate::types::{Epoch, ObjectVersion, Span, Timestamp};

/// What is kept between heartbeats while this instance contends or leads.
#[derive(Debug, Default)]
pub(crate) struct Duties {
    summary: Option<Expected>,
    renewed: Timestamp,
    looked: Timestamp,
    ward: Option<Ward>,
}

#[derive(Debug)]
struct Ward {
    cell: CellId,
    lease: Lease,
}

impl Duties {
    /// Drops what only a leader needs.
    pub(crate) fn forget(&mut self) {
        self.summary = None;
        self.ward = None;
    }

    /// Joins a cell, reads its lease and takes it or follows its holder. Says whether
    /// the platform or the holder replied.
    pub(crate) async fn contend(&mut self, instance: &Instance) -> bool {
        let Some(cell) = join(instance).await else {
            return false;
        };
        let may_lead = instance.members.lock().may_lead();
        let Ok(found) = read_lease(instance, &cell).await else {
            return false;
        };
        let now = instance.clock.now();
        let decided = {
            let mut members = instance.members.lock();
            members.on_platform(now, None);
            let me = members.me().clone();
            let object = found.as_ref().map(|found| (&found.record, found.version));
            members
                .lease
                .contend(now, (&me.name, me.incarnation), object)
        };
        match (decided, found) {
            (Contend::Follow, Some(found)) => {
                let holder = &found.record;
                exchange(instance, Some(&holder.holder), holder.peer_addr).await
            }
            (Contend::Own(epoch, renewals), Some(found)) => {
                let expected = Expected::Version(found.version);
                self.write_lease(instance, &cell, epoch, renewals + 1, expected)
                    .await
            }
            (Contend::Take(_), _) if !may_lead => true,
            (Contend::Take(epoch), found) => {
                let epoch = instance.members.lock().epoch_above(epoch);
                let expected =
                    found.map_or(Expected::Absent, |found| Expected::Version(found.version));
                self.write_lease(instance, &cell, epoch, 0, expected).await
            }
            (Contend::Follow | Contend::Own(..), None) => false,
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
        let record = record(instance, epoch, renewals, false);
        match put_lease(instance, cell, &record, expected).await {
            Ok(version) => {
                begin_leading(instance, sent, epoch, version, renewals);
                self.renewed = sent;
                self.summary = None;
                tracing::info!(%cell, %epoch, "leads its cell");
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

    /// Renews the lease, publishes the summary, and looks after the next cell.
    pub(crate) async fn lead(&mut self, instance: &Instance) {
        let renew = instance.members.lock().timing().renew();
        if instance.clock.now().since(self.renewed) >= renew {
            self.renew(instance).await;
        }
        self.publish(instance).await;
        if instance.clock.now().since(self.looked) >= renew {
            self.looked = instance.clock.now();
            self.look_after_ward(instance).await;
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
        let record = record(instance, epoch, renewals, false);
        let expected = Expected::Version(version);
        match put_lease(instance, &cell, &record, expected).await {
            Ok(version) => {
                self.renewed = sent;
                let mut members = instance.members.lock();
                members.lease.wrote(sent, epoch, version, renewals);
                members.on_platform(sent, None);
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
        let Some(summary) = instance.members.lock().to_publish(now) else {
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

    /// What the summary's object is expected to be; read anew after any doubt.
    async fn expected(&mut self, instance: &Instance, cell: &CellId) -> Option<Expected> {
        if let Some(expected) = self.summary {
            return Some(expected);
        }
        let expected = read_summary(instance, cell).await.ok()?;
        self.summary = Some(expected);
        Some(expected)
    }

    async fn look_after_ward(&mut self, instance: &Instance) {
        let (ward, span) = {
            let members = instance.members.lock();
            (members.ward(), members.timing().lease())
        };
        let Some(cell) = ward else {
            self.ward = None;
            return;
        };
        let Ok(Some(found)) = read_lease(instance, &cell).await else {
            return;
        };
        let ward = self.ward.take().filter(|ward| ward.cell == cell);
        let mut ward = ward.unwrap_or_else(|| Ward {
            lease: Lease::new(Span(span.0 * 2)),
            cell,
        });
        let now = instance.clock.now();
        let me = instance.members.lock().me().clone();
        let object = Some((&found.record, found.version));
        let decided = ward.lease.contend(now, (&me.name, me.incarnation), object);
        if let Contend::Take(epoch) = decided
            && self.is_occupied(instance, &ward.cell)
        {
            empty(instance, &ward.cell, epoch, found.version).await;
        }
        self.ward = Some(ward);
    }

    #[expect(clippy::unused_self, reason = "it is one of a leader's duties")]
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
    members.lease.wrote(sent, epoch, version, renewals);
    members.begin_leading(sent);
}

/// Gives up the lease, so that another member can take it at once.
pub(crate) async fn release(instance: &Instance) {
    let now = instance.clock.now();
    let (cell, renewal) = {
        let members = instance.members.lock();
        (members.cell().cloned(), members.lease.renewal(now))
    };
    let (Some(cell), Some((epoch, version, renewals))) = (cell, renewal) else {
        return;
    };
    instance.members.lock().lease.lose();
    let released = record(instance, epoch, renewals, true);
    let expected = Expected::Version(version);
    match put_lease(instance, &cell, &released, expected).await {
        Ok(_) => tracing::info!(%cell, %epoch, "gave up the lease"),
        Err(error) => tracing::warn!(%error, %cell, "could not give up the lease; it lapses"),
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
        instance.members.lock().on_list(listed);
    }
    let known = match instance.platform.list(&prefix).await {
        Ok(listing) => {
            let objects = listing.objects.iter();
            objects.for_each(|object| super::follow::adopt(instance, object));
            true
        }
        Err(_) => instance.members.lock().met_somebody(),
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
        members.lease.found(found.version, found.record.renewals);
        return;
    }
    members.lease.lose();
    tracing::info!(%cell, %epoch, "lost the lease");
}
