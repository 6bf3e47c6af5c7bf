//! A request that crashes the replicas which begin to run it comes again and again, at any machine.
//! The replicas are back after some seconds.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use crate::client::{Clients, Plan, Sent};
use crate::instance::Figures;
use crate::replica::{CrashHabit, Replica};
use crate::store::Store;
use crate::{Case, Verdict, client, pause};

const ZONES: [(&str, &str); 3] = [
    ("suva-a", "central"),
    ("lautoka-a", "western"),
    ("labasa-a", "northern"),
];
const SERVICE: &str = "kafi81c";
const STABLE_WINDOW_MS: u64 = 5_000;
/// How long a replica that crashed stays away.
const DOWN_MS: u64 = 2_000;
/// From the start of a replica to its next ping, where it is not sent at once: half of the interval.
const NEXT_PING_MS: u64 = 600;
/// The pause between two attempts of the crashing request.
const RETRY_MS: u64 = 3_500;
const ATTEMPTS: usize = 14;
/// How many retries may reach replicas later than the stable window after the third crash.
const MAX_LATE: usize = 3;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"jobs","host":"pupu76.example","path_prefix":"/timi402/","route_type":"safe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"kafi81c","max_attempts":2},{"name":"orders","host":"pupu76.example","path_prefix":"/bapu561/","route_type":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"kafi81c","max_attempts":2}],"services":[{"name":"kafi81c","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// What is special about the crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// Nothing: connections end at once, and the next start has a new id.
    Plain,
    /// The next start has the same id, and serves until its next ping under its old entry.
    SameId,
    /// The replica crashes in the middle of its answer.
    MidAnswer,
    /// Nothing is sent when the replica crashes: its connections stay open and silent.
    Silent,
}

fn plan(method: &'static str, path: &str, body: &[u8]) -> Plan {
    Plan {
        host: "pupu76.example".to_owned(),
        method,
        path: path.to_owned(),
        body: body.to_vec(),
        deadline_ms: 3_000,
        pause_ms: 40,
    }
}

pub fn play(case: &Case, crash: Crash) -> Verdict {
    let crash = if case.trouble { crash } else { Crash::Plain };
    let record = &case.record;
    let store = Store::start();
    store.put("config", "main", CONFIG);
    let mut replicas = Vec::new();
    for (number, (zone, _)) in ZONES.iter().enumerate() {
        let id = format!("i-0000000{number}");
        let habit = match crash {
            Crash::Plain | Crash::SameId => CrashHabit::EndsConnections,
            Crash::MidAnswer => CrashHabit::BreaksOffAnswer,
            Crash::Silent => CrashHabit::Silent,
        };
        let replica = Replica::start_with(record, &id, SERVICE, zone, 60, habit);
        store.put("servers", &id, &replica.entry("ready", 0));
        replicas.push(replica);
    }
    let Some(instances) = case.start_instances(&ZONES, store.addr, Figures::default()) else {
        return Verdict::CouldNotRun("the instances are not ready".to_owned());
    };
    let mut clients = Clients::new();
    for instance in &instances {
        for number in 0..2 {
            let body = format!("order of {}-{number}", instance.name);
            let plan = plan("POST", "/bapu561/2f", body.as_bytes());
            clients.start(record, &instance.name, instance.front, plan);
        }
    }
    let over = Arc::new(AtomicBool::new(false));
    for replica in &replicas {
        let (replica, store, over) = (replica.clone(), store.clone(), Arc::clone(&over));
        let record = record.clone();
        thread::spawn(move || {
            let mut starts = 0;
            while !over.load(Ordering::SeqCst) {
                pause(5);
                if replica.is_down() {
                    pause(DOWN_MS);
                    starts += 1;
                    let old = replica.id();
                    let id = if crash == Crash::SameId {
                        old.clone()
                    } else {
                        format!("{}-{starts}", &old[..10])
                    };
                    replica.start_again(&id);
                    record.line(&format!("start {SERVICE} {id}"));
                    if crash == Crash::SameId {
                        pause(NEXT_PING_MS);
                    }
                    if !replica.is_down() {
                        store.put("servers", &id, &replica.entry("ready", 0));
                        record.line(&format!("store: {id} pings"));
                        if old != id {
                            store.remove("servers", &old);
                        }
                    }
                }
            }
        });
    }
    pause(3_000);
    let mut attempts = Vec::new();
    for number in 0..ATTEMPTS {
        let instance = &instances[number % instances.len()];
        let id = format!("crash-{number:02}");
        let at_ms = record.now_ms();
        record.line(&format!("sent {} {id} GET /timi402/crash", instance.name));
        let answer = client::exchange(
            &mut None,
            instance.front,
            &plan("GET", "/timi402/crash", b""),
            &id,
        );
        let status = answer.map_or("nothing".to_owned(), |answer| answer.status().to_string());
        record.line(&format!("answered {} {id} {status}", instance.name));
        attempts.push((id, at_ms));
        pause(RETRY_MS);
    }
    over.store(true, Ordering::SeqCst);
    let sent = clients.stop();
    drop(instances);

    let mut ran = HashSet::new();
    for replica in &replicas {
        let arrivals = replica.arrivals.lock().expect("the arrivals");
        ran.extend(arrivals.iter().map(|one| one.request.clone()));
    }
    let is_lost = |one: &&Sent| {
        ran.contains(&one.id)
            && one
                .answer
                .as_ref()
                .is_none_or(|answer| answer.status() != 200)
    };
    let lost = sent.iter().filter(is_lost).count();

    let mut crashes: Vec<(u64, String)> = Vec::new();
    for replica in &replicas {
        let arrivals = replica.arrivals.lock().expect("the arrivals");
        let crashing = arrivals
            .iter()
            .filter(|one| one.request.starts_with("crash"));
        crashes.extend(crashing.map(|one| (one.at_ms, one.request.clone())));
    }
    crashes.sort();
    let Some((third, _)) = crashes.get(2).cloned() else {
        return Verdict::Held(format!("BUDGET: {} crashes", crashes.len()));
    };
    let from = third + STABLE_WINDOW_MS;
    let is_late = |id: &str| attempts.iter().any(|(sent, at)| sent == id && *at > from);
    let mut late: Vec<&String> = crashes
        .iter()
        .map(|(_, id)| id)
        .filter(|id| is_late(id))
        .collect();
    late.dedup();
    let text = format!(
        "BUDGET: {} retries, sent later than {STABLE_WINDOW_MS} ms after the third crash at {third} ms, reached replicas ({} crashes in all); {lost} other orders that replicas ran have no answer of theirs",
        late.len(),
        crashes.len()
    );
    if late.len() > MAX_LATE {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}
