//! The record that instances share about one instance.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::process::cells::{Member, MemberState};
use crate::types::Incarnation;

/// One instance, as published by itself or by an instance that watched it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct InstanceRecord {
    pub(crate) member: Member,
    /// Orders the records of one process.
    pub(crate) seq: u64,
    /// The instance's share of a core, in thousandths.
    pub(crate) capacity: u32,
}

/// Returns the record with the state set to gone.
pub(super) fn as_gone(mut instance_record: InstanceRecord) -> InstanceRecord {
    instance_record.member.state = MemberState::Gone;
    instance_record
}

/// Returns the precedence of a record: of two records of one instance the greater one
/// holds.
pub(super) fn precedence(instance_record: &InstanceRecord) -> (Incarnation, u64, MemberState) {
    let member = &instance_record.member;
    (member.incarnation, instance_record.seq, member.state)
}

/// Returns the place of an instance in the order in which instances serve others: the ones with
/// most capacity come first, since the updates of all followers leave through one link.
pub(super) fn serving_order(instance_record: &InstanceRecord) -> (Reverse<u32>, SocketAddr) {
    let addr = instance_record.member.peer_addr;
    (Reverse(instance_record.capacity), addr)
}
