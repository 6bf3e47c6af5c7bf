//! A link of limited bandwidth.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task::{sleep, spawn};
use parking_lot::Mutex;

const CHUNK_BYTES: usize = 4 << 10;

/// The bandwidth of one direction of a link.
#[derive(Clone, Debug)]
struct Bandwidth {
    bytes_per_sec: u32,
    /// When the bytes accepted so far have left.
    idle_from: Arc<Mutex<Instant>>,
}

impl Bandwidth {
    fn new(bytes_per_sec: u32) -> Self {
        Self {
            bytes_per_sec,
            idle_from: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Waits until these bytes have left, after those of all other connections that share this.
    async fn send(&self, bytes: usize) {
        let bytes = f64::from(u32::try_from(bytes).unwrap());
        let takes = Duration::from_secs_f64(bytes / f64::from(self.bytes_per_sec));
        let now = Instant::now();
        let sent_at = {
            let mut idle_from = self.idle_from.lock();
            *idle_from = now.max(*idle_from) + takes;
            *idle_from
        };
        sleep(sent_at.duration_since(now)).await;
    }
}

/// Relays connections to `target`, with the bytes of its replies at a limited rate on each.
pub(crate) async fn slow_link(target: SocketAddr, bytes_per_sec: u32) -> SocketAddr {
    relay_all(target, move || Bandwidth::new(bytes_per_sec)).await
}

/// Relays connections to `target`, with the bytes of its replies at a limited rate on all of them
/// together.
#[allow(dead_code, reason = "only some tests share a link")]
pub(crate) async fn shared_slow_link(target: SocketAddr, bytes_per_sec: u32) -> SocketAddr {
    let shared = Bandwidth::new(bytes_per_sec);
    relay_all(target, move || shared.clone()).await
}

async fn relay_all(
    target: SocketAddr,
    bandwidth: impl Fn() -> Bandwidth + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            spawn(relay(client.clone(), server.clone(), None));
            spawn(relay(server, client, Some(bandwidth())));
        }
    });
    addr
}

async fn relay(mut from: TcpStream, mut to: TcpStream, bandwidth: Option<Bandwidth>) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = from.read(&mut chunk).await {
        if let Some(bandwidth) = &bandwidth {
            bandwidth.send(count).await;
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            break;
        }
    }
    // Shutting down fails if the connection is already closed.
    to.shutdown(Shutdown::Both).ok();
}
