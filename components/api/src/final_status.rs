//! Statuses of responses.

use http::StatusCode;

/// Whether a response with this status ends its request (RFC 9110, section 15). Informational ones come
/// before such a response, or end the protocol, which no request asks for; there is no class above 599.
pub const fn is_final_status(status: StatusCode) -> bool {
    matches!(status.as_u16(), 200..=599)
}
