//! Instances do what an upstream says of itself, whichever way a leg would be sent.
//!
//! Runs the real binary against replicas that state a limit, say that they leave, or want a pause;
//! see `docs/DESIGN.md`, "What upstreams say of themselves".

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

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_std::task::{block_on, sleep, spawn};
use caller::Observations;
use deployment::{Deployment, INSTANCES};
use replica::{PAUSE, RATE_LIMIT, ReplicaMode};
use rstest::rstest;

const CALLERS: usize = 4;
/// The time that instances have to hear the signal.
const SETTLE: Duration = Duration::from_secs(2);
/// The time that instances have to start.
const STARTS_WITHIN: Duration = Duration::from_secs(20);
/// The span in which requests are counted, and how many of them the limit allows.
const WINDOW: Duration = Duration::from_secs(4);
const WINDOW_SECS: u32 = 4;
const ALLOWED: usize = (RATE_LIMIT * WINDOW_SECS) as usize * 3 / 2 + 5;

/// Requests that are on their way may still arrive in this time, and this many after it.
const PAUSE_GRACE: Duration = Duration::from_millis(500);
const MAX_IN_PAUSE: usize = 2;

/// The two replicas of a shard that the first configuration gathers.
const GATHERED: [usize; 2] = [8, 9];
/// The two replicas of the service of the other routes.
const SINGLE: [usize; 2] = [18, 19];

struct Case {
    replicas: [usize; 2],
    /// How the other replica behaves, which decides by which way legs go to the first.
    other: ReplicaMode,
}

/// Guards against legs that are sent to an upstream beyond the rate that it takes from all
/// instances together.
#[rstest]
#[case::first_legs_of_a_shard(Case { replicas: GATHERED, other: ReplicaMode::Normal })]
#[case::first_legs_of_a_service(Case { replicas: SINGLE, other: ReplicaMode::Normal })]
#[case::hedges_of_slow_legs(Case { replicas: GATHERED, other: ReplicaMode::Slow })]
#[case::moves_of_shed_legs(Case { replicas: GATHERED, other: ReplicaMode::Sheds })]
#[case::retries_of_failed_legs(Case { replicas: SINGLE, other: ReplicaMode::Fails })]
fn an_upstream_gets_no_more_than_the_rate_that_it_states(#[case] case: Case) {
    let (from, arrivals) = run(&case, ReplicaMode::StatesRateLimit, INSTANCES);
    let counted = arrivals
        .iter()
        .filter(|at| **at >= from && **at < from + WINDOW);
    let count = counted.count();
    assert!(
        count <= ALLOWED,
        "{count} requests in {WINDOW:?}, {ALLOWED} allowed; by quarter of a second: {:?}",
        histogram(from, &arrivals)
    );
    assert!(count > 0, "the limited upstream is not lost");
}

/// Guards against legs that are sent to an upstream after it said in an answer that it leaves,
/// while its entry in the store still says that it stays.
#[rstest]
#[case::first_legs_of_a_shard(Case { replicas: GATHERED, other: ReplicaMode::Normal })]
#[case::first_legs_of_a_service(Case { replicas: SINGLE, other: ReplicaMode::Normal })]
#[case::hedges_of_slow_legs(Case { replicas: GATHERED, other: ReplicaMode::Slow })]
#[case::moves_of_shed_legs(Case { replicas: GATHERED, other: ReplicaMode::Sheds })]
#[case::retries_of_failed_legs(Case { replicas: SINGLE, other: ReplicaMode::Fails })]
#[case::both_leave(Case { replicas: GATHERED, other: ReplicaMode::SaysItLeaves })]
fn an_upstream_that_says_it_leaves_gets_no_more_legs(#[case] case: Case) {
    let (from, arrivals) = run(&case, ReplicaMode::SaysItLeaves, INSTANCES);
    let late = arrivals.iter().filter(|at| **at >= from).count();
    assert_eq!(late, 0, "of {}", arrivals.len());
    assert!(!arrivals.is_empty(), "the upstream was asked at first");
}

