//! What a query ends with: an answer, or a refusal that says truly whether it ran.

use std::sync::Arc;

use super::restart::{Previous, keys};
use super::{Answer, Context, Query};
use crate::error::{ErrorKind, Refusal};
use crate::types::Coverage;

impl Query {
    /// The answer of whichever snapshot covers more keys, or why there is none.
    pub(super) fn outcome(&mut self, cx: &mut Context<'_>) -> Result<Answer, Refusal> {
        if self.replied == self.shards.len() {
            cx.upstreams.note_held(&self.snapshot);
        }
        let parts = self.take_parts();
        let snapshot = Arc::clone(&self.snapshot);
        let mut best = Previous { snapshot, parts };
        if let Some(previous) = self.previous.take()
            && keys(&previous.parts) > keys(&best.parts)
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

    /// Whether any leg was sent that is not known to have been refused.
    pub(super) fn may_have_run(&self) -> bool {
        self.legs.len() > self.not_run
    }

    fn refusal(&self, cx: &Context<'_>) -> Refusal {
        if !self.may_have_run() {
            return self.refusal_not_run(cx);
        }
        let took = cx.now.since(self.started);
        if self.crashes.condemned() {
            let detail = "upstreams crashed while they ran the request";
            return Refusal::new(ErrorKind::Crashed, detail);
        }
        if self.open_legs > 0 || cx.now >= self.deadline {
            let detail = format!("no shard replied in {took}");
            return Refusal::new(ErrorKind::OutOfTime, detail);
        }
        let detail = "every upstream that was tried failed";
        Refusal::new(ErrorKind::UpstreamFailed, detail)
    }

    fn refusal_not_run(&self, cx: &Context<'_>) -> Refusal {
        if self.snapshot_lost {
            let detail = format!("no upstream holds snapshot {}", self.snapshot.id);
            return Refusal::new(ErrorKind::NoSnapshot, detail);
        }
        let mut shards = self.snapshot.shards.iter();
        if shards.all(|shard| shard.replicas.is_empty()) {
            return Refusal::new(ErrorKind::NoUpstream, "no replica is listed");
        }
        if self.legs.is_empty() {
            let took = cx.now.since(self.started);
            let detail = format!("no upstream had room in {took}");
            return Refusal::new(ErrorKind::Overloaded, detail);
        }
        Refusal::new(ErrorKind::NoUpstream, "no upstream accepted the request")
    }
}
