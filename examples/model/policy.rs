//! The policies that are compared, behind one pair of calls.

use std::sync::Arc;

use hyssopwalk::{
    Action, Budgets, Class, Context, Event, Limits, Query, QueryId, Snapshot, Span, Suspects,
    Timestamp, Upstreams,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::baseline::Baseline;

/// How legs are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    NoHedge,
    FixedHedge,
    Hyssopwalk,
}

impl Policy {
    pub(crate) const ALL: [Self; 3] = [Self::NoHedge, Self::FixedHedge, Self::Hyssopwalk];
    const FIXED_HEDGE: Span = Span::from_millis(50);

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NoHedge => "no hedge",
            Self::FixedHedge => "hedge at 50 ms",
            Self::Hyssopwalk => "hyssopwalk",
        }
    }

    fn hedge_after(self) -> Option<Span> {
        match self {
            Self::FixedHedge => Some(Self::FIXED_HEDGE),
            Self::NoHedge | Self::Hyssopwalk => None,
        }
    }
}

/// One instance's tables.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) place: usize,
    budgets: Budgets,
    suspects: Suspects,
    limits: Limits,
    upstreams: Upstreams,
    rng: SmallRng,
}

/// A query under way in the model.
#[derive(Debug)]
pub(crate) enum Running {
    Baseline(Baseline),
    Real(Query),
}

impl Instance {
    pub(crate) fn new(place: usize, live: u32, seed: u64) -> Self {
        let mut limits = Limits::default();
        limits.set_live(Timestamp::default(), live);
        Self {
            place,
            budgets: Budgets::default(),
            suspects: Suspects::default(),
            limits,
            upstreams: Upstreams::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn begin(
        &mut self,
        policy: Policy,
        number: usize,
        class: &Arc<Class>,
        snapshot: &Arc<Snapshot>,
        now: Timestamp,
        deadline: Timestamp,
    ) -> (Running, Vec<Action>) {
        let id = QueryId(number as u128);
        let snapshot = Arc::clone(snapshot);
        if policy == Policy::Hyssopwalk {
            let body = Arc::from(number.to_le_bytes().as_slice());
            let mut query = Query::new(id, Arc::clone(class), snapshot, body, now, deadline);
            let actions = query.start(&mut self.context(now));
            return (Running::Real(query), actions);
        }
        let mut query = Baseline::new(id, snapshot, now, deadline, policy.hedge_after());
        let actions = query.start(now, &mut self.rng);
        (Running::Baseline(query), actions)
    }

    pub(crate) fn on_event(
        &mut self,
        running: &mut Running,
        now: Timestamp,
        event: Event,
    ) -> Vec<Action> {
        match running {
            Running::Real(query) => query.on_event(&mut self.context(now), event),
            Running::Baseline(query) => query.on_event(now, &event, &mut self.rng),
        }
    }

    fn context(&mut self, now: Timestamp) -> Context<'_> {
        Context {
            now,
            newest: None,
            budgets: &mut self.budgets,
            suspects: &mut self.suspects,
            limits: &mut self.limits,
            upstreams: &mut self.upstreams,
            rng: &mut self.rng,
        }
    }
}
