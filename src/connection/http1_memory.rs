//! The memory of what an HTTP/1.1 connection receives: buffers grow only as far as the budget of
//! the connection allows.

use std::sync::Arc;

use async_std::net::TcpStream;

use super::http1::{Http1Conn, HttpError, READ_BYTES};
use crate::process::{MemoryBudget, OutOfMemory, Reservation};
use crate::request::Body;

impl From<OutOfMemory> for HttpError {
    fn from(_: OutOfMemory) -> Self {
        Self::OutOfMemory
    }
}

impl Http1Conn {
    /// Like [`Http1Conn::new`]; what is received takes its memory from `budget`.
    pub(crate) fn with_budget(stream: TcpStream, budget: &Arc<MemoryBudget>) -> Self {
        let mut conn = Self::new(stream);
        conn.memory = Some(budget.reserve());
        conn
    }

    /// Drops what was received and not yet consumed.
    pub(crate) fn clear(&mut self) {
        (self.buf, self.consumed, self.moved) = (Vec::new(), 0, 0);
        drop(self.memory.as_mut().map(Reservation::take));
    }

    /// What was received and not yet consumed.
    pub(super) fn unread(&self) -> &[u8] {
        &self.buf[self.consumed..]
    }

    /// Drops bytes from the front of what was received.
    pub(super) fn consume(&mut self, len: usize) {
        self.consumed += len;
        if self.consumed == self.buf.len() {
            self.buf.clear();
            self.consumed = 0;
        }
    }

    /// Adds received bytes to the buffer.
    pub(super) fn receive(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        self.buf.drain(..self.consumed);
        self.consumed = 0;
        if let Some([doubled, needed]) = larger_capacities(&self.buf, bytes.len()) {
            let moved = self.moved;
            let held = self.hold(moved + doubled);
            let held = held.or_else(|_| self.hold(moved + needed))?;
            self.buf.reserve_exact(held - moved - self.buf.len());
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Moves bytes from the front of what was received to the end of a body.
    pub(super) fn move_to(&mut self, body: &mut Vec<u8>, len: usize) -> Result<(), HttpError> {
        if len == 0 {
            return Ok(());
        }
        if body.is_empty() && self.consumed == 0 && self.buf.len() == len {
            std::mem::swap(body, &mut self.buf);
            self.moved = body.capacity();
            return Ok(());
        }
        if let Some([doubled, needed]) = larger_capacities(body, len) {
            let buffered = self.buf.capacity();
            let held = self.hold(buffered + doubled);
            let held = held.or_else(|_| self.hold(buffered + needed))?;
            body.reserve_exact(held - buffered - body.len());
            self.moved = body.capacity();
        }
        body.extend_from_slice(&self.unread()[..len]);
        self.consume(len);
        Ok(())
    }

    /// Completes a body, which from then on holds its memory itself.
    pub(super) fn finish(&mut self, mut bytes: Vec<u8>) -> Result<Body, HttpError> {
        if bytes.capacity() - bytes.len() > READ_BYTES {
            bytes.shrink_to_fit();
        }
        self.moved = 0;
        self.read_bytes = READ_BYTES;
        // An idle connection keeps no more than its next message usually needs.
        self.buf.shrink_to(READ_BYTES);
        let mut memory = self.memory.as_mut().map(Reservation::take);
        if let Some(memory) = &mut memory {
            memory.resize(bytes.capacity())?;
        }
        self.hold(self.buf.capacity())?;
        Ok(Body::new(bytes, memory))
    }

    /// Reserves this much for the buffer and the body that is being read.
    fn hold(&mut self, bytes: usize) -> Result<usize, HttpError> {
        if let Some(memory) = &mut self.memory {
            memory.resize(bytes)?;
        }
        Ok(bytes)
    }
}

/// Returns the capacities to try for `more` bytes at the end of `buf`, if it has no room for them.
fn larger_capacities(buf: &Vec<u8>, more: usize) -> Option<[usize; 2]> {
    let needed = buf.len() + more;
    let doubled = needed.max(buf.capacity() * 2);
    (needed > buf.capacity()).then_some([doubled, needed])
}