/// Guards against legs that are sent to an upstream while it wants a pause.
#[rstest]
#[case::first_legs_of_a_shard(Case { replicas: GATHERED, other: ReplicaMode::Normal })]
#[case::first_legs_of_a_service(Case { replicas: SINGLE, other: ReplicaMode::Normal })]
#[case::hedges_of_slow_legs(Case { replicas: GATHERED, other: ReplicaMode::Slow })]
#[case::moves_of_shed_legs(Case { replicas: GATHERED, other: ReplicaMode::Sheds })]
#[case::retries_of_failed_legs(Case { replicas: SINGLE, other: ReplicaMode::Fails })]
#[case::both_want_a_pause(Case { replicas: GATHERED, other: ReplicaMode::AsksForPause })]
fn an_upstream_that_wants_a_pause_gets_one(#[case] case: Case) {
    // The pause is meant for one instance, and the replica cannot tell them apart.
    let (from, arrivals) = run(&case, ReplicaMode::AsksForPause, 1);
    for answered in &arrivals {
        let pause = *answered + PAUSE_GRACE..*answered + PAUSE;
        let count = arrivals.iter().filter(|at| pause.contains(*at)).count();
        assert!(count <= MAX_IN_PAUSE, "{count} requests within a pause");
    }
    let later = arrivals.iter().filter(|at| **at >= from).count();
    assert!(later > 0, "the upstream is asked again after the pause");
}

/// Sends requests to the first `instances` while one replica of the case gives a signal. Returns
/// the time from which it has to be heeded, and when requests arrived there.
fn run(case: &Case, signal: ReplicaMode, instances: usize) -> (Instant, Vec<Instant>) {
    let name = format!("{signal:?}-{:?}-{:?}", case.replicas[0], case.other);
    block_on(async {
        let deployment = Deployment::start(&name).await;
        wait_until_served(&deployment, instances).await;
        let [signalling, other] = case.replicas.map(|at| &deployment.replicas[at].replica);
        other.set_mode(case.other);
        signalling.set_mode(signal);
        signalling.arrivals.lock().clear();
        let observations = Arc::new(Observations::default());
        let fronts: Vec<_> = deployment.instances[..instances]
            .iter()
            .map(|instance| instance.front)
            .collect();
        let callers: Vec<_> = (0..CALLERS * instances)
            .map(|at| {
                let name = format!("{name}c{at}");
                // A caller takes the instances in turn, and each of them has to hear the signal.
                let mut fronts = fronts.clone();
                fronts.rotate_left(at % instances);
                spawn(caller::run(name, fronts, Arc::clone(&observations)))
            })
            .collect();
        sleep(SETTLE).await;
        let from = Instant::now();
        sleep(WINDOW).await;
        observations.stop.store(true, Ordering::Relaxed);
        for caller in callers {
            caller.await;
        }
        assert_eq!(*observations.violations.lock(), Vec::<String>::new());
        let arrivals = signalling.arrivals.lock().clone();
        (from, arrivals)
    })
}

/// Waits until each of the first `instances` serves: one that starts late hears the signal late.
async fn wait_until_served(deployment: &Deployment, instances: usize) {
    let began = Instant::now();
    for instance in &deployment.instances[..instances] {
        loop {
            let observations = Observations::default();
            caller::send_each_kind("w", instance.front, &observations).await;
            if observations.answered() == caller::REQUEST_KINDS as u64 {
                break;
            }
            assert!(
                began.elapsed() < STARTS_WITHIN,
                "an instance does not serve"
            );
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Returns the number of arrivals in each quarter of a second from two seconds before `from` on.
fn histogram(from: Instant, arrivals: &[Instant]) -> Vec<usize> {
    let step = Duration::from_millis(250);
    let begin = from.checked_sub(SETTLE).unwrap_or(from);
    (0..24)
        .map(|at| begin + step * at..begin + step * (at + 1))
        .map(|span| arrivals.iter().filter(|at| span.contains(*at)).count())
        .collect()
}
