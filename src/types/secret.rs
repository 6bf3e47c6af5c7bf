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

const LEAST_SECRET_BYTES: usize = 32;

/// A named key that tokens of operators are signed with.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorKey {
    id: Arc<str>,
    secret: Arc<[u8]>,
}

impl OperatorKey {
    /// The key's name, which tokens state so that several keys can be valid.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// The secret, for computing a signature.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.secret
    }
}

impl fmt::Display for OperatorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (a key)", self.id)
    }
}

impl fmt::Debug for OperatorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for OperatorKey {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let wrong = |reason| ParseError::new("an operator key", "", reason);
        let (id, secret) = text
            .split_once(':')
            .ok_or_else(|| wrong("it is not like name:secret"))?;
        if id.is_empty() || !id.chars().all(|c| c.is_ascii_alphanumeric()) {
            return Err(wrong("its name is not of letters and digits"));
        }
        if secret.len() < LEAST_SECRET_BYTES {
            return Err(wrong("its secret is shorter than 32 bytes"));
        }
        Ok(Self {
            id: Arc::from(id),
            secret: Arc::from(secret.as_bytes()),
        })
    }
}
