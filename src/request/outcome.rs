//! The outcome of a query: an answer, or a refusal that states correctly whether the query
//! may have run.

use std::sync::Arc;

use super::restart::{PreviousParts, covered_keys};
use super::{Answer, Context, Query};
use crate::error::{ErrorKind, Refusal};
use crate::types::Coverage;

impl Query {
    /// Returns the answer from the snapshot whose parts cover the most keys, or the reason
    /// why there is no answer.
    pub(super) fn outcome(&mut self, cx: &mut Context<'_>) -> Result<Answer, Refusal> {
        if self.replied == self.shards.len() {
            cx.upstreams.note_snapshot_available(&self.snapshot);
        }
        let parts = self.take_parts();
        let snapshot = Arc::clone(&self.snapshot);
        let mut best = PreviousParts { snapshot, parts };
        if let Some(previous) = self.previous.take()
            && covered_keys(&previous.parts) > covered_keys(&best.parts)
        {
            best = previous;
        }
        if best.parts.is_empty() {
            best.parts.extend(self.failure.take());
        }
        if best.parts.is_empty() {
            return Err(self.refusal(cx));
        }
        let coverage: Coverage = best.parts.iter().map(|part| part.range).collect();
        Ok(Answer {
            query: self.id,
            snapshot: best.snapshot.id,
            meets_target: coverage.ratio() >= self.class.targets.coverage,
            coverage,
            parts: best.parts,
            legs: u32::try_from(self.legs.len()).unwrap_or(u32::MAX),
            took: cx.now.since(self.started),
        })
    }

    /// Whether the query sent a leg that is not known to have ended without running.
    pub(super) fn may_have_run(&self) -> bool {
        self.legs.len() > self.not_run
    }

    fn refusal(&self, cx: &Context<'_>) -> Refusal {
        if !self.may_have_run() {
            return self.refusal_not_run(cx);
        }
        let took = cx.now.since(self.started);
        if self.crashes.is_poison() {
            let detail = "upstreams crashed while running the request";
            return Refusal::new(ErrorKind::Crashed, detail);
        }
        if self.open_legs > 0 || cx.now >= self.deadline {
            let detail = format!("no shard replied within {took}");
            return Refusal::new(ErrorKind::OutOfTime, detail);
        }
        let detail = "every upstream that received the request failed";
        Refusal::new(ErrorKind::UpstreamFailed, detail)
    }

    fn refusal_not_run(&self, cx: &Context<'_>) -> Refusal {
        if self.snapshot_unavailable {
            let detail = format!("no upstream holds snapshot {}", self.snapshot.id);
            return Refusal::new(ErrorKind::NoSnapshot, detail);
        }
        let mut shards = self.snapshot.shards.iter();
        if shards.all(|shard| shard.replicas.is_empty()) {
            return Refusal::new(ErrorKind::NoUpstream, "no shard has a listed replica");
        }
        if self.legs.is_empty() {
            let took = cx.now.since(self.started);
            let detail = format!("no upstream had a free slot within {took}");
            return Refusal::new(ErrorKind::Overloaded, detail);
        }
        Refusal::new(ErrorKind::NoUpstream, "no upstream accepted the request")
    }
}
