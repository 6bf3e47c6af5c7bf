//! Goodput stays flat under overload, and no class or caller starves another.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use super::admission::{Admission, AdmissionRequest, QueryEnd, Ticket};
use crate::error::ErrorKind;
use crate::types::{ByteCount, CallerName, Ratio, Span, Timestamp};
use crate::version::{Class, Targets};

const SEED: u64 = 11;
const RUN: Span = Span::from_secs(10);
const LATENCY: Span = Span::from_millis(170);
/// The number of queries that the simulated server runs at once, each for about
/// [`Source::work`].
const SERVERS: usize = 8;

fn class(name: &str) -> Class {
    Class {
        name: name.parse().unwrap(),
        index: "finder".parse().unwrap(),
        targets: Targets {
            latency: LATENCY,
            coverage: Ratio::ONE,
            extra_load: Ratio::ZERO,
            repeatable: true,
        },
    }
}

/// One class of one caller that sends queries at a fixed mean rate.
#[derive(Clone, Copy, Debug)]
struct Source {
    class: &'static str,
    caller: &'static str,
    per_second: u64,
    work: Span,
    /// How many times a refused or late request is sent again.
    retries: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    NextQuery(usize),
    Send(usize, u32),
    Done(u64),
}

struct Running {
    source: usize,
    sent_at: Timestamp,
    retries_left: u32,
    ticket: Option<Ticket>,
}

/// Returns the number of answers in time for each source, with or without admission
/// control.
fn drive(sources: &[Source], with_admission: bool) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut admission = Admission::default();
    let mut good = vec![0; sources.len()];
    let mut events = BinaryHeap::new();
    for at in 0..sources.len() {
        events.push(Reverse((Timestamp(at as u64), Event::NextQuery(at))));
    }
    let mut waiting: VecDeque<Running> = VecDeque::new();
    let mut running: Vec<(u64, Running)> = Vec::new();
    let mut next_run = 0;
    while let Some(Reverse((now, event))) = events.pop() {
        if now > Timestamp(RUN.0) {
            break;
        }
        match event {
            Event::NextQuery(at) => {
                let mean = 1_000_000 / sources[at].per_second;
                let gap = Span(rng.random_range(0..=mean * 2));
                events.push(Reverse((now + gap, Event::NextQuery(at))));
                events.push(Reverse((now, Event::Send(at, sources[at].retries))));
            }
            Event::Send(at, retries_left) => {
                let class = class(sources[at].class);
                let caller: CallerName = sources[at].caller.parse().unwrap();
                let request = AdmissionRequest {
                    class: &class,
                    caller: &caller,
                    bytes: ByteCount(2),
                };
                let ticket = with_admission.then(|| admission.admit(now, request));
                if matches!(ticket, Some(Err(_))) {
                    if retries_left > 0 {
                        let retry_at = now + Span::from_millis(10);
                        events.push(Reverse((retry_at, Event::Send(at, retries_left - 1))));
                    }
                    continue;
                }
                waiting.push_back(Running {
                    source: at,
                    sent_at: now,
                    retries_left,
                    ticket: ticket.and_then(Result::ok),
                });
            }
            Event::Done(id) => {
                let found = running.iter().position(|(run, _)| *run == id).unwrap();
                let (_, done) = running.swap_remove(found);
                let took = now.since(done.sent_at);
                let is_good = took <= LATENCY;
                good[done.source] += u64::from(is_good);
                let end = if is_good {
                    QueryEnd::Answered {
                        took,
                        meets_target: true,
                        coverage: Ratio::ONE,
                    }
                } else {
                    QueryEnd::OutOfTime
                };
                if let Some(ticket) = done.ticket {
                    admission.end(now, ticket, end);
                }
                if !is_good && done.retries_left > 0 {
                    let retry = Event::Send(done.source, done.retries_left - 1);
                    events.push(Reverse((now, retry)));
                }
            }
        }
        while running.len() < SERVERS {
            let Some(run) = waiting.pop_front() else {
                break;
            };
            let work = sources[run.source].work;
            let work = Span(rng.random_range(work.0 / 2..=work.0 * 3 / 2));
            events.push(Reverse((now + work, Event::Done(next_run))));
            running.push((next_run, run));
            next_run += 1;
        }
    }
    good
}

/// 8 servers at 20 ms per query complete 400 queries per second.
const CAPACITY: u64 = 400;

fn load(tenths: u64, retries: u32) -> [Source; 1] {
    [Source {
        class: "search",
        caller: "guild",
        per_second: CAPACITY * tenths / 10,
        work: Span::from_millis(20),
        retries,
    }]
}

struct Overload {
    tenths: u64,
    retries: u32,
}

