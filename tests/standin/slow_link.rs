//! A link of limited bandwidth.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task::{sleep, spawn};

const CHUNK_BYTES: usize = 4 << 10;

/// Relays connections to `target`, with the bytes of its replies at a limited rate.
pub(crate) async fn slow_link(target: SocketAddr, bytes_per_sec: u32) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            spawn(relay(client.clone(), server.clone(), None));
            spawn(relay(server, client, Some(bytes_per_sec)));
        }
    });
    addr
}

async fn relay(mut from: TcpStream, mut to: TcpStream, bytes_per_sec: Option<u32>) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = from.read(&mut chunk).await {
        if let Some(rate) = bytes_per_sec {
            let bytes = u32::try_from(count).unwrap();
            sleep(Duration::from_secs_f64(f64::from(bytes) / f64::from(rate))).await;
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            break;
        }
    }
    // Shutting down fails if the connection is already closed.
    to.shutdown(Shutdown::Both).ok();
}
