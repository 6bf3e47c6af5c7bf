//! Locks with a fixed order.
//!
//! Every shared table is behind a [`Ranked`] lock. A thread may only take a lock of a
//! higher rank than those it holds. Debug builds check this on each call, so a test that
//! breaks the order fails at once. The order is documented in `docs/DESIGN.md`,
//! "Lock order".

use std::cell::RefCell;
use std::fmt;
use std::ops::{Deref, DerefMut};
use std::time::Instant;

use parking_lot::{Condvar, Mutex, MutexGuard};

/// The position of a table in the lock order; locks are taken from first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    /// The progress of a graceful shutdown.
    Shutdown,
    /// The directory of classes and indexes.
    Directory,
    /// The queries in flight at each index, by class and caller.
    Admission,
    /// The instances, their cells, and the state that is sent to peers.
    Members,
    /// The configured seed addresses of other instances.
    Seeds,
    /// The instances known to a follower.
    Fleet,
    /// The number of instances that share the limits.
    InstanceCount,
    /// The replicas that instances report as silent.
    SilenceTracker,
    /// The instances through which the platform's objects arrive.
    Via,
    /// The cached objects of the platform.
    ObjectCache,
    /// The replicas registered on the platform.
    ReplicaRegistry,
    /// The configuration combined with the replicas.
    Catalog,
    /// The longest timeout of callers seen on each route.
    LongestTimeLeft,
    /// The tasks that wait for an update.
    Waiters,
    /// The queries in flight, by id.
    Queries,
    /// One query.
    Query,
    /// The budgets of each class for hedges, retries and failovers.
    ClassBudgets,
    /// The requests that crashed upstreams.
    Suspects,
    /// This instance's shares of the upstreams' slots.
    Limits,
    /// The observed state of upstreams.
    Upstreams,
    /// The random number generator.
    Random,
    /// The changes of orders that wait for their page to be written.
    PageWriters,
    /// The rate limit for writes of the order ledger.
    OrderWriteTokens,
    /// The connection pools of all upstreams.
    Links,
    /// One connection pool.
    Link,
    /// The heartbeat state of one connection.
    Heartbeat,
    /// The tasks that wait for proof that a connection is alive.
    ProbeWaiters,
    /// One request on a caller's connection.
    Exchange,
    /// The connections to and from other instances.
    Peers,
    /// The timers of queries.
    Timer,
    /// The refused changes not yet written to the audit trail.
    RefusedChanges,
    /// The rate limit for calls to the platform.
    PlatformCalls,
    /// The idle connections to the platform.
    PlatformConnections,
    /// The rate limit for log lines about requests.
    Log,
}

thread_local! {
    static HELD_RANKS: RefCell<Vec<Rank>> = const { RefCell::new(Vec::new()) };
}

/// A table behind a lock of a fixed rank.
pub(crate) struct Ranked<T> {
    rank: Rank,
    inner: Mutex<T>,
}

impl<T> Ranked<T> {
    pub(crate) fn new(rank: Rank, value: T) -> Self {
        Self {
            rank,
            inner: Mutex::new(value),
        }
    }

    /// Takes the lock.
    ///
    /// # Panics
    /// In debug builds, when the thread holds a lock of the same or a higher rank.
    pub(crate) fn lock(&self) -> RankedGuard<'_, T> {
        if cfg!(debug_assertions) {
            HELD_RANKS.with_borrow_mut(|held| {
                if let Some(highest) = held.iter().max() {
                    assert!(
                        *highest < self.rank,
                        "{:?} taken while {highest:?} is held",
                        self.rank
                    );
                }
                held.push(self.rank);
            });
        }
        RankedGuard {
            rank: self.rank,
            inner: self.inner.lock(),
        }
    }
}

impl<T> fmt::Debug for Ranked<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Ranked")
            .field("rank", &self.rank)
            .finish_non_exhaustive()
    }
}

/// A held lock; dropping the guard releases it.
pub(crate) struct RankedGuard<'a, T> {
    rank: Rank,
    inner: MutexGuard<'a, T>,
}

impl<T> RankedGuard<'_, T> {
    /// Releases the lock until `changed` is notified, then takes it again.
    pub(crate) fn wait(&mut self, changed: &Condvar) {
        changed.wait(&mut self.inner);
    }

    /// Like [`RankedGuard::wait`], but waits until `until` at most.
    pub(crate) fn wait_until(&mut self, changed: &Condvar, until: Instant) {
        changed.wait_until(&mut self.inner, until);
    }
}

impl<T> Deref for RankedGuard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.inner
    }
}

impl<T> DerefMut for RankedGuard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.inner
    }
}

impl<T> Drop for RankedGuard<'_, T> {
    fn drop(&mut self) {
        if cfg!(debug_assertions) {
            HELD_RANKS.with_borrow_mut(|held| {
                if let Some(at) = held.iter().rposition(|rank| *rank == self.rank) {
                    held.remove(at);
                }
            });
        }
    }
}
