//! The reader of an instance's standard output stops reading. The clients press a little more than
//! the replicas can take, so some requests are refused, which the instance logs.

use std::io::Read;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

const CLIENTS: usize = 40;
const TIMEOUT_MS: u64 = 1_000;
/// A request that is unanswered for so long after its route's timeout counts.
const LATE: Duration = Duration::from_millis(500);
const WORK: Duration = Duration::from_millis(60);
const RUN: Duration = Duration::from_secs(40);

#[derive(Clone, Copy, Default)]
struct Counts {
    sent: u64,
    answered: u64,
    past_timeout: u64,
    no_answer: u64,
}

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

fn client(at: usize, front: std::net::SocketAddr, stop: &AtomicBool, counts: &Mutex<Counts>, record: &Record) {
    let mut conn: Option<Conn> = None;
    let mut serial = 0;
    while !stop.load(Ordering::Relaxed) {
        serial += 1;
        let id = format!("c{at}n{serial}");
        let req = format!("GET /order-desk/{id} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {TIMEOUT_MS}\r\n\r\n");
        let limit = Duration::from_millis(TIMEOUT_MS) + LATE;
        let Ok(mut used) = conn.take().map_or_else(|| Conn::open(front, limit), Ok) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        if used.write(req.as_bytes()).is_err() {
            continue;
        }
        let began = Instant::now();
        let answer = used.read();
        let took = began.elapsed();
        let timed_out = matches!(&answer, Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut));
        {
            let mut counts = counts.lock().unwrap();
            counts.sent += 1;
            counts.answered += u64::from(matches!(answer, Ok(Some(_))));
            counts.past_timeout += u64::from(took > Duration::from_millis(TIMEOUT_MS));
            counts.no_answer += u64::from(timed_out);
        }
        match answer {
            Ok(Some(answer)) => {
                record.line(&format!("client: {id} is answered {} after {} ms", answer.status(), took.as_millis()));
                let wait = answer.get("Retry-After").and_then(|secs| secs.parse::<f64>().ok()).unwrap_or(0.0);
                conn = Some(used);
                thread::sleep(Duration::from_secs_f64(wait.clamp(0.02, 0.5)));
            }
            _ if timed_out => record.line(&format!("client: {id} has no answer after {} ms", took.as_millis())),
            _ => record.line(&format!("client: {id} lost its connection after {} ms", took.as_millis())),
        }
    }
}

pub fn run(record: &Arc<Record>) -> i32 {
    let trouble = has_trouble();
    let dir = temp_dir();
    let (store, store_addr) = Store::start("127.0.0.1");
    for number in 0..3 {
        let replica = Arc::new(Replica { id: format!("i-{number}"), slots: Slots::new(1, 1), served: AtomicU64::new(0) });
        let served = Arc::clone(&replica);
        let addr = listen("127.0.0.1", move |stream| served.serve(stream));
        store.set("servers", &replica.id, &server_entry("order-desk", addr, ZONES[number].0, 1));
    }
    store.set("config", "main", &config(7, "safe", TIMEOUT_MS, &["order-desk".to_owned()]));
    let mut node = Node::start(&dir, 0, 1, Ports::free(), store_addr, Stdio::piped());
    let mut stdout = node.child.stdout.take().expect("a pipe");
    let reads = Arc::new(AtomicBool::new(true));
    let log_bytes = Arc::new(AtomicU64::new(0));
    {
        let (reads, log_bytes) = (Arc::clone(&reads), Arc::clone(&log_bytes));
        thread::spawn(move || {
            let mut buf = [0; 4096];
            loop {
                if !reads.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                }
                match stdout.read(&mut buf) {
                    Ok(0) | Err(_) => return,
                    Ok(count) => log_bytes.fetch_add(count as u64, Ordering::Relaxed),
                };
            }
        });
    }
    let mut nodes = await_ready(vec![node], record);
    thread::sleep(Duration::from_secs(1));
    if trouble {
        reads.store(false, Ordering::Relaxed);
        record.line("the reader of the standard output stops");
    }
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Mutex::new(Counts::default()));
    let front = nodes[0].front;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|at| {
            let (stop, counts, record) = (Arc::clone(&stop), Arc::clone(&counts), Arc::clone(record));
            thread::spawn(move || client(at, front, &stop, &counts, &record))
        })
        .collect();
    let began = Instant::now();
    while began.elapsed() < RUN {
        thread::sleep(Duration::from_secs(5));
        let now = *counts.lock().unwrap();
        record.say(&format!(
            "after {:2} s: {} sent, {} answered, {} past the route's timeout, {} without an answer 0.5 s later; ready: {}; process alive: {}",
            began.elapsed().as_secs(), now.sent, now.answered, now.past_timeout, now.no_answer, nodes[0].is_ready(),
            matches!(nodes[0].child.try_wait(), Ok(None))
        ));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    drop(nodes);
    std::fs::remove_dir_all(&dir).ok();
    let counts = *counts.lock().unwrap();
    let broken = counts.no_answer >= 8 && counts.no_answer * 2 > counts.past_timeout;
    record.say(&format!(
        "{} of {} requests that were unanswered at their route's timeout had no answer half a second later; {} log bytes were read",
        counts.no_answer, counts.past_timeout, log_bytes.load(Ordering::Relaxed)
    ));
    if counts.answered == 0 {
        return 2;
    }
    if broken {
        record.say("CONFIG: broken");
    }
    i32::from(broken)
}
