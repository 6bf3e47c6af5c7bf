//! Notices that a caller hung up while its answer is being made.

use async_std::net::TcpStream;

/// Watches one caller's connection.
#[derive(Clone, Debug)]
pub(crate) struct Hangup {
    stream: TcpStream,
}

impl Hangup {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream }
    }

    /// Completes when the caller closed the connection. A caller that sends its next
    /// request early is taken to be there, and is not watched any further.
    pub(crate) async fn wait(self) {
        let mut buf = [0; 1];
        let early = matches!(self.stream.peek(&mut buf).await, Ok(1..));
        if early {
            std::future::pending::<()>().await;
        }
    }
}
