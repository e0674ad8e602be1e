//! Names of requests.

use wire::RequestId;

/// A new random name.
pub(crate) fn new_request_id() -> RequestId {
    RequestId(rand::random())
}
