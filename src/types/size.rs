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
    /// A number of connections to an upstream, from one instance or from all together.
    ConnectionCount, u32, "a number of connections"
}
