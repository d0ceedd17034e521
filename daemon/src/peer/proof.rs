//! Proofs that both ends of a link hold the fleet's secret, without sending it.
//!
//! Each end sends a random nonce; each proof covers both nonces, both names, both lives and the
//! prover's role, so that no proof can be replayed on another link or turned around.

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

/// Which end of the link proves.
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
    /// The VM.
    pub vm: Vm,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// The random bytes that it chose for this link.
    pub nonce: Vec<u8>,
}

impl Endpoint {
    /// Makes an end with a new nonce.
    pub fn new(vm: Vm, incarnation: Incarnation) -> Self {
        Self { vm, incarnation, nonce: rand::random::<[u8; NONCE_BYTES]>().to_vec() }
    }
}

/// What both ends of a link agree on.
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

    /// Makes the proof of one end.
    pub fn prove(&self, secret: &Secret, role: Role) -> Vec<u8> {
        self.mac(secret, role).finalize().into_bytes().to_vec()
    }

    /// Checks the proof of one end in constant time.
    pub fn verify(&self, secret: &Secret, role: Role, proof: &[u8]) -> bool {
        let is_fresh = |endpoint: &Endpoint| endpoint.nonce.len() == NONCE_BYTES;
        is_fresh(&self.client)
            && is_fresh(&self.server)
            && self.mac(secret, role).verify_slice(proof).is_ok()
    }
}
