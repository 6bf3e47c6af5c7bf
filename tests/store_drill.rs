//! The store comes back from a copy that is some seconds old, and the instances go on with what is
//! true: the newest configuration, and the replicas that are neither draining nor gone.
//!
//! Runs real processes, with callers and replicas that judge them from outside; see
//! `docs/ERAS.md`. For other figures: `HYSSOPWALK_DRILL_SEEDS=1-50 cargo test --test store_drill`.

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
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task::{JoinHandle, block_on, sleep, spawn};
use caller::{Observations, send_path, wait_until_served};
use deployment::{Deployment, Instance, SHARD_SETS, SINGLE_SERVICE, Sizes};
use futures::future::join_all;
use parking_lot::Mutex;
use proxy::LinkFault;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use rustix::process::Signal;
use serde_json::json;

/// The users' bounds: how long a confirmed configuration and a replica's report may take.
const APPLIED_WITHIN: Duration = Duration::from_secs(3);
/// How long the store and the instances have to be undisturbed before.
const STABLE_WINDOW: Duration = Duration::from_secs(5);
/// How long the instances are judged after that.
const JUDGED_FOR: Duration = Duration::from_secs(3);
/// When the operator writes again what it wrote, and how much later the replicas do.
const OPERATOR_RETURNS_AFTER: Duration = Duration::from_millis(300);
const REPLICAS_RETURN_LATER: Duration = Duration::from_millis(600);
/// The platform removes the entry of a replica that is gone after three missed heartbeats.
const REMOVED_AFTER: Duration = Duration::from_millis(3_600);
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// What else happens while the store is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// The instance that reads the store is cut off from it until the replicas have returned.
    ReaderCutOff,
    /// The instance that reads the store is frozen until the replicas have returned.
    ReaderFrozen,
    /// An instance is killed and starts again.
    InstanceRestarts,
    /// An instance is stopped by its signal and starts again.
    PlannedStop,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    instances: usize,
    /// The times that the store comes back from a copy; none shows what holds without it.
    drills: u32,
    copy_age: Duration,
    /// The writes of others that are lost besides, which raised the store's revision.
    lost_writes: u32,
    away: Duration,
    trouble: Trouble,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            instances: 3,
            drills: 1,
            copy_age: Duration::from_secs(4),
            lost_writes: 40,
            away: Duration::from_secs(1),
            trouble: Trouble::None,
        }
    }
}

