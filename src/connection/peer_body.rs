//! Reads the messages between instances into memory that all of them share.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use h2::RecvStream;

use crate::process::{MemoryBudget, OutOfMemory, Reservation};

/// Why a message was not read to its end.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum PeerBodyError {
    /// The HTTP/2 connection or stream failed.
    #[error("the connection failed: {0}")]
    Http2(#[from] h2::Error),
    /// The message exceeds the limit of a message.
    #[error("the message is too large")]
    TooLarge,
    /// Other messages hold so much memory that none is left for this one.
    #[error("no memory is left for the message")]
    OutOfMemory,
}

impl From<OutOfMemory> for PeerBodyError {
    fn from(_: OutOfMemory) -> Self {
        Self::OutOfMemory
    }
}

/// A message and the memory that it holds.
#[derive(Debug)]
pub(super) struct PeerBody {
    pub(super) bytes: Vec<u8>,
    memory: Reservation,
}

impl PeerBody {
    fn new(budget: &Arc<MemoryBudget>) -> Self {
        Self {
            bytes: Vec::new(),
            memory: budget.reserve(),
        }
    }

    fn extend(&mut self, chunk: &[u8]) -> Result<(), OutOfMemory> {
        let needed = self.bytes.len() + chunk.len();
        if needed > self.bytes.capacity() {
            let doubled = needed.max(self.bytes.capacity() * 2);
            let held = self.hold(doubled).or_else(|_| self.hold(needed))?;
            self.bytes.reserve_exact(held - self.bytes.len());
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    fn hold(&mut self, bytes: usize) -> Result<usize, OutOfMemory> {
        self.memory.resize(bytes)?;
        Ok(bytes)
    }
}

/// Reads a whole message of at most `max_bytes` bytes. `received` counts the bytes as they arrive.
///
/// # Errors
/// Any [`PeerBodyError`].
pub(super) async fn read(
    mut stream: RecvStream,
    max_bytes: usize,
    budget: &Arc<MemoryBudget>,
    received: &AtomicUsize,
) -> Result<PeerBody, PeerBodyError> {
    let mut body = PeerBody::new(budget);
    while let Some(chunk) = stream.data().await {
        let chunk = chunk?;
        if body.bytes.len() + chunk.len() > max_bytes {
            return Err(PeerBodyError::TooLarge);
        }
        body.extend(&chunk)?;
        received.store(body.bytes.len(), Ordering::Relaxed);
        stream.flow_control().release_capacity(chunk.len())?;
    }
    Ok(body)
}
