//! A loopback proxy that injects network faults.

use std::sync::Arc;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use async_std::task::{JoinHandle, sleep, spawn};
use futures::future::join;
use indexmap::IndexMap;
use parking_lot::Mutex;

/// The fault applied to the relayed bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LinkFault {
    #[default]
    None,
    Delay,
    /// Holds back the bytes of both directions and keeps the connections open.
    Blackhole,
    /// Relays requests and holds back responses.
    BlockResponses,
}

#[derive(Debug)]
struct State {
    target: SocketAddr,
    fault: LinkFault,
    /// Both ends of each relayed connection, until it ends.
    conns: IndexMap<u64, [TcpStream; 2]>,
    last_conn: u64,
    accept_task: Option<JoinHandle<()>>,
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
            fault: LinkFault::None,
            conns: IndexMap::new(),
            last_conn: 0,
            accept_task: None,
        }));
        let proxy = Self { addr, state };
        let acceptor = proxy.clone();
        let accept_task = spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn(acceptor.clone().relay(stream));
            }
        });
        proxy.state.lock().accept_task = Some(accept_task);
        proxy
    }

    /// Closes the listener and every connection, and releases what faults hold back.
    pub(crate) async fn stop(&self) {
        self.set_fault(LinkFault::None);
        let accept_task = self.state.lock().accept_task.take();
        if let Some(accept_task) = accept_task {
            accept_task.cancel().await;
        }
        self.reset();
    }

    pub(crate) fn set_fault(&self, fault: LinkFault) {
        self.state.lock().fault = fault;
    }

    pub(crate) fn set_target(&self, target: SocketAddr) {
        self.state.lock().target = target;
    }

    /// Closes every connection through the proxy.
    pub(crate) fn reset(&self) {
        for (_, ends) in self.state.lock().conns.drain(..) {
            for end in ends {
                // Shutting down fails if the connection is already closed.
                end.shutdown(Shutdown::Both).ok();
            }
        }
    }

    async fn relay(self, client: TcpStream) {
        let target = self.state.lock().target;
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let conn = {
            let mut state = self.state.lock();
            state.last_conn += 1;
            let conn = state.last_conn;
            state.conns.insert(conn, [client.clone(), server.clone()]);
            conn
        };
        let requests = self.copy(client.clone(), server.clone(), false);
        let responses = self.copy(server, client, true);
        join(requests, responses).await;
        self.state.lock().conns.swap_remove(&conn);
    }

    /// Copies one direction, holding bytes back while a fault blocks it.
    async fn copy(&self, mut from: TcpStream, mut to: TcpStream, is_response: bool) {
        let mut buf = vec![0; 8 << 10];
        while let Ok(count @ 1..) = from.read(&mut buf).await {
            loop {
                let fault = self.state.lock().fault;
                let is_blocked = fault == LinkFault::Blackhole
                    || (fault == LinkFault::BlockResponses && is_response);
                if fault == LinkFault::Delay {
                    sleep(Duration::from_millis(40)).await;
                }
                if !is_blocked {
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
