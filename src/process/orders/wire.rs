//! Serialized forms of claim pages and the horizon; see `docs/INTERFACES.md`, "Objects".

use serde::{Deserialize, Serialize};

use super::id::OrderId;
use super::page::{ClaimState, Entry, Page};
use super::sweep::Horizon;
use crate::process::PlatformError;
use crate::types::ParseError;

/// A claim page; each row holds the order id, the claim id, the fingerprint of the body,
/// and whether the order is done.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct PageWire {
    claims: Vec<(String, String, String, bool)>,
}

/// The horizon; see [`Horizon`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct HorizonWire {
    closed: u64,
    swept: u64,
}

impl From<&Page> for PageWire {
    fn from(page: &Page) -> Self {
        let row = |(order, entry): (&OrderId, &Entry)| {
            (
                order.to_string(),
                entry.claim.to_string(),
                entry.body.to_string(),
                entry.state == ClaimState::Done,
            )
        };
        Self {
            claims: page.entries.iter().map(row).collect(),
        }
    }
}

impl TryFrom<PageWire> for Page {
    type Error = ParseError;

    fn try_from(wire: PageWire) -> Result<Self, ParseError> {
        let mut page = Self::default();
        for (order, claim, body, done) in wire.claims {
            let state = if done {
                ClaimState::Done
            } else {
                ClaimState::Claimed
            };
            let entry = Entry {
                claim: claim.parse()?,
                body: body.parse()?,
                state,
            };
            page.entries.insert(order.parse()?, entry);
        }
        Ok(page)
    }
}

impl From<Horizon> for HorizonWire {
    fn from(horizon: Horizon) -> Self {
        Self {
            closed: horizon.closed,
            swept: horizon.swept,
        }
    }
}

impl From<HorizonWire> for Horizon {
    fn from(wire: HorizonWire) -> Self {
        Self {
            closed: wire.closed,
            swept: wire.swept,
        }
    }
}

/// Decodes an object's value. An unreadable value is an error, never an empty page.
pub(super) fn decode<W, T>(value: &[u8]) -> Result<T, PlatformError>
where
    W: serde::de::DeserializeOwned,
    T: TryFrom<W, Error: std::fmt::Display>,
{
    let wire: W = serde_json::from_slice(value)
        .map_err(|error| PlatformError::Protocol(error.to_string()))?;
    T::try_from(wire).map_err(|error| PlatformError::Protocol(error.to_string()))
}

/// Encodes an object's value.
pub(super) fn encode<W: Serialize>(wire: &W) -> Result<Vec<u8>, PlatformError> {
    serde_json::to_vec(wire).map_err(|error| PlatformError::Protocol(error.to_string()))
}
