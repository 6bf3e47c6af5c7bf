//! Locks with a stated order.
//!
//! Every shared table is a [`Ranked`] lock. A thread may only take a lock of a higher
//! rank than those it holds; debug builds check that at each call, so a test that
//! breaks the order fails at once. The order is in `docs/DESIGN.md`, "Lock order".

use std::cell::RefCell;
use std::fmt;
use std::ops::{Deref, DerefMut};
use std::time::Instant;

use parking_lot::{Condvar, Mutex, MutexGuard};

/// The place of a table in the lock order; locks are taken from first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    /// How far a planned stop has come.
    Shutdown,
    /// The directory of classes and indexes.
    Directory,
    /// Who has queries under way.
    Admission,
    /// The instances, their cells, and what peers are told.
    Members,
    /// The addresses of the settings at which others may be asked.
    Seeds,
    /// The instances as a follower knows them.
    Fleet,
    /// How many instances the limits are divided among.
    Share,
    /// The replicas that instances found silent.
    Silence,
    /// The instances that the platform's objects come through.
    Via,
    /// The platform's objects.
    Book,
    /// The replicas that the platform lists.
    Roster,
    /// The configuration joined with the replicas.
    Catalog,
    /// The longest time that callers gave each route.
    Longest,
    /// Who waits for something to be learned.
    Waiting,
    /// The queries under way, by id.
    Queries,
    /// One query.
    Query,
    /// The extra load that classes may still cause.
    Budgets,
    /// The requests that crashed upstreams.
    Suspects,
    /// The shares of upstreams' slots.
    Limits,
    /// The upstreams as observed.
    Upstreams,
    /// The source of randomness.
    Random,
    /// The orders that wait for their page to be written.
    Lanes,
    /// The writes that the ledger of orders may make.
    Tokens,
    /// The connections to upstreams.
    Links,
    /// One connection.
    Link,
    /// What a connection's heartbeat heard.
    Heartbeat,
    /// Who waits for a connection's proof.
    Proofs,
    /// One request on a caller's connection.
    Exchange,
    /// The connections to other instances.
    Peers,
    /// The times at which queries are to be woken.
    Timer,
    /// The refused changes that are not yet written.
    RefusedChanges,
    /// The calls that may still be made to the platform now.
    PlatformCalls,
    /// The connections to the platform that are kept.
    PlatformConnections,
    /// The lines that may still be written about requests.
    Log,
}

thread_local! {
    static HELD: RefCell<Vec<Rank>> = const { RefCell::new(Vec::new()) };
}

/// A table behind a lock of a stated rank.
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
            HELD.with_borrow_mut(|held| {
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

/// A lock that is held; it is given back when this is dropped.
pub(crate) struct RankedGuard<'a, T> {
    rank: Rank,
    inner: MutexGuard<'a, T>,
}

impl<T> RankedGuard<'_, T> {
    /// Gives the lock back until `changed` is notified, then holds it again.
    pub(crate) fn wait(&mut self, changed: &Condvar) {
        changed.wait(&mut self.inner);
    }

    /// Like [`RankedGuard::wait`], but not beyond `until`.
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
            HELD.with_borrow_mut(|held| {
                if let Some(at) = held.iter().rposition(|rank| *rank == self.rank) {
                    held.remove(at);
                }
            });
        }
    }
}
