//! Messages of a call to a plain service: entry to side and back, bodies streamed both ways.

use base::ExecutionState;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{RefuseReason, RequestId};

/// An HTTP header field.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Lower-case name.
    pub name: CompactString,
    /// Value as sent.
    pub value: Vec<u8>,
}

/// Head of a call to a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardHead {
    /// The caller's request.
    pub request_id: RequestId,
    /// Number of the attempt, from zero.
    pub attempt: u32,
    /// Customer that the call runs for; none on a route open to all.
    pub customer: Option<CompactString>,
    /// Name of the route.
    pub route: CompactString,
    /// Whether the call may be repeated.
    pub repeatable: bool,
    /// SHA-256 of the caller's idempotency key.
    pub idempotency_key_sha256: Option<[u8; 32]>,
    /// Method.
    pub method: CompactString,
    /// Path and query, without credentials.
    pub path_and_query: String,
    /// Header fields that may be forwarded.
    pub headers: Vec<Header>,
    /// Length of the body in bytes, if known.
    pub body_bytes: Option<u64>,
    /// Time left in milliseconds.
    pub deadline_ms: u32,
}

/// Frame from entry to side.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ForwardUp {
    /// First frame.
    Head(ForwardHead),
    /// Part of the body.
    Data(Vec<u8>),
    /// The body is whole.
    End,
}

/// Frame from side to entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ForwardDown {
    /// Head of the target's answer.
    Head {
        /// The caller's request.
        request_id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// HTTP status.
        status: u16,
        /// Header fields, hop-by-hop ones removed.
        headers: Vec<Header>,
        /// The answer was stored from an earlier call under the same idempotency key.
        replayed: bool,
    },
    /// Part of the body.
    Data(Vec<u8>),
    /// The body is whole.
    End,
    /// The call was not run.
    Refused {
        /// Why.
        reason: RefuseReason,
        /// When to try again, in milliseconds.
        retry_after_ms: Option<u32>,
    },
    /// The call failed.
    Failed {
        /// What is known about the execution.
        ran: ExecutionState,
    },
}
