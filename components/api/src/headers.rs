//! Header rules: credentials of the caller, and what may be forwarded.

use http::header::{AUTHORIZATION, CONNECTION, HeaderMap, HeaderName, HeaderValue};

use crate::HeadError;

/// Header that carries a key without a scheme.
const API_KEY_HEADER: &str = "x-api-key";
/// Header fields that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "expect",
    "http2-settings",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Header fields that carry credentials, or that the client to the target writes itself.
const WITHHELD: [&str; 6] =
    ["authorization", "content-length", "cookie", "host", "proxy-authorization", API_KEY_HEADER];

/// The key that the caller presents, if any.
///
/// # Errors
///
/// `RepeatedCredential` if more than one field carries a key, `BadCredential` if the field is not
/// a bearer token of visible ASCII characters.
pub fn presented_key(headers: &HeaderMap) -> Result<Option<&str>, HeadError> {
    let mut fields = headers.get_all(AUTHORIZATION).iter().chain(headers.get_all(API_KEY_HEADER));
    let Some(value) = fields.next() else {
        return Ok(None);
    };
    if fields.next().is_some() {
        return Err(HeadError::RepeatedCredential);
    }
    let text = value.to_str().map_err(|_| HeadError::BadCredential)?;
    let key = if headers.contains_key(AUTHORIZATION) {
        match text.split_once(' ') {
            Some((scheme, key)) if scheme.eq_ignore_ascii_case("bearer") => key.trim(),
            _ => return Err(HeadError::BadCredential),
        }
    } else {
        text.trim()
    };
    if key.is_empty() || key.contains(' ') {
        return Err(HeadError::BadCredential);
    }
    Ok(Some(key))
}

fn named_by_connection(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case(name.as_str()))
}

fn holds(value: &HeaderValue, key: &str) -> bool {
    value.as_bytes().windows(key.len()).any(|part| part == key.as_bytes())
}

/// Whether a field may go to a target.
pub fn is_forwardable(
    headers: &HeaderMap,
    name: &HeaderName,
    value: &HeaderValue,
    key: Option<&str>,
) -> bool {
    !HOP_BY_HOP.contains(&name.as_str())
        && !WITHHELD.contains(&name.as_str())
        && !named_by_connection(headers, name)
        && !key.is_some_and(|key| name.as_str().eq_ignore_ascii_case(key) || holds(value, key))
}

/// The fields that may go to a target, in order.
pub fn forwardable_headers<'a>(
    headers: &'a HeaderMap,
    key: Option<&'a str>,
) -> impl Iterator<Item = (&'a HeaderName, &'a HeaderValue)> {
    headers.iter().filter(move |(name, value)| is_forwardable(headers, name, value, key))
}

/// The fields of a target's answer that may go to the caller: all but those of one connection.
pub fn forwardable_response_headers(
    headers: &HeaderMap,
) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    headers.iter().filter(|(name, _)| {
        !HOP_BY_HOP.contains(&name.as_str())
            && name.as_str() != "content-length"
            && !named_by_connection(headers, name)
    })
}
