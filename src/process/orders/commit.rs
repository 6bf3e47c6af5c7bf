//! Brings the changes of many orders to their page in one conditional write.
//!
//! A [`Commit`] says what to do next and is told how it went; it reads no clock and
//! calls nobody, so tests drive it through every fault by hand. Why each step is there
//! is in `docs/DESIGN.md`, "At most once".

use super::id::{ClaimId, OrderId, PageId};
use super::page::{Page, Standing, Verdict, Wish};
use super::sweep::Horizon;
use crate::process::PlatformError;
use crate::types::{ObjectVersion, Span, Timestamp};

/// How long the removal of a claim that was never used is tried.
const RELEASE_FOR: Span = Span::from_secs(600);

/// One attempt's change to its order.
#[derive(Clone, Copy, Debug)]
pub(super) struct Change {
    pub(super) order: OrderId,
    pub(super) claim: ClaimId,
    pub(super) wish: Wish,
    /// When it is no longer of use.
    pub(super) until: Timestamp,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Read the page.
    Read,
    /// Write the page if it is still at this version, or still absent.
    Write(Page, Option<ObjectVersion>),
    /// Read how far pages have been given up.
    ReadHorizon,
    /// Nothing.
    End,
}

/// What is known about a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// It took effect.
    Took,
    /// It had no effect and never will.
    NoEffect,
    /// It may have taken effect, or may yet.
    Unknown,
}

impl From<&PlatformError> for Fate {
    fn from(error: &PlatformError) -> Self {
        if error.had_no_effect() {
            Self::NoEffect
        } else {
            Self::Unknown
        }
    }
}

/// What became of an attempt's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Settled {
    /// The attempt holds the order, and no other ever will unless it releases it.
    Held,
    /// Another attempt holds the order.
    Taken { standing: Standing, same_body: bool },
    /// The page is full.
    Full,
    /// The page was given up, so whether the order ran before is not known.
    Stale,
    /// The time ran out before it was known.
    GaveUp,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    change: Change,
    /// Whether a write with this claim took effect or may have.
    exposed: bool,
}

#[derive(Clone, Debug)]
enum State {
    Reading,
    Writing(Page, Option<ObjectVersion>),
    Checking,
}

/// The changes under way to one page.
#[derive(Clone, Debug)]
pub(super) struct Commit {
    page: PageId,
    pending: Vec<Pending>,
    state: State,
    settled: Vec<(ClaimId, Settled)>,
}

impl Commit {
    pub(super) fn new(page: PageId) -> Self {
        Self {
            page,
            pending: Vec::new(),
            state: State::Reading,
            settled: Vec::new(),
        }
    }

    /// Adds changes; they take part in what is read from now on, so they may only
    /// join before a read.
    pub(super) fn add(&mut self, changes: impl IntoIterator<Item = Change>) {
        debug_assert!(matches!(self.state, State::Reading));
        let pending = changes.into_iter().map(|change| Pending {
            change,
            exposed: false,
        });
        self.pending.extend(pending);
    }

    /// The claims that were settled since the last call.
    pub(super) fn take_settled(&mut self) -> Vec<(ClaimId, Settled)> {
        std::mem::take(&mut self.settled)
    }

    /// What to do now.
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

    /// The page was read.
    pub(super) fn on_read(&mut self, found: Option<(ObjectVersion, Page)>) {
        let version = found.as_ref().map(|(version, _)| *version);
        let before = found.map(|(_, page)| page).unwrap_or_default();
        let mut after = before.clone();
        let settled = &mut self.settled;
        self.pending.retain(|pending| {
            let change = pending.change;
            let lost = match after.apply(change.order, change.claim, change.wish) {
                Verdict::Made => return true,
                Verdict::Full => Settled::Full,
                Verdict::Taken {
                    standing,
                    same_body,
                } => Settled::Taken {
                    standing,
                    same_body,
                },
            };
            settled.push((change.claim, lost));
            false
        });
        // A release that changes nothing is written all the same: the new version keeps
        // an earlier write of unknown fate from ever taking effect.
        let fence = self
            .pending
            .iter()
            .any(|pending| pending.exposed && pending.change.wish == Wish::Release);
        if after != before || fence {
            self.state = State::Writing(after, version);
        } else {
            self.made();
        }
    }

    /// The page was written, or not.
    pub(super) fn on_written(&mut self, fate: Fate) {
        match fate {
            Fate::Took => self.made(),
            Fate::NoEffect => self.state = State::Reading,
            Fate::Unknown => {
                self.expose();
                self.state = State::Reading;
            }
        }
    }

    /// The horizon was read, after the claims were known to be on their page.
    pub(super) fn on_horizon(&mut self, horizon: Horizon) {
        let settled = if self.page.window < horizon.closed {
            Settled::Stale
        } else {
            Settled::Held
        };
        for pending in self.pending.drain(..) {
            self.settled.push((pending.change.claim, settled));
        }
        self.state = State::Reading;
    }

    fn made(&mut self) {
        self.expose();
        self.pending.retain(Pending::is_claim);
        self.state = State::Checking;
    }

    fn expose(&mut self) {
        for pending in &mut self.pending {
            pending.exposed = true;
        }
    }

    fn has_claims(&self) -> bool {
        self.pending.iter().any(Pending::is_claim)
    }

    fn expire(&mut self, now: Timestamp) {
        let settled = &mut self.settled;
        self.pending.retain_mut(|pending| {
            if now < pending.change.until {
                return true;
            }
            if !pending.is_claim() {
                return false;
            }
            settled.push((pending.change.claim, Settled::GaveUp));
            pending.change.wish = Wish::Release;
            pending.change.until = now + RELEASE_FOR;
            pending.exposed
        });
    }
}

impl Pending {
    fn is_claim(&self) -> bool {
        matches!(self.change.wish, Wish::Claim { .. })
    }
}
