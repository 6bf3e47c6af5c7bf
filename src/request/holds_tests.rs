//! What must hold of each leg that a query sends and of each end that it comes to.

use super::{Sent, World, body};
use crate::error::{Ran, Refusal};
use crate::request::{Answer, LegRequest};
use crate::types::{Coverage, KeyRange, Span};

/// After this an upstream that is leaving receives nothing new.
const LEAVING_WITHIN: Span = Span::from_secs(3);
/// Before this an upstream that said it is leaving is not asked again.
const ASKED_AGAIN_AFTER: Span = Span::from_secs(3);

impl World {
    pub(super) fn on_send(&mut self, at: usize, req: LegRequest) {
        let running = &self.queries[at];
        self.hold(!running.ended, "a leg follows the end of its query");
        self.hold(req.time_left > Span::ZERO, "a leg is sent that has no time");
        let since = self.leaving.get(&req.upstream.name).copied();
        let late = since.is_some_and(|since| self.now > since + LEAVING_WITHIN);
        self.hold(!late, "a leaving upstream receives new work");
        let refused = self.draining.get(&req.upstream.name).copied();
        let soon = refused.is_some_and(|refused| self.now < refused + ASKED_AGAIN_AFTER);
        self.hold(!soon, "an upstream that drains is asked again at once");
        let same_keys = |sent: &&Sent| overlap(sent.req.range, req.range);
        let running = &self.queries[at];
        let mut earlier = running.legs.iter().filter(same_keys).peekable();
        if !self.setup.repeatable {
            self.seen.moved_orders += u32::from(earlier.peek().is_some());
            let once = !earlier.any(|sent| sent.may_have_run);
            self.hold(once, "an order is sent again that may have run");
        }
        self.queries[at].legs.push(Sent {
            req,
            open: true,
            may_have_run: true,
        });
    }

    pub(super) fn on_finish(&mut self, at: usize, outcome: &Result<Answer, Refusal>) {
        self.hold(!self.queries[at].ended, "a query ends twice");
        self.queries[at].ended = true;
        match outcome {
            Ok(answer) => self.on_answer(at, answer),
            Err(refusal) => self.on_refusal(at, refusal),
        }
    }

    fn on_answer(&mut self, at: usize, answer: &Answer) {
        let running = &self.queries[at];
        let first = running.first_snapshot;
        self.hold(answer.query == running.id, "an answer to another query");
        let ranges = self.published[&answer.snapshot].clone();
        for part in &answer.parts {
            let wanted = body(answer.query, answer.snapshot, part.range);
            self.hold(part.body == wanted, "a part of something else");
            self.hold(ranges.contains(&part.range), "a range of no shard");
        }
        let width: u64 = answer.parts.iter().map(|part| part.range.width()).sum();
        let covered: Coverage = answer.parts.iter().map(|part| part.range).collect();
        let stated: u64 = answer
            .coverage
            .ranges()
            .iter()
            .map(|range| range.width())
            .sum();
        self.hold(
            answer.coverage == covered && stated == width,
            "coverage is not what the parts hold",
        );
        let meets = answer.coverage.ratio() >= self.setup.coverage;
        self.hold(answer.meets_target == meets, "the target is misjudged");
        self.seen.whole_answers += u32::from(answer.coverage.is_complete());
        self.seen.partial_answers += u32::from(!answer.coverage.is_complete());
        self.seen.answers_after_restart += u32::from(answer.snapshot != first);
    }

    fn on_refusal(&mut self, at: usize, refusal: &Refusal) {
        let not_run = refusal.kind.row().ran == Ran::NotRun;
        self.seen.not_run += u32::from(not_run);
        self.seen.may_have_run += u32::from(!not_run);
        let may_have_run = self.queries[at].legs.iter().any(|leg| leg.may_have_run);
        self.hold(
            !not_run || !may_have_run,
            "\"not run\" is said of what may have run",
        );
    }

    fn hold(&mut self, holds: bool, otherwise: &str) {
        if !holds && self.broken.is_none() {
            self.broken = Some(otherwise.to_owned());
        }
    }
}

fn overlap(one: KeyRange, other: KeyRange) -> bool {
    one.first <= other.last && other.first <= one.last
}
