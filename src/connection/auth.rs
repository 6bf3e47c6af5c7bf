//! Signed tokens that authenticate operators.
//!
//! A token contains the operator's name, the expiry time and a key id, and is signed with
//! that key by HMAC-SHA256: `ana~1796400000~k1~<64 hexadecimal digits>`. Instances store
//! the keys but no list of tokens; see `docs/OPERATING.md`, "Operators and keys".

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::types::{OperatorKey, OperatorName, UnixSeconds};

/// Prefix of the signed data that separates these signatures from other uses of a key.
const MAC_DOMAIN: &[u8] = b"hyssopwalk operator\0";
const MAC_BYTES: usize = 32;
const MAX_TOKEN_BYTES: usize = 512;

/// Why a token is rejected. The reason is not disclosed to the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenError {
    /// The text does not have the format of a token.
    Malformed,
    /// No configured key has the id that the token names.
    UnknownKey,
    /// The signature does not match.
    Forged,
    /// The expiry time has passed.
    Expired,
}

/// Signs a token for an operator.
pub(crate) fn sign(key: &OperatorKey, operator: &OperatorName, expires_at: UnixSeconds) -> String {
    let claims = format!("{operator}~{expires_at}~{}", key.id());
    let mac = mac(key, &claims).finalize().into_bytes();
    format!("{claims}~{mac:x}")
}

/// Verifies a token and returns the operator that it names.
///
/// # Errors
/// Returns the reason why the token is rejected.
pub(crate) fn verify(
    keys: &[OperatorKey],
    token: &str,
    now: UnixSeconds,
) -> Result<OperatorName, TokenError> {
    if token.len() > MAX_TOKEN_BYTES {
        return Err(TokenError::Malformed);
    }
    let (claims, signature) = token.rsplit_once('~').ok_or(TokenError::Malformed)?;
    let signature = from_hex(signature).ok_or(TokenError::Malformed)?;
    let mut parts = claims.split('~');
    let (Some(operator), Some(expires_at), Some(key_id), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(TokenError::Malformed);
    };
    let key = keys.iter().find(|key| key.id() == key_id);
    let key = key.ok_or(TokenError::UnknownKey)?;
    mac(key, claims)
        .verify_slice(&signature)
        .map_err(|_| TokenError::Forged)?;
    let expires_at: UnixSeconds = expires_at.parse().map_err(|_| TokenError::Malformed)?;
    if now >= expires_at {
        return Err(TokenError::Expired);
    }
    operator.parse().map_err(|_| TokenError::Malformed)
}

fn mac(key: &OperatorKey, claims: &str) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC accepts keys of any length");
    mac.update(MAC_DOMAIN);
    mac.update(claims.as_bytes());
    mac
}

fn from_hex(text: &str) -> Option<[u8; MAC_BYTES]> {
    let bytes = text.as_bytes();
    if bytes.len() != 2 * MAC_BYTES {
        return None;
    }
    let mut out = [0; MAC_BYTES];
    for (to, pair) in out.iter_mut().zip(bytes.chunks_exact(2)) {
        let digit = |byte: u8| char::from(byte).to_digit(16);
        let value = digit(pair[0])? << 4 | digit(pair[1])?;
        *to = u8::try_from(value).ok()?;
    }
    Some(out)
}
