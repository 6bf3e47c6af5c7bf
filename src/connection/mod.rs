//! State that lives as long as a connection: HTTP/1.1 connections from callers and operators,
//! and HTTP/2 connections to upstreams and between instances. This module encodes and decodes
//! messages; decisions are made in other modules.

mod address_api;
mod auth;
mod backoff;
mod caller;
mod conn;
mod disconnect_watch;
mod entry_wire;
mod era_wire;
mod exchange;
#[cfg(test)]
mod fleet_samples;
mod fleet_wire;
mod front;
mod head;
mod heartbeat;
mod heartbeat_wire;
mod http1;
mod http1_chunks;
mod http1_head;
mod http1_memory;
#[cfg(test)]
mod http1_samples;
mod leg_wire;
mod links;
mod listener;
mod mark_wire;
mod operator_api;
mod operator_wire;
mod peer;
mod peer_auth;
mod peer_body;
mod peer_server;
mod peer_wire;
mod pool;
mod query_api;
mod query_wire;
mod request_tracker;
mod stream;
mod watch;
mod watched_stream;

#[cfg(test)]
mod auth_tests;
#[cfg(test)]
mod caller_tests;
#[cfg(test)]
mod cost_tests;
#[cfg(test)]
mod endless_h2_tests;
#[cfg(test)]
mod endless_tests;
#[cfg(test)]
mod heartbeat_tests;
#[cfg(test)]
mod links_tests;
#[cfg(test)]
mod operator_tests;
#[cfg(test)]
mod peer_memory_tests;
#[cfg(test)]
mod peer_slow_link_tests;
#[cfg(test)]
mod peer_tests;
#[cfg(test)]
#[path = "../../tests/standin/slow_link.rs"]
pub(crate) mod slow_link;

pub(crate) use auth::sign as sign_token;
pub(crate) use disconnect_watch::DisconnectWatch;
pub(crate) use front::accept;
pub(crate) use http1::{Http1Conn, HttpError};
pub(crate) use http1_head::{Fields, RequestHead, ResponseHead, is_hop_by_hop};
#[cfg(test)]
pub(crate) use http1_samples::{response_head, sent};
pub(crate) use links::Links;
pub(crate) use listener::{serve_each, serve_until};
pub(crate) use peer::{PeerError, Peers};
pub(crate) use peer_server::{PeerRequestHandler, accept as accept_peers};

/// The longest header list of an HTTP/2 message. The library's own limit is many megabytes.
const MAX_HEADER_LIST_BYTES: u32 = 16 << 10;

pub use address_api::{AddressWire, AddressesWire, CellStatusWire, MemberStatusWire, MembersWire};
pub use operator_wire::{
    AcceptedWire, AuditWire, ClassListWire, IndexStatusWire, RefusedChangeWire, StatusWire,
    TargetsWire, UpstreamStatusWire,
};
pub use query_wire::{AnswerWire, CoverageWire, PartWire, RefusalWire};
