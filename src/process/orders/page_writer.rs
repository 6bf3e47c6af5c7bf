//! Writes claim pages: each page has one writer, and changes that arrive while its write
//! is in flight are queued and share the next write.

use std::sync::Arc;

use indexmap::IndexMap;

use super::commit::{ClaimOutcome, Commit, PageChange, Step, WriteOutcome};
use super::id::{ClaimId, PageId};
use super::page::Page;
use super::wire::{PageWire, decode, encode};
use super::{Claim, Orders, Reply};
use crate::process::{Expected, PlatformError};
use crate::types::{ObjectVersion, Span};

/// Maximum number of queued changes per page. Further changes are dropped, which never
/// causes an order to run twice.
const MAX_QUEUED_CHANGES: usize = 10_000;
const INITIAL_BACKOFF: Span = Span::from_millis(2);
const MAX_BACKOFF: Span = Span::from_millis(100);

/// The changes queued for the next write of a page whose writer is running.
#[derive(Debug, Default)]
pub(super) struct PageWriter {
    queued: Vec<(PageChange, Option<Reply>)>,
}

/// The state of the task that writes one page.
struct WriterTask {
    page: PageId,
    commit: Commit,
    replies: IndexMap<ClaimId, (PageChange, Reply)>,
    backoff: Span,
}

impl Orders {
    /// Queues a change for its page, and starts the page's writer if it is not running.
    pub(super) fn submit(self: &Arc<Self>, page: PageId, change: PageChange, reply: Option<Reply>) {
        let mut writers = self.writers.lock();
        if let Some(writer) = writers.get_mut(&page) {
            if writer.queued.len() < MAX_QUEUED_CHANGES {
                writer.queued.push((change, reply));
            }
            return;
        }
        let queued = vec![(change, reply)];
        writers.insert(page, PageWriter { queued });
        drop(writers);
        async_std::task::spawn(run_writer(Arc::clone(self), page));
    }

    /// Takes the queued changes; removes the writer and returns none if there are none.
    fn take_queued_or_stop(&self, page: PageId) -> Option<Vec<(PageChange, Option<Reply>)>> {
        let mut writers = self.writers.lock();
        let queued = std::mem::take(&mut writers.get_mut(&page)?.queued);
        if queued.is_empty() {
            writers.swap_remove(&page);
            return None;
        }
        Some(queued)
    }

    fn take_queued(&self, page: PageId) -> Vec<(PageChange, Option<Reply>)> {
        let mut writers = self.writers.lock();
        writers
            .get_mut(&page)
            .map(|writer| std::mem::take(&mut writer.queued))
            .unwrap_or_default()
    }

    async fn read_page(
        &self,
        page: PageId,
    ) -> Result<Option<(ObjectVersion, Page)>, PlatformError> {
        let Some(object) = self.platform.get(&page.key()).await? else {
            return Ok(None);
        };
        let page = decode::<PageWire, Page>(&object.value)?;
        Ok(Some((object.version, page)))
    }

    async fn write_page(
        &self,
        page: PageId,
        content: &Page,
        version: Option<ObjectVersion>,
    ) -> Result<ObjectVersion, PlatformError> {
        let value = encode(&PageWire::from(content))?;
        let expected = version.map_or(Expected::Absent, Expected::Version);
        self.platform.put(&page.key(), value, expected).await
    }
}

async fn run_writer(orders: Arc<Orders>, page: PageId) {
    let mut task = WriterTask {
        page,
        commit: Commit::new(page),
        replies: IndexMap::new(),
        backoff: INITIAL_BACKOFF,
    };
    loop {
        let step = task.commit.next(orders.clock.now());
        task.send_replies(&orders);
        match step {
            Step::Read => task.read(&orders).await,
            Step::Write(content, version) => task.write(&orders, &content, version).await,
            Step::ReadHorizon => task.check_horizon(&orders).await,
            Step::End => {
                let Some(queued) = orders.take_queued_or_stop(page) else {
                    return;
                };
                task.add_changes(queued);
            }
        }
        task.send_replies(&orders);
    }
}

impl WriterTask {
    async fn read(&mut self, orders: &Orders) {
        orders.wait_for_write_token().await;
        self.add_changes(orders.take_queued(self.page));
        match orders.read_page(self.page).await {
            Ok(found) => self.commit.on_read(found),
            Err(_) => self.back_off(orders).await,
        }
    }

    async fn write(&mut self, orders: &Orders, content: &Page, version: Option<ObjectVersion>) {
        let written = orders.write_page(self.page, content, version).await;
        let outcome = written
            .as_ref()
            .map_or_else(WriteOutcome::from, |_| WriteOutcome::Applied);
        self.commit.on_written(outcome);
        if outcome == WriteOutcome::Applied {
            self.backoff = INITIAL_BACKOFF;
        } else {
            self.back_off(orders).await;
        }
    }

    async fn check_horizon(&mut self, orders: &Orders) {
        match orders.read_horizon().await {
            Ok(found) => {
                let horizon = found.map(|(_, horizon)| horizon).unwrap_or_default();
                self.commit.on_horizon(horizon);
            }
            Err(_) => self.back_off(orders).await,
        }
    }

    async fn back_off(&mut self, orders: &Orders) {
        async_std::task::sleep(orders.jittered(self.backoff).as_duration()).await;
        self.backoff = Span(self.backoff.0 * 2).min(MAX_BACKOFF);
    }

    fn add_changes(&mut self, queued: Vec<(PageChange, Option<Reply>)>) {
        for (change, reply) in queued {
            self.commit.add([change]);
            if let Some(reply) = reply {
                self.replies.insert(change.claim, (change, reply));
            }
        }
    }

    /// Sends the outcomes to the attempts that wait for them. A claim whose attempt no
    /// longer waits is dropped, which releases it.
    fn send_replies(&mut self, orders: &Arc<Orders>) {
        for (claim, outcome) in self.commit.take_outcomes() {
            let Some((change, reply)) = self.replies.swap_remove(&claim) else {
                continue;
            };
            let result = match outcome {
                ClaimOutcome::Held => Ok(Claim::new(orders, self.page, change)),
                other => Err(other),
            };
            reply.send(result).ok();
        }
    }
}
