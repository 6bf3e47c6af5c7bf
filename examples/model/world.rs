//! The model's clock, links and events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use hyssopwalk::{
    Action, Class, Event, LegFailure, LegId, LegReply, LegRequest, Snapshot, Span, Timestamp,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::policy::{Instance, Policy, Running};
use super::replica::{LegKey, Replica};
use super::report::Report;
use super::system::{Fault, System};

const INSTANCES: u32 = 6;
const USED_SLOTS: f64 = 0.4;
const WITHIN_PLACE: Span = Span(200);
const JITTER: f64 = 0.2;
const RETRANSMIT: Span = Span::from_millis(200);
const LOSS: f64 = 0.000_2;
const LOSS_OF_LOSSY_LINK: f64 = 0.02;
const STRAGGLER_FACTOR: f64 = 10.0;
const WARM_UP_PARTS: usize = 10;

#[derive(Debug)]
enum Happening {
    Ask,
    Tell(usize, Event),
    Arrive(usize, LegKey),
    Done(usize, LegKey),
    Cancel(usize, LegKey),
}

#[derive(Debug)]
struct Asked {
    instance: usize,
    begun: Timestamp,
    running: Option<Running>,
    legs: Vec<LegRequest>,
}

struct World<'a> {
    system: &'a System,
    fault: Fault,
    policy: Policy,
    class: Arc<Class>,
    snapshot: Arc<Snapshot>,
    now: Timestamp,
    queue: BinaryHeap<Reverse<(Timestamp, usize)>>,
    happenings: Vec<Option<Happening>>,
    instances: Vec<Instance>,
    replicas: Vec<Replica>,
    asked: Vec<Asked>,
    report: Report,
    warm_up: usize,
    rng: SmallRng,
}

/// Runs one row of the table.
pub(crate) fn run(
    system: &System,
    fault: Fault,
    policy: Policy,
    seed: u64,
    queries: usize,
) -> Report {
    let mut world = World::new(system, fault, policy, seed, queries / WARM_UP_PARTS);
    let mut at = Timestamp::default();
    let every = mean_gap(system, fault);
    for _ in 0..queries {
        let gap = -every * world.rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln();
        at = at + Span(gap as u64);
        world.schedule(at, Happening::Ask);
    }
    while let Some(Reverse((at, number))) = world.queue.pop() {
        world.now = at;
        if let Some(happening) = world.happenings[number].take() {
            world.happen(happening);
        }
    }
    let legs: Vec<u64> = world.replicas.iter().map(|replica| replica.legs).collect();
    world
        .report
        .note_legs(legs.into_iter(), u64::from(system.replicas));
    world.report
}

/// The mean time between queries that keeps the stated part of all slots in use.
fn mean_gap(system: &System, fault: Fault) -> f64 {
    let mean_service = system.service.0 as f64 * (system.service_sigma.powi(2) / 2.0).exp();
    let slots = f64::from(system.slots * system.replicas);
    let load = USED_SLOTS * fault.load();
    mean_service / (slots * load)
}

