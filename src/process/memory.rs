//! How much memory the messages of one kind that arrive from outside may use together.
//!
//! A message may hold a part of what is still free. So the largest messages are refused first, and
//! small ones find room while others fill the memory; see `docs/DESIGN.md`, "Memory".

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::types::ByteCount;

/// A message may hold as much as is left free, divided by this.
const FREE_DIVISOR: usize = 4;
/// A message of up to this size is always taken. The number of connections bounds how many there
/// are.
const MIN_MESSAGE_BYTES: usize = 4 << 10;

/// The memory for messages of one kind, shared by all that read them.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    limit: usize,
    reserved: AtomicUsize,
}

/// The memory that one message holds; released on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

/// Other messages hold so much memory that no more can be reserved for this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OutOfMemory;

impl MemoryBudget {
    pub(crate) fn new(limit: ByteCount) -> Arc<Self> {
        Arc::new(Self {
            limit: usize::try_from(limit.0).unwrap_or(usize::MAX),
            reserved: AtomicUsize::new(0),
        })
    }

    /// Returns a reservation of nothing, to be resized.
    pub(crate) fn reserve(self: &Arc<Self>) -> Reservation {
        Reservation {
            budget: Arc::clone(self),
            bytes: 0,
        }
    }

    /// Whether a message may hold this many bytes while others hold `others`.
    fn allows(&self, others: usize, bytes: usize) -> bool {
        let free = self.limit.saturating_sub(others.saturating_add(bytes));
        bytes <= MIN_MESSAGE_BYTES.max(free / FREE_DIVISOR)
    }
}

impl Reservation {
    /// Changes the number of reserved bytes.
    ///
    /// # Errors
    /// Returns an error, and changes nothing, if the budget does not allow it.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let reserved = &self.budget.reserved;
        if bytes <= self.bytes {
            reserved.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        } else {
            let others = reserved.load(Ordering::Relaxed) - self.bytes;
            if !self.budget.allows(others, bytes) {
                return Err(OutOfMemory);
            }
            reserved.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Moves the reserved bytes to a reservation of their own.
    pub(crate) fn take(&mut self) -> Self {
        let bytes = std::mem::take(&mut self.bytes);
        Self {
            budget: Arc::clone(&self.budget),
            bytes,
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget
            .reserved
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
#[path = "memory_tests.rs"]
mod memory_tests;
