//! State machine that applies the changes of many orders to a page in one conditional write.
//!
//! A [`Commit`] returns the next step, and its driver reports the result. It performs no
//! I/O and reads no clock, so tests can drive it through every fault. The reason for each
//! step is in `docs/DESIGN.md`, "At most once".

use super::id::{ClaimId, OrderId, PageId};
use super::page::{ApplyResult, ClaimChange, ClaimState, Page};
use super::sweep::Horizon;
use crate::process::PlatformError;
use crate::types::{ObjectVersion, Span, Timestamp};

/// How long the release of a claim that was never used is retried.
const RELEASE_TIMEOUT: Span = Span::from_secs(600);

/// A change that one attempt makes to the entry of its order.
#[derive(Clone, Copy, Debug)]
pub(super) struct PageChange {
    pub(super) order: OrderId,
    pub(super) claim: ClaimId,
    pub(super) kind: ClaimChange,
    /// When the change is abandoned.
    pub(super) deadline: Timestamp,
}

/// The next step of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Read the page.
    Read,
    /// Write the page if it is still at this version; with none, if it is still absent.
    Write(Page, Option<ObjectVersion>),
    /// Read the horizon, which decides whether the page is closed.
    ReadHorizon,
    /// No changes are pending.
    End,
}

/// The outcome of a conditional write, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// It took effect.
    Applied,
    /// It had no effect and never will have.
    NoEffect,
    /// It may have taken effect, or may still take effect.
    Unknown,
}

impl From<&PlatformError> for WriteOutcome {
    fn from(error: &PlatformError) -> Self {
        if error.had_no_effect() {
            Self::NoEffect
        } else {
            Self::Unknown
        }
    }
}

/// The outcome of an attempt to claim an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimOutcome {
    /// The attempt holds the order; no other attempt can claim it unless it is released.
    Held,
    /// Another attempt holds the order.
    Taken { state: ClaimState, same_body: bool },
    /// The page has no room for another claim.
    Full,
    /// The page is closed, so it is not known whether the order ran before.
    Stale,
    /// The deadline passed before the outcome was known.
    TimedOut,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    change: PageChange,
    /// Whether a write with this change took effect or may have taken effect.
    maybe_written: bool,
}

#[derive(Clone, Debug)]
enum State {
    Reading,
    Writing(Page, Option<ObjectVersion>),
    Checking,
}

/// The pending changes to one page.
#[derive(Clone, Debug)]
pub(super) struct Commit {
    page: PageId,
    pending: Vec<Pending>,
    state: State,
    outcomes: Vec<(ClaimId, ClaimOutcome)>,
}

impl Commit {
    pub(super) fn new(page: PageId) -> Self {
        Self {
            page,
            pending: Vec::new(),
            state: State::Reading,
            outcomes: Vec::new(),
        }
    }

    /// Adds changes. They are applied to the page at its next read, so they may only be
    /// added before a read.
    pub(super) fn add(&mut self, changes: impl IntoIterator<Item = PageChange>) {
        debug_assert!(matches!(self.state, State::Reading));
        let pending = changes.into_iter().map(|change| Pending {
            change,
            maybe_written: false,
        });
        self.pending.extend(pending);
    }

    /// Takes the outcomes of claims that were decided since the last call.
    pub(super) fn take_outcomes(&mut self) -> Vec<(ClaimId, ClaimOutcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Drops expired changes and returns the next step.
    pub(super) fn next(&mut self, now: Timestamp) -> Step {
        if let State::Writing(page, version) = &self.state {
            return Step::Write(page.clone(), *version);
        }
        self.expire(now);
        if self.pending.is_empty() {
            self.state = State::Reading;
            return Step::End;
        }
        if matches!(self.state, State::Checking) && self.has_claims() {
            return Step::ReadHorizon;
        }
        self.state = State::Reading;
        Step::Read
    }

    /// Applies the pending changes to the page that was read, if there is one.
    pub(super) fn on_read(&mut self, found: Option<(ObjectVersion, Page)>) {
        let version = found.as_ref().map(|(version, _)| *version);
        let before = found.map(|(_, page)| page).unwrap_or_default();
        let mut after = before.clone();
        let outcomes = &mut self.outcomes;
        self.pending.retain(|pending| {
            let change = pending.change;
            let outcome = match after.apply(change.order, change.claim, change.kind) {
                ApplyResult::Applied => return true,
                ApplyResult::Full => ClaimOutcome::Full,
                ApplyResult::Taken { state, same_body } => ClaimOutcome::Taken { state, same_body },
            };
            outcomes.push((change.claim, outcome));
            false
        });
        // A release is written even if it does not change the page: the new version keeps
        // an earlier write of unknown outcome from taking effect later.
        let fence = self
            .pending
            .iter()
            .any(|pending| pending.maybe_written && pending.change.kind == ClaimChange::Release);
        if after != before || fence {
            self.state = State::Writing(after, version);
        } else {
            self.on_applied();
        }
    }

    /// Handles the outcome of the write.
    pub(super) fn on_written(&mut self, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::Applied => self.on_applied(),
            WriteOutcome::NoEffect => self.state = State::Reading,
            WriteOutcome::Unknown => {
                self.mark_maybe_written();
                self.state = State::Reading;
            }
        }
    }

    /// Decides the pending claims; the horizon was read after they were written.
    pub(super) fn on_horizon(&mut self, horizon: Horizon) {
        let outcome = if self.page.window < horizon.closed {
            ClaimOutcome::Stale
        } else {
            ClaimOutcome::Held
        };
        for pending in self.pending.drain(..) {
            self.outcomes.push((pending.change.claim, outcome));
        }
        self.state = State::Reading;
    }

    fn on_applied(&mut self) {
        self.mark_maybe_written();
        self.pending.retain(Pending::is_claim);
        self.state = State::Checking;
    }

    fn mark_maybe_written(&mut self) {
        for pending in &mut self.pending {
            pending.maybe_written = true;
        }
    }

    fn has_claims(&self) -> bool {
        self.pending.iter().any(Pending::is_claim)
    }

    fn expire(&mut self, now: Timestamp) {
        let outcomes = &mut self.outcomes;
        self.pending.retain_mut(|pending| {
            if now < pending.change.deadline {
                return true;
            }
            if !pending.is_claim() {
                return false;
            }
            outcomes.push((pending.change.claim, ClaimOutcome::TimedOut));
            pending.change.kind = ClaimChange::Release;
            pending.change.deadline = now + RELEASE_TIMEOUT;
            pending.maybe_written
        });
    }
}

impl Pending {
    fn is_claim(&self) -> bool {
        matches!(self.change.kind, ClaimChange::Claim { .. })
    }
}
