//! What is said of one instance.

use crate::process::cells::{Member, MemberState};
use crate::types::Incarnation;

/// One instance, as it or somebody who watched it says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Presence {
    pub(crate) member: Member,
    /// Orders what is said of one process.
    pub(crate) seq: u64,
    /// Its share of a core, in thousandths.
    pub(crate) capacity: u32,
}

/// The same instance, gone.
pub(super) fn gone(mut presence: Presence) -> Presence {
    presence.member.state = MemberState::Gone;
    presence
}

/// Of two statements on one instance the greater holds.
pub(super) fn order(presence: &Presence) -> (Incarnation, u64, MemberState) {
    let member = &presence.member;
    (member.incarnation, presence.seq, member.state)
}
