//! Selection among the eligible replicas of one shard.

use rand::Rng;
use rand::rngs::SmallRng;

use super::Choice;
use crate::types::Timestamp;

/// Replicas past this number are never chosen: `SelectionRequest::tried` has 64 bits.
pub(super) const MAX_REPLICAS: usize = 64;
/// Up to this many replicas are all compared. Of more, two are drawn at random, which
/// spreads the legs of many instances.
const MAX_COMPARED: usize = 8;

/// How suitable an upstream is for one more leg, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Readiness {
    /// It may be chosen.
    Ready,
    /// It is in slow start, and this leg would exceed its share.
    Ramping,
    /// It failed recently or asked for a pause; used only as a last resort.
    Avoided,
}

/// The replicas with capacity, of the best readiness found so far.
pub(super) struct Candidates {
    readiness: Readiness,
    room_at: Option<Timestamp>,
    count: usize,
    entries: [(usize, f64); MAX_REPLICAS],
}

impl Default for Candidates {
    fn default() -> Self {
        Self {
            readiness: Readiness::Avoided,
            room_at: None,
            count: 0,
            entries: [(0, 0.0); MAX_REPLICAS],
        }
    }
}

impl Candidates {
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
            let earliest = self
                .room_at
                .map_or(room_at, |earliest| earliest.min(room_at));
            self.room_at = Some(earliest);
        } else {
            self.entries[self.count] = (at, cost);
            self.count += 1;
        }
    }

    pub(super) fn pick(&self, rng: &mut SmallRng) -> Option<Choice> {
        let entries = &self.entries[..self.count];
        let (one, two) = match entries {
            [] => return self.room_at.map(Choice::RoomAt),
            [only] => return Some(Choice::Replica(only.0)),
            [one, two] if rng.random() => (one, two),
            [one, two] => (two, one),
            few if few.len() <= MAX_COMPARED => return Some(Choice::Replica(cheapest(few, rng))),
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

/// Returns the index of the cheapest replica; ties are broken at random.
fn cheapest(entries: &[(usize, f64)], rng: &mut SmallRng) -> usize {
    let from = rng.random_range(0..entries.len());
    let rotated = entries[from..].iter().chain(&entries[..from]);
    let best = rotated.min_by(|one, two| one.1.total_cmp(&two.1));
    best.map_or(0, |entry| entry.0)
}
