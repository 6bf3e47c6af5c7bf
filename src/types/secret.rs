//! Keys that are shared between instances and never shown.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use super::ParseError;

const LEAST_KEY_BYTES: usize = 16;

/// A key that instances prove to each other that they have.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerKey(Arc<[u8]>);

impl PeerKey {
    /// The key's bytes, for computing a proof.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(a key)")
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for PeerKey {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        if text.len() < LEAST_KEY_BYTES {
            return Err(ParseError::new(
                "a peer key",
                "",
                "it is shorter than 16 bytes",
            ));
        }
        Ok(Self(Arc::from(text.as_bytes())))
    }
}
