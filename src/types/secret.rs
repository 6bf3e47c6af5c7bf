//! Secret keys shared by the instances; formatting a key never reveals its secret.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use super::ParseError;

const MIN_PEER_KEY_BYTES: usize = 16;

/// A shared key with which instances authenticate to each other.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerKey(Arc<[u8]>);

impl PeerKey {
    /// Returns the key's bytes, for computing a proof.
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
        if text.len() < MIN_PEER_KEY_BYTES {
            return Err(ParseError::new(
                "a peer key",
                "",
                "it is shorter than 16 bytes",
            ));
        }
        Ok(Self(Arc::from(text.as_bytes())))
    }
}

const MIN_OPERATOR_SECRET_BYTES: usize = 32;

/// A named key that signs operators' tokens.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorKey {
    id: Arc<str>,
    secret: Arc<[u8]>,
}

impl OperatorKey {
    /// Returns the key's name. Tokens include it, so that several keys can be valid at once.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the secret, for computing a signature.
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
        let invalid = |reason| ParseError::new("an operator key", "", reason);
        let (id, secret) = text
            .split_once(':')
            .ok_or_else(|| invalid("it does not have the form name:secret"))?;
        if id.is_empty() || !id.chars().all(|c| c.is_ascii_alphanumeric()) {
            return Err(invalid("its name must consist of letters and digits"));
        }
        if secret.len() < MIN_OPERATOR_SECRET_BYTES {
            return Err(invalid("its secret is shorter than 32 bytes"));
        }
        Ok(Self {
            id: Arc::from(id),
            secret: Arc::from(secret.as_bytes()),
        })
    }
}
