//! Measures the slopes that `docs/CAPACITY.md` is computed from: bytes of state per known replica,
//! and bytes, allocations and time per leg.
//!
//! `cargo run --release --example capacity`

#[path = "../tests/standin/sized.rs"]
mod sized;
#[path = "../tests/standin/tables.rs"]
mod tables;

use std::sync::Arc;
use std::time::Instant;

use hyssopwalk::{
    Action, Body, Class, Event, Index, LegReply, ObjectVersion, Query, QueryId, Ratio, Snapshot,
    Span, Targets, Timestamp,
};
use sized::{REPLICAS_PER_SHARD, index_wire};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use tables::Tables;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<std::alloc::System> = &INSTRUMENTED_SYSTEM;

const SHARD_COUNTS: [usize; 3] = [20, 200, 1_700];
const QUERY_COUNT: u32 = 200;
const SEED: u64 = 1;
const BODY: &[u8] = br#"{"cloth":"masi","stitch":"long"}"#;

fn main() {
    println!("| slope | shards | value | unit |");
    println!("| --- | ---: | ---: | --- |");
    for shards in SHARD_COUNTS {
        measure_state(shards);
        measure_decisions(shards);
    }
}

fn row(slope: &str, shards: usize, value: f64, unit: &str) {
    println!("| {slope} | {shards} | {value:.1} | {unit} |");
}

fn per_unit(total: impl TryInto<u32>, count: usize) -> f64 {
    let total = total.try_into().map_or(f64::NAN, f64::from);
    total / u32::try_from(count).map_or(f64::NAN, f64::from)
}

/// Measures the memory of an index and of the tables after four queries.
fn measure_state(shards: usize) {
    let wire = index_wire(shards);
    let replicas = shards * REPLICAS_PER_SHARD;
    let object = serde_json::to_vec(&wire).expect("an index is JSON");
    row(
        "index object",
        shards,
        per_unit(object.len(), replicas),
        "bytes a replica",
    );
    let region = Region::new(ALLOCATOR);
    let index = Index::try_from((&wire, ObjectVersion(1))).expect("a valid index");
    row(
        "directory",
        shards,
        per_unit(net_bytes(&region), replicas),
        "bytes a replica",
    );
    let mut tables = Tables::new(SEED);
    let region = Region::new(ALLOCATOR);
    for number in 0..4 {
        run_query(
            &mut tables,
            number,
            &index.snapshots[0],
            Timestamp(u64::from(number) * 100_000),
        );
    }
    let legs_in_flight = tables.upstreams.in_flight();
    assert_eq!(legs_in_flight, 0, "every leg has ended");
    row(
        "tables of upstreams and limits",
        shards,
        per_unit(net_bytes(&region), replicas),
        "bytes a replica",
    );
}

/// Measures the cost of the decisions of whole queries and the memory of one query in flight.
fn measure_decisions(shards: usize) {
    let index = Index::try_from((&index_wire(shards), ObjectVersion(1))).expect("a valid index");
    let snapshot = &index.snapshots[0];
    let mut tables = Tables::new(SEED);
    run_query(&mut tables, 0, snapshot, Timestamp::default());
    let region = Region::new(ALLOCATOR);
    let started = Instant::now();
    for number in 1..=QUERY_COUNT {
        run_query(
            &mut tables,
            number,
            snapshot,
            Timestamp(u64::from(number) * 100_000),
        );
    }
    let took = started.elapsed();
    let change = region.change();
    let legs = shards * QUERY_COUNT as usize;
    row(
        "decisions",
        shards,
        per_unit(took.as_nanos() / 100, legs) * 100.0,
        "ns a leg",
    );
    row(
        "decisions",
        shards,
        per_unit(change.allocations, legs),
        "allocations a leg",
    );
    row(
        "decisions",
        shards,
        per_unit(change.bytes_allocated / 100, legs) * 100.0,
        "bytes a leg",
    );
    let region = Region::new(ALLOCATOR);
    let (mut query, _) = new_query(QUERY_COUNT + 1, snapshot);
    let actions = query.start(&mut tables.context(Timestamp::default()));
    row(
        "query in flight",
        shards,
        per_unit(net_bytes(&region), shards),
        "bytes a leg",
    );
    drop(actions);
}

/// Returns the bytes allocated and not yet freed in the region.
fn net_bytes(region: &Region<'_, std::alloc::System>) -> usize {
    let change = region.change();
    (change.bytes_allocated + change.bytes_reallocated.unsigned_abs())
        .saturating_sub(change.bytes_deallocated)
}

fn new_query(number: u32, snapshot: &Arc<Snapshot>) -> (Query, Timestamp) {
    let class = Arc::new(Class {
        name: "finder".parse().expect("a valid name"),
        index: "finder".parse().expect("a valid name"),
        targets: Targets {
            latency: Span::from_millis(170),
            coverage: Ratio::ONE,
            extra_load: "5%".parse().expect("a valid ratio"),
            repeatable: true,
        },
    });
    let now = Timestamp(u64::from(number) * 100_000);
    let deadline = now + Span::from_millis(170);
    let id = QueryId(u128::from(number));
    (
        Query::new(
            id,
            class,
            Arc::clone(snapshot),
            Arc::from(BODY),
            now,
            deadline,
        ),
        now,
    )
}

/// Runs one query to its end; every leg replies after five milliseconds.
fn run_query(tables: &mut Tables, number: u32, snapshot: &Arc<Snapshot>, now: Timestamp) {
    let (mut query, _) = new_query(number, snapshot);
    let mut reply_at = now;
    let mut actions = query.start(&mut tables.context(now));
    while !query.is_finished() {
        reply_at = reply_at + Span::from_millis(5);
        let mut next = Vec::new();
        for action in actions.drain(..) {
            if let Action::Send(leg) = action {
                let reply = LegReply {
                    query: leg.query,
                    leg: leg.leg,
                    snapshot: leg.snapshot,
                    range: leg.range,
                    head: None,
                    body: Body::default(),
                };
                let event = Event::Reply(leg.leg, reply);
                next.extend(query.on_event(&mut tables.context(reply_at), event));
            }
        }
        if next.is_empty() {
            next.extend(query.on_event(&mut tables.context(reply_at), Event::Wake));
        }
        actions = next;
    }
}
