//! Sizes: counts of bytes, slots and connections.

use super::number::number;

number! {
    /// A number of bytes.
    ByteCount, u64, "a number of bytes"
}
number! {
    /// How many legs an upstream runs at the same time.
    SlotCount, u32, "a number of slots"
}
number! {
    /// How many connections an upstream accepts from all instances together.
    ConnectionCount, u32, "a number of connections"
}
