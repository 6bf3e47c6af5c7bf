//! What lives for a connection: callers' and operators' over HTTP/1.1, and those to
//! upstreams over HTTP/2. Encodings stay in here, decisions elsewhere.

mod front;
mod hangup;
mod leg_wire;
mod link;
mod query_api;
mod query_wire;

pub(crate) use front::accept;
pub(crate) use link::Links;

pub use query_wire::{AnswerWire, CoverageWire, PartWire, RefusalWire};
