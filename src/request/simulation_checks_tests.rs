//! The invariants checked on each leg that a query sends and on each of its outcomes.

use super::{SentLeg, Simulation, body};
use crate::error::{Ran, Refusal};
use crate::request::{Answer, LegRequest};
use crate::types::{Coverage, KeyRange, Span};

/// An upstream that has been leaving for longer than this receives no new legs.
const LEAVING_GRACE: Span = Span::from_secs(3);
/// An upstream that refused a leg as draining receives none for at least this long.
const DRAINING_AVOIDED_FOR: Span = Span::from_secs(3);

impl Simulation {
    pub(super) fn on_send(&mut self, at: usize, req: LegRequest) {
        let running = &self.queries[at];
        self.check(!running.ended, "a leg is sent after its query ended");
        self.check(
            req.time_left > Span::ZERO,
            "a leg is sent with no time left",
        );
        let since = self.leaving.get(&req.upstream.name).copied();
        let late = since.is_some_and(|since| self.now > since + LEAVING_GRACE);
        self.check(!late, "a leaving upstream receives a new leg");
        let refused = self.draining.get(&req.upstream.name).copied();
        let soon = refused.is_some_and(|refused| self.now < refused + DRAINING_AVOIDED_FOR);
        self.check(!soon, "a draining upstream receives another leg too soon");
        let same_keys = |sent: &&SentLeg| overlap(sent.req.range, req.range);
        let running = &self.queries[at];
        let mut earlier = running.legs.iter().filter(same_keys).peekable();
        if !self.setup.repeatable {
            self.counts.moved_orders += u32::from(earlier.peek().is_some());
            let once = !earlier.any(|sent| sent.may_have_run);
            self.check(
                once,
                "a non-repeatable query that may have run is sent again",
            );
        }
        self.queries[at].legs.push(SentLeg {
            req,
            open: true,
            may_have_run: true,
        });
    }

    pub(super) fn on_finish(&mut self, at: usize, outcome: &Result<Answer, Refusal>) {
        self.check(!self.queries[at].ended, "a query finishes twice");
        self.queries[at].ended = true;
        match outcome {
            Ok(answer) => self.on_answer(at, answer),
            Err(refusal) => self.on_refusal(at, refusal),
        }
    }

    fn on_answer(&mut self, at: usize, answer: &Answer) {
        let running = &self.queries[at];
        let first = running.first_snapshot;
        self.check(
            answer.query == running.id,
            "the answer belongs to another query",
        );
        let ranges = self.published[&answer.snapshot].clone();
        for part in &answer.parts {
            let wanted = body(answer.query, answer.snapshot, part.range);
            self.check(
                *part.body == *wanted,
                "a part holds the body of another reply",
            );
            self.check(
                ranges.contains(&part.range),
                "a part has a range that no shard has",
            );
        }
        let width: u64 = answer.parts.iter().map(|part| part.range.width()).sum();
        let covered: Coverage = answer.parts.iter().map(|part| part.range).collect();
        let stated: u64 = answer
            .coverage
            .ranges()
            .iter()
            .map(|range| range.width())
            .sum();
        self.check(
            answer.coverage == covered && stated == width,
            "the coverage differs from the ranges of the parts",
        );
        let meets = answer.coverage.ratio() >= self.setup.coverage;
        self.check(
            answer.meets_target == meets,
            "meets_target contradicts the coverage",
        );
        self.counts.whole_answers += u32::from(answer.coverage.is_complete());
        self.counts.partial_answers += u32::from(!answer.coverage.is_complete());
        self.counts.answers_after_restart += u32::from(answer.snapshot != first);
    }

    fn on_refusal(&mut self, at: usize, refusal: &Refusal) {
        let not_run = refusal.kind.row().ran == Ran::NotRun;
        self.counts.not_run += u32::from(not_run);
        self.counts.may_have_run += u32::from(!not_run);
        let may_have_run = self.queries[at].legs.iter().any(|leg| leg.may_have_run);
        self.check(
            !not_run || !may_have_run,
            "a query that may have run is refused as not run",
        );
    }

    fn check(&mut self, passed: bool, violation: &str) {
        if !passed && self.violation.is_none() {
            self.violation = Some(violation.to_owned());
        }
    }
}

fn overlap(one: KeyRange, other: KeyRange) -> bool {
    one.first <= other.last && other.first <= one.last
}
