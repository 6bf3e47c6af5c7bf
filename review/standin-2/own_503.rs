//! A replica fails part of the orders that it runs, with a 503 that doesn't say that it hasn't run
//! them.

#[path = "common.rs"]
mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use common::*;

const ZONES: [&str; 3] = ["suva-a", "lautoka-a", "labasa-a"];
const STABLE_WINDOW: Duration = Duration::from_secs(5);
/// The disruption: one of three replicas fails four of ten requests.
const FAILING_REPLICA: u64 = 1;
const FAILING_FOR: Duration = Duration::from_millis(6_500);
const CALLER_TIMEOUT_MS: u64 = 3_000;
const WORK: Duration = Duration::from_millis(20);

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("the record's path")).expect("the record");
    let code = run(&record);
    record.line(format!("exit {code}"));
    std::process::exit(code);
}

fn run(record: &Record) -> i32 {
    let dir = temp_dir();
    let store = Store::start();
    store.put("config", "main", &config_of("unsafe", 7, &[("r-orders", "/orders/")]));
    let failing = Arc::new(AtomicBool::new(false));
    let decide: Decide = {
        let (failing, count) = (Arc::clone(&failing), AtomicU64::new(0));
        Arc::new(move |number, _: &Message| {
            let fails = number == FAILING_REPLICA && failing.load(Ordering::SeqCst);
            if fails && count.fetch_add(1, Ordering::SeqCst) % 10 < 4 {
                Deed::Fail(WORK, "503 Service Unavailable")
            } else {
                Deed::Answer(WORK)
            }
        })
    };
    let world = World::new(Arc::clone(&store), record.clone(), Duration::from_secs(3), decide);
    for zone in ZONES {
        world.start_replica("desk", zone);
    }
    let instances = start_instances(&dir, store.addr, &ZONES);
    let code = play(record, &world, &failing, &instances);
    drop(instances);
    std::fs::remove_dir_all(&dir).ok();
    code
}

fn play(record: &Record, world: &World, failing: &AtomicBool, instances: &[Instance]) -> i32 {
    if !until(Duration::from_secs(20), || instances.iter().all(Instance::is_ready)) {
        record.line("not all machines are ready");
        return 2;
    }
    record.line("all machines are ready");
    // From here on they are in touch.
    sleep(STABLE_WINDOW + Duration::from_secs(1));
    let before = send_for(record, instances, "before", Duration::from_secs(2));
    if before.iter().any(|(_, status)| *status != 200) {
        record.line("an order was not answered before the disruption");
        return 2;
    }
    if !is_calm() {
        failing.store(true, Ordering::SeqCst);
        record.line("a replica begins to fail");
    }
    let sent = send_for(record, instances, "during", FAILING_FOR);
    let runs = world.runs.lock().unwrap().clone();
    let has_run = |id: &str| runs.iter().any(|run| run.request == id);
    let denied: Vec<&String> = sent
        .iter()
        .filter(|(id, status)| matches!(status, 408 | 421 | 429 | 503) && has_run(id))
        .map(|(id, _)| id)
        .collect();
    record.line(format!("{} of {} orders were answered with a promise that they have not run, and had run: {denied:?}", denied.len(), sent.len()));
    let twice = denied.iter().filter(|id| has_run(&format!("{id}-retry"))).count();
    record.line(format!("{twice} of them were sent again by their callers and ran once more"));
    i32::from(!denied.is_empty())
}

/// Sends 20 orders a second, to one instance after the other. A caller sends its order once more
/// after a promise that it has not run.
fn send_for(record: &Record, instances: &[Instance], name: &str, how_long: Duration) -> Vec<(String, u16)> {
    let began = Instant::now();
    let mut sent = Vec::new();
    while began.elapsed() < how_long {
        let at = sent.len() % instances.len();
        let id = format!("{name}{}", sent.len());
        let status = order(record, &instances[at], &id, &id);
        if matches!(status, 408 | 421 | 429 | 503) {
            order(record, &instances[(at + 1) % instances.len()], &id, &format!("{id}-retry"));
        }
        sent.push((id, status));
        sleep(Duration::from_millis(30));
    }
    sent
}

fn order(record: &Record, instance: &Instance, order: &str, id: &str) -> u16 {
    let body = format!("album {order}");
    let text = format!(
        "POST /orders/{order} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {CALLER_TIMEOUT_MS}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let response = exchange(instance.front, &text, Duration::from_millis(CALLER_TIMEOUT_MS));
    let status = response.as_ref().map_or(0, Message::status);
    let stamp = response.and_then(|response| response.field("answer-stamp").map(str::to_owned));
    record.line(format!("{id}, sent to {}, is answered {status}, Answer-Stamp {}", instance.name, stamp.as_deref().unwrap_or("none")));
    status
}