#[rstest]
#[case::at_capacity(Overload { tenths: 10, retries: 0 })]
#[case::half_more(Overload { tenths: 15, retries: 0 })]
#[case::three_times(Overload { tenths: 30, retries: 0 })]
#[case::ten_times(Overload { tenths: 100, retries: 0 })]
#[case::half_more_with_retry_storm(Overload { tenths: 15, retries: 10 })]
#[case::three_times_with_retry_storm(Overload { tenths: 30, retries: 10 })]
fn goodput_stays_flat_under_overload(#[case] case: Overload) {
    let good = drive(&load(case.tenths, case.retries), true)[0];
    let capacity = CAPACITY * RUN.0 / 1_000_000;
    println!(
        "{}0% load, {} retries: {good} in time of {capacity}; {} without admission control",
        case.tenths,
        case.retries,
        drive(&load(case.tenths, case.retries), false)[0]
    );
    assert!(good * 10 >= capacity * 9, "{good} of {capacity}");
}

struct Fairness {
    flood: Source,
    other: Source,
}

#[rstest]
#[case::another_caller(Fairness {
    flood: Source {
        class: "search",
        caller: "flooder",
        per_second: 4_000,
        work: Span::from_millis(20),
        retries: 10,
    },
    other: Source {
        class: "search",
        caller: "family",
        per_second: 40,
        work: Span::from_millis(20),
        retries: 0,
    },
})]
#[case::another_class(Fairness {
    flood: Source {
        class: "archive",
        caller: "guild",
        per_second: 4_000,
        work: Span::from_millis(20),
        retries: 10,
    },
    other: Source {
        class: "counter",
        caller: "guild",
        per_second: 40,
        work: Span::from_millis(20),
        retries: 0,
    },
})]
#[case::a_class_of_much_more_work(Fairness {
    flood: Source {
        class: "archive",
        caller: "guild",
        per_second: 400,
        work: Span::from_millis(60),
        retries: 3,
    },
    other: Source {
        class: "counter",
        caller: "guild",
        per_second: 100,
        work: Span::from_millis(5),
        retries: 0,
    },
})]
fn a_flood_does_not_starve_other_callers_or_classes(#[case] case: Fairness) {
    let good = drive(&[case.flood, case.other], true);
    let without = drive(&[case.flood, case.other], false);
    let sent = case.other.per_second * RUN.0 / 1_000_000;
    println!(
        "other: {} in time of {sent}, {} without admission control; flood: {}",
        good[1], without[1], good[0]
    );
    assert!(good[1] * 10 >= sent * 9, "{good:?} of {sent}");
}

#[test]
fn overload_is_refused_and_ended_queries_free_their_permits() {
    let class = class("search");
    let caller = "guild".parse().unwrap();
    let now = Timestamp(0);
    let mut admission = Admission::default();
    let request = AdmissionRequest {
        class: &class,
        caller: &caller,
        bytes: ByteCount(2),
    };
    let mut tickets = Vec::new();
    let refusal = loop {
        match admission.admit(now, request) {
            Ok(ticket) => tickets.push(ticket),
            Err(refusal) => break refusal,
        }
    };
    assert_eq!(refusal.kind, ErrorKind::Overloaded);
    assert_eq!(admission.in_flight() as usize, tickets.len());
    assert_eq!(
        admission.class_in_flight(&class.index, &class.name) as usize,
        tickets.len()
    );
    for ticket in tickets {
        admission.end(now, ticket, QueryEnd::Other);
    }
    assert_eq!(admission.in_flight(), 0);
    assert!(admission.admit(now, request).is_ok());
}

#[test]
fn the_total_size_of_bodies_in_flight_is_bounded() {
    let class = class("search");
    let caller = "guild".parse().unwrap();
    let mut admission = Admission::default();
    let request = AdmissionRequest {
        class: &class,
        caller: &caller,
        bytes: ByteCount(40 << 20),
    };
    let first = admission.admit(Timestamp(0), request);
    let second = admission.admit(Timestamp(0), request);
    assert!(first.is_ok());
    assert_eq!(second.unwrap_err().kind, ErrorKind::Overloaded);
}

#[test]
fn a_straggler_does_not_shrink_the_window() {
    let class = class("search");
    let mut admission = Admission::default();
    let admitted_count = |admission: &mut Admission| {
        let caller = "guild".parse().unwrap();
        let request = AdmissionRequest {
            class: &class,
            caller: &caller,
            bytes: ByteCount(2),
        };
        let tickets: Vec<_> =
            std::iter::from_fn(|| admission.admit(Timestamp(0), request).ok()).collect();
        let count = tickets.len();
        for ticket in tickets {
            let end = QueryEnd::Answered {
                took: LATENCY,
                meets_target: false,
                coverage: "95%".parse().unwrap(),
            };
            admission.end(Timestamp(0), ticket, end);
        }
        count
    };
    let before = admitted_count(&mut admission);
    assert_eq!(admitted_count(&mut admission), before);
}
