//! Mutual authentication of the two ends of a link with the fleet's shared secret.
//!
//! The secret is never sent. Each end sends a random nonce, and each proof is a MAC over both
//! nonces, both VM names, both incarnations and the prover's role, so that a proof can't be
//! replayed on another link or reflected to its sender.

use {
    hmac::{Hmac, KeyInit, Mac},
    monsoon_lib::{
        id::{Incarnation, Vm},
        settings::Secret,
    },
    sha2::Sha256,
};

/// The length of a nonce, in bytes.
pub const NONCE_BYTES: usize = 32;

/// The role of the end that makes a proof.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// The end that opened the connection.
    Client,
    /// The end that accepted it.
    Server,
}

/// One end of a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// The name of the VM.
    pub vm: Vm,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The random bytes that it generated for this link.
    pub nonce: Vec<u8>,
}

impl Endpoint {
    /// Creates an endpoint with a new nonce.
    pub fn new(vm: Vm, incarnation: Incarnation) -> Self {
        Self { vm, incarnation, nonce: rand::random::<[u8; NONCE_BYTES]>().to_vec() }
    }
}

/// The handshake data that the proofs of both ends cover.
#[derive(Clone, Debug)]
pub struct Transcript {
    /// The end that opened the connection.
    pub client: Endpoint,
    /// The end that accepted it.
    pub server: Endpoint,
}

impl Transcript {
    fn mac(&self, secret: &Secret, role: Role) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes())
            .expect("a key of any length is accepted");
        mac.update(match role {
            Role::Client => b"monsoon client 1",
            Role::Server => b"monsoon server 1",
        });
        for endpoint in [&self.client, &self.server] {
            for part in [endpoint.vm.as_str().as_bytes(), &endpoint.nonce] {
                mac.update(&(part.len() as u64).to_be_bytes());
                mac.update(part);
            }
            mac.update(&endpoint.incarnation.0.to_be_bytes());
        }
        mac
    }

    /// Computes the proof of the end with the given role.
    pub fn prove(&self, secret: &Secret, role: Role) -> Vec<u8> {
        self.mac(secret, role).finalize().into_bytes().to_vec()
    }

    /// Verifies the proof of the end with the given role, in constant time. Rejects nonces of a
    /// wrong length.
    pub fn verify(&self, secret: &Secret, role: Role, proof: &[u8]) -> bool {
        let is_valid_nonce = |endpoint: &Endpoint| endpoint.nonce.len() == NONCE_BYTES;
        is_valid_nonce(&self.client)
            && is_valid_nonce(&self.server)
            && self.mac(secret, role).verify_slice(proof).is_ok()
    }
}
