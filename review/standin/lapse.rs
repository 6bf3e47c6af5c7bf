//! All processes are killed and start again; 3 s later the store is silent for 3.5 s, and the
//! entries of the replicas lapse meanwhile. They are back within two seconds of its return.

use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

const MACHINES: usize = 7;
const SERVICES: usize = 5;
const REPLICAS: usize = 2;
const CLIENTS: usize = 21;
const WORK: Duration = Duration::from_millis(5);
/// Each round begins with a new deployment.
const ROUNDS: usize = 3;
const BEFORE: Duration = Duration::from_secs(2);
const DOWN: Duration = Duration::from_secs(1);
const OUTAGE_AT: Duration = Duration::from_millis(3_000);
/// How long before it the entry of a replica changes.
const LAST_CHANGE: Duration = Duration::from_millis(400);
const OUTAGE: Duration = Duration::from_millis(3_500);
/// `recovery_s`.
const RECOVERY: Duration = Duration::from_secs(12);
const MEASURED: Duration = Duration::from_secs(10);

struct Replica {
    id: String,
    slots: Slots,
    served: AtomicU64,
}

impl Replica {
    fn serve(&self, stream: std::net::TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(req)) = conn.read() {
            let request = req.get("Request-Id").unwrap_or("").to_owned();
            let expected = req.get("Expect-Instance").unwrap_or(&self.id);
            let answer = if expected != self.id {
                response(421, &[("Instance-Id", &self.id)], b"")
            } else if !self.slots.take() {
                response(503, &[("Not-Executed", "1"), ("Request-Id", &request)], b"")
            } else {
                thread::sleep(WORK);
                self.slots.give_back();
                self.served.fetch_add(1, Ordering::Relaxed);
                let stamp = stamp(&self.id, &request);
                response(200, &[("Request-Id", &request), ("Answer-Stamp", &stamp)], request.as_bytes())
            };
            if conn.write(&answer).is_err() {
                return;
            }
        }
    }
}

type Sent = Arc<Mutex<Vec<(Instant, u16)>>>;

fn client(at: usize, service: &str, front: std::net::SocketAddr, stop: &AtomicBool, sent: &Sent, record: &Record) {
    let mut conn: Option<Conn> = None;
    let mut serial = 0;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(80 + random(40)));
        serial += 1;
        let id = format!("c{at}n{serial}");
        let req = format!("GET /{service}/{id} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\n\r\n");
        let began = Instant::now();
        let opened = conn.take().map_or_else(|| Conn::open(front, Duration::from_millis(1_500)), Ok);
        let answered = opened.and_then(|mut conn| {
            conn.write(req.as_bytes())?;
            conn.read().map(|answer| (conn, answer))
        });
        let status = match answered {
            Ok((used, Some(answer))) => {
                conn = Some(used);
                answer.status()
            }
            _ => 0,
        };
        sent.lock().unwrap().push((began, status));
        record.line(&format!("client: {id} is answered {status}"));
    }
}

/// Returns how many requests of a span were sent, and how many of them were served.
fn served(sent: &Sent, from: Instant, to: Instant) -> (usize, usize) {
    let sent = sent.lock().unwrap();
    let of_span = sent.iter().filter(|(at, _)| *at >= from && *at < to);
    let statuses: Vec<u16> = of_span.map(|(_, status)| *status).collect();
    (statuses.len(), statuses.iter().filter(|status| **status == 200).count())
}

pub fn run(record: &Arc<Record>) -> i32 {
    let kills = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outage = kills && std::env::var("TROUBLE").as_deref() != Ok("kill");
    let dir = temp_dir();
    let (store, store_addr) = Store::start("127.0.0.1");
    let services: Vec<String> = (0..SERVICES).map(|at| format!("finder-{at}")).collect();
    let mut entries = Vec::new();
    for number in 0..SERVICES * REPLICAS {
        let replica = Arc::new(Replica { id: format!("i-{number}"), slots: Slots::new(2, 12), served: AtomicU64::new(0) });
        let served = Arc::clone(&replica);
        let addr = listen("127.0.0.1", move |stream| served.serve(stream));
        let entry = server_entry(&services[number % SERVICES], addr, ZONES[number / SERVICES].0, 2);
        store.set("servers", &replica.id, &entry);
        entries.push((replica.id.clone(), entry));
    }
    store.set("config", "main", &config(7, "safe", 1000, &services));
    let ports = Ports::free();
    let start = || -> Vec<Node> { (0..MACHINES).map(|at| Node::start(&dir, at, MACHINES, ports, store_addr, Stdio::null())).collect() };
    let mut nodes = await_ready(start(), record);
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Sent = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|at| {
            let (stop, sent, record) = (Arc::clone(&stop), Arc::clone(&sent), Arc::clone(record));
            let (service, front) = (services[at % SERVICES].clone(), fronts[(at / SERVICES + at) % MACHINES]);
            thread::spawn(move || client(at, &service, front, &stop, &sent, &record))
        })
        .collect();
    let mut broken = 0;
    for round in 1..=ROUNDS {
        if round > 1 {
            nodes.clear();
            nodes = await_ready(start(), record);
            thread::sleep(Duration::from_secs(1));
        }
        let before = Instant::now();
        thread::sleep(BEFORE);
        let (asked_before, served_before) = served(&sent, before, Instant::now());
        if kills {
            record.line("all processes are killed");
            nodes.clear();
            thread::sleep(DOWN);
            nodes = start();
            record.line("all processes are started again");
        }
        let back = Instant::now();
        if outage {
            thread::sleep(OUTAGE_AT - LAST_CHANGE);
            let (id, entry) = &entries[0];
            let changed = entry.replace("\"cold_remaining_ms\":0", &format!("\"cold_remaining_ms\":{round}"));
            store.set("servers", id, &changed);
            thread::sleep(LAST_CHANGE);
            record.line("the store is silent");
            store.set_silent(true);
            thread::sleep(OUTAGE - Duration::from_millis(300));
            entries.iter().for_each(|(id, _)| store.remove("servers", id));
            thread::sleep(Duration::from_millis(300));
            store.set_silent(false);
            record.line("the store answers again; the entries of the replicas have lapsed");
            for (at, (id, entry)) in entries.iter().enumerate() {
                thread::sleep(Duration::from_millis(120));
                store.set("servers", id, entry);
                record.line(&format!("{id} registers again, as number {at}"));
            }
        }
        thread::sleep((back + RECOVERY + MEASURED).saturating_duration_since(Instant::now()));
        let (asked, good) = served(&sent, back + RECOVERY, back + RECOVERY + MEASURED);
        record.say(&format!(
            "round {round}: before the fault {served_before} of {asked_before} requests were served; of those sent later than 12 s after the machines were back, {good} of {asked}"
        ));
        if served_before * 4 >= asked_before && good * 4 < asked {
            record.say("RECOVER: broken");
            broken += 1;
        }
        if served_before == 0 && !outage {
            return 2;
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    drop(nodes);
    std::fs::remove_dir_all(&dir).ok();
    record.say(&format!("RECOVER was broken in {broken} of {ROUNDS} rounds"));
    i32::from(broken > 0)
}
