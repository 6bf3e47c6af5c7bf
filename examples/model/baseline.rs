//! The baseline policies: a random replica per shard, an untried one after a failure, and either no
//! hedge or a hedge after a fixed delay, without a budget.

use std::sync::Arc;

use hyssopwalk::{
    Action, Answer, Body, Coverage, Event, LegId, LegRequest, Part, QueryId, Snapshot, Span,
    Timestamp, UpstreamName,
};
use rand::Rng;
use rand::rngs::SmallRng;

/// One query under a baseline policy.
#[derive(Debug)]
pub(crate) struct Baseline {
    id: QueryId,
    snapshot: Arc<Snapshot>,
    started: Timestamp,
    deadline: Timestamp,
    hedge_after: Option<Span>,
    legs: Vec<BaselineLeg>,
    /// Whether each shard has replied.
    parts: Vec<bool>,
    finished: bool,
}

#[derive(Debug)]
struct BaselineLeg {
    shard_index: usize,
    upstream: UpstreamName,
    in_flight: bool,
}

impl Baseline {
    pub(crate) fn new(
        id: QueryId,
        snapshot: Arc<Snapshot>,
        started: Timestamp,
        deadline: Timestamp,
        hedge_after: Option<Span>,
    ) -> Self {
        let parts = vec![false; snapshot.shards.len()];
        Self {
            id,
            snapshot,
            started,
            deadline,
            hedge_after,
            legs: Vec::new(),
            parts,
            finished: false,
        }
    }

    pub(crate) fn start(&mut self, now: Timestamp, rng: &mut SmallRng) -> Vec<Action> {
        let mut actions = vec![Action::WakeAt(self.deadline)];
        actions.extend(self.hedge_after.map(|after| Action::WakeAt(now + after)));
        for shard_index in 0..self.parts.len() {
            self.send(now, shard_index, rng, &mut actions);
        }
        actions
    }

    pub(crate) fn on_event(
        &mut self,
        now: Timestamp,
        event: &Event,
        rng: &mut SmallRng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        match event {
            Event::Reply(leg, _) => self.on_reply(*leg, &mut actions),
            Event::Failure(leg, _) => {
                let shard_index = self.legs[leg.0 as usize].shard_index;
                self.legs[leg.0 as usize].in_flight = false;
                self.send(now, shard_index, rng, &mut actions);
            }
            Event::Wake if now < self.deadline => self.hedge(now, rng, &mut actions),
            _ => {}
        }
        if self.parts.iter().all(|part| *part) || now >= self.deadline {
            self.finish(now, &mut actions);
        }
        actions
    }

    fn on_reply(&mut self, leg: LegId, actions: &mut Vec<Action>) {
        let shard_index = self.legs[leg.0 as usize].shard_index;
        self.legs[leg.0 as usize].in_flight = false;
        self.parts[shard_index] = true;
        self.cancel(Some(shard_index), actions);
    }

    fn hedge(&mut self, now: Timestamp, rng: &mut SmallRng, actions: &mut Vec<Action>) {
        for shard_index in 0..self.parts.len() {
            if !self.parts[shard_index] {
                self.send(now, shard_index, rng, actions);
            }
        }
    }

    fn send(
        &mut self,
        now: Timestamp,
        shard_index: usize,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        let shard = &self.snapshot.shards[shard_index];
        let tried: Vec<_> = self
            .legs
            .iter()
            .filter(|leg| leg.shard_index == shard_index)
            .collect();
        let untried: Vec<_> = shard
            .replicas
            .iter()
            .filter(|spec| !tried.iter().any(|leg| leg.upstream == spec.name))
            .collect();
        if untried.is_empty() {
            return;
        }
        let upstream = Arc::clone(untried[rng.random_range(0..untried.len())]);
        let leg = LegId(u32::try_from(self.legs.len()).expect("few legs"));
        self.legs.push(BaselineLeg {
            shard_index,
            upstream: upstream.name.clone(),
            in_flight: true,
        });
        actions.push(Action::Send(LegRequest {
            query: self.id,
            leg,
            upstream,
            snapshot: self.snapshot.id,
            shard: shard.id,
            range: shard.range,
            repeatable: true,
            extra: None,
            time_left: self.deadline.since(now),
            body: Arc::from(&b""[..]),
        }));
    }

    fn cancel(&mut self, shard_index: Option<usize>, actions: &mut Vec<Action>) {
        for (id, leg) in (0..).zip(&mut self.legs) {
            if leg.in_flight && shard_index.is_none_or(|shard_index| shard_index == leg.shard_index)
            {
                leg.in_flight = false;
                actions.push(Action::Cancel(LegId(id)));
            }
        }
    }

    fn finish(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.finished = true;
        self.cancel(None, actions);
        let replied = self
            .snapshot
            .shards
            .iter()
            .zip(&self.parts)
            .filter(|(_, part)| **part);
        let parts: Vec<Part> = replied
            .map(|(shard, _)| Part {
                shard: shard.id,
                range: shard.range,
                head: None,
                body: Body::default(),
            })
            .collect();
        let coverage: Coverage = parts.iter().map(|part| part.range).collect();
        actions.push(Action::Finish(Ok(Answer {
            query: self.id,
            snapshot: self.snapshot.id,
            meets_target: coverage.is_complete(),
            coverage,
            parts,
            legs: u32::try_from(self.legs.len()).expect("few legs"),
            took: now.since(self.started),
        })));
    }
}
