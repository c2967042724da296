//! Proof that a peer knows the shared secret.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Keyed hash of the accepting side's challenge.
pub(crate) struct PeerProof;

impl PeerProof {
    /// Proof for a challenge.
    pub(crate) fn make(secret: &str, challenge: &[u8]) -> Vec<u8> {
        Self::mac(secret, challenge)
            .finalize()
            .into_bytes()
            .to_vec()
    }

    /// Whether `proof` answers the challenge, compared in constant time.
    pub(crate) fn holds(secret: &str, challenge: &[u8], proof: &[u8]) -> bool {
        Self::mac(secret, challenge).verify_slice(proof).is_ok()
    }

    fn mac(secret: &str, challenge: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("any key length is valid");
        mac.update(challenge);
        mac
    }
}
