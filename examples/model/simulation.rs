//! The model's event queue, clock and network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use hyssopwalk::{
    Action, Body, Class, Event, LegFailure, LegId, LegReply, LegRequest, Snapshot, Span, Timestamp,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::policy::{Instance, Policy, RunningQuery};
use super::replica::{LegKey, Replica};
use super::report::Report;
use super::system::{Fault, System};

const INSTANCES: u32 = 6;
/// Share of all slots that normal load keeps busy.
const SLOT_UTILISATION: f64 = 0.4;
/// One-way delay within a failure domain.
const SAME_DOMAIN_DELAY: Span = Span(200);
const MAX_JITTER_RATIO: f64 = 0.2;
/// Added to the delay of a lost message.
const RETRANSMIT_DELAY: Span = Span::from_millis(200);
const LOSS_RATE: f64 = 0.000_2;
const LOSSY_LINK_LOSS_RATE: f64 = 0.02;
const STRAGGLER_FACTOR: f64 = 10.0;
/// The first `1 / WARM_UP_DIVISOR` of the queries is not measured.
const WARM_UP_DIVISOR: usize = 10;

/// A scheduled event; queries and replicas are identified by index.
#[derive(Debug)]
enum ModelEvent {
    QueryArrives,
    /// Delivers an event to a query.
    Deliver(usize, Event),
    LegArrives(usize, LegKey),
    LegDone(usize, LegKey),
    CancelArrives(usize, LegKey),
}

/// A query and the legs that it sent.
#[derive(Debug)]
struct ModelledQuery {
    instance: usize,
    started: Timestamp,
    running: Option<RunningQuery>,
    legs: Vec<LegRequest>,
}

struct Simulation<'a> {
    system: &'a System,
    fault: Fault,
    policy: Policy,
    class: Arc<Class>,
    snapshot: Arc<Snapshot>,
    now: Timestamp,
    queue: BinaryHeap<Reverse<(Timestamp, usize)>>,
    events: Vec<Option<ModelEvent>>,
    instances: Vec<Instance>,
    replicas: Vec<Replica>,
    queries: Vec<ModelledQuery>,
    report: Report,
    warm_up: usize,
    rng: SmallRng,
}

/// Runs the model for one row of the table.
pub(crate) fn run(
    system: &System,
    fault: Fault,
    policy: Policy,
    seed: u64,
    queries: usize,
) -> Report {
    let mut sim = Simulation::new(system, fault, policy, seed, queries / WARM_UP_DIVISOR);
    let mut at = Timestamp::default();
    let mean = mean_interarrival_us(system, fault);
    for _ in 0..queries {
        let gap = -mean * sim.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln();
        at = at + Span(gap as u64);
        sim.schedule(at, ModelEvent::QueryArrives);
    }
    while let Some(Reverse((at, number))) = sim.queue.pop() {
        sim.now = at;
        if let Some(model_event) = sim.events[number].take() {
            sim.handle(model_event);
        }
    }
    let legs: Vec<u64> = sim.replicas.iter().map(|replica| replica.legs).collect();
    sim.report
        .record_legs(legs.into_iter(), u64::from(system.replicas));
    sim.report
}

/// Returns the mean time between queries, in microseconds, that gives the slot utilisation of this
/// load.
fn mean_interarrival_us(system: &System, fault: Fault) -> f64 {
    let mean_service = system.service.0 as f64 * (system.service_sigma.powi(2) / 2.0).exp();
    let slots = f64::from(system.slots * system.replicas);
    let load = SLOT_UTILISATION * fault.load();
    mean_service / (slots * load)
}

