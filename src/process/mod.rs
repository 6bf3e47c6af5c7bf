//! State that lives as long as the process: the shared tables, the worker pool, the
//! clock, the settings and the connection to the platform.

mod addresses;
mod admission;
mod admitted;
mod audit;
mod audit_rows;
mod audit_wire;
mod budget;
mod candidates;
mod catalog;
mod cell_table;
mod cell_wire;
mod cells;
mod change_log;
mod choice;
mod clock;
mod config;
mod dispatch;
mod domain_latency;
mod engine;
mod fleet;
mod follow;
mod gate;
mod heartbeat;
mod instance;
mod instance_count;
mod latency;
mod lead;
mod lease;
mod lease_store;
mod limits;
mod lock;
mod log_rate;
mod mark;
mod member_metrics;
mod members;
mod memory;
mod metrics;
mod operate;
mod orders;
mod peer_messages;
mod platform;
mod poison;
mod poison_wire;
mod pool;
mod quarantine;
mod rate_budget;
mod service_retry_budget;
mod settings;
mod shared_marks;
mod shutdown;
mod snapshot_availability;
mod stated_availability;
mod suspects;
mod table;
mod tables;
mod timer;
mod upstream_notes;
mod upstream_signals;
mod upstream_stats;
mod upstreams;
mod window;

#[cfg(test)]
mod addresses_tests;
#[cfg(test)]
mod admission_tests;
#[cfg(test)]
mod audit_tests;
#[cfg(test)]
mod lease_tests;
#[cfg(test)]
mod limits_tests;
#[cfg(test)]
mod members_tests;
#[cfg(test)]
mod process_tests;
#[cfg(test)]
mod sharing_strategies;
#[cfg(test)]
mod sharing_tests;
#[cfg(test)]
mod shedding_tests;
#[cfg(test)]
mod shutdown_tests;

pub use admission::{Admission, AdmissionRequest, QueryEnd, Ticket};
pub use budget::{ClassBudgets, ExtraLeg};
pub use choice::{Choice, LegEnd, SelectionRequest};
pub use limits::Limits;
pub use platform::{
    CallRates, Change, Changes, Expected, ListedInstance, Listing, Object, ObjectKey, Platform,
    PlatformError,
};
pub use service_retry_budget::{RetryLimits, ServiceRetryBudgets};
pub use settings::{Settings, SettingsError};
pub use suspects::Suspects;
pub use upstreams::Upstreams;

pub(crate) use addresses::{CallerLocation, choose as choose_addresses};
pub(crate) use audit_rows::RefusedChange;
pub(crate) use catalog::{Catalog, Replicas, RoutePlan};
pub(crate) use cells::{CellId, CellVersion, Member, MemberState, Summary};
pub(crate) use clock::Clock;
pub(crate) use config::{
    Accepted, AuditEntries, AuditQuery, ClassChange, Config, Precondition, Proposal,
};
pub(crate) use dispatch::Job;
pub(crate) use engine::{Engine, LegTransport, Workers};
pub(crate) use fleet::{
    Chunk, DecodedObject, Entry, EntryState, EntryVersion, FollowReason, FollowRequest,
    InstanceRecord, LargeObject, Node, NodeSettings, ObjectDecoder, ReplicaEntry, RouteRequest,
    RouteResponse, SilenceReport, SilentReplica, Updates, WriterOrder,
};
pub(crate) use instance::Instance;
pub(crate) use latency::ClassLatency;
pub(crate) use lock::{Rank, Ranked};
pub(crate) use log_rate::LogRate;
#[cfg(test)]
pub(crate) use members::{Members, Timing};
pub(crate) use members::{Readiness, Role};
pub(crate) use memory::{MemoryBudget, OutOfMemory, Reservation};
pub(crate) use metrics::Metrics;
pub(crate) use peer_messages::{
    CellDelta, Heartbeat, HeartbeatReply, PeerRequest, PeerResponse, SeenInstance,
};
pub(crate) use platform::{Backoff, CallBucket};
pub(crate) use shared_marks::{AddressedReport, Audience, IncidentReport, MarkReport};
pub(crate) use shutdown::{AbortedRequests, Shutdown, Step, StopSignal, StopTimes};
pub(crate) use table::Table;
pub(crate) use upstream_signals::{LegResult, UpstreamSignals};
pub(crate) use upstreams::UpstreamLoad;
