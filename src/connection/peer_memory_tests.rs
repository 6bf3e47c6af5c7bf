//! Large messages of many other instances at once stay within the memory for them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_std::channel::{self, Receiver};
use async_std::net::TcpListener;
use async_std::task::{block_on, spawn};
use futures::future::{BoxFuture, join_all};
use http::StatusCode;
use rstest::rstest;

use super::peer::{PeerError, Peers};
use super::peer_server::{PeerRequestHandler, accept};
use crate::process::{MemoryBudget, ObjectKey, PeerRequest, PeerResponse};
use crate::types::{ByteCount, PeerKey, Span};

const BUDGET: ByteCount = ByteCount(8 << 20);
const KEY_BYTES: usize = 100;
const LARGE: usize = 10_000;
const SMALL: usize = 1;
const TIMEOUT: Span = Span::from_secs(5);

/// Holds every request until it is told to answer.
struct Holder {
    keys: [PeerKey; 1],
    memory: Arc<MemoryBudget>,
    held: AtomicUsize,
    released: Receiver<()>,
}

impl PeerRequestHandler for Holder {
    fn peer_keys(&self) -> &[PeerKey] {
        &self.keys
    }

    fn memory(&self) -> &Arc<MemoryBudget> {
        &self.memory
    }

    fn refused(&self, _status: StatusCode) {}

    fn answer(&self, _request: PeerRequest) -> BoxFuture<'_, PeerResponse> {
        Box::pin(async move {
            self.held.fetch_add(1, Ordering::Relaxed);
            self.released.recv().await.ok();
            PeerResponse::Objects(Vec::new())
        })
    }
}

/// A message about as many objects as stated.
fn message(objects: usize) -> PeerRequest {
    let key = |at| ObjectKey::new(format!("{at:0>KEY_BYTES$}"));
    PeerRequest::Fetch((0..objects).map(key).collect())
}

struct Case {
    senders: usize,
    objects: usize,
    /// How many of the messages are taken at the same time, at least and at most.
    taken: std::ops::RangeInclusive<usize>,
}

/// Guards against messages of other instances that each keep to their limit and fill the memory
/// together.
#[rstest]
#[case::few_large(Case { senders: 2, objects: LARGE, taken: 2..=2 })]
#[case::many_large(Case { senders: 40, objects: LARGE, taken: 1..=7 })]
#[case::many_small(Case { senders: 40, objects: SMALL, taken: 40..=40 })]
fn messages_stay_within_the_budget(#[case] case: Case) {
    block_on(async {
        let key: PeerKey = "a key of sixteen bytes or more".parse().unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (release, released) = channel::bounded(1);
        let holder = Arc::new(Holder {
            keys: [key.clone()],
            memory: MemoryBudget::new(BUDGET),
            held: AtomicUsize::new(0),
            released,
        });
        spawn(accept(Arc::clone(&holder), listener));
        let (tx, rx) = channel::unbounded();
        let senders: Vec<_> = (0..case.senders)
            .map(|at| {
                let (key, tx, request) = (key.clone(), tx.clone(), message(case.objects));
                spawn(async move {
                    let name = format!("n{at}").parse().unwrap();
                    let peers = Peers::new(name, vec![key], BUDGET);
                    let reply = peers.request(addr, &request, TIMEOUT).await;
                    tx.try_send(()).unwrap();
                    reply
                })
            })
            .collect();
        // Each message is held or refused before any is answered.
        while holder.held.load(Ordering::Relaxed) + rx.len() < case.senders {
            async_std::task::sleep(Span::from_millis(5).as_duration()).await;
        }
        let held = holder.held.load(Ordering::Relaxed);
        drop(release);
        let replies = join_all(senders).await;
        assert!(case.taken.contains(&held), "{held} messages were taken");
        let refused = replies.iter().filter(|reply| {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            matches!(reply, Err(PeerError::Refused(refused)) if *refused == status)
        });
        assert_eq!(refused.count(), case.senders - held, "{replies:?}");
    });
}
