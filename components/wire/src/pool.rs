//! Connections to peers, one for each address.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::SortedMap;

use crate::{FleetSecret, PeerCall, PeerClient, PeerIdentity, PeerReply, WireError};

/// Keeps one connection for each peer address and connects again after a failure.
///
/// Not `Send`: used on the single thread of the process. Clones share the connections.
#[derive(Clone)]
pub struct PeerPool {
    identity: PeerIdentity,
    secret: FleetSecret,
    connect_limit: Duration,
    clients: Rc<RefCell<SortedMap<SocketAddr, PeerClient>>>,
}

impl PeerPool {
    /// A pool without connections.
    pub fn new(identity: PeerIdentity, secret: FleetSecret, connect_limit: Duration) -> Self {
        Self { identity, secret, connect_limit, clients: Rc::default() }
    }

    /// The connection to `address`, made if there is none.
    ///
    /// # Errors
    ///
    /// As [`PeerClient::connect`].
    pub async fn client(&self, address: SocketAddr) -> Result<PeerClient, WireError> {
        if let Some(client) = self.clients.borrow().get(&address) {
            return Ok(client.clone());
        }
        let client =
            PeerClient::connect(address, &self.identity, &self.secret, self.connect_limit).await?;
        self.clients.borrow_mut().insert(address, client.clone());
        Ok(client)
    }

    /// Drops the connection to `address`, so that the next use connects again.
    pub fn forget(&self, address: SocketAddr) {
        self.clients.borrow_mut().remove(&address);
    }

    /// Makes a unary call and drops the connection if it fails.
    ///
    /// # Errors
    ///
    /// As [`PeerClient::call`].
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &PeerCall,
        limit: Duration,
    ) -> Result<PeerReply, WireError> {
        let result = match self.client(address).await {
            Ok(client) => client.call(call, limit).await,
            Err(error) => Err(error),
        };
        if result.is_err() {
            self.forget(address);
        }
        result
    }
}