/// Guards against configurations and reports of replicas that are ignored because the store, after
/// it came back, gives out revisions that are below those from before.
#[rstest]
#[case::no_drill(Case { drills: 0, ..Case::default() })]
#[case::a_drill(Case::default())]
#[case::a_short_one(Case {
    copy_age: Duration::from_secs(1), away: Duration::from_millis(300), ..Case::default()
})]
#[case::a_drill_that_loses_few_writes(Case { lost_writes: 3, ..Case::default() })]
#[case::a_long_one(Case {
    copy_age: Duration::from_secs(10), away: Duration::from_secs(4), ..Case::default()
})]
#[case::two_drills(Case { drills: 2, ..Case::default() })]
#[case::a_reader_that_is_cut_off(Case { trouble: Trouble::ReaderCutOff, ..Case::default() })]
#[case::a_reader_that_is_frozen(Case { trouble: Trouble::ReaderFrozen, ..Case::default() })]
#[case::a_restart(Case { trouble: Trouble::InstanceRestarts, ..Case::default() })]
#[case::a_planned_stop(Case { trouble: Trouble::PlannedStop, ..Case::default() })]
fn what_is_true_holds_after_the_store_came_back_from_a_copy(#[case] case: Case) {
    let violations = block_on(Drill::play(case, &format!("{case:?}")));
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// The same with random figures, by hand.
#[test]
fn what_is_true_holds_after_random_drills() {
    let text = std::env::var("HYSSOPWALK_DRILL_SEEDS").unwrap_or_default();
    let parsed = text
        .split_once('-')
        .and_then(|(first, last)| Some((first.parse().ok()?, last.parse().ok()?)));
    let (first, last): (u64, u64) = parsed.unwrap_or((1, 1));
    let instances = std::env::var("HYSSOPWALK_DRILL_INSTANCES").ok();
    let instances = instances.and_then(|count| count.parse().ok());
    let mut failed = Vec::new();
    for seed in first..=last {
        let mut rng = SmallRng::seed_from_u64(seed);
        let troubles = [
            Trouble::None,
            Trouble::ReaderCutOff,
            Trouble::ReaderFrozen,
            Trouble::InstanceRestarts,
            Trouble::PlannedStop,
        ];
        let case = Case {
            instances: instances.unwrap_or_else(|| rng.random_range(2..8)),
            drills: rng.random_range(1..3),
            lost_writes: rng.random_range(0..60),
            copy_age: Duration::from_millis(rng.random_range(1_000..10_000)),
            away: Duration::from_millis(rng.random_range(0..5_000)),
            trouble: troubles[rng.random_range(0..troubles.len())],
        };
        let violations = block_on(Drill::play(case, &format!("seed {seed}")));
        println!("seed {seed}: {case:?}, {} violations", violations.len());
        if !violations.is_empty() {
            failed.push(format!(
                "seed {seed}: {case:?}\n  {}",
                violations.join("\n  ")
            ));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// What the instances have to do by now.
#[derive(Clone, Copy, Debug)]
struct Due {
    version: u64,
    since: Instant,
}

/// What the operator wrote last. Callers ask for it.
type Written = Arc<Mutex<Due>>;

struct Drill {
    case: Case,
    deployment: Deployment,
    written: Written,
    observations: Arc<Observations>,
    violations: Vec<String>,
}

impl Drill {
    async fn play(case: Case, name: &str) -> Vec<String> {
        let digits: String = name.chars().filter(char::is_ascii_alphanumeric).collect();
        let sizes = Sizes {
            instances: case.instances,
            ..Sizes::default()
        };
        let deployment = Deployment::start_sized(&format!("drill-{digits}"), sizes).await;
        deployment.store.state().begin_eras();
        for instance in &deployment.instances {
            wait_until_served(instance.front).await;
        }
        let version = deployment.version;
        let since = Instant::now();
        let mut drill = Self {
            case,
            deployment,
            written: Arc::new(Mutex::new(Due { version, since })),
            observations: Arc::default(),
            violations: Vec::new(),
        };
        let callers = drill.start_callers();
        drill.run().await;
        drill.observations.stop.store(true, Ordering::Relaxed);
        join_all(callers).await;
        let observed = drill.observations.violations.lock().clone();
        drill.violations.extend(observed);
        let answered = drill.observations.answered();
        println!(
            "{name}: {answered} judged answers, {} violations",
            drill.violations.len()
        );
        for instance in &drill.deployment.instances {
            drill.violations.extend(instance.panics());
        }
        drill.deployment.close().await;
        drill.violations
    }

    async fn run(&mut self) {
        let ready = self.add_replica().await;
        let leaves = self.add_replica().await;
        let drains = self.add_replica().await;
        sleep(Duration::from_secs(1)).await;

        let copy = self.deployment.store.state().copy();
        for number in 0..self.case.lost_writes {
            let value = json!({ "number": number });
            self.deployment.store.set("notes/another", value);
        }
        let late = self.add_replica().await;
        let left_at = self.remove(leaves);
        let drained_at = self.report(drains, "draining");
        self.change_config();
        let judged = [(leaves, left_at), (drains, drained_at)];
        sleep(self.case.copy_age).await;
        for _ in 0..self.case.drills {
            self.disturb().await;
            self.deployment.store.faults(|faults| faults.down = true);
            sleep(self.case.away).await;
            self.deployment.store.state().restore(copy.clone());
            self.deployment.store.faults(|faults| faults.down = false);
            sleep(OPERATOR_RETURNS_AFTER).await;
            self.deployment.write_config();
            sleep(REPLICAS_RETURN_LATER).await;
            self.report(late, "ready");
            self.report(drains, "draining");
        }
        self.calm_down();
        sleep(REMOVED_AFTER).await;
        self.remove(leaves);
        sleep(STABLE_WINDOW).await;
        self.check_arrivals(&judged, "before the drill");

        let left_at = self.remove(ready);
        let drained_at = self.report(late, "draining");
        self.change_config();
        sleep(APPLIED_WITHIN + JUDGED_FOR).await;
        self.check_arrivals(&[(ready, left_at), (late, drained_at)], "after the drill");
    }

    fn start_callers(&self) -> Vec<JoinHandle<()>> {
        let instances = self.deployment.instances.iter();
        instances
            .enumerate()
            .map(|(at, instance)| {
                let written = Arc::clone(&self.written);
                let observations = Arc::clone(&self.observations);
                spawn(call(at, instance.front, written, observations))
            })
            .collect()
    }

    async fn add_replica(&mut self) -> usize {
        self.deployment.add_replica(SINGLE_SERVICE).await;
        let at = self.deployment.replicas.len() - 1;
        self.report(at, "ready");
        at
    }

    /// Writes a replica's report, as the replica does. Returns when the store accepted it.
    fn report(&self, at: usize, state: &str) -> Instant {
        let proxied = &self.deployment.replicas[at];
        let entry = proxied.replica.entry(proxied.proxy.addr, state);
        let key = format!("servers/{}", proxied.replica.id);
        self.deployment.store.set(&key, entry);
        Instant::now()
    }

    fn remove(&self, at: usize) -> Instant {
        self.deployment.deregister(at);
        Instant::now()
    }

    fn change_config(&mut self) {
        self.deployment.change_config();
        *self.written.lock() = Due {
            version: self.deployment.version,
            since: Instant::now(),
        };
    }

    /// Returns the instance that reads the store: the first by address of those of one size.
    fn reader(&mut self) -> &mut Instance {
        let instances = self.deployment.instances.iter_mut();
        let reader = instances.min_by_key(|instance| instance.control);
        reader.expect("an instance")
    }

    async fn disturb(&mut self) {
        let trouble = self.case.trouble;
        let reader = self.reader();
        match trouble {
            Trouble::None => {}
            Trouble::ReaderCutOff => reader.store.set_fault(LinkFault::Blackhole),
            Trouble::ReaderFrozen => reader.signal(Signal::STOP),
            Trouble::InstanceRestarts => {
                reader.kill();
                reader.start();
            }
            Trouble::PlannedStop => {
                if !reader.has_exited() {
                    reader.signal(Signal::TERM);
                }
            }
        }
        sleep(Duration::from_millis(10)).await;
    }

    fn calm_down(&mut self) {
        let trouble = self.case.trouble;
        let reader = self.reader();
        match trouble {
            Trouble::None | Trouble::InstanceRestarts => {}
            Trouble::ReaderCutOff => reader.store.set_fault(LinkFault::None),
            Trouble::ReaderFrozen => reader.signal(Signal::CONT),
            Trouble::PlannedStop => {
                reader.kill();
                reader.start();
            }
        }
    }

    /// DRAIN: a request reaches a replica later than allowed after it said that it leaves.
    fn check_arrivals(&mut self, judged: &[(usize, Instant)], when: &str) {
        for (at, since) in judged {
            let replica = &self.deployment.replicas[*at].replica;
            let due = *since + APPLIED_WITHIN;
            let arrivals = replica.arrivals.lock();
            let late = arrivals.iter().filter(|arrived| **arrived > due).count();
            if late > 0 {
                let id = &replica.id;
                let text = format!("DRAIN: {late} requests reached {id}, which left {when}");
                self.violations.push(text);
            }
        }
    }
}

/// Asks one instance for what the newest configuration says, on connections that are kept, and
/// judges the answers once that configuration is due.
async fn call(at: usize, front: SocketAddr, written: Written, observations: Arc<Observations>) {
    let mut connection = None;
    for number in 0_usize.. {
        if observations.stop.load(Ordering::Relaxed) {
            return;
        }
        let due = *written.lock();
        let id = format!("c{at}-{number}");
        let path = match number % 3 {
            0 => format!("/v{}/{id}", due.version),
            1 => format!("/g/{id}"),
            _ => format!("/one/{id}"),
        };
        let is_due = due.since.elapsed() > APPLIED_WITHIN;
        let sent = timeout(
            ANSWER_TIMEOUT,
            send_path(&mut connection, front, &path, &id),
        )
        .await;
        let Ok(Ok(res)) = sent else {
            connection = None;
            sleep(REQUEST_INTERVAL).await;
            continue;
        };
        if res.get("connection").is_some_and(|value| value == "close") {
            connection = None;
        }
        if is_due {
            observations.answered.fetch_add(1, Ordering::Relaxed);
            let stamps = res.get("part-stamps").unwrap_or_default();
            if let Some(violation) = judge(&path, res.status(), stamps, due.version) {
                let text = format!(
                    "{violation}: instance {at}, {path}, version {}",
                    due.version
                );
                observations.violations.lock().push(text);
            }
        }
        sleep(REQUEST_INTERVAL).await;
    }
}

/// Names the rule that an answer breaks once a version has to be in force.
fn judge(path: &str, status: u16, stamps: &str, version: u64) -> Option<&'static str> {
    let is_on_added_route = path.starts_with("/v");
    match status {
        404 if is_on_added_route => Some("CONFIG, 404 on an added route"),
        300..=499 if ![408, 421, 429].contains(&status) => Some("DENIED"),
        200 if path.starts_with("/g/") => {
            let set = SHARD_SETS[usize::try_from(version / 3 % 2).expect("0 or 1")];
            let services = stamps
                .split(',')
                .filter_map(|stamp| stamp.trim().split('.').next());
            let is_old = services.into_iter().any(|service| !set.contains(&service));
            is_old.then_some("CONFIG, run by the old services")
        }
        _ => None,
    }
}
