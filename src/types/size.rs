//! Counts of bytes, slots and connections.

use super::number::number;

number! {
    /// A number of bytes.
    ByteCount, u64, "a number of bytes"
}
number! {
    /// The number of legs that an upstream executes concurrently.
    SlotCount, u32, "a number of slots"
}
number! {
    /// The number of connections that an upstream accepts from all instances together.
    ConnectionCount, u32, "a number of connections"
}
