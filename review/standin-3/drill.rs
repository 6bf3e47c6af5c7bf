//! The store comes back from a copy some seconds old. A replica that started shortly before is
//! drained some seconds later.

use crate::client::{Clients, Plan};
use crate::instance::Figures;
use crate::replica::Replica;
use crate::store::Store;
use crate::{Case, Verdict, pause};

const ZONES: [(&str, &str); 3] = [
    ("suva-a", "central"),
    ("lautoka-a", "western"),
    ("labasa-a", "northern"),
];
const HEARTBEAT_MS: u64 = 1_200;
const COLD_MS: u64 = 3_000;
const DRAIN_MS: u64 = 3_000;
const STABLE_WINDOW_MS: u64 = 5_000;
/// How long the replica goes on serving after its report was accepted.
const SERVES_FOR_MS: u64 = 8_000;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"jobs","host":"pupu76.example","path_prefix":"/timi402/","route_type":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"kafi81c","max_attempts":2}],"services":[{"name":"kafi81c","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start();
    store.put("config", "main", CONFIG);
    let start = |id: &str, zone: &str| Replica::start(record, id, "kafi81c", zone, 60);
    let old = [
        start("i-0000000a", "suva-a"),
        start("i-0000000b", "lautoka-a"),
    ];
    for replica in &old {
        store.put("servers", &replica.id(), &replica.entry("ready", 0));
    }
    let Some(instances) = case.start_instances(&ZONES, store.addr, Figures::default()) else {
        return Verdict::CouldNotRun("the instances are not ready".to_owned());
    };
    let mut clients = Clients::new();
    for instance in &instances {
        for _ in 0..2 {
            let plan = Plan {
                host: "pupu76.example".to_owned(),
                method: "POST",
                path: "/timi402/2f".to_owned(),
                body: b"an order".to_vec(),
                deadline_ms: 3_000,
                pause_ms: 40,
            };
            clients.start(record, &instance.name, instance.front, plan);
        }
    }
    pause(3_000);

    // From this copy the store comes back. A new replica starts after it.
    let copy = store.copy();
    record.line(&format!("store: copied at revision {}", store.revision()));
    let new = start("i-0000000c", "labasa-a");
    let mut cold = COLD_MS;
    loop {
        let revision = store.put("servers", &new.id(), &new.entry("ready", cold));
        record.line(&format!(
            "store: {} is ready, revision {revision}",
            new.id()
        ));
        if cold == 0 {
            break;
        }
        pause(HEARTBEAT_MS);
        cold = cold.saturating_sub(HEARTBEAT_MS);
    }
    pause(500);
    let before = store.revision();
    if case.trouble {
        store.go_away();
        record.line(&format!("store: away at revision {before}"));
        pause(1_000);
        store.come_back_from(copy);
        record.line(&format!(
            "store: back from the copy, revision {}",
            store.revision()
        ));
        // Each replica writes its entry again with its next heartbeat.
        pause(600);
        for replica in old.iter().chain([&new]) {
            let revision = store.put("servers", &replica.id(), &replica.entry("ready", 0));
            record.line(&format!(
                "store: {} is ready, revision {revision}",
                replica.id()
            ));
        }
    }
    // The store and the machines are undisturbed for longer than the stable window.
    pause(STABLE_WINDOW_MS + 2_000);

    let revision = store.put("servers", &new.id(), &new.entry("draining", 0));
    let acked = record.now_ms();
    record.say(&format!(
        "store: {} is draining, acknowledged at {acked} ms, revision {revision}; {before} before the drill",
        new.id()
    ));
    pause(SERVES_FOR_MS);
    record.line(&format!("{} exits", new.id()));
    new.end();
    store.remove("servers", &new.id());
    pause(2_000);
    let sent = clients.stop();
    drop(instances);

    let arrivals = new.arrivals.lock().expect("the arrivals").clone();
    let before_drain = arrivals.iter().filter(|one| one.at_ms < acked).count();
    if before_drain == 0 {
        return Verdict::CouldNotRun("the new replica got no requests".to_owned());
    }
    let is_late = |id: &str| {
        let mut sent = sent.iter();
        sent.any(|one| one.id == id && one.at_ms > acked + DRAIN_MS)
    };
    let late: Vec<_> = arrivals
        .iter()
        .filter(|one| is_late(&one.request))
        .collect();
    let ran = |id: &str| arrivals.iter().any(|one| one.request == id);
    let failed = |one: &&crate::client::Sent| {
        one.answer
            .as_ref()
            .is_none_or(|answer| answer.status() >= 500)
    };
    let lost = sent
        .iter()
        .filter(failed)
        .filter(|one| ran(&one.id))
        .count();
    let text = format!(
        "DRAIN: {} requests that clients sent later than {DRAIN_MS} ms after the ack reached the draining replica ({before_drain} before the ack); {lost} that it ran ended without its answer",
        late.len()
    );
    for one in &late {
        record.line(&format!(
            "late: {} reached {} at {} ms from {}",
            one.request,
            new.id(),
            one.at_ms,
            one.instance
        ));
    }
    if late.is_empty() {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    }
}
