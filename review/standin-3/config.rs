//! The store comes back from a copy some seconds old. Some seconds later the operator changes the
//! configuration.

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
const OLD: &str = "kafi81c";
const NEW: &str = "moto22d";
const CONFIG_APPLY_MS: u64 = 3_000;
const STABLE_WINDOW_MS: u64 = 5_000;
const HEARTBEAT_MS: u64 = 1_200;
const COLD_MS: u64 = 3_000;

fn config(version: u64, timeout_ms: u64, service: &str) -> String {
    let service_json = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"jobs","host":"pupu76.example","path_prefix":"/timi402/","route_type":"unsafe","timeout_ms":{timeout_ms},"target_latency_ms":300,"priority":2,"service":"{service}","max_attempts":2}}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        service_json(OLD),
        service_json(NEW),
    )
}

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::start();
    store.put("config", "main", &config(7, 3_000, OLD));
    let start = |id: &str, service: &str, zone: &str| {
        let replica = Replica::start(record, id, service, zone, 60);
        store.put("servers", id, &replica.entry("ready", 0));
        replica
    };
    let _replicas = [
        start("i-0000000a", OLD, "suva-a"),
        start("i-0000000b", OLD, "lautoka-a"),
        start("i-0000001a", NEW, "suva-a"),
        start("i-0000001b", NEW, "lautoka-a"),
    ];
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
                deadline_ms: 2_500,
                pause_ms: 40,
            };
            clients.start(record, &instance.name, instance.front, plan);
        }
    }
    pause(4_000);

    // From this copy the store comes back. After it a replica starts, and the operator changes a
    // timeout.
    let copy = store.copy();
    record.line(&format!("store: copied at revision {}", store.revision()));
    let late = Replica::start(record, "i-0000000c", OLD, "labasa-a", 60);
    let mut cold = COLD_MS;
    loop {
        let revision = store.put("servers", &late.id(), &late.entry("ready", cold));
        record.line(&format!(
            "store: {} is ready, revision {revision}",
            late.id()
        ));
        if cold == 0 {
            break;
        }
        pause(HEARTBEAT_MS);
        cold = cold.saturating_sub(HEARTBEAT_MS);
    }
    let before = store.put("config", "main", &config(9, 2_900, OLD));
    record.line(&format!("store: version 9 acknowledged, revision {before}"));
    pause(1_000);
    if case.trouble {
        store.go_away();
        record.line(&format!("store: away at revision {}", store.revision()));
        pause(1_000);
        store.come_back_from(copy);
        record.line(&format!(
            "store: back from the copy, revision {}",
            store.revision()
        ));
        // The operator and the replica write again what they wrote.
        pause(300);
        let revision = store.put("config", "main", &config(9, 2_900, OLD));
        record.line(&format!(
            "store: version 9 acknowledged again, revision {revision}"
        ));
        pause(300);
        let revision = store.put("servers", &late.id(), &late.entry("ready", 0));
        record.line(&format!(
            "store: {} is ready, revision {revision}",
            late.id()
        ));
    }
    // The store and the machines are undisturbed for longer than the stable window.
    pause(STABLE_WINDOW_MS + 2_000);
    let revision = store.put("config", "main", &config(11, 2_900, NEW));
    let acked = record.now_ms();
    record.say(&format!(
        "store: version 11 acknowledged at {acked} ms, revision {revision}; version 9 had {before} before the drill"
    ));
    pause(CONFIG_APPLY_MS + 12_000);
    let sent = clients.stop();
    drop(instances);

    let is_due = |at_ms: u64| at_ms > acked + CONFIG_APPLY_MS;
    let due = sent.iter().filter(|one| is_due(one.at_ms));
    let answers = due.filter_map(|one| one.answer.as_ref());
    let (mut by_old, mut by_new) = (0, 0);
    for answer in answers {
        let body = String::from_utf8_lossy(&answer.body);
        by_old += u32::from(body.ends_with(&format!("by {OLD}")));
        by_new += u32::from(body.ends_with(&format!("by {NEW}")));
    }
    let text = format!(
        "CONFIG: of the requests sent later than {} ms after the ack, {by_old} were run by the old service and {by_new} by the new one",
        CONFIG_APPLY_MS
    );
    match (by_old, by_new) {
        (0, 0) => Verdict::CouldNotRun("no request was answered".to_owned()),
        (0, _) => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}
