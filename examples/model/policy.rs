//! The compared policies behind a common interface.

use std::sync::Arc;

use hyssopwalk::{
    Action, Admission, AdmissionRequest, ByteCount, CallerName, Class, Event, Query, QueryEnd,
    QueryId, Refusal, Snapshot, Span, Ticket, Timestamp,
};

use super::baseline::Baseline;
use super::tables::Tables;

/// The policy for sending legs.
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

/// The state of one modelled instance.
#[derive(Debug)]
pub(crate) struct Instance {
    /// Index of its failure domain.
    pub(crate) domain: usize,
    caller: CallerName,
    admission: Admission,
    tables: Tables,
}

/// A query in flight, by policy.
#[derive(Debug)]
pub(crate) enum RunningQuery {
    Baseline(Baseline),
    Real(Box<Query>, Option<Ticket>),
    Refused,
}

impl Instance {
    pub(crate) fn new(domain: usize, live_instances: u32, seed: u64) -> Self {
        let mut tables = Tables::new(seed);
        tables.limits.set_live(Timestamp::default(), live_instances);
        Self {
            domain,
            caller: "modelled".parse().expect("a valid name"),
            admission: Admission::default(),
            tables,
        }
    }

    pub(crate) fn start_query(
        &mut self,
        policy: Policy,
        number: usize,
        class: &Arc<Class>,
        snapshot: &Arc<Snapshot>,
        now: Timestamp,
        deadline: Timestamp,
    ) -> (RunningQuery, Vec<Action>) {
        let id = QueryId(number as u128);
        let snapshot = Arc::clone(snapshot);
        if policy == Policy::Hyssopwalk {
            let ticket = match self.admit(class, now) {
                Ok(ticket) => Some(ticket),
                Err(refusal) => return (RunningQuery::Refused, vec![Action::Finish(Err(refusal))]),
            };
            let body = Arc::from(number.to_le_bytes().as_slice());
            let query = Query::new(id, Arc::clone(class), snapshot, body, now, deadline);
            let mut running = RunningQuery::Real(Box::new(query), ticket);
            let actions = self.step(&mut running, now, None);
            return (running, actions);
        }
        let mut query = Baseline::new(id, snapshot, now, deadline, policy.hedge_after());
        let actions = query.start(now, &mut self.tables.rng);
        (RunningQuery::Baseline(query), actions)
    }

    pub(crate) fn on_event(
        &mut self,
        running: &mut RunningQuery,
        now: Timestamp,
        event: Event,
    ) -> Vec<Action> {
        match running {
            RunningQuery::Real(..) => self.step(running, now, Some(event)),
            RunningQuery::Baseline(query) => query.on_event(now, &event, &mut self.tables.rng),
            RunningQuery::Refused => Vec::new(),
        }
    }

    fn admit(&mut self, class: &Class, now: Timestamp) -> Result<Ticket, Refusal> {
        let admission_request = AdmissionRequest {
            class,
            caller: &self.caller,
            bytes: ByteCount(8),
        };
        self.admission.admit(now, admission_request)
    }

    /// Advances a query and releases its admission ticket when it is finished.
    fn step(
        &mut self,
        running: &mut RunningQuery,
        now: Timestamp,
        event: Option<Event>,
    ) -> Vec<Action> {
        let RunningQuery::Real(query, ticket) = running else {
            return Vec::new();
        };
        let mut cx = self.tables.context(now);
        let actions = match event {
            Some(event) => query.on_event(&mut cx, event),
            None => query.start(&mut cx),
        };
        let finished = actions.iter().find_map(|action| match action {
            Action::Finish(outcome) => Some(QueryEnd::from(outcome)),
            _ => None,
        });
        if let Some((end, ticket)) = finished.zip(ticket.take_if(|_| query.is_finished())) {
            self.admission.end(now, ticket, end);
        }
        actions
    }
}
