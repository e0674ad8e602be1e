//! Credentials in a request's target.

use percent_encoding::percent_decode_str;

/// Query parameters that carry credentials.
const CREDENTIAL_PARAMETERS: [&str; 3] = ["access_token", "api_key", "key"];

fn decode(text: &str) -> String {
    percent_decode_str(&text.replace('+', " ")).decode_utf8_lossy().into_owned()
}

/// The query without credential parameters and without any whose name or value holds `key`.
///
/// The order and spelling of the others stay as they are.
pub fn strip_query_credentials(query: &str, key: Option<&str>) -> String {
    let kept: Vec<&str> = query
        .split('&')
        .filter(|pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let (name, value) = (decode(name), decode(value));
            !CREDENTIAL_PARAMETERS.iter().any(|c| name.trim().eq_ignore_ascii_case(c))
                && !key.is_some_and(|key| name.contains(key) || value.contains(key))
        })
        .collect();
    kept.join("&")
}

/// Whether a path holds the presented key, as it is or percent-encoded.
pub fn path_contains_key(path: &str, key: &str) -> bool {
    path.contains(key) || percent_decode_str(path).decode_utf8_lossy().contains(key)
}

/// Whether a path reads the same to every server: no dot segments, no encoded or backward slashes.
///
/// A target that resolves `/public/../private` would otherwise serve a path that the route of
/// `/public/` does not cover.
pub fn is_unambiguous_path(path: &str) -> bool {
    let decoded = percent_decode_str(path).decode_utf8_lossy();
    let slashes = |text: &str| text.matches('/').count();
    !decoded.contains(['\\', '\0'])
        && slashes(&decoded) == slashes(path)
        && !decoded.split('/').any(|segment| matches!(segment, "." | ".."))
}
