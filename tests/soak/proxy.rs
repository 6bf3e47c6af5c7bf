//! A loopback proxy that harms the connections through it.

use std::sync::Arc;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use async_std::task::{sleep, spawn};
use parking_lot::Mutex;

/// What happens to bytes on the way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Harm {
    #[default]
    None,
    Delay,
    /// Nothing passes, in either direction, and nobody is told.
    Silence,
    /// Requests pass and answers do not.
    OneWay,
}

#[derive(Debug)]
struct State {
    target: SocketAddr,
    harm: Harm,
    conns: Vec<TcpStream>,
}

/// A proxy in front of one address.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    pub(crate) addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Proxy {
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let state = Arc::new(Mutex::new(State {
            target,
            harm: Harm::None,
            conns: Vec::new(),
        }));
        let proxy = Self { addr, state };
        let accepting = proxy.clone();
        spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn(accepting.clone().link(stream));
            }
        });
        proxy
    }

    pub(crate) fn set_harm(&self, harm: Harm) {
        self.state.lock().harm = harm;
    }

    pub(crate) fn set_target(&self, target: SocketAddr) {
        self.state.lock().target = target;
    }

    /// Ends every connection through it.
    pub(crate) fn reset(&self) {
        for conn in self.state.lock().conns.drain(..) {
            // One that is closed already cannot be shut down.
            conn.shutdown(Shutdown::Both).ok();
        }
    }

    async fn link(self, near: TcpStream) {
        let target = self.state.lock().target;
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        self.state.lock().conns.extend([near.clone(), far.clone()]);
        spawn(self.clone().pump(near.clone(), far.clone(), false));
        self.pump(far, near, true).await;
    }

    async fn pump(self, mut from: TcpStream, mut to: TcpStream, answers: bool) {
        let mut buf = vec![0; 8 << 10];
        while let Ok(count @ 1..) = from.read(&mut buf).await {
            loop {
                let harm = self.state.lock().harm;
                let held = harm == Harm::Silence || (harm == Harm::OneWay && answers);
                if harm == Harm::Delay {
                    sleep(Duration::from_millis(40)).await;
                }
                if !held {
                    break;
                }
                sleep(Duration::from_millis(20)).await;
            }
            if to.write_all(&buf[..count]).await.is_err() {
                break;
            }
        }
        to.shutdown(Shutdown::Both).ok();
    }
}
