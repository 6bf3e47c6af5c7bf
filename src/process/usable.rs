//! The choice among the replicas of one shard that may be asked.

use rand::Rng;
use rand::rngs::SmallRng;

use super::Choice;
use super::observed::Readiness;
use crate::types::Timestamp;

/// Those beyond are never chosen.
pub(super) const MOST_REPLICAS: usize = 64;
/// Of so many replicas all are compared; of more, two drawn at random, which spreads the
/// legs of many instances.
const COMPARED: usize = 8;

/// The replicas with room of the best readiness found so far.
pub(super) struct Usable {
    readiness: Readiness,
    room_at: Option<Timestamp>,
    count: usize,
    found: [(usize, f64); MOST_REPLICAS],
}

impl Default for Usable {
    fn default() -> Self {
        Self {
            readiness: Readiness::Avoided,
            room_at: None,
            count: 0,
            found: [(0, 0.0); MOST_REPLICAS],
        }
    }
}

impl Usable {
    pub(super) fn add(
        &mut self,
        now: Timestamp,
        at: usize,
        readiness: Readiness,
        room_at: Timestamp,
        cost: f64,
    ) {
        if readiness > self.readiness {
            return;
        }
        if readiness < self.readiness {
            self.readiness = readiness;
            self.room_at = None;
            self.count = 0;
        }
        if room_at > now {
            let soonest = self.room_at.map_or(room_at, |soonest| soonest.min(room_at));
            self.room_at = Some(soonest);
        } else {
            self.found[self.count] = (at, cost);
            self.count += 1;
        }
    }

    pub(super) fn pick(&self, rng: &mut SmallRng) -> Option<Choice> {
        let found = &self.found[..self.count];
        let (one, two) = match found {
            [] => return self.room_at.map(Choice::RoomAt),
            [only] => return Some(Choice::Replica(only.0)),
            [one, two] if rng.random() => (one, two),
            [one, two] => (two, one),
            few if few.len() <= COMPARED => return Some(Choice::Replica(cheapest(few, rng))),
            many => {
                let one = rng.random_range(0..many.len());
                let other = rng.random_range(1..many.len());
                (&many[one], &many[(one + other) % many.len()])
            }
        };
        let better = if one.1 <= two.1 { one } else { two };
        Some(Choice::Replica(better.0))
    }
}

/// The replica of the least cost; the first one of equals is drawn at random.
fn cheapest(found: &[(usize, f64)], rng: &mut SmallRng) -> usize {
    let from = rng.random_range(0..found.len());
    let turned = found[from..].iter().chain(&found[..from]);
    let least = turned.min_by(|one, two| one.1.total_cmp(&two.1));
    least.map_or(0, |found| found.0)
}
