//! Another writer leaves an entry whose bytes can't be read among those of the replicas; then a
//! replica leaves.

#[path = "common.rs"]
mod common;

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use common::*;

const ZONES: [&str; 3] = ["suva-a", "lautoka-a", "labasa-a"];
const STABLE_WINDOW: Duration = Duration::from_secs(5);
const DRAIN_S: f64 = 3.0;
/// The replica that leaves goes on serving for all of the time after its report.
const WATCHED_AFTER_DRAIN: Duration = Duration::from_secs(9);
const CALLER_TIMEOUT_MS: u64 = 3_000;

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
    let decide: Decide = Arc::new(|_, _: &Message| Deed::Answer(Duration::from_millis(10)));
    let world = World::new(Arc::clone(&store), record.clone(), Duration::from_secs(3), decide);
    let replicas: Vec<_> = ZONES.iter().map(|zone| world.start_replica("desk", zone)).collect();
    let instances = start_instances(&dir, store.addr, &ZONES);
    let code = play(record, &world, &replicas[0], &instances);
    drop(instances);
    std::fs::remove_dir_all(&dir).ok();
    code
}

fn play(record: &Record, world: &World, leaving: &Replica, instances: &[Instance]) -> i32 {
    if !until(Duration::from_secs(20), || instances.iter().all(Instance::is_ready)) {
        record.line("not all machines are ready");
        return 2;
    }
    record.line("all machines are ready");
    // From here on they are in touch.
    sleep(STABLE_WINDOW + Duration::from_secs(1));
    if !send_for(record, instances, "before", Duration::from_secs(1)).iter().all(|(_, _, status)| *status == 200) {
        record.line("a request was not answered before the disruption");
        return 2;
    }
    if !is_calm() {
        world.store.put("servers", "z-other-writer", "\"\u{1}\u{2}\u{7f}\u{1b}\"");
        record.line("another writer's entry, whose bytes can't be read, is in the store");
    }
    send_for(record, instances, "between", Duration::from_secs(2));
    let acked = record.now();
    world.drain(leaving);
    let sent = send_for(record, instances, "after", WATCHED_AFTER_DRAIN);
    let runs = world.runs.lock().unwrap().clone();
    let late: Vec<&Run> = runs.iter().filter(|run| run.replica == leaving.id && run.at > acked + DRAIN_S).collect();
    let served = sent.iter().filter(|(_, _, status)| *status == 200).count();
    record.line(format!("{served} of {} requests sent after the report were served", sent.len()));
    record.line(format!(
        "{} requests reached {} later than {DRAIN_S} s after the store had accepted its report, the last {:.3} s after it",
        late.len(),
        leaving.id,
        late.last().map_or(0.0, |run| run.at - acked)
    ));
    i32::from(!late.is_empty())
}

/// Sends 20 requests a second, to one instance after the other.
fn send_for(record: &Record, instances: &[Instance], name: &str, how_long: Duration) -> Vec<(String, f64, u16)> {
    let began = Instant::now();
    let mut sent = Vec::new();
    while began.elapsed() < how_long {
        let instance = &instances[sent.len() % instances.len()];
        let id = format!("{name}{}", sent.len());
        let at = record.now();
        let text = request(&format!("/sheet/{id}"), &id, CALLER_TIMEOUT_MS);
        let response = exchange(instance.front, &text, Duration::from_millis(CALLER_TIMEOUT_MS));
        let status = response.map_or(0, |response| response.status());
        record.line(format!("{id}, sent to {} at {at:.3} s, is answered {status}", instance.name));
        sent.push((id, at, status));
        sleep(Duration::from_millis(35));
    }
    sent
}
