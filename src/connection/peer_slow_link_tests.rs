//! A large reply from another instance arrives over a slow link, and a silent instance is still
//! found in time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::net::TcpListener;
use async_std::task::{block_on, spawn};
use futures::future::BoxFuture;
use http::StatusCode;
use rstest::rstest;

use super::peer::{PeerError, Peers};
use super::peer_server::{PeerRequestHandler, accept};
use super::slow_link::slow_link;
use crate::process::{MemoryBudget, Object, ObjectKey, PeerRequest, PeerResponse};
use crate::types::{ByteCount, ObjectVersion, PeerKey, Span};

const TIMEOUT: Span = Span::from_secs(1);
const MEMORY: ByteCount = ByteCount(20 << 20);

struct Case {
    size: ByteCount,
    bytes_per_sec: u32,
    /// Whether the other instance never replies.
    silent: bool,
    arrives: bool,
}

#[derive(Debug)]
struct Holder {
    keys: [PeerKey; 1],
    memory: Arc<MemoryBudget>,
    size: ByteCount,
    silent: bool,
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
            if self.silent {
                std::future::pending::<()>().await;
            }
            let object = Object {
                key: ObjectKey::new("indexes/a"),
                version: ObjectVersion(1),
                value: vec![b'x'; usize::try_from(self.size.0).unwrap()],
            };
            PeerResponse::Objects(vec![Arc::new(object)])
        })
    }
}

fn key() -> PeerKey {
    "a key of sixteen bytes or more".parse().unwrap()
}

/// Guards against a reply that never arrives because it takes longer than a timeout that was
/// meant for a silent instance; see `docs/incidents/config-not-in-force.md`.
#[rstest]
#[case::large_over_a_slow_link(Case {
    size: ByteCount(1 << 20), bytes_per_sec: 400_000, silent: false, arrives: true,
})]
#[case::small(Case {
    size: ByteCount(100), bytes_per_sec: 400_000, silent: false, arrives: true,
})]
#[case::silent(Case {
    size: ByteCount(100), bytes_per_sec: 400_000, silent: true, arrives: false,
})]
fn a_reply_arrives_as_long_as_it_makes_progress(#[case] case: Case) {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr: SocketAddr = listener.local_addr().unwrap();
        let holder = Holder {
            keys: [key()],
            memory: MemoryBudget::new(MEMORY),
            size: case.size,
            silent: case.silent,
        };
        spawn(accept(Arc::new(holder), listener));
        let link = slow_link(addr, case.bytes_per_sec).await;
        let peers = Peers::new("n1".parse().unwrap(), vec![key()], MEMORY);
        let request = PeerRequest::Fetch(vec![ObjectKey::new("indexes/a")]);
        let began = Instant::now();
        let reply = peers.request(link, &request, TIMEOUT).await;
        if case.arrives {
            assert!(matches!(&reply, Ok(PeerResponse::Objects(_))), "{reply:?}");
        } else {
            assert!(matches!(&reply, Err(PeerError::Timeout(0))), "{reply:?}");
            assert!(began.elapsed() < TIMEOUT.as_duration() + Duration::from_secs(1));
        }
    });
}
