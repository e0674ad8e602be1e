//! Mutual authentication at the start of a connection.
//!
//! Client: `Hello`. Server: `Challenge` with its proof. Client: `Proof`. Server: `Welcome`. The proofs
//! are HMAC-SHA256 over both nonces and both identities under the fleet secret, so that neither can be
//! replayed on another connection. `Welcome` is awaited before `h2` starts, so that no byte of `h2` is
//! read as part of the handshake.

use std::fmt;

use base::{ProcessId, Role};
use hmac::{Hmac, Mac};
use rand::Rng;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::{WireError, decode, encode};

/// Version of the protocol between processes.
pub const PROTOCOL_VERSION: u16 = 1;

/// Largest handshake message in bytes; keeps memory bounded before authentication.
const MAX_HANDSHAKE_BYTES: u32 = 1024;

/// Secret shared by the processes of a fleet.
#[derive(Clone)]
pub struct FleetSecret(Vec<u8>);

impl FleetSecret {
    /// Takes the secret from the settings.
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.to_vec())
    }
}

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret(..)")
    }
}

/// Who is at one end of a connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerIdentity {
    /// Process.
    pub process: ProcessId,
    /// Its job; operators' commands connect as `None`.
    pub role: Option<Role>,
}

#[derive(Deserialize, Serialize)]
struct Hello {
    version: u16,
    identity: PeerIdentity,
    nonce: [u8; 16],
}

#[derive(Deserialize, Serialize)]
struct Challenge {
    version: u16,
    identity: PeerIdentity,
    nonce: [u8; 16],
    proof: [u8; 32],
}

#[derive(Deserialize, Serialize)]
struct Proof {
    proof: [u8; 32],
}

#[derive(Deserialize, Serialize)]
struct Welcome {
    version: u16,
}

#[derive(Clone, Copy, Serialize)]
enum Side {
    Client,
    Server,
}

#[derive(Serialize)]
struct Transcript<'a> {
    side: Side,
    version: u16,
    client: &'a PeerIdentity,
    server: &'a PeerIdentity,
    client_nonce: [u8; 16],
    server_nonce: [u8; 16],
}

impl Transcript<'_> {
    fn mac(&self, secret: &FleetSecret) -> Result<Hmac<Sha256>, WireError> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&secret.0).map_err(|_| WireError::NotAuthenticated)?;
        mac.update(&encode(self)?);
        Ok(mac)
    }

    fn prove(&self, secret: &FleetSecret) -> Result<[u8; 32], WireError> {
        Ok(self.mac(secret)?.finalize().into_bytes().into())
    }

    /// Compares in constant time.
    fn verify(&self, secret: &FleetSecret, proof: &[u8; 32]) -> Result<(), WireError> {
        self.mac(secret)?.verify_slice(proof).map_err(|_| WireError::NotAuthenticated)
    }
}

async fn send<T: Serialize>(
    stream: &mut (impl AsyncWrite + Unpin),
    message: &T,
) -> Result<(), WireError> {
    let bytes = encode(message)?;
    let length = u32::try_from(bytes.len()).map_err(|_| WireError::TooLarge)?;
    stream.write_u32(length).await?;
    stream.write_all(&bytes).await?;
    stream.flush().await?;
    Ok(())
}

async fn receive<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<T, WireError> {
    let length = stream.read_u32().await?;
    if length > MAX_HANDSHAKE_BYTES {
        return Err(WireError::TooLarge);
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    decode(&bytes)
}

fn check_version(version: u16) -> Result<(), WireError> {
    if version == PROTOCOL_VERSION { Ok(()) } else { Err(WireError::Version) }
}

/// Runs the client's part and returns the identity of the server.
pub(crate) async fn greet(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    identity: &PeerIdentity,
    secret: &FleetSecret,
) -> Result<PeerIdentity, WireError> {
    let nonce: [u8; 16] = rand::rng().random();
    let hello = Hello { version: PROTOCOL_VERSION, identity: identity.clone(), nonce };
    send(stream, &hello).await?;
    let challenge: Challenge = receive(stream).await?;
    check_version(challenge.version)?;
    let transcript = |side| Transcript {
        side,
        version: PROTOCOL_VERSION,
        client: identity,
        server: &challenge.identity,
        client_nonce: nonce,
        server_nonce: challenge.nonce,
    };
    transcript(Side::Server).verify(secret, &challenge.proof)?;
    send(stream, &Proof { proof: transcript(Side::Client).prove(secret)? }).await?;
    let welcome: Welcome = receive(stream).await?;
    check_version(welcome.version)?;
    Ok(challenge.identity)
}

/// Runs the server's part and returns the identity of the client.
pub(crate) async fn accept(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    identity: &PeerIdentity,
    secret: &FleetSecret,
) -> Result<PeerIdentity, WireError> {
    let hello: Hello = receive(stream).await?;
    check_version(hello.version)?;
    let nonce: [u8; 16] = rand::rng().random();
    let transcript = |side| Transcript {
        side,
        version: PROTOCOL_VERSION,
        client: &hello.identity,
        server: identity,
        client_nonce: hello.nonce,
        server_nonce: nonce,
    };
    let challenge = Challenge {
        version: PROTOCOL_VERSION,
        identity: identity.clone(),
        nonce,
        proof: transcript(Side::Server).prove(secret)?,
    };
    send(stream, &challenge).await?;
    let proof: Proof = receive(stream).await?;
    transcript(Side::Client).verify(secret, &proof.proof)?;
    send(stream, &Welcome { version: PROTOCOL_VERSION }).await?;
    Ok(hello.identity)
}
