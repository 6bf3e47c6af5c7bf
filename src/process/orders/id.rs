//! The names of orders, of claims on them, and of the objects that hold the claims.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest, Sha256};

use crate::error::{ErrorKind, Refusal};
use crate::process::ObjectKey;
use crate::request::Inquiry;
use crate::types::{ParseError, UnixSeconds};

/// How many objects share the orders of one window.
pub(super) const PARTITIONS: u8 = 4;
/// Orders that were first sent in the same window share their objects.
pub(super) const WINDOW_SECS: u64 = 10;
/// A key is refused when it is older than this.
pub(super) const RETENTION_SECS: u64 = 3_600;
/// A key is refused when it lies further ahead than this.
const MOST_AHEAD_SECS: u64 = 60;
const NAME_SEPARATOR: char = ':';

/// An order across its repetitions: a hash of its class, its caller and its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct OrderId(pub(super) u128);

/// One attempt to run an order; drawn at random, so that no two attempts share one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct ClaimId(pub(super) u64);

/// The object that holds the claims of one partition in one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct PageId {
    pub(super) window: u64,
    pub(super) partition: u8,
}

/// What an idempotency key says about its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OrderKey {
    pub(super) id: OrderId,
    pub(super) first_sent: UnixSeconds,
}

impl OrderKey {
    /// Reads the key of an inquiry, which is `<seconds since 1970>:<name>`. The time
    /// is a part of the key, so a repetition cannot state another one.
    pub(crate) fn of(inquiry: &Inquiry) -> Result<Self, Refusal> {
        let Some(key) = &inquiry.key else {
            return Err(bad_key("an order needs an idempotency key"));
        };
        let first_sent = key
            .as_str()
            .split_once(NAME_SEPARATOR)
            .filter(|(_, name)| !name.is_empty())
            .and_then(|(seconds, _)| seconds.parse().ok())
            .ok_or_else(|| {
                bad_key("an order's key is the second it was first sent, ':' and a name")
            })?;
        let mut hash = Sha256::new();
        for part in [
            inquiry.class.as_str(),
            inquiry.caller.as_str(),
            key.as_str(),
        ] {
            hash.update(part);
            hash.update([0]);
        }
        let hash: [u8; 32] = hash.finalize().into();
        let id = hash[..16]
            .iter()
            .fold(0, |id, byte| id << 8 | u128::from(*byte));
        Ok(Self {
            id: OrderId(id),
            first_sent,
        })
    }

    /// Refuses a key that is too old to know whether its order ran, or ahead of time.
    pub(crate) fn check(&self, now: UnixSeconds) -> Result<(), Refusal> {
        let too_old = self.first_sent.0.saturating_add(RETENTION_SECS) < now.0;
        let ahead = self.first_sent.0 > now.0.saturating_add(MOST_AHEAD_SECS);
        if !too_old && !ahead {
            return Ok(());
        }
        Err(Refusal::new(
            ErrorKind::StaleKey,
            format!(
                "the key is of second {}, which is not within {RETENTION_SECS} s of now",
                self.first_sent
            ),
        ))
    }

    pub(super) fn page(&self) -> PageId {
        PageId {
            window: self.first_sent.0 / WINDOW_SECS,
            partition: self.id.0.to_le_bytes()[0] % PARTITIONS,
        }
    }
}

fn bad_key(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::BadRequest, detail)
}

impl PageId {
    /// The key of its object.
    pub(super) fn key(self) -> ObjectKey {
        ObjectKey::new(format!("orders/{}/p{:02}", self.window, self.partition))
    }
}

macro_rules! hexadecimal {
    ($name:ident, $inner:ty, $width:literal, $what:literal) => {
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $width, "x}"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                <$inner>::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| ParseError::new($what, text, "it is not a hexadecimal number"))
            }
        }
    };
}

hexadecimal!(OrderId, u128, 32, "an order id");
hexadecimal!(ClaimId, u64, 16, "a claim id");
