//! Runs orders (requests that are not repeatable) at most once: each attempt claims its
//! order in the platform before sending it, and a claim is never transferred to another
//! attempt.
//!
//! Claims that arrive while a write is in flight share the next one. The design and its
//! alternatives are described in `docs/DESIGN.md`, "At most once".

mod claim;
mod commit;
mod id;
mod page;
mod page_writer;
mod sweep;
mod token_bucket;
mod wire;

#[cfg(test)]
mod commit_tests;
#[cfg(test)]
mod orders_tests;

pub(crate) use claim::Claim;
pub(crate) use id::OrderKey;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use async_std::future::timeout;
use futures::channel::oneshot;
use indexmap::IndexMap;
use rand::Rng;

use self::commit::{ClaimOutcome, PageChange};
use self::id::{ClaimId, PageId};
use self::page::{ClaimChange, ClaimState};
use self::page_writer::PageWriter;
use self::token_bucket::TokenBucket;
use super::{Clock, Platform, Rank, Ranked};
use crate::error::{ErrorKind, Refusal};
use crate::types::{Fingerprint, PerSecond, Span, Timestamp};

/// Rate limit for writes to claim pages, shared by all instances.
const FLEET_WRITES: PerSecond = PerSecond(200.0);

/// Claims orders for one instance, within its share of [`FLEET_WRITES`].
#[derive(Debug)]
pub(crate) struct Orders {
    platform: Arc<dyn Platform>,
    clock: Clock,
    live: AtomicU32,
    writers: Ranked<IndexMap<PageId, PageWriter>>,
    write_bucket: Ranked<TokenBucket>,
}

type Reply = oneshot::Sender<Result<Claim, ClaimOutcome>>;

impl Orders {
    pub(crate) fn new(platform: Arc<dyn Platform>, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            platform,
            clock,
            live: AtomicU32::new(1),
            writers: Ranked::new(Rank::PageWriters, IndexMap::new()),
            write_bucket: Ranked::new(Rank::OrderWriteTokens, TokenBucket::new(clock.now())),
        })
    }

    /// Starts the periodic deletion of old pages, which runs until the process ends.
    pub(crate) fn start(self: &Arc<Self>) {
        let orders = Arc::clone(self);
        async_std::task::spawn(async move { orders.sweep_forever().await });
    }

    /// Claims an order for this attempt alone, failing at `deadline`.
    ///
    /// # Errors
    /// A refusal; the order was not sent by this attempt and never will be.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        key: OrderKey,
        body: Fingerprint,
        deadline: Timestamp,
    ) -> Result<Claim, Refusal> {
        key.check(self.clock.wall())?;
        let (reply, answer) = oneshot::channel();
        let change = PageChange {
            order: key.id,
            claim: ClaimId(rand::rng().random()),
            kind: ClaimChange::Claim { body },
            deadline,
        };
        self.submit(key.page(), change, Some(reply));
        let left = deadline.since(self.clock.now());
        let outcome = match timeout(left.as_duration(), answer).await {
            Ok(Ok(Ok(claim))) => return Ok(claim),
            Ok(Ok(Err(outcome))) => outcome,
            Ok(Err(_)) | Err(_) => ClaimOutcome::TimedOut,
        };
        Err(refusal(outcome))
    }

    /// Waits until this instance's share of [`FLEET_WRITES`] allows another write.
    async fn wait_for_write_token(&self) {
        loop {
            let rate = PerSecond(FLEET_WRITES.0 / f64::from(self.live()));
            let taken = self.write_bucket.lock().take(self.clock.now(), rate);
            let Err(wait) = taken else {
                return;
            };
            async_std::task::sleep(wait.as_duration()).await;
        }
    }

    /// Sets the number of live instances, which share [`FLEET_WRITES`].
    pub(crate) fn set_live(&self, live: u32) {
        self.live.store(live.max(1), Ordering::Relaxed);
    }

    /// The number of live instances, which share [`FLEET_WRITES`].
    pub(crate) fn live(&self) -> u32 {
        self.live.load(Ordering::Relaxed)
    }

    /// Adds jitter: a random span from 0.5 to 1.5 times `span`.
    #[expect(clippy::unused_self, reason = "randomness is process-wide")]
    fn jittered(&self, span: Span) -> Span {
        Span(span.0 / 2 + rand::rng().random_range(0..=span.0))
    }
}

fn refusal(outcome: ClaimOutcome) -> Refusal {
    let (kind, detail) = match outcome {
        ClaimOutcome::Taken {
            same_body: false, ..
        } => (
            ErrorKind::Duplicate,
            "the idempotency key was already used with a different body",
        ),
        ClaimOutcome::Taken {
            state: ClaimState::Done,
            ..
        } => (ErrorKind::Duplicate, "the order has already run"),
        ClaimOutcome::Taken {
            state: ClaimState::Claimed,
            ..
        } => (
            ErrorKind::Duplicate,
            "an earlier attempt is in flight or may have run",
        ),
        ClaimOutcome::Full => (
            ErrorKind::Overloaded,
            "too many orders were first sent at the time stated in the key",
        ),
        ClaimOutcome::Stale => (
            ErrorKind::StaleKey,
            "the claims of orders from the time stated in the key have been deleted",
        ),
        ClaimOutcome::TimedOut | ClaimOutcome::Held => (
            ErrorKind::PlatformDown,
            "the order could not be claimed in time; until its claim is removed, \
             attempts with the same key may be refused as duplicates",
        ),
    };
    Refusal::new(kind, detail)
}
