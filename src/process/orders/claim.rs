//! The exclusive right of one attempt to send an order.

use std::sync::Arc;

use super::Orders;
use super::commit::PageChange;
use super::id::{ClaimId, OrderId, PageId};
use super::page::ClaimChange;
use crate::error::{Ran, Refusal};
use crate::request::Answer;
use crate::types::Span;

/// How long an attempt to mark a claim as done, or to release it, is retried.
const CLOSE_TIMEOUT: Span = Span::from_secs(60);
/// Delay before a claim is marked as done, so that one write covers several orders.
const DONE_BATCH_DELAY: Span = Span::from_millis(200);

/// A claim that this attempt holds. Dropping it before [`Claim::begin`] releases it;
/// afterwards it is kept, because the order may have run.
#[derive(Debug)]
pub(crate) struct Claim {
    orders: Arc<Orders>,
    page: PageId,
    order: OrderId,
    id: ClaimId,
    may_have_run: bool,
}

impl Claim {
    pub(super) fn new(orders: &Arc<Orders>, page: PageId, change: PageChange) -> Self {
        Self {
            orders: Arc::clone(orders),
            page,
            order: change.order,
            id: change.claim,
            may_have_run: false,
        }
    }

    /// Records that the order is about to be sent.
    pub(crate) fn begin(&mut self) {
        self.may_have_run = true;
    }

    /// Records the outcome of the order. A success marks the claim as done, an order that
    /// did not run is released, and an order that may have run keeps its claim.
    pub(crate) fn close(mut self, outcome: &Result<Answer, Refusal>) {
        match outcome {
            Ok(_) => self.record_done(),
            Err(refusal) => self.may_have_run = refusal.kind.row().ran == Ran::MayHaveRun,
        }
    }

    fn record_done(&self) {
        let orders = Arc::clone(&self.orders);
        let (page, change) = (self.page, self.change(ClaimChange::Done));
        async_std::task::spawn(async move {
            async_std::task::sleep(DONE_BATCH_DELAY.as_duration()).await;
            orders.submit(page, change, None);
        });
    }

    fn change(&self, kind: ClaimChange) -> PageChange {
        PageChange {
            order: self.order,
            claim: self.id,
            kind,
            deadline: self.orders.clock.now() + CLOSE_TIMEOUT,
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.may_have_run {
            let release = self.change(ClaimChange::Release);
            self.orders.submit(self.page, release, None);
        }
    }
}
