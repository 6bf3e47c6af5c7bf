//! Header fields without end on a connection of another instance, before it has proved its key.
//!
//! Guards against a server that keeps them all until a limit of many megabytes.

use std::sync::Arc;

use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{block_on, spawn};
use futures::future::BoxFuture;
use futures::io::AsyncWriteExt;
use http::StatusCode;

use super::peer_server::{self, PeerRequestHandler};
use crate::process::{MemoryBudget, PeerRequest, PeerResponse};
use crate::types::{ByteCount, PeerKey, Span};

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const SETTINGS: u8 = 4;
const HEADERS: u8 = 1;
const CONTINUATION: u8 = 9;
/// The largest frame that a peer may send unasked.
const FRAME_BYTES: usize = 16 << 10;
/// More than any head needs, with what the sockets buffer.
const MAX_SENT_BYTES: usize = 8 << 20;
const ENDS_WITHIN: Span = Span::from_secs(10);

struct NoRequests(Arc<MemoryBudget>);

impl PeerRequestHandler for NoRequests {
    fn peer_keys(&self) -> &[PeerKey] {
        &[]
    }

    fn memory(&self) -> &Arc<MemoryBudget> {
        &self.0
    }

    fn refused(&self, _status: StatusCode) {}

    fn answer(&self, _request: PeerRequest) -> BoxFuture<'_, PeerResponse> {
        Box::pin(async { PeerResponse::Objects(Vec::new()) })
    }
}

fn frame(kind: u8, stream: u8, payload: &[u8]) -> Vec<u8> {
    let len = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let head = [len[1], len[2], len[3], kind, 0, 0, 0, 0, stream];
    [&head, payload].concat()
}

#[test]
fn header_fields_without_end_close_the_connection() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let memory = MemoryBudget::new(ByteCount(1 << 20));
        spawn(peer_server::accept(Arc::new(NoRequests(memory)), listener));
        let mut stream = TcpStream::connect(addr).await.unwrap();
        let begin = [PREFACE, &frame(SETTINGS, 0, &[])].concat();
        stream.write_all(&begin).await.unwrap();
        // A literal field without indexing, whose value is longer than all frames.
        let mut field = vec![0, 1, b'a', 0x7f, 0xff, 0xff, 0xff, 0x7f];
        field.resize(FRAME_BYTES, b'b');
        let mut sent = stream.write_all(&frame(HEADERS, 1, &field)).await;
        let mut bytes = FRAME_BYTES;
        let piece = frame(CONTINUATION, 1, &[b'b'; FRAME_BYTES]);
        let sending = async {
            while sent.is_ok() && bytes < MAX_SENT_BYTES * 2 {
                sent = stream.write_all(&piece).await;
                bytes += FRAME_BYTES;
            }
        };
        let ended = timeout(ENDS_WITHIN.as_duration(), sending).await;
        assert!(ended.is_ok(), "the server keeps the connection open");
        assert!(bytes < MAX_SENT_BYTES, "{bytes} bytes were taken");
    });
}
