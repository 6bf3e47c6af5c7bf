//! Replicas close some connections without an answer for a while; later, all is calm.

#[path = "common.rs"]
mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use common::*;

const ZONES: [&str; 7] = ["suva-a", "suva-a", "suva-a", "lautoka-a", "lautoka-a", "labasa-a", "labasa-a"];
const REPLICA_ZONES: [&str; 3] = ["suva-a", "lautoka-a", "labasa-a"];
const STABLE_WINDOW: Duration = Duration::from_secs(5);
/// The disruption: two of three replicas fail this many of a hundred requests for so long.
const FAILING_REPLICAS: u64 = 2;
const FAILING_PERCENT: u64 = 60;
const FAILING_FOR: Duration = Duration::from_secs(9);
const STEADY_FOR: Duration = Duration::from_secs(20);
const CALLER_TIMEOUT_MS: u64 = 3_000;
/// The route that was added, whose page every caller asks for alike.
const ADDED_PAGE: &str = "/new-cloths/list";

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("the record's path")).expect("the record");
    let code = run(&record);
    record.line(format!("exit {code}"));
    std::process::exit(code);
}

fn run(record: &Record) -> i32 {
    let dir = temp_dir();
    let store = Store::start();
    store.put("config", "main", &config(7, &[("r-sheet", "/sheet/")]));
    let failing = Arc::new(AtomicBool::new(false));
    let decide: Decide = {
        let (failing, draws) = (Arc::clone(&failing), AtomicU64::new(u64::from(std::process::id())));
        Arc::new(move |number, _: &Message| {
            let fails = failing.load(Ordering::SeqCst) && number <= FAILING_REPLICAS && draw(&draws) % 100 < FAILING_PERCENT;
            if fails { Deed::Reset } else { Deed::Answer(Duration::from_millis(40)) }
        })
    };
    let world = World::new(Arc::clone(&store), record.clone(), Duration::from_secs(3), decide);
    for zone in REPLICA_ZONES {
        world.start_replica("desk", zone);
    }
    let instances = start_instances(&dir, store.addr, &ZONES);
    let code = play(record, &world, &failing, &instances);
    drop(instances);
    std::fs::remove_dir_all(&dir).ok();
    code
}

/// Returns a number of a fixed sequence (splitmix64).
fn draw(state: &AtomicU64) -> u64 {
    let mut z = state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

fn play(record: &Record, world: &World, failing: &AtomicBool, instances: &[Instance]) -> i32 {
    if !until(Duration::from_secs(20), || instances.iter().all(Instance::is_ready)) {
        record.line("not all machines are ready");
        return 2;
    }
    record.line("all machines are ready");
    world.store.put("config", "main", &config(9, &[("r-sheet", "/sheet/"), ("r-new", "/new-cloths/")]));
    record.line("a route is added");
    sleep(STABLE_WINDOW + Duration::from_secs(1));
    let before = send_for(record, instances, "before", Duration::from_secs(3));
    if before.iter().any(|(_, status)| *status != 200) {
        record.line("a request was not answered before the disruption");
        return 2;
    }
    if !is_calm() {
        failing.store(true, Ordering::SeqCst);
        record.line("two of three replicas begin to fail");
    }
    send_for(record, instances, "during", FAILING_FOR);
    failing.store(false, Ordering::SeqCst);
    record.line("all replicas are sound");
    send_for(record, instances, "calm", STABLE_WINDOW);
    let steady = send_for(record, instances, "steady", STEADY_FOR);
    let share = |added: bool| {
        let of_kind: Vec<u16> = steady.iter().filter(|(is_added, _)| *is_added == added).map(|(_, status)| *status).collect();
        let served = of_kind.iter().filter(|status| **status == 200).count();
        record.line(format!("steady: {served} of {} served on the {} route", of_kind.len(), if added { "added" } else { "first" }));
        (of_kind.len(), served as f64 / of_kind.len() as f64)
    };
    let ((count, added), (_, first)) = (share(true), share(false));
    i32::from(count >= 20 && added < first / 4.0)
}

/// Sends 40 requests a second by turns on both routes, to one instance after the other; returns
/// whether each was on the added route, and its status.
fn send_for(record: &Record, instances: &[Instance], name: &str, how_long: Duration) -> Vec<(bool, u16)> {
    let began = Instant::now();
    let mut callers = Vec::new();
    while began.elapsed() < how_long {
        let number = callers.len();
        let front = instances[number / 2 % instances.len()].front;
        let to = instances[number / 2 % instances.len()].name.clone();
        let is_added = number % 2 == 1;
        let id = format!("{name}{number}");
        let path = if is_added { ADDED_PAGE.to_owned() } else { format!("/sheet/{id}") };
        let record = record.clone();
        callers.push(std::thread::spawn(move || {
            let limit = Duration::from_millis(CALLER_TIMEOUT_MS);
            let response = exchange(front, &request(&path, &id, CALLER_TIMEOUT_MS), limit);
            let status = response.as_ref().map_or(0, Message::status);
            let text = response.filter(|_| status != 200).map(|response| String::from_utf8_lossy(&response.body).into_owned());
            record.line(format!("{id} ({path}), sent to {to}, is answered {status} {}", text.unwrap_or_default()));
            (is_added, status)
        }));
        sleep(Duration::from_millis(25));
    }
    callers.into_iter().map(|caller| caller.join().unwrap_or_default()).collect()
}
