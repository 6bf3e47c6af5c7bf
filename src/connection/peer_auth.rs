//! Mutual authentication of two instances by a shared key, without sending the key.
//!
//! Each side signs both nonces with HMAC-SHA256. Several keys can be valid at the same time, so
//! that a new key can be distributed to all instances before the old one is removed.

use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;

use super::peer_wire::{Nonce, Proof};
use crate::types::PeerKey;

/// The side of a connection that signs. It is part of the signed text, so that a proof cannot be
/// reflected to its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    Client,
    Server,
}

/// The values that both sides sign, complete after the hello and its challenge.
#[derive(Clone, Debug)]
pub(crate) struct Transcript {
    pub(crate) name: String,
    pub(crate) client: Nonce,
    pub(crate) server: Nonce,
}

pub(crate) fn nonce() -> Nonce {
    let mut nonce = [0; 32];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

fn mac(key: &PeerKey, side: Side, transcript: &Transcript) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key.as_bytes()).ok()?;
    mac.update(match side {
        Side::Client => b"hyssopwalk client",
        Side::Server => b"hyssopwalk server",
    });
    mac.update(&transcript.client);
    mac.update(&transcript.server);
    mac.update(transcript.name.as_bytes());
    Some(mac)
}

/// Computes the proof that `side` has the key.
pub(crate) fn prove(key: &PeerKey, side: Side, transcript: &Transcript) -> Proof {
    mac(key, side, transcript)
        .map(|mac| mac.finalize().into_bytes().into())
        .unwrap_or_default()
}

/// Returns the first of `keys` that verifies the proof. The comparison takes constant time.
pub(crate) fn find_key<'a>(
    keys: &'a [PeerKey],
    side: Side,
    transcript: &Transcript,
    proof: &Proof,
) -> Option<&'a PeerKey> {
    keys.iter().find(|key| {
        mac(key, side, transcript).is_some_and(|mac| mac.verify_slice(proof.as_slice()).is_ok())
    })
}
