//! Random series of faults and changes.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::store::StoreMode;

/// The processes have known a configuration for some time by then.
const FIRST_STEP: Duration = Duration::from_secs(3);
/// So many routes make a configuration of about 350 KB more.
const MANY_ROUTES: usize = 1_400;

/// What happens to the deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Action {
    /// A new version with one more route, and some that nobody asks for.
    ChangeConfig {
        more_routes: usize,
    },
    /// About this share of the instances is killed at once.
    Kill {
        share: f64,
    },
    Stop(usize),
    Pause(usize, Duration),
    DisturbStore(StoreMode, Duration),
    ForgetHistory,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Step {
    pub(crate) at: Duration,
    pub(crate) action: Action,
}

/// Draws overlapping series of steps for this long, followed by a change just before all instances
/// are killed and one after it. The last step comes first.
pub(crate) fn draw(rng: &mut SmallRng, instances: usize, length: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = FIRST_STEP;
    while at < length {
        series(rng, instances, at, &mut steps);
        at += millis(rng, 300..2_000);
    }
    let change = Action::ChangeConfig { more_routes: 0 };
    for (after, action) in [
        (0, change),
        (200, Action::Kill { share: 1.0 }),
        (9_000, change),
    ] {
        let at = length + Duration::from_millis(after);
        steps.push(Step { at, action });
    }
    steps.sort_by_key(|step| std::cmp::Reverse(step.at));
    steps
}

fn series(rng: &mut SmallRng, instances: usize, at: Duration, steps: &mut Vec<Step>) {
    let change = Action::ChangeConfig { more_routes: 0 };
    let kind = rng.random_range(0..16);
    let (count, gap) = match kind {
        0 => (12, Duration::from_millis(330)),
        1..4 => (rng.random_range(2..8), Duration::from_millis(1_300)),
        _ => (1, Duration::ZERO),
    };
    for number in 0..count {
        let instance = rng.random_range(0..instances);
        let action = match kind {
            0 | 4..8 => change,
            1..4 => Action::Stop(instance),
            8 => Action::ChangeConfig {
                more_routes: MANY_ROUTES,
            },
            9 => Action::Kill { share: 0.55 },
            10..13 => Action::Pause(instance, millis(rng, 1_000..6_000)),
            13 => Action::DisturbStore(StoreMode::Busy, millis(rng, 1_000..5_000)),
            14 => Action::DisturbStore(StoreMode::Slow, millis(rng, 1_000..5_000)),
            _ => Action::ForgetHistory,
        };
        let at = at + gap * number;
        steps.push(Step { at, action });
    }
}

fn millis(rng: &mut SmallRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}
