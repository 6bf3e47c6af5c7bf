//! The tables that workers share, each behind a ranked lock.

use std::sync::Arc;

use async_std::channel::Sender;
use futures::future::AbortHandle;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{Admission, ClassBudgets, Limits, Rank, Ranked, Suspects, Upstreams};
use crate::error::Refusal;
use crate::request::{Answer, Query};
use crate::types::{LegId, QueryId, UpstreamName};
use crate::version::Directory;

/// All tables that workers share.
#[derive(Debug)]
pub(crate) struct Tables {
    pub(crate) directory: Ranked<Arc<Directory>>,
    pub(crate) admission: Ranked<Admission>,
    pub(crate) queries: Ranked<IndexMap<QueryId, Arc<Entry>>>,
    pub(crate) budgets: Ranked<ClassBudgets>,
    pub(crate) suspects: Ranked<Suspects>,
    pub(crate) limits: Ranked<Limits>,
    pub(crate) upstreams: Ranked<Upstreams>,
    pub(crate) rng: Ranked<SmallRng>,
}

/// One query in flight.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) state: Ranked<EntryState>,
}

/// A query, with the handles to abort its legs and to answer its caller.
#[derive(Debug)]
pub(crate) struct EntryState {
    pub(crate) query: Query,
    pub(crate) legs: IndexMap<LegId, LegTask>,
    pub(crate) reply: Sender<Result<Answer, Refusal>>,
    pub(crate) caller_gone: bool,
}

/// A running leg and the handle that aborts it.
#[derive(Debug)]
pub(crate) struct LegTask {
    pub(crate) upstream: UpstreamName,
    pub(crate) abort: AbortHandle,
}

impl Tables {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            directory: Ranked::new(Rank::Directory, Arc::default()),
            admission: Ranked::new(Rank::Admission, Admission::default()),
            queries: Ranked::new(Rank::Queries, IndexMap::new()),
            budgets: Ranked::new(Rank::ClassBudgets, ClassBudgets::default()),
            suspects: Ranked::new(Rank::Suspects, Suspects::default()),
            limits: Ranked::new(Rank::Limits, Limits::default()),
            upstreams: Ranked::new(Rank::Upstreams, Upstreams::default()),
            rng: Ranked::new(Rank::Random, SmallRng::seed_from_u64(seed)),
        }
    }

    /// The current directory; later changes do not affect the returned one.
    pub(crate) fn directory(&self) -> Arc<Directory> {
        Arc::clone(&self.directory.lock())
    }

    pub(crate) fn insert(&self, id: QueryId, state: EntryState) {
        let entry = Entry {
            state: Ranked::new(Rank::Query, state),
        };
        self.queries.lock().insert(id, Arc::new(entry));
    }

    pub(crate) fn entry(&self, id: QueryId) -> Option<Arc<Entry>> {
        self.queries.lock().get(&id).cloned()
    }

    pub(crate) fn remove(&self, id: QueryId) {
        self.queries.lock().swap_remove(&id);
    }
}