impl<'a> World<'a> {
    fn new(system: &'a System, fault: Fault, policy: Policy, seed: u64, warm_up: usize) -> Self {
        let snapshot = system.snapshot();
        let place = |name: &str| system.places.iter().position(|place| *place == name);
        let mut replicas: Vec<Replica> = snapshot
            .shards
            .iter()
            .flat_map(|shard| &shard.replicas)
            .map(|spec| {
                let at = place(spec.failure_domain.as_str()).expect("a known place");
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
            happenings: Vec::new(),
            instances,
            replicas,
            asked: Vec::new(),
            report: Report::new(system.name, fault.name(), policy.name(), shards),
            warm_up,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn schedule(&mut self, at: Timestamp, happening: Happening) {
        self.queue.push(Reverse((at, self.happenings.len())));
        self.happenings.push(Some(happening));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Ask => self.ask(),
            Happening::Tell(query, event) => self.tell(query, event),
            Happening::Arrive(replica, leg) => self.arrive(replica, leg),
            Happening::Done(replica, leg) => self.done(replica, leg),
            Happening::Cancel(replica, leg) => {
                self.replicas[replica].cancel(leg);
                self.start(replica);
            }
        }
    }

    fn ask(&mut self) {
        let number = self.asked.len();
        if number == self.warm_up {
            self.replicas
                .iter_mut()
                .for_each(|replica| replica.legs = 0);
        }
        let instance = number % self.instances.len();
        let to_callers = self.system.to_callers;
        let deadline = self.now + self.system.latency - Span(2 * to_callers.0);
        let (running, actions) = self.instances[instance].begin(
            self.policy,
            number,
            &self.class,
            &self.snapshot,
            self.now,
            deadline,
        );
        self.asked.push(Asked {
            instance,
            begun: self.now,
            running: Some(running),
            legs: Vec::new(),
        });
        self.perform(number, actions);
    }

    fn tell(&mut self, query: usize, event: Event) {
        let Some(mut running) = self.asked[query].running.take() else {
            return;
        };
        let instance = self.asked[query].instance;
        let actions = self.instances[instance].on_event(&mut running, self.now, event);
        let finished = actions
            .iter()
            .any(|action| matches!(action, Action::Finish(_)));
        if !finished {
            self.asked[query].running = Some(running);
        }
        self.perform(query, actions);
        if finished {
            self.asked[query].legs = Vec::new();
        }
    }

    fn perform(&mut self, query: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(leg) => self.send(query, leg),
                Action::Cancel(leg) => self.cancel(query, leg),
                Action::WakeAt(at) => {
                    let at = at.max(self.now);
                    self.schedule(at, Happening::Tell(query, Event::Wake));
                }
                Action::Finish(outcome) => {
                    let inside = self.now.since(self.asked[query].begun);
                    let took = Span(inside.0 + 2 * self.system.to_callers.0);
                    if query >= self.warm_up {
                        self.report.note(&outcome, took, self.system.latency);
                    }
                }
            }
        }
    }

    fn send(&mut self, query: usize, leg: LegRequest) {
        let replica = replica_of(&leg);
        let at = self.now + self.delay(query, replica);
        let key = (query, leg.leg);
        self.asked[query].legs.push(leg);
        self.schedule(at, Happening::Arrive(replica, key));
    }

    fn cancel(&mut self, query: usize, leg: LegId) {
        let Some(sent) = self.asked[query].legs.iter().find(|sent| sent.leg == leg) else {
            return;
        };
        let replica = replica_of(sent);
        let at = self.now + self.delay(query, replica);
        self.schedule(at, Happening::Cancel(replica, (query, leg)));
    }

    fn arrive(&mut self, replica: usize, leg: LegKey) {
        if self.replicas[replica].lost {
            let at = self.now + self.delay(leg.0, replica);
            let event = Event::Failure(leg.1, LegFailure::Unreachable);
            self.schedule(at, Happening::Tell(leg.0, event));
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
            self.schedule(started.done_at, Happening::Done(replica, started.leg));
        }
    }

    fn done(&mut self, replica: usize, leg: LegKey) {
        if !self.replicas[replica].finish(leg) {
            return;
        }
        self.start(replica);
        let sent = self.asked[leg.0].legs.iter().find(|sent| sent.leg == leg.1);
        let Some(sent) = sent else {
            return;
        };
        let reply = LegReply {
            query: sent.query,
            leg: sent.leg,
            snapshot: sent.snapshot,
            range: sent.range,
            head: None,
            body: Vec::new(),
        };
        let at = self.now + self.delay(leg.0, replica);
        self.schedule(at, Happening::Tell(leg.0, Event::Reply(leg.1, reply)));
    }

    /// One way between a query's instance and a replica, with jitter and losses.
    fn delay(&mut self, query: usize, replica: usize) -> Span {
        let from = self.instances[self.asked[query].instance].place;
        let to = self.replicas[replica].place;
        let base = if from == to {
            WITHIN_PLACE
        } else {
            self.system.between_places
        };
        let lossy = self.fault.lossy_link() && from.min(to) == 0 && from.max(to) == 1;
        let loss = if lossy { LOSS_OF_LOSSY_LINK } else { LOSS };
        let jitter = 1.0 + self.rng.random_range(0.0..JITTER);
        let delay = Span((base.0 as f64 * jitter) as u64);
        if self.rng.random_bool(loss) {
            Span(delay.0 + RETRANSMIT.0)
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
