//! Challenge and response by which instances prove that they know the shared secret.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// HMAC-SHA256 of the accepting instance's challenge, keyed by the shared secret.
pub(crate) struct PeerProof;

impl PeerProof {
    /// Returns the proof for a challenge.
    pub(crate) fn create(secret: &str, challenge: &[u8]) -> Vec<u8> {
        Self::mac(secret, challenge)
            .finalize()
            .into_bytes()
            .to_vec()
    }

    /// Returns whether `proof` belongs to the challenge; compares in constant time.
    pub(crate) fn is_valid(secret: &str, challenge: &[u8], proof: &[u8]) -> bool {
        Self::mac(secret, challenge).verify_slice(proof).is_ok()
    }

    fn mac(secret: &str, challenge: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("any key length is valid");
        mac.update(challenge);
        mac
    }
}
