//! A planned stop cuts off no request that ran, whenever in the grace period it arrives.
//!
//! Stops real instances by signals while callers send on connections that they kept; see
//! `docs/DESIGN.md`, "Shutdown".

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
#[path = "soak/store.rs"]
mod store;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task::{block_on, sleep};
use caller::{NOT_RUN_STATUSES, Observations, send_each_kind, send_request};
use deployment::{Deployment, INSTANCES, Instance};
use futures::future::join_all;
use replica::ReplicaMode;
use rstest::rstest;
use rustix::process::Signal;
use store::StoreMode;

/// The grace period of the deployment's settings.
const GRACE: Duration = Duration::from_secs(6);
/// How often a caller sends a request after the signal, each on a connection of its own.
const SEND_INTERVAL: Duration = Duration::from_millis(100);
const REQUESTS: u32 = 60;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Requests that were sent this long before the process exited had time to be read.
const READ_WITHIN: Duration = Duration::from_millis(300);

struct Case {
    /// The kind of the requests, as the start of their path.
    kind: &'static str,
    replicas: ReplicaMode,
    /// The instance to stop; the others follow the first one.
    instance: usize,
    /// The signals, by the time after the first one.
    signals: &'static [Duration],
    store: StoreMode,
}

const ONCE: &[Duration] = &[Duration::ZERO];
const REPEATED: &[Duration] = &[
    Duration::ZERO,
    Duration::from_millis(700),
    Duration::from_secs(4),
];

impl Default for Case {
    fn default() -> Self {
        Self {
            kind: "/order/",
            replicas: ReplicaMode::Slow,
            instance: 2,
            signals: ONCE,
            store: StoreMode::Normal,
        }
    }
}

/// What became of one request.
#[derive(Debug)]
struct Outcome {
    id: String,
    sent_after: Duration,
    status: Option<u16>,
}

/// Guards against requests that are taken late in the grace period, passed on and cut at its end,
/// and against a repeated signal that cuts those in flight.
#[rstest]
#[case::orders(Case::default())]
#[case::orders_that_outlast_the_grace_period(Case { replicas: ReplicaMode::Stalls, ..Case::default() })]
#[case::single_reads(Case { kind: "/one/", ..Case::default() })]
#[case::single_reads_that_outlast_the_grace_period(Case { kind: "/one/", replicas: ReplicaMode::Stalls, ..Case::default() })]
#[case::gathers(Case { kind: "/g/", ..Case::default() })]
#[case::gathers_that_outlast_the_grace_period(Case { kind: "/g/", replicas: ReplicaMode::Stalls, ..Case::default() })]
#[case::the_instance_that_others_follow(Case { instance: 0, ..Case::default() })]
#[case::a_repeated_signal(Case { signals: REPEATED, ..Case::default() })]
#[case::in_an_outage_of_the_store(Case { store: StoreMode::Silent, ..Case::default() })]
fn a_planned_stop_cuts_no_request_that_ran(#[case] case: Case) {
    block_on(async {
        let name = format!(
            "stop{}{:?}{}",
            case.instance,
            case.replicas,
            case.signals.len()
        );
        let mut deployment = Deployment::start(&(name + &case.kind.replace('/', ""))).await;
        let front = deployment.instances[case.instance].front;
        wait_until_served(&mut deployment).await;
        let connections = keep_connections(&case, front).await;
        for proxied in &deployment.replicas {
            proxied.replica.set_mode(case.replicas);
        }
        case.store.apply_to(&deployment.store);
        let began = Instant::now();
        let callers = (0..REQUESTS).zip(connections).map(|(at, connection)| {
            send_after(SEND_INTERVAL * at, began, &case, front, connection)
        });
        let (outcomes, exited_after) = futures::join!(
            join_all(callers),
            stop(
                &mut deployment.instances[case.instance],
                case.signals,
                began
            )
        );
        assert!(exited_after < GRACE, "exited after {exited_after:?}");
        let faults = faults(&deployment, &outcomes, exited_after);
        assert!(
            faults.is_empty(),
            "exited after {exited_after:?}:\n{faults:#?}"
        );
        let answered = outcomes.iter().filter(|outcome| outcome.status.is_some());
        assert!(answered.count() > 0, "no request reached the instance");
        deployment.close().await;
    });
}

async fn wait_until_served(deployment: &mut Deployment) {
    let began = Instant::now();
    loop {
        let observations = Observations::default();
        for (at, instance) in deployment.instances.iter().enumerate() {
            send_each_kind(&format!("w{at}"), instance.front, &observations).await;
        }
        if observations.answered() == caller::REQUEST_KINDS as u64 * INSTANCES as u64 {
            return;
        }
        let instances = deployment.instances.iter_mut();
        assert!(
            began.elapsed() < Duration::from_secs(20),
            "the deployment does not serve: {observations:?} {:#?}",
            instances.map(Instance::describe).collect::<Vec<_>>()
        );
    }
}

type Connection = Option<(TcpStream, Vec<u8>)>;

/// Opens connections and sends one request on each, after which callers keep them.
async fn keep_connections(case: &Case, front: SocketAddr) -> Vec<Connection> {
    let mut connections = Vec::new();
    for at in 0..REQUESTS {
        let mut connection: Connection = None;
        let id = format!("k{at}");
        send_request(&mut connection, front, case.kind, &id)
            .await
            .expect("the instance serves before the signal");
        connections.push(connection);
    }
    connections
}

async fn send_after(
    delay: Duration,
    began: Instant,
    case: &Case,
    front: SocketAddr,
    mut connection: Connection,
) -> Outcome {
    sleep(delay).await;
    let id = format!("late{}", delay.as_millis());
    let sent_after = began.elapsed();
    let sending = send_request(&mut connection, front, case.kind, &id);
    let answered = timeout(ANSWER_TIMEOUT, sending).await;
    let status = answered.ok().and_then(Result::ok).map(|res| res.status());
    Outcome {
        id,
        sent_after,
        status,
    }
}

/// Sends the signals, and returns when the process had exited.
async fn stop(instance: &mut Instance, signals: &[Duration], began: Instant) -> Duration {
    let mut signals = signals.iter().peekable();
    loop {
        if instance.has_exited() {
            return began.elapsed();
        }
        if signals.next_if(|at| began.elapsed() >= **at).is_some() {
            instance.signal(Signal::TERM);
        }
        assert!(began.elapsed() < GRACE * 2, "the process does not exit");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Describes the requests whose callers were left without an answer or told something false.
fn faults(deployment: &Deployment, outcomes: &[Outcome], exited_after: Duration) -> Vec<String> {
    let runs = deployment.runs.lock();
    let ran = |id: &str| runs.iter().any(|run| run.request == id);
    let fault = |outcome: &Outcome| {
        let ran = ran(&outcome.id);
        let had_time = outcome.sent_after + READ_WITHIN < exited_after;
        match outcome.status {
            None if ran => Some("ran and was not answered"),
            None if had_time => Some("was not answered"),
            Some(status) if ran && NOT_RUN_STATUSES.contains(&status) => {
                Some("ran and was answered as not run")
            }
            _ => None,
        }
    };
    let described = |outcome: &Outcome| Some(format!("{outcome:?} {}", fault(outcome)?));
    outcomes.iter().filter_map(described).collect()
}
