//! Services whose replicas are full at times. For 5 s at a time, twelve of twenty replicas send a second
//! copy of three in a hundred of their answers, at the point where the next one is expected.

use std::collections::BTreeMap;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

const MACHINES: usize = 3;
const SERVICES: usize = 10;
const REPLICAS: usize = 2;
/// Twelve of twenty replicas send copies.
const FAULTY: usize = 12;
/// Clients of each service; each sends one request after the other.
const CLIENTS: usize = 9;
/// The site's `garble`, `how = "extra late"`: share 0.6, x 0.03, for 5 s.
const COPIED_ONE_IN: u64 = 34;
const FAULT: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_secs(2);
const ROUNDS: u32 = 12;
const WORK: Duration = Duration::from_millis(40);

struct Replica {
    id: String,
    slots: Slots,
    copies: AtomicBool,
    answers: AtomicU64,
    runs: Arc<Runs>,
    record: Arc<Record>,
}

impl Replica {
    fn serve(&self, stream: std::net::TcpStream) {
        let mut conn = Conn::new(stream);
        let mut late_copy: Option<Vec<u8>> = None;
        while let Ok(Some(req)) = conn.read() {
            if let Some(copy) = late_copy.take() {
                self.record.line(&format!("{} sends its last answer on a connection once more, before {}", self.id, req.get("Request-Id").unwrap_or("-")));
                if conn.write(&copy).is_err() {
                    return;
                }
            }
            let answer = self.answer(&req);
            if conn.write(&answer).is_err() {
                return;
            }
            let number = self.answers.fetch_add(1, Ordering::Relaxed);
            if self.copies.load(Ordering::Relaxed) && number % COPIED_ONE_IN == 0 {
                late_copy = Some(answer);
            }
        }
    }

    fn answer(&self, req: &Message) -> Vec<u8> {
        let request = req.get("Request-Id").unwrap_or("").to_owned();
        let expected = req.get("Expect-Instance").unwrap_or(&self.id);
        if expected != self.id {
            return response(421, &[("Instance-Id", &self.id), ("Request-Id", &request)], b"");
        }
        if !self.slots.take() {
            self.record.line(&format!("{} is full: 503 Not-Executed for {request}", self.id));
            return response(503, &[("Not-Executed", "1"), ("Request-Id", &request)], b"");
        }
        self.record.line(&format!("{} runs {request}", self.id));
        self.runs.add(&request, &self.id);
        thread::sleep(WORK);
        self.slots.give_back();
        let stamp = stamp(&self.id, &request);
        response(200, &[("Request-Id", &request), ("Answer-Stamp", &stamp)], request.as_bytes())
    }
}

fn client(at: usize, service: &str, fronts: &[std::net::SocketAddr], stop: &AtomicBool, answers: &Mutex<BTreeMap<String, u16>>, record: &Record) {
    let mut conn: Option<Conn> = None;
    let mut serial = 0;
    while !stop.load(Ordering::Relaxed) {
        serial += 1;
        let id = format!("c{at}n{serial}");
        let body = format!("job sheet {id}");
        let req = format!(
            "POST /{service}/{id} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut used = match conn.take() {
            Some(conn) => conn,
            None => match Conn::open(fronts[at % fronts.len()], Duration::from_secs(5)) {
                Ok(conn) => conn,
                Err(_) => continue,
            },
        };
        let answered = used.write(req.as_bytes()).and_then(|()| used.read());
        let status = match answered {
            Ok(Some(answer)) => {
                if answer.get("Connection") != Some("close") {
                    conn = Some(used);
                }
                answer.status()
            }
            _ => 0,
        };
        record.line(&format!("client: {id} is answered {status}"));
        answers.lock().unwrap().insert(id, status);
        thread::sleep(Duration::from_millis(random(10)));
    }
}

pub fn run(record: &Arc<Record>) -> i32 {
    let trouble = has_trouble();
    let dir = temp_dir();
    let (store, store_addr) = Store::start("127.0.0.1");
    let runs = Arc::new(Runs::default());
    let services: Vec<String> = (0..SERVICES).map(|at| format!("order-desk-{at}")).collect();
    let mut replicas = Vec::new();
    for number in 0..SERVICES * REPLICAS {
        let replica = Arc::new(Replica {
            id: format!("i-{number}"),
            slots: Slots::new(1, 1),
            copies: AtomicBool::new(false),
            answers: AtomicU64::new(1),
            runs: Arc::clone(&runs),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&replica);
        let addr = listen("127.0.0.1", move |stream| served.serve(stream));
        let entry = server_entry(&services[number % SERVICES], addr, ZONES[number / SERVICES].0, 1);
        store.set("servers", &replica.id, &entry);
        replicas.push(replica);
    }
    store.set("config", "main", &config(7, "unsafe", 3000, &services));
    let ports = Ports::free();
    let nodes = (0..MACHINES).map(|at| Node::start(&dir, at, MACHINES, ports, store_addr, Stdio::null())).collect();
    let nodes = await_ready(nodes, record);
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    thread::sleep(Duration::from_secs(1));
    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    let clients: Vec<_> = (0..CLIENTS * SERVICES)
        .map(|at| {
            let (fronts, stop, answers, record) = (fronts.clone(), Arc::clone(&stop), Arc::clone(&answers), Arc::clone(record));
            let service = services[at % SERVICES].clone();
            thread::spawn(move || client(at, &service, &fronts, &stop, &answers, &record))
        })
        .collect();
    let began = Instant::now();
    for _ in 0..ROUNDS {
        thread::sleep(CALM);
        let set = |copies| replicas[..FAULTY].iter().for_each(|replica| replica.copies.store(copies, Ordering::Relaxed));
        set(trouble);
        record.line(&format!("twelve replicas send late copies: {trouble}"));
        thread::sleep(FAULT);
        set(false);
        record.line("no replica sends late copies");
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    thread::sleep(Duration::from_secs(1));
    drop(nodes);
    std::fs::remove_dir_all(&dir).ok();
    let runs = runs.0.lock().unwrap();
    let answers = answers.lock().unwrap();
    let mut broken = 0;
    for (request, replicas) in runs.iter().filter(|(_, replicas)| replicas.len() > 1) {
        record.say(&format!("TWICE: {request} ran {} times, on {}", replicas.len(), replicas.join(" and ")));
        broken += 1;
    }
    for (request, status) in answers.iter().filter(|(request, status)| matches!(status, 408 | 421 | 429 | 503) && runs.contains_key(*request)) {
        record.say(&format!("REFUSED: {request} was answered {status} and has run"));
        broken += 1;
    }
    let count = |status| answers.values().filter(|known| **known == status).count();
    record.say(&format!(
        "{} requests in {} s: 200 {}, 502 {}, 503 {}, 504 {}, none {}; {} broke a rule",
        answers.len(), began.elapsed().as_secs(), count(200), count(502), count(503), count(504), count(0), broken
    ));
    if count(200) == 0 {
        return 2;
    }
    i32::from(broken > 0)
}
