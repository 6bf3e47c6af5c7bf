//! When the next connection to an upstream may be tried.
//!
//! A connection costs the upstream milliseconds, so failures and connections that carry
//! nothing space the tries further and further apart; the jitter keeps instances from
//! trying together. See `docs/DESIGN.md`, "Links".

use crate::types::{Ratio, Span, Timestamp};

const FIRST_PAUSE: Span = Span::from_millis(10);
const LONGEST_PAUSE: Span = Span::from_secs(1);
const LONGEST_DOUBLING: u32 = 7;
const YOUNG: Span = Span::from_secs(1);

/// What became of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Life {
    /// It carried no reply.
    Useless,
    /// It carried replies and lived for so long.
    Useful(Span),
}

/// The tries at one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
    until: Timestamp,
}

impl Backoff {
    /// Whether a connection may be tried.
    pub(super) fn allows(&self, now: Timestamp) -> bool {
        self.until <= now
    }

    /// Notes that a try failed. Between half and all of the pause is kept, by `jitter`.
    pub(super) fn failed(&mut self, now: Timestamp, jitter: Ratio) {
        let doublings = self.failures.min(LONGEST_DOUBLING);
        let pause = Span(FIRST_PAUSE.0 << doublings).min(LONGEST_PAUSE);
        let half = pause.0 / 2;
        let part = half * u64::from(jitter.ppm()) / u64::from(Ratio::ONE.ppm());
        self.failures += 1;
        self.until = now + Span(half + part);
    }

    /// Notes that a connection ended. One that carried no reply counts as a failed try;
    /// one that did, and for long, shows that the upstream accepts connections.
    pub(super) fn ended(&mut self, now: Timestamp, life: Life, jitter: Ratio) {
        match life {
            Life::Useless => self.failed(now, jitter),
            Life::Useful(lived) if lived >= YOUNG => *self = Self::default(),
            Life::Useful(_) => {}
        }
    }
}
