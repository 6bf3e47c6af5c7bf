//! Orders run at most once: before an order is sent, the attempt claims it in the
//! platform, and nobody ever takes a claim from the attempt that holds it.
//!
//! Claims that arrive while a write is under way share the next one. The design, and
//! the ways that were weighed, are in `docs/DESIGN.md`, "At most once".

mod claim;
mod commit;
mod id;
mod lane;
mod page;
mod sweep;
mod tokens;
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

use self::commit::{Change, Settled};
use self::id::{ClaimId, PageId};
use self::lane::Lane;
use self::page::{Standing, Wish};
use self::tokens::Tokens;
use super::{Clock, Platform, Rank, Ranked};
use crate::error::{ErrorKind, Refusal};
use crate::types::{Fingerprint, PerSecond, Span, Timestamp};

/// What all instances together may write for orders.
const FLEET_WRITES: PerSecond = PerSecond(200.0);

/// The orders of one instance: what it claims, and its share of the platform's writes.
#[derive(Debug)]
pub(crate) struct Orders {
    platform: Arc<dyn Platform>,
    clock: Clock,
    live: AtomicU32,
    lanes: Ranked<IndexMap<PageId, Lane>>,
    tokens: Ranked<Tokens>,
}

type Reply = oneshot::Sender<Result<Claim, Settled>>;

impl Orders {
    pub(crate) fn new(platform: Arc<dyn Platform>, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            platform,
            clock,
            live: AtomicU32::new(1),
            lanes: Ranked::new(Rank::Lanes, IndexMap::new()),
            tokens: Ranked::new(Rank::Tokens, Tokens::new(clock.now())),
        })
    }

    /// Starts what goes on for as long as the process.
    pub(crate) fn start(self: &Arc<Self>) {
        let orders = Arc::clone(self);
        async_std::task::spawn(async move { orders.sweep_forever().await });
    }

    /// Claims an order by `until`, for this attempt alone.
    ///
    /// # Errors
    /// A refusal; this attempt was not run, and never will be.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        key: OrderKey,
        body: Fingerprint,
        until: Timestamp,
    ) -> Result<Claim, Refusal> {
        key.check(self.clock.wall())?;
        let (reply, answer) = oneshot::channel();
        let change = Change {
            order: key.id,
            claim: ClaimId(rand::rng().random()),
            wish: Wish::Claim { body },
            until,
        };
        self.submit(key.page(), change, Some(reply));
        let left = until.since(self.clock.now());
        let settled = match timeout(left.as_duration(), answer).await {
            Ok(Ok(Ok(claim))) => return Ok(claim),
            Ok(Ok(Err(settled))) => settled,
            Ok(Err(_)) | Err(_) => Settled::GaveUp,
        };
        Err(refusal(settled))
    }

    /// Waits until the ledger may be written again.
    async fn token(&self) {
        loop {
            let rate = PerSecond(FLEET_WRITES.0 / f64::from(self.live()));
            let taken = self.tokens.lock().take(self.clock.now(), rate);
            let Err(wait) = taken else {
                return;
            };
            async_std::task::sleep(wait.as_duration()).await;
        }
    }

    /// Says how many instances share the platform's writes.
    pub(crate) fn set_live(&self, live: u32) {
        self.live.store(live.max(1), Ordering::Relaxed);
    }

    /// How many instances share the platform's writes.
    pub(crate) fn live(&self) -> u32 {
        self.live.load(Ordering::Relaxed)
    }

    /// A span between half of `span` and one and a half times it.
    #[expect(clippy::unused_self, reason = "randomness belongs to the process")]
    fn jittered(&self, span: Span) -> Span {
        Span(span.0 / 2 + rand::rng().random_range(0..=span.0))
    }
}

fn refusal(settled: Settled) -> Refusal {
    let (kind, detail) = match settled {
        Settled::Taken {
            same_body: false, ..
        } => (
            ErrorKind::Duplicate,
            "the key was used before, for another body",
        ),
        Settled::Taken {
            standing: Standing::Done,
            ..
        } => (ErrorKind::Duplicate, "the order is done"),
        Settled::Taken {
            standing: Standing::Claimed,
            ..
        } => (
            ErrorKind::Duplicate,
            "an earlier attempt is under way or may have run",
        ),
        Settled::Full => (
            ErrorKind::Overloaded,
            "too many orders were first sent then",
        ),
        Settled::Stale => (
            ErrorKind::StaleKey,
            "orders of the key's time are no longer remembered",
        ),
        Settled::GaveUp | Settled::Held => (
            ErrorKind::PlatformDown,
            "the order could not be claimed in time; until its claim is removed, \
             attempts with the same key may be refused as duplicates",
        ),
    };
    Refusal::new(kind, detail)
}
