//! Bytes without end, or large ones from many sides at once, leave an instance within the memory
//! of its machine, and the requests of other callers on it end well.
//!
//! Runs the real binary and reads the process's peak memory; see `docs/DESIGN.md`, "Memory".

#![allow(dead_code, reason = "the soak uses the rest of its modules")]

#[path = "soak/caller.rs"]
mod caller;
#[path = "soak/deployment.rs"]
mod deployment;
#[path = "soak/http.rs"]
mod http;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/replica.rs"]
mod replica;
mod standin;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task::{block_on, sleep, spawn};
use caller::send_request;
use deployment::{Deployment, HOST, SINGLE_SERVICE, Sizes};
use parking_lot::Mutex;
use replica::{Flood, ReplicaMode};
use rstest::rstest;

/// The least memory of a machine in the users' deployments.
const MEMORY_MB: u32 = 160;
const SIZES: Sizes = Sizes {
    instances: 1,
    slots: 60,
    memory_mb: MEMORY_MB,
    max_body_bytes: 1 << 20,
    timeout_ms: 2_000,
};
const FLOOD: Duration = Duration::from_secs(4);
/// Callers whose requests go to the replicas that misbehave.
const CALLERS_OF_REPLICAS: usize = 60;
/// Callers who misbehave themselves.
const FLOODING_CALLERS: usize = 300;
/// The pause of each of these callers before its next request.
const PAUSE: Duration = Duration::from_millis(200);
/// Requests of other callers, one at a time.
const OTHER_CALLERS: usize = 4;

#[derive(Clone, Copy)]
enum Source {
    /// All replicas of the shards of a gathered route.
    Replicas(Flood),
    /// Callers that send long bodies and never finish them.
    Callers,
}

/// A flood takes most of a processor, so that two at once would be a test of the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Guards against a process that keeps all bytes that it is sent, runs out of memory and takes the
/// requests of other callers with it.
#[rstest]
#[case::heads(Source::Replicas(Flood::EndlessHead))]
#[case::bodies(Source::Replicas(Flood::EndlessBody))]
#[case::no_answers(Source::Replicas(Flood::NoAnswer))]
#[case::tiny_chunks(Source::Replicas(Flood::TinyChunks))]
#[case::one_chunk(Source::Replicas(Flood::EndlessChunk))]
#[case::many_chunks(Source::Replicas(Flood::EndlessChunks))]
#[case::unfinished_bodies(Source::Replicas(Flood::UnfinishedBody))]
#[case::large_answers(Source::Replicas(Flood::LargeBody))]
#[case::bodies_of_callers(Source::Callers)]
fn memory_stays_within_the_machine(#[case] source: Source) {
    let _one_at_a_time = ONE_AT_A_TIME.lock();
    block_on(async {
        let name = match source {
            Source::Replicas(flood) => format!("{flood:?}"),
            Source::Callers => "callers".to_owned(),
        };
        let mut deployment = Deployment::start_sized(&name, SIZES).await;
        let front = deployment.instances[0].front;
        caller::wait_until_served(front).await;
        let before = peak_memory_mb(deployment.instances[0].pid());
        if let Source::Replicas(flood) = source {
            let shards = deployment.replicas.iter().map(|proxied| &proxied.replica);
            for replica in shards.filter(|replica| replica.service != SINGLE_SERVICE) {
                replica.set_mode(ReplicaMode::Floods(flood));
            }
        }
        let stop = Arc::new(AtomicBool::new(false));
        let callers = match source {
            Source::Replicas(_) => CALLERS_OF_REPLICAS,
            Source::Callers => FLOODING_CALLERS,
        };
        let flooding: Vec<_> = (0..callers)
            .map(|at| spawn(run_flood(source, front, at, Arc::clone(&stop))))
            .collect();
        let others = (0..OTHER_CALLERS).map(|at| run_other(front, at, &stop));
        let others = futures::future::join_all(others);
        let (results, ()) = futures::join!(others, async {
            sleep(FLOOD).await;
            stop.store(true, Ordering::Relaxed);
        });
        for caller in flooding {
            caller.await;
        }
        let instance = &mut deployment.instances[0];
        assert!(!instance.has_exited(), "the process ended");
        let peak = peak_memory_mb(instance.pid());
        let (ended_well, all) = results
            .into_iter()
            .fold((0, 0), |sum, (well, all)| (sum.0 + well, sum.1 + all));
        println!(
            "{name}: {before} MB before, {peak} MB at the peak; {ended_well} of {all} other requests ended well"
        );
        assert!(peak < MEMORY_MB, "{peak} MB, before it {before} MB");
        assert!(
            all > 0 && ended_well == all,
            "{ended_well} of {all} requests ended well"
        );
        deployment.close().await;
    });
}

async fn run_flood(source: Source, front: SocketAddr, at: usize, stop: Arc<AtomicBool>) {
    let mut connection = None;
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("f{at}n{number}");
        match source {
            Source::Replicas(_) => {
                let sending = send_request(&mut connection, front, "/g/", &id);
                if !matches!(timeout(FLOOD, sending).await, Ok(Ok(_))) {
                    connection = None;
                }
            }
            Source::Callers => drop(send_unfinished_body(front, &id, &stop).await),
        }
        sleep(PAUSE).await;
    }
}

/// Sends a request with a body of the largest size but for its last byte, and waits until the
/// connection is closed.
async fn send_unfinished_body(
    front: SocketAddr,
    id: &str,
    stop: &AtomicBool,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(front).await?;
    let len = SIZES.max_body_bytes;
    let head = format!(
        "POST /one/{id} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nContent-Length: {len}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![0; len - 1]).await?;
    while !stop.load(Ordering::Relaxed) {
        let mut buf = Vec::new();
        let reading = http::read(&mut stream, &mut buf);
        if timeout(Duration::from_millis(100), reading).await.is_ok() {
            return Ok(());
        }
    }
    Ok(())
}

/// Sends requests to a sound replica. Returns how many were answered with success, and how many
/// were sent.
async fn run_other(front: SocketAddr, at: usize, stop: &AtomicBool) -> (usize, usize) {
    let mut connection = None;
    let mut ended_well = 0;
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return (ended_well, number);
        }
        let id = format!("o{at}n{number}");
        let sending = send_request(&mut connection, front, "/one/", &id);
        match timeout(FLOOD, sending).await {
            Ok(Ok(res)) if res.status() == 200 => ended_well += 1,
            Ok(Ok(res)) => println!("{id}: {}", res.status()),
            other => {
                println!("{id}: {other:?}");
                connection = None;
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
    unreachable!("the numbers have no end")
}

/// Returns the peak of the memory that a process has used.
fn peak_memory_mb(pid: u32) -> u32 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a running process");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kb = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
    kb.and_then(|kb| kb.parse::<u32>().ok())
        .expect("a size in kB")
        / 1_024
}
