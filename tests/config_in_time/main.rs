//! A confirmed configuration is in force in time at every instance of a large deployment.
//!
//! Runs real processes, kills, stops, pauses and restarts them in overlapping series, disturbs the
//! store, changes the configuration meanwhile, and asks every undisturbed instance for the routes
//! that it has to know by then. See `docs/DEVELOPERS.md`, "Many processes". For a longer run:
//! `HYSSOPWALK_MANY_SEEDS=1-10 HYSSOPWALK_MANY_INSTANCES=75 cargo test --test config_in_time`.

mod fleet;
#[allow(dead_code, reason = "the soak uses the rest")]
#[path = "../soak/http.rs"]
mod http;
mod instance;
mod plan;
#[path = "../standin/mod.rs"]
mod standin;
#[allow(dead_code, reason = "the soak uses the rest")]
#[path = "../soak/store.rs"]
mod store;

use std::time::{Duration, Instant};

use async_std::task::{block_on, sleep};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use fleet::Fleet;

/// Seeds and instances as run in CI; the checks do not depend on them.
const DEFAULT_SEEDS: (u64, u64) = (1, 1);
const DEFAULT_INSTANCES: usize = 12;
/// How long faults are injected.
const DISTURBED: Duration = Duration::from_secs(20);
/// How long the checks go on after the last fault and the last change: until a configuration that
/// was written then must be in force at an instance that was restarted then.
const AFTERWARDS: Duration = Duration::from_secs(24);
const TICK: Duration = Duration::from_millis(50);
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

async fn run(seed: u64, instances: usize) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut plan = plan::draw(&mut rng, instances, DISTURBED);
    let mut fleet = Fleet::start(seed, instances, &mut rng).await;
    let mut violations = Vec::new();
    let mut checked_at = Instant::now();
    while fleet.elapsed() < DISTURBED + AFTERWARDS {
        while let Some(step) = plan.pop_if(|step| step.at <= fleet.elapsed()) {
            fleet.apply(step.action, &mut rng);
        }
        fleet.tick();
        if checked_at.elapsed() > CHECK_INTERVAL {
            checked_at = Instant::now();
            violations.extend(fleet.check().await);
        }
        sleep(TICK).await;
    }
    let checks = fleet.checks;
    println!(
        "seed {seed}: {checks} checks, {} violations",
        violations.len()
    );
    if !violations.is_empty() {
        violations.push(fleet.keep_logs());
    }
    violations
}

fn seeds() -> std::ops::RangeInclusive<u64> {
    let text = std::env::var("HYSSOPWALK_MANY_SEEDS").unwrap_or_default();
    let parsed = text
        .split_once('-')
        .and_then(|(first, last)| Some((first.parse().ok()?, last.parse().ok()?)));
    let (first, last) = parsed.unwrap_or(DEFAULT_SEEDS);
    first..=last
}

/// Guards against routes that an instance refuses although a version that was confirmed in time has
/// them, after restarts, pauses and outages of the store.
#[test]
fn a_confirmed_configuration_is_in_force_in_time() {
    let instances = std::env::var("HYSSOPWALK_MANY_INSTANCES").ok();
    let instances = instances
        .and_then(|count| count.parse().ok())
        .unwrap_or(DEFAULT_INSTANCES);
    let mut failed = Vec::new();
    for seed in seeds() {
        let violations = block_on(run(seed, instances));
        if !violations.is_empty() {
            failed.push(format!("seed {seed}:\n  {}", violations.join("\n  ")));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
