//! Admission control: which queries start and which are refused at once.
//!
//! A query that waited for capacity would run late, so a query that does not fit is
//! refused before any work is done for it. Each index has a concurrency limit that adapts
//! to whether answers arrive in time. Classes and callers share it by their number of
//! queries in flight, which reflects the work they actually cause. See `docs/DESIGN.md`,
//! "Admission".

use indexmap::IndexMap;

use super::gate::{Gate, Permit};
use crate::error::{ErrorKind, Refusal};
use crate::request::Answer;
use crate::types::{ByteCount, CallerName, ClassName, IndexName, Ratio, Span, Timestamp};
use crate::version::Class;

const MAX_QUERIES_IN_FLIGHT: u32 = 4_096;
const MAX_BODY_BYTES_IN_FLIGHT: ByteCount = ByteCount(64 << 20);
/// Lower coverage shows that many shards ran out of time, not just one straggler.
const MIN_COVERAGE_PPM: u32 = 900_000;
/// The concurrency limit grows only on answers within this many quarters of their latency
/// target; slower ones show that there is no headroom.
const GROW_BELOW_QUARTERS: u64 = 3;

/// A query to be admitted or refused.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The class of the query, with its index and targets.
    pub class: &'a Class,
    /// The caller that sent the query.
    pub caller: &'a CallerName,
    /// The size of the query's body.
    pub bytes: ByteCount,
}

/// How an admitted query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryEnd {
    /// The query was answered.
    Answered {
        /// The time from the start of the query to its answer.
        took: Span,
        /// Whether the coverage meets the target of the class.
        meets_target: bool,
        /// The fraction of the key space that the answer covers.
        coverage: Ratio,
    },
    /// The deadline passed before any shard replied.
    OutOfTime,
    /// It ended for a reason that is unrelated to load.
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

/// The permit of an admitted query, to be returned through [`Admission::end`].
#[derive(Debug)]
pub struct Ticket {
    index: IndexName,
    permit: Permit,
    latency: Span,
    bytes: ByteCount,
}

/// The queries in flight, with one concurrency limit for each index.
#[derive(Debug, Default)]
pub struct Admission {
    gates: IndexMap<IndexName, Gate>,
    in_flight: u32,
    bytes: u64,
}

impl Admission {
    /// Admits a query.
    ///
    /// # Errors
    /// [`ErrorKind::Overloaded`] if a limit is reached. The query did not run.
    pub fn admit(
        &mut self,
        now: Timestamp,
        request: AdmissionRequest<'_>,
    ) -> Result<Ticket, Refusal> {
        if self.in_flight >= MAX_QUERIES_IN_FLIGHT {
            return Err(overloaded("this instance has too many queries in flight"));
        }
        if self.bytes + request.bytes.0 > MAX_BODY_BYTES_IN_FLIGHT.0 {
            return Err(overloaded(
                "the bodies of the queries in flight exceed the size limit",
            ));
        }
        let index = request.class.index.clone();
        let gate = self.gates.entry(index.clone()).or_default();
        let permit = gate
            .enter(now, &request.class.name, request.caller)
            .map_err(|full| overloaded(&full.to_string()))?;
        self.in_flight += 1;
        self.bytes += request.bytes.0;
        Ok(Ticket {
            index,
            permit,
            latency: request.class.targets.latency,
            bytes: request.bytes,
        })
    }

    /// Releases the permit of a query and adapts the limit of its index to the outcome.
    #[expect(clippy::needless_pass_by_value, reason = "a permit is released once")]
    pub fn end(&mut self, now: Timestamp, ticket: Ticket, end: QueryEnd) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(ticket.bytes.0);
        let Some(gate) = self.gates.get_mut(&ticket.index) else {
            return;
        };
        gate.leave(&ticket.permit);
        match end {
            QueryEnd::OutOfTime => gate.shrink(now, ticket.latency),
            QueryEnd::Answered {
                meets_target: false,
                coverage,
                ..
            } if coverage < Ratio::from_ppm(MIN_COVERAGE_PPM) => gate.shrink(now, ticket.latency),
            QueryEnd::Answered {
                took,
                meets_target: true,
                ..
            } if took.0 <= ticket.latency.0 / 4 * GROW_BELOW_QUARTERS => gate.grow(),
            QueryEnd::Answered { .. } | QueryEnd::Other => {}
        }
    }

    /// Returns the number of queries in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of queries of a class that are in flight.
    #[must_use]
    pub fn class_in_flight(&self, index: &IndexName, class: &ClassName) -> u32 {
        self.gates
            .get(index)
            .map_or(0, |gate| gate.class_in_flight(class))
    }
}

fn overloaded(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::Overloaded, detail)
}
