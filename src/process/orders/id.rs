//! Identifiers of orders, claims, and the pages that store claims.

use std::fmt;
use std::str::FromStr;

use sha2::{Digest, Sha256};

use crate::error::{ErrorKind, Refusal};
use crate::process::ObjectKey;
use crate::request::QueryRequest;
use crate::types::{ParseError, UnixSeconds};

/// Number of pages that store the orders of one window.
pub(super) const PARTITIONS: u8 = 4;
/// Length of a window; orders first sent in the same window share its pages.
pub(super) const WINDOW_SECS: u64 = 10;
/// Maximum age of an idempotency key; older keys are refused.
pub(super) const RETENTION_SECS: u64 = 3_600;
/// Maximum time by which a key may lie in the future; later keys are refused.
const MAX_AHEAD_SECS: u64 = 60;
const NAME_SEPARATOR: char = ':';

/// Identifies an order across repeated requests: a hash of its class, caller and key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct OrderId(pub(super) u128);

/// Identifies one attempt to run an order; random, so that no two attempts share an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct ClaimId(pub(super) u64);

/// Identifies the page that stores the claims of one partition of one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct PageId {
    pub(super) window: u64,
    pub(super) partition: u8,
}

/// The id and first sending time of an order, taken from its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OrderKey {
    pub(super) id: OrderId,
    pub(super) first_sent: UnixSeconds,
}

impl OrderKey {
    /// Parses the key of a request, which is `<seconds since 1970>:<name>`. The time is
    /// part of the key, so a repeated request cannot state a different time.
    pub(crate) fn of(request: &QueryRequest) -> Result<Self, Refusal> {
        let Some(key) = &request.key else {
            return Err(bad_key(
                "a request that is not repeatable needs an idempotency key",
            ));
        };
        let first_sent = key
            .as_str()
            .split_once(NAME_SEPARATOR)
            .filter(|(_, name)| !name.is_empty())
            .and_then(|(seconds, _)| seconds.parse().ok())
            .ok_or_else(|| {
                bad_key(
                    "the idempotency key must be `<seconds since 1970>:<name>`, \
                     with the time at which the order was first sent",
                )
            })?;
        let mut hash = Sha256::new();
        for part in [
            request.class.as_str(),
            request.caller.as_str(),
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

    /// Refuses a key whose time lies in the future, or is so old that it is no longer
    /// known whether its order ran.
    pub(crate) fn check(&self, now: UnixSeconds) -> Result<(), Refusal> {
        let too_old = self.first_sent.0.saturating_add(RETENTION_SECS) < now.0;
        let ahead = self.first_sent.0 > now.0.saturating_add(MAX_AHEAD_SECS);
        if !too_old && !ahead {
            return Ok(());
        }
        Err(Refusal::new(
            ErrorKind::StaleKey,
            format!(
                "the idempotency key states second {}, which is more than {RETENTION_SECS} s old \
                 or more than {MAX_AHEAD_SECS} s in the future",
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
    /// The key under which the page is stored in the platform.
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
