//! Detects that a caller disconnected before it received its response.

use async_std::net::TcpStream;

/// Watches one caller's connection for its end.
#[derive(Clone, Debug)]
pub(crate) struct DisconnectWatch {
    stream: TcpStream,
}

impl DisconnectWatch {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream }
    }

    /// Completes when the caller has closed the connection. If the caller sends its next
    /// request early, it counts as connected, and the future never completes.
    pub(crate) async fn wait(self) {
        let mut buf = [0; 1];
        let sent_early = matches!(self.stream.peek(&mut buf).await, Ok(1..));
        if sent_early {
            std::future::pending::<()>().await;
        }
    }
}