impl<'a> Simulation<'a> {
    fn new(system: &'a System, fault: Fault, policy: Policy, seed: u64, warm_up: usize) -> Self {
        let snapshot = system.snapshot();
        let domain = |name: &str| {
            system
                .failure_domains
                .iter()
                .position(|domain| *domain == name)
        };
        let mut replicas: Vec<Replica> = snapshot
            .shards
            .iter()
            .flat_map(|shard| &shard.replicas)
            .map(|spec| {
                let at = domain(spec.failure_domain.as_str()).expect("a known failure domain");
                Replica::new(at, spec.slots.0 as usize)
            })
            .collect();
        if fault.straggler() {
            replicas[0].slow_factor = STRAGGLER_FACTOR;
        }
        if fault.lost_replica() {
            let last = replicas.len() - 1;
            replicas[last].lost = true;
        }
        let instances = (0..INSTANCES)
            .map(|number| Instance::new(number as usize % 3, INSTANCES, seed + u64::from(number)))
            .collect();
        let shards = u64::from(system.shards);
        Self {
            system,
            fault,
            policy,
            class: system.class(),
            snapshot,
            now: Timestamp::default(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            instances,
            replicas,
            queries: Vec::new(),
            report: Report::new(system.name, fault.name(), policy.name(), shards),
            warm_up,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn schedule(&mut self, at: Timestamp, model_event: ModelEvent) {
        self.queue.push(Reverse((at, self.events.len())));
        self.events.push(Some(model_event));
    }

    fn handle(&mut self, model_event: ModelEvent) {
        match model_event {
            ModelEvent::QueryArrives => self.start_query(),
            ModelEvent::Deliver(query, event) => self.deliver(query, event),
            ModelEvent::LegArrives(replica, leg) => self.arrive(replica, leg),
            ModelEvent::LegDone(replica, leg) => self.done(replica, leg),
            ModelEvent::CancelArrives(replica, leg) => {
                self.replicas[replica].cancel(leg);
                self.start(replica);
            }
        }
    }

    fn start_query(&mut self) {
        let number = self.queries.len();
        if number == self.warm_up {
            self.replicas
                .iter_mut()
                .for_each(|replica| replica.legs = 0);
        }
        let instance = number % self.instances.len();
        let caller_delay = self.system.caller_delay;
        let deadline = self.now + self.system.latency - Span(2 * caller_delay.0);
        let (running, actions) = self.instances[instance].start_query(
            self.policy,
            number,
            &self.class,
            &self.snapshot,
            self.now,
            deadline,
        );
        self.queries.push(ModelledQuery {
            instance,
            started: self.now,
            running: Some(running),
            legs: Vec::new(),
        });
        self.perform(number, actions);
    }

    fn deliver(&mut self, query: usize, event: Event) {
        let Some(mut running) = self.queries[query].running.take() else {
            return;
        };
        let instance = self.queries[query].instance;
        let actions = self.instances[instance].on_event(&mut running, self.now, event);
        let finished = actions
            .iter()
            .any(|action| matches!(action, Action::Finish(_)));
        if !finished {
            self.queries[query].running = Some(running);
        }
        self.perform(query, actions);
        if finished {
            self.queries[query].legs = Vec::new();
        }
    }

    fn perform(&mut self, query: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(leg) => self.send(query, leg),
                Action::Cancel(leg) => self.cancel(query, leg),
                Action::WakeAt(at) => {
                    let at = at.max(self.now);
                    self.schedule(at, ModelEvent::Deliver(query, Event::Wake));
                }
                Action::Finish(outcome) => {
                    let processing = self.now.since(self.queries[query].started);
                    let took = Span(processing.0 + 2 * self.system.caller_delay.0);
                    if query >= self.warm_up {
                        self.report.record(&outcome, took, self.system.latency);
                    }
                }
            }
        }
    }

    fn send(&mut self, query: usize, leg: LegRequest) {
        let replica = replica_of(&leg);
        let at = self.now + self.delay(query, replica);
        let key = (query, leg.leg);
        self.queries[query].legs.push(leg);
        self.schedule(at, ModelEvent::LegArrives(replica, key));
    }

    fn cancel(&mut self, query: usize, leg: LegId) {
        let Some(sent) = self.queries[query].legs.iter().find(|sent| sent.leg == leg) else {
            return;
        };
        let replica = replica_of(sent);
        let at = self.now + self.delay(query, replica);
        self.schedule(at, ModelEvent::CancelArrives(replica, (query, leg)));
    }

    fn arrive(&mut self, replica: usize, leg: LegKey) {
        if self.replicas[replica].lost {
            let at = self.now + self.delay(leg.0, replica);
            let event = Event::Failure(leg.1, LegFailure::Unreachable);
            self.schedule(at, ModelEvent::Deliver(leg.0, event));
            return;
        }
        self.replicas[replica].arrive(leg);
        self.start(replica);
    }

    fn start(&mut self, replica: usize) {
        let (median, sigma) = (self.system.service, self.system.service_sigma);
        while let Some(started) =
            self.replicas[replica].start(self.now, &mut self.rng, median, sigma)
        {
            self.schedule(started.done_at, ModelEvent::LegDone(replica, started.leg));
        }
    }

    fn done(&mut self, replica: usize, leg: LegKey) {
        if !self.replicas[replica].finish(leg) {
            return;
        }
        self.start(replica);
        let sent = self.queries[leg.0]
            .legs
            .iter()
            .find(|sent| sent.leg == leg.1);
        let Some(sent) = sent else {
            return;
        };
        let reply = LegReply {
            query: sent.query,
            leg: sent.leg,
            snapshot: sent.snapshot,
            range: sent.range,
            head: None,
            body: Body::default(),
        };
        let at = self.now + self.delay(leg.0, replica);
        self.schedule(at, ModelEvent::Deliver(leg.0, Event::Reply(leg.1, reply)));
    }

    /// Returns a one-way delay between a query's instance and a replica, with jitter and packet loss.
    fn delay(&mut self, query: usize, replica: usize) -> Span {
        let from = self.instances[self.queries[query].instance].domain;
        let to = self.replicas[replica].domain;
        let base = if from == to {
            SAME_DOMAIN_DELAY
        } else {
            self.system.between_domains
        };
        let lossy = self.fault.lossy_link() && from.min(to) == 0 && from.max(to) == 1;
        let loss = if lossy {
            LOSSY_LINK_LOSS_RATE
        } else {
            LOSS_RATE
        };
        let jitter = 1.0 + self.rng.random_range(0.0..MAX_JITTER_RATIO);
        let delay = Span((base.0 as f64 * jitter) as u64);
        if self.rng.random_bool(loss) {
            Span(delay.0 + RETRANSMIT_DELAY.0)
        } else {
            delay
        }
    }
}

fn replica_of(leg: &LegRequest) -> usize {
    let number = leg.upstream.name.as_str().strip_prefix('u');
    number
        .and_then(|text| text.parse().ok())
        .expect("a modelled upstream")
}
