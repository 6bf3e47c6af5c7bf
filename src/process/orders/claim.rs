//! The right to send one order once.

use std::sync::Arc;

use super::Orders;
use super::commit::Change;
use super::id::{ClaimId, OrderId, PageId};
use super::page::Wish;
use crate::error::{Ran, Refusal};
use crate::request::Answer;
use crate::types::Span;

/// How long the noting of an outcome is tried, and how long a claim's removal is.
const CLOSE_FOR: Span = Span::from_secs(60);
/// Outcomes wait this long for others to be written with them.
const OUTCOME_DELAY: Span = Span::from_millis(200);

/// A claim that is held. Dropped before [`Claim::begin`], it is released; afterwards it
/// stands, because what was begun may run.
#[derive(Debug)]
pub(crate) struct Claim {
    orders: Arc<Orders>,
    page: PageId,
    order: OrderId,
    id: ClaimId,
    begun: bool,
}

impl Claim {
    pub(super) fn new(orders: &Arc<Orders>, page: PageId, change: Change) -> Self {
        Self {
            orders: Arc::clone(orders),
            page,
            order: change.order,
            id: change.claim,
            begun: false,
        }
    }

    /// Notes that the order is about to be sent.
    pub(crate) fn begin(&mut self) {
        self.begun = true;
    }

    /// Notes how the order ended: done, not run and free to be claimed again, or, when
    /// it may have run, nothing.
    pub(crate) fn close(mut self, outcome: &Result<Answer, Refusal>) {
        match outcome {
            Ok(_) => self.note_done(),
            Err(refusal) => self.begun = refusal.kind.row().ran == Ran::MayHaveRun,
        }
    }

    fn note_done(&self) {
        let orders = Arc::clone(&self.orders);
        let (page, change) = (self.page, self.change(Wish::Done));
        async_std::task::spawn(async move {
            async_std::task::sleep(OUTCOME_DELAY.as_duration()).await;
            orders.submit(page, change, None);
        });
    }

    fn change(&self, wish: Wish) -> Change {
        Change {
            order: self.order,
            claim: self.id,
            wish,
            until: self.orders.clock.now() + CLOSE_FOR,
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.begun {
            let release = self.change(Wish::Release);
            self.orders.submit(self.page, release, None);
        }
    }
}
