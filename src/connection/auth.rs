//! Tokens by which operators prove who they are.
//!
//! A token states the operator, when it ends and the name of a key, and is signed with
//! that key by HMAC-SHA256: `ana~1796400000~k1~<64 hexadecimal digits>`. Instances hold
//! keys and no list of tokens; see `docs/OPERATING.md`, "Operators".

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::types::{OperatorKey, OperatorName, UnixSeconds};

const PURPOSE: &[u8] = b"hyssopwalk operator\0";
const MAC_BYTES: usize = 32;
const MOST_TOKEN_BYTES: usize = 512;

/// Why a token proves nothing; the sender is not told which.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BadToken {
    /// It has not the form of a token.
    Malformed,
    /// It was signed with a key that is not valid here.
    UnknownKey,
    /// Its signature is wrong.
    Forged,
    /// Its time is over.
    Expired,
}

/// Signs a token for an operator.
pub(crate) fn sign(key: &OperatorKey, who: &OperatorName, until: UnixSeconds) -> String {
    let claims = format!("{who}~{until}~{}", key.id());
    let mac = mac(key, &claims).finalize().into_bytes();
    format!("{claims}~{mac:x}")
}

/// Who holds the token.
///
/// # Errors
/// Why it proves nothing.
pub(crate) fn verify(
    keys: &[OperatorKey],
    token: &str,
    now: UnixSeconds,
) -> Result<OperatorName, BadToken> {
    if token.len() > MOST_TOKEN_BYTES {
        return Err(BadToken::Malformed);
    }
    let (claims, signature) = token.rsplit_once('~').ok_or(BadToken::Malformed)?;
    let signature = from_hex(signature).ok_or(BadToken::Malformed)?;
    let mut parts = claims.split('~');
    let (Some(who), Some(until), Some(id), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(BadToken::Malformed);
    };
    let key = keys.iter().find(|key| key.id() == id);
    let key = key.ok_or(BadToken::UnknownKey)?;
    mac(key, claims)
        .verify_slice(&signature)
        .map_err(|_| BadToken::Forged)?;
    let until: UnixSeconds = until.parse().map_err(|_| BadToken::Malformed)?;
    if now >= until {
        return Err(BadToken::Expired);
    }
    who.parse().map_err(|_| BadToken::Malformed)
}

fn mac(key: &OperatorKey, claims: &str) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC takes keys of any length");
    mac.update(PURPOSE);
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
