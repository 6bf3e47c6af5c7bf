//! Callers that send requests and check what they are promised.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task::sleep;
use parking_lot::Mutex;

use super::http::{self, Message};
use super::replica::records;
use super::site::{DESK, HOST, LEAST_PERCENT, RECORDS, SETS};

const ANSWER_WITHIN: Duration = Duration::from_secs(4);
const PAUSE: Duration = Duration::from_millis(15);
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// How many kinds of request there are.
pub(crate) const KINDS: usize = 3;

/// What callers saw.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) answered: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) cut: AtomicU64,
    /// Requests that may not run twice, which were told "not run".
    pub(crate) not_run: Mutex<Vec<String>>,
    /// Promises that were broken.
    pub(crate) broken: Mutex<Vec<String>>,
    pub(crate) stop: AtomicBool,
}

/// Sends requests of every kind, keeping its connection while it can.
pub(crate) async fn run(name: String, fronts: Vec<SocketAddr>, seen: Arc<Seen>) {
    let mut kept: Option<(TcpStream, Vec<u8>)> = None;
    for number in 0_usize.. {
        if seen.stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{name}-{number}");
        let front = fronts[number / 8 % fronts.len()];
        let kind = ["/g/", "/g/", "/one/", "/order/"][number % 4];
        let asked = timeout(ANSWER_WITHIN, ask(&mut kept, front, kind, &id)).await;
        if let Ok(Ok(res)) = asked {
            check(&seen, kind, &id, &res);
            let closes = res.get("connection").is_some_and(|value| value == "close");
            if closes || number % 8 == 7 {
                kept = None;
            }
        } else {
            seen.cut.fetch_add(1, Ordering::Relaxed);
            kept = None;
        }
        sleep(PAUSE).await;
    }
}

/// Sends one request of every kind on a connection of its own.
pub(crate) async fn once(name: &str, front: SocketAddr, seen: &Seen) {
    for (at, kind) in ["/g/", "/one/", "/order/"].into_iter().enumerate() {
        let id = format!("{name}k{at}");
        if let Ok(Ok(res)) = timeout(ANSWER_WITHIN, ask(&mut None, front, kind, &id)).await {
            check(seen, kind, &id, &res);
        }
    }
}

async fn ask(
    kept: &mut Option<(TcpStream, Vec<u8>)>,
    front: SocketAddr,
    kind: &str,
    id: &str,
) -> std::io::Result<Message> {
    if kept.is_none() {
        *kept = Some((TcpStream::connect(front).await?, Vec::new()));
    }
    let (stream, buf) = kept.as_mut().expect("just set");
    let method = if kind == "/order/" { "POST" } else { "GET" };
    let text = format!(
        "{method} {kind}{id} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await?;
    let read = http::read(stream, buf).await?;
    read.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

fn check(seen: &Seen, kind: &str, id: &str, res: &Message) {
    let status = res.status();
    if status == 200 {
        seen.answered.fetch_add(1, Ordering::Relaxed);
        let checked = if kind == "/g/" {
            check_gathered(id, res)
        } else {
            check_one(id, res)
        };
        if let Err(why) = checked {
            seen.broken.lock().push(format!("{id}: {why}"));
        }
        return;
    }
    seen.refused.fetch_add(1, Ordering::Relaxed);
    if PROMISES.contains(&status) && kind == "/order/" {
        seen.not_run.lock().push(id.to_owned());
    }
    let denied = (400..500).contains(&status) && !PROMISES.contains(&status);
    if denied {
        let text = String::from_utf8_lossy(&res.body);
        seen.broken
            .lock()
            .push(format!("{id}: denied with {status} {text}"));
    }
}

fn check_one(id: &str, res: &Message) -> Result<(), String> {
    let proof = res.get("answer-stamp").unwrap_or_default();
    if proof != format!("{DESK}.{id}") {
        return Err(format!("the proof {proof:?} is not of this request"));
    }
    if res.body != records(DESK, id) {
        return Err("the body is not the replica's".to_owned());
    }
    Ok(())
}

fn check_gathered(id: &str, res: &Message) -> Result<(), String> {
    let proofs = res.get("part-stamps").unwrap_or_default();
    let mut services = Vec::new();
    for proof in proofs.split(',').map(str::trim) {
        let (service, request) = proof.split_once('.').ok_or("a proof is none")?;
        if request != id || services.contains(&service) {
            return Err(format!("the proof {proof:?} is wrong or comes twice"));
        }
        services.push(service);
    }
    let missing: usize = res
        .get("missing-parts")
        .and_then(|text| text.parse().ok())
        .ok_or("it does not say how many shards are missing")?;
    let set = SETS
        .into_iter()
        .find(|set| set.contains(&services[0]))
        .ok_or("no such shard")?;
    if services.iter().any(|service| !set.contains(service)) {
        return Err(format!("{services:?} are shards of two configurations"));
    }
    if services.len() + missing != set.len() {
        return Err(format!(
            "{} shards and {missing} missing of {}",
            services.len(),
            set.len()
        ));
    }
    if services.len() * 100 < LEAST_PERCENT * set.len() {
        return Err(format!(
            "{} shards of {} are too few",
            services.len(),
            set.len()
        ));
    }
    let mut all: Vec<Vec<u8>> = services
        .iter()
        .flat_map(|service| {
            records(service, id)
                .chunks(16)
                .map(<[u8]>::to_vec)
                .collect::<Vec<_>>()
        })
        .collect();
    all.sort_unstable_by(|one, two| two.cmp(one));
    all.truncate(RECORDS);
    if res.body != all.concat() {
        return Err("the records are not the greatest of the parts".to_owned());
    }
    Ok(())
}
