//! Callers that send requests and check the guarantees on every answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task::sleep;
use parking_lot::Mutex;

use super::deployment::{HOST, MIN_COVERAGE_PERCENT, SHARD_SETS, SINGLE_SERVICE, TOP_K};
use super::http::{self, Message};
use super::replica::records;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// The time that an instance has to start.
const STARTS_WITHIN: Duration = Duration::from_secs(20);
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// Statuses that guarantee that the request has not run and never will.
pub(crate) const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Number of kinds of request: gathered, single and order.
pub(crate) const REQUEST_KINDS: usize = 3;

/// Counts and violations that callers observed.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    pub(crate) answered: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) unanswered: AtomicU64,
    /// Ids of orders, which must not run twice, that were answered with a status in
    /// `NOT_RUN_STATUSES`.
    pub(crate) not_run: Mutex<Vec<String>>,
    /// Descriptions of the violated guarantees.
    pub(crate) violations: Mutex<Vec<String>>,
    pub(crate) stop: AtomicBool,
}

impl Observations {
    /// The number of requests that were answered.
    pub(crate) fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }
}

/// Sends requests of every kind until stopped; each connection serves up to eight requests.
pub(crate) async fn run(name: String, fronts: Vec<SocketAddr>, observations: Arc<Observations>) {
    let mut connection: Option<(TcpStream, Vec<u8>)> = None;
    for number in 0_usize.. {
        if observations.stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{name}-{number}");
        let front = fronts[number / 8 % fronts.len()];
        let kind = ["/g/", "/g/", "/one/", "/order/"][number % 4];
        let result = timeout(
            ANSWER_TIMEOUT,
            send_request(&mut connection, front, kind, &id),
        )
        .await;
        if let Ok(Ok(res)) = result {
            check(&observations, kind, &id, &res);
            let closes = res.get("connection").is_some_and(|value| value == "close");
            if closes || number % 8 == 7 {
                connection = None;
            }
        } else {
            observations.unanswered.fetch_add(1, Ordering::Relaxed);
            connection = None;
        }
        sleep(REQUEST_INTERVAL).await;
    }
}

/// Sends one request of every kind, each on a new connection.
pub(crate) async fn send_each_kind(name: &str, front: SocketAddr, observations: &Observations) {
    for (at, kind) in ["/g/", "/one/", "/order/"].into_iter().enumerate() {
        let id = format!("{name}k{at}");
        if let Ok(Ok(res)) =
            timeout(ANSWER_TIMEOUT, send_request(&mut None, front, kind, &id)).await
        {
            check(observations, kind, &id, &res);
        }
    }
}

/// Waits until an instance answers requests of every kind.
#[allow(dead_code, reason = "the soak itself does not use it")]
pub(crate) async fn wait_until_served(front: SocketAddr) {
    let began = Instant::now();
    loop {
        let observations = Observations::default();
        send_each_kind("w", front, &observations).await;
        if observations.answered() == REQUEST_KINDS as u64 {
            return;
        }
        assert!(began.elapsed() < STARTS_WITHIN, "{front} does not serve");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Sends a request and reads its answer; opens a connection if there is none.
pub(crate) async fn send_request(
    connection: &mut Option<(TcpStream, Vec<u8>)>,
    front: SocketAddr,
    kind: &str,
    id: &str,
) -> std::io::Result<Message> {
    send_path(connection, front, &format!("{kind}{id}"), id).await
}

/// Like [`send_request`], for this path.
pub(crate) async fn send_path(
    connection: &mut Option<(TcpStream, Vec<u8>)>,
    front: SocketAddr,
    path: &str,
    id: &str,
) -> std::io::Result<Message> {
    if connection.is_none() {
        *connection = Some((TcpStream::connect(front).await?, Vec::new()));
    }
    let (stream, buf) = connection.as_mut().expect("just set");
    let is_order = path.starts_with("/order/");
    let method = if is_order { "POST" } else { "GET" };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await?;
    let read = http::read(stream, buf).await?;
    read.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

fn check(observations: &Observations, kind: &str, id: &str, res: &Message) {
    let status = res.status();
    if status == 200 {
        observations.answered.fetch_add(1, Ordering::Relaxed);
        let checked = if kind == "/g/" {
            check_gathered(id, res)
        } else {
            check_single(id, res)
        };
        if let Err(reason) = checked {
            observations
                .violations
                .lock()
                .push(format!("{id}: {reason}"));
        }
        return;
    }
    observations.refused.fetch_add(1, Ordering::Relaxed);
    if NOT_RUN_STATUSES.contains(&status) && kind == "/order/" {
        observations.not_run.lock().push(id.to_owned());
    }
    let rejected = (400..500).contains(&status) && !NOT_RUN_STATUSES.contains(&status);
    if rejected {
        let text = String::from_utf8_lossy(&res.body);
        observations
            .violations
            .lock()
            .push(format!("{id}: rejected with {status} {text}"));
    }
}

fn check_single(id: &str, res: &Message) -> Result<(), String> {
    let stamp = res.get("answer-stamp").unwrap_or_default();
    if stamp != format!("{SINGLE_SERVICE}.{id}") {
        return Err(format!(
            "the answer stamp {stamp:?} belongs to another request"
        ));
    }
    if res.body != records(SINGLE_SERVICE, id) {
        return Err("the body differs from the replica's".to_owned());
    }
    Ok(())
}

fn check_gathered(id: &str, res: &Message) -> Result<(), String> {
    let stamps = res.get("part-stamps").unwrap_or_default();
    let mut services = Vec::new();
    for stamp in stamps.split(',').map(str::trim) {
        let (service, request) = stamp.split_once('.').ok_or("a part stamp is malformed")?;
        if request != id || services.contains(&service) {
            return Err(format!(
                "the part stamp {stamp:?} is of another request or a duplicate"
            ));
        }
        services.push(service);
    }
    let missing: usize = res
        .get("missing-parts")
        .and_then(|text| text.parse().ok())
        .ok_or("the number of missing shards is absent or invalid")?;
    let shard_set = SHARD_SETS
        .into_iter()
        .find(|shard_set| shard_set.contains(&services[0]))
        .ok_or("unknown shard")?;
    if services.iter().any(|service| !shard_set.contains(service)) {
        return Err(format!("{services:?} mix the shards of two configurations"));
    }
    if services.len() + missing != shard_set.len() {
        return Err(format!(
            "{} present and {missing} missing shards do not add up to {}",
            services.len(),
            shard_set.len()
        ));
    }
    if services.len() * 100 < MIN_COVERAGE_PERCENT * shard_set.len() {
        return Err(format!(
            "{} of {} shards are below the minimum coverage",
            services.len(),
            shard_set.len()
        ));
    }
    let mut expected_records: Vec<Vec<u8>> = services
        .iter()
        .flat_map(|service| {
            records(service, id)
                .chunks(16)
                .map(<[u8]>::to_vec)
                .collect::<Vec<_>>()
        })
        .collect();
    expected_records.sort_unstable_by(|one, two| two.cmp(one));
    expected_records.truncate(TOP_K);
    if res.body != expected_records.concat() {
        return Err("the records are not the greatest ones of all parts".to_owned());
    }
    Ok(())
}
