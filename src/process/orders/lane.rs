//! One lane for each page: changes gather while the lane's write is under way, and
//! the next write carries them all.

use std::sync::Arc;

use indexmap::IndexMap;

use super::commit::{Change, Commit, Fate, Settled, Step};
use super::id::{ClaimId, PageId};
use super::page::Page;
use super::wire::{PageWire, decode, encode};
use super::{Claim, Orders, Reply};
use crate::process::{Expected, PlatformError};
use crate::types::{ObjectVersion, Span};

/// Changes beyond these are dropped, which never makes an order run twice.
const MOST_WAITING: usize = 10_000;
const FIRST_PAUSE: Span = Span::from_millis(2);
const LONGEST_PAUSE: Span = Span::from_millis(100);

/// The changes that wait for the lane's next write.
#[derive(Debug, Default)]
pub(super) struct Lane {
    waiting: Vec<(Change, Option<Reply>)>,
}

/// What a lane knows while it runs.
struct Run {
    page: PageId,
    commit: Commit,
    replies: IndexMap<ClaimId, (Change, Reply)>,
    pause: Span,
}

impl Orders {
    /// Adds a change to its page's lane, and starts the lane when it is idle.
    pub(super) fn submit(self: &Arc<Self>, page: PageId, change: Change, reply: Option<Reply>) {
        let mut lanes = self.lanes.lock();
        if let Some(lane) = lanes.get_mut(&page) {
            if lane.waiting.len() < MOST_WAITING {
                lane.waiting.push((change, reply));
            }
            return;
        }
        let waiting = vec![(change, reply)];
        lanes.insert(page, Lane { waiting });
        drop(lanes);
        async_std::task::spawn(run(Arc::clone(self), page));
    }

    /// The changes that wait; with none, the lane ends.
    fn waiting(&self, page: PageId) -> Option<Vec<(Change, Option<Reply>)>> {
        let mut lanes = self.lanes.lock();
        let waiting = std::mem::take(&mut lanes.get_mut(&page)?.waiting);
        if waiting.is_empty() {
            lanes.swap_remove(&page);
            return None;
        }
        Some(waiting)
    }

    fn joining(&self, page: PageId) -> Vec<(Change, Option<Reply>)> {
        let mut lanes = self.lanes.lock();
        lanes
            .get_mut(&page)
            .map(|lane| std::mem::take(&mut lane.waiting))
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

async fn run(orders: Arc<Orders>, page: PageId) {
    let mut run = Run {
        page,
        commit: Commit::new(page),
        replies: IndexMap::new(),
        pause: FIRST_PAUSE,
    };
    loop {
        let step = run.commit.next(orders.clock.now());
        run.tell(&orders);
        match step {
            Step::Read => run.read(&orders).await,
            Step::Write(content, version) => run.write(&orders, &content, version).await,
            Step::ReadHorizon => run.check(&orders).await,
            Step::End => {
                let Some(waiting) = orders.waiting(page) else {
                    return;
                };
                run.join(waiting);
            }
        }
        run.tell(&orders);
    }
}

impl Run {
    async fn read(&mut self, orders: &Orders) {
        orders.token().await;
        self.join(orders.joining(self.page));
        match orders.read_page(self.page).await {
            Ok(found) => self.commit.on_read(found),
            Err(_) => self.back_off(orders).await,
        }
    }

    async fn write(&mut self, orders: &Orders, content: &Page, version: Option<ObjectVersion>) {
        let written = orders.write_page(self.page, content, version).await;
        let fate = written.as_ref().map_or_else(Fate::from, |_| Fate::Took);
        self.commit.on_written(fate);
        if fate == Fate::Took {
            self.pause = FIRST_PAUSE;
        } else {
            self.back_off(orders).await;
        }
    }

    async fn check(&mut self, orders: &Orders) {
        match orders.read_horizon().await {
            Ok(found) => {
                let horizon = found.map(|(_, horizon)| horizon).unwrap_or_default();
                self.commit.on_horizon(horizon);
            }
            Err(_) => self.back_off(orders).await,
        }
    }

    async fn back_off(&mut self, orders: &Orders) {
        async_std::task::sleep(orders.jittered(self.pause).as_duration()).await;
        self.pause = Span(self.pause.0 * 2).min(LONGEST_PAUSE);
    }

    fn join(&mut self, waiting: Vec<(Change, Option<Reply>)>) {
        for (change, reply) in waiting {
            self.commit.add([change]);
            if let Some(reply) = reply {
                self.replies.insert(change.claim, (change, reply));
            }
        }
    }

    /// Tells those who wait for a claim; a claim that nobody takes is dropped, which
    /// releases it.
    fn tell(&mut self, orders: &Arc<Orders>) {
        for (claim, settled) in self.commit.take_settled() {
            let Some((change, reply)) = self.replies.swap_remove(&claim) else {
                continue;
            };
            let outcome = match settled {
                Settled::Held => Ok(Claim::new(orders, self.page, change)),
                lost => Err(lost),
            };
            reply.send(outcome).ok();
        }
    }
}
