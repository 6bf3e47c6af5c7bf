//! A request that crashes the replicas that run it comes again, once at each machine.

#[path = "common.rs"]
mod common;

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use common::*;

const ZONES: [&str; 7] = ["suva-a", "suva-a", "suva-a", "lautoka-a", "lautoka-a", "labasa-a", "labasa-a"];
const SHARDS: usize = 6;
const STABLE_WINDOW_S: f64 = 5.0;
const MAX_RETRIES: usize = 3;
const POISON: &str = "/catalogue/endpapers";
/// A crashed replica is back after this time.
const DOWN: Duration = Duration::from_secs(3);
/// From one coming of the request to the next, so that crashed replicas are back.
const COMES_AGAIN: Duration = Duration::from_millis(4_500);
const CALLER_TIMEOUT_MS: u64 = 1_200;

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("the record's path")).expect("the record");
    let code = run(&record);
    record.line(format!("exit {code}"));
    std::process::exit(code);
}

fn run(record: &Record) -> i32 {
    let calm = is_calm();
    let dir = temp_dir();
    let store = Store::start();
    let services: Vec<String> = (0..SHARDS).map(|shard| format!("pattern{shard}")).collect();
    store.put("config", "main", &catalogue_config(&services));
    let decide: Decide = Arc::new(move |_, req: &Message| {
        if req.second_word() == POISON && !calm {
            Deed::Crash
        } else {
            Deed::Answer(Duration::from_millis(5))
        }
    });
    let world = World::new(Arc::clone(&store), record.clone(), DOWN, decide);
    for service in &services {
        world.start_replica(service, "suva-a");
        world.start_replica(service, "lautoka-a");
    }
    let instances = start_instances(&dir, store.addr, &ZONES);
    let code = play(record, &world, &instances);
    drop(instances);
    std::fs::remove_dir_all(&dir).ok();
    code
}

fn play(record: &Record, world: &World, instances: &[Instance]) -> i32 {
    if !until(Duration::from_secs(20), || instances.iter().all(Instance::is_ready)) {
        record.line("not all machines are ready");
        return 2;
    }
    record.line("all machines are ready");
    // From here on they are in touch.
    sleep(Duration::from_secs_f64(STABLE_WINDOW_S + 1.0));
    for (at, instance) in instances.iter().enumerate() {
        let status = send(record, instance, "/catalogue/cloth", &format!("plain{at}"));
        if status != 200 {
            record.line("a plain request was not answered before the disruption");
            return 2;
        }
    }
    let mut sent_at = Vec::new();
    for (at, instance) in instances.iter().enumerate() {
        let id = format!("again{at}");
        sent_at.push((id.clone(), record.now()));
        let status = send(record, instance, POISON, &id);
        if is_calm() && status != 200 {
            record.line("the request was not answered although it crashes nobody");
            return 1;
        }
        // Later comings have to be later than the stable window after the third crash.
        let pause = if at == 0 { Duration::from_secs_f64(STABLE_WINDOW_S + 1.0) } else { COMES_AGAIN };
        sleep(pause);
    }
    judge(record, world, &sent_at)
}

fn judge(record: &Record, world: &World, sent_at: &[(String, f64)]) -> i32 {
    let runs = world.runs.lock().unwrap().clone();
    let crashes: Vec<&Run> = runs.iter().filter(|run| run.crashed).collect();
    let Some(third) = crashes.get(2) else {
        record.line("the request crashed fewer than three replicas");
        return 0;
    };
    record.line(format!("{} replicas crashed in all, the third at {:.3} s", crashes.len(), third.at));
    let is_late = |at: f64| at > third.at + STABLE_WINDOW_S;
    let reached = |id: &String| runs.iter().any(|run| run.request == *id);
    let late: Vec<&String> = sent_at.iter().filter(|(id, at)| is_late(*at) && reached(id)).map(|(id, _)| id).collect();
    record.line(format!("retries sent later than the stable window that reached replicas: {late:?}"));
    i32::from(late.len() > MAX_RETRIES)
}

fn send(record: &Record, instance: &Instance, path: &str, id: &str) -> u16 {
    record.line(format!("{id} ({path}) is sent to {}", instance.name));
    let limit = Duration::from_millis(CALLER_TIMEOUT_MS);
    let response = exchange(instance.front, &request(path, id, CALLER_TIMEOUT_MS), limit);
    let status = response.as_ref().map_or(0, Message::status);
    let text = response.map(|response| String::from_utf8_lossy(&response.body).chars().take(90).collect::<String>());
    record.line(format!("{id} is answered {status} {}", if status == 200 { String::new() } else { text.unwrap_or_default() }));
    status
}

fn catalogue_config(services: &[String]) -> String {
    let quoted = |names: &[String]| names.iter().map(|name| format!("\"{name}\"")).collect::<Vec<_>>().join(",");
    let described: Vec<String> = services
        .iter()
        .map(|name| format!(r#"{{"name":"{name}","health_path":"/health","max_connections":26,"protocol":"h1","tls":false}}"#))
        .collect();
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-catalogue","host":"{HOST}","path_prefix":"/catalogue/","route_type":"safe","timeout_ms":1200,"target_latency_ms":150,"priority":1,"gather":[{}],"max_attempts":2,"top_k":50,"min_version":0.75}}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        quoted(services),
        described.join(",")
    )
}
