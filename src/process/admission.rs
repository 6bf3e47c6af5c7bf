//! Which queries are begun, and which are refused at once.
//!
//! A query that waits for room is late when it runs, so whatever does not fit is refused
//! before anything is done for it. Each index has a window of queries under way, which
//! follows whether answers come in time; classes and callers share it by the queries they
//! have under way, which is the work that was observed. See `docs/DESIGN.md`,
//! "Admission".

use indexmap::IndexMap;

use super::gate::{Gate, Place};
use crate::error::{ErrorKind, Refusal};
use crate::request::Answer;
use crate::types::{ByteCount, CallerName, ClassName, IndexName, Ratio, Span, Timestamp};
use crate::version::Class;

const MOST_UNDER_WAY: u32 = 4_096;
const MOST_BODY_BYTES: ByteCount = ByteCount(64 << 20);
/// An answer that covers less was short of time at many shards, not at one straggler.
const LEAST_COVERAGE: u32 = 900_000;
/// An answer that takes more of its target leaves no room for more queries.
const EASY_QUARTERS: u64 = 3;

/// A query that asks to be begun.
#[derive(Clone, Copy, Debug)]
pub struct Entrant<'a> {
    /// What is queried, and its targets.
    pub class: &'a Class,
    /// Who asks.
    pub caller: &'a CallerName,
    /// The size of the query.
    pub bytes: ByteCount,
}

/// How an admitted query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryEnd {
    /// It was answered.
    Answered {
        /// How long it took.
        took: Span,
        /// Whether the coverage meets its target.
        meets_target: bool,
        /// The part of the key space that the answer covers.
        coverage: Ratio,
    },
    /// The time ran out before any part came.
    OutOfTime,
    /// It ended for a reason that says nothing about load.
    Other,
}

impl From<&Result<Answer, Refusal>> for QueryEnd {
    fn from(outcome: &Result<Answer, Refusal>) -> Self {
        match outcome {
            Ok(answer) => Self::Answered {
                took: answer.took,
                meets_target: answer.meets_target,
                coverage: answer.coverage.ratio(),
            },
            Err(refusal) if refusal.kind == ErrorKind::OutOfTime => Self::OutOfTime,
            Err(_) => Self::Other,
        }
    }
}

/// The place of an admitted query, which [`Admission::end`] takes back.
#[derive(Debug)]
pub struct Ticket {
    index: IndexName,
    place: Place,
    latency: Span,
    bytes: ByteCount,
}

/// The queries under way.
#[derive(Debug, Default)]
pub struct Admission {
    gates: IndexMap<IndexName, Gate>,
    under_way: u32,
    bytes: u64,
}

impl Admission {
    /// Lets a query in.
    ///
    /// # Errors
    /// [`ErrorKind::Overloaded`], when there is no room for it. It did not run.
    pub fn admit(&mut self, now: Timestamp, entrant: Entrant<'_>) -> Result<Ticket, Refusal> {
        if self.under_way >= MOST_UNDER_WAY {
            return Err(overloaded("this instance has too many queries under way"));
        }
        if self.bytes + entrant.bytes.0 > MOST_BODY_BYTES.0 {
            return Err(overloaded("the queries under way are too large together"));
        }
        let index = entrant.class.index.clone();
        let gate = self.gates.entry(index.clone()).or_default();
        let place = gate
            .enter(now, &entrant.class.name, entrant.caller)
            .map_err(|full| overloaded(&full.to_string()))?;
        self.under_way += 1;
        self.bytes += entrant.bytes.0;
        Ok(Ticket {
            index,
            place,
            latency: entrant.class.targets.latency,
            bytes: entrant.bytes,
        })
    }

    /// Takes back the place of a query and learns from how it ended.
    #[expect(clippy::needless_pass_by_value, reason = "a place is taken back once")]
    pub fn end(&mut self, now: Timestamp, ticket: Ticket, end: QueryEnd) {
        self.under_way = self.under_way.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(ticket.bytes.0);
        let Some(gate) = self.gates.get_mut(&ticket.index) else {
            return;
        };
        gate.leave(&ticket.place);
        match end {
            QueryEnd::OutOfTime => gate.shrink(now, ticket.latency),
            QueryEnd::Answered {
                meets_target: false,
                coverage,
                ..
            } if coverage < Ratio::from_ppm(LEAST_COVERAGE) => gate.shrink(now, ticket.latency),
            QueryEnd::Answered {
                took,
                meets_target: true,
                ..
            } if took.0 <= ticket.latency.0 / 4 * EASY_QUARTERS => gate.grow(),
            QueryEnd::Answered { .. } | QueryEnd::Other => {}
        }
    }

    /// How many queries are under way.
    #[must_use]
    pub fn under_way(&self) -> u32 {
        self.under_way
    }

    /// How many queries of a class are under way.
    #[must_use]
    pub fn of_class(&self, index: &IndexName, class: &ClassName) -> u32 {
        self.gates.get(index).map_or(0, |gate| gate.of_class(class))
    }
}

fn overloaded(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::Overloaded, detail)
}
