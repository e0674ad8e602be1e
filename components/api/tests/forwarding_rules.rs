//! What may go to a target: header fields, query, path.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use api::{
    HeadError, forwardable_headers, forwardable_response_headers, is_unambiguous_path,
    path_contains_key, presented_key, strip_query_credentials,
};
use http::{HeaderMap, HeaderName, HeaderValue};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const KEY: &str = "sk-secret-1";

fn headers(fields: &[(&str, &str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in fields {
        let name = HeaderName::from_bytes(name.as_bytes()).unwrap();
        map.append(name, HeaderValue::from_str(value).unwrap());
    }
    map
}

fn forwarded(fields: &[(&str, &str)]) -> Vec<String> {
    let map = headers(fields);
    forwardable_headers(&map, Some(KEY)).map(|(name, _)| name.to_string()).collect()
}

/// Guards against hop-by-hop fields and credentials at a target.
#[test]
fn strips_hop_by_hop_fields_and_credentials() {
    let fields = [
        ("accept", "a"),
        ("authorization", "Bearer x"),
        ("connection", "close, X-Mine"),
        ("content-length", "2"),
        ("content-type", "text/plain"),
        ("cookie", "a=b"),
        ("expect", "100-continue"),
        ("host", "h"),
        ("idempotency-key", "order-7"),
        ("keep-alive", "1"),
        ("proxy-authorization", "x"),
        ("te", "trailers"),
        ("trailer", "x"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "h2c"),
        ("x-api-key", "x"),
        ("x-copy", "prefix sk-secret-1 suffix"),
        ("x-mine", "1"),
        ("x-other", "1"),
        ("sk-secret-1", "1"),
    ];
    assert_eq!(forwarded(&fields), ["accept", "content-type", "idempotency-key", "x-other"]);
    let map =
        headers(&[("connection", "x-a"), ("x-a", "1"), ("content-length", "2"), ("etag", "e")]);
    let back: Vec<String> =
        forwardable_response_headers(&map).map(|(name, _)| name.to_string()).collect();
    assert_eq!(back, ["etag"]);
}

/// Guards against a credential that is taken from the wrong place or in a loose form.
#[test]
fn takes_one_well_formed_key() {
    assert_eq!(presented_key(&headers(&[])), Ok(None));
    assert_eq!(presented_key(&headers(&[("authorization", "Bearer a")])), Ok(Some("a")));
    assert_eq!(presented_key(&headers(&[("authorization", "bearer  a ")])), Ok(Some("a")));
    assert_eq!(presented_key(&headers(&[("x-api-key", "a")])), Ok(Some("a")));
    let repeated = [("authorization", "Bearer a"), ("x-api-key", "a")];
    assert_eq!(presented_key(&headers(&repeated)), Err(HeadError::RepeatedCredential));
    for bad in ["Basic a", "a", "Bearer ", "Bearer a b"] {
        let map = headers(&[("authorization", bad)]);
        assert_eq!(presented_key(&map), Err(HeadError::BadCredential), "{bad:?}");
    }
}

/// Guards against credentials in a forwarded query, however they are spelled.
#[test]
fn strips_credentials_from_the_query() {
    let query = "a=1&key=x&API_KEY=y&%6bey=z&access_token&b=sk%2Dsecret-1&sk-secret-1=q&c=%20&a=2";
    assert_eq!(strip_query_credentials(query, Some(KEY)), "a=1&c=%20&a=2");
    assert_eq!(strip_query_credentials("key=x", None), "");
    assert!(path_contains_key("/a/sk%2dsecret-1/b", KEY));
    assert!(!path_contains_key("/a/b", KEY));
}

/// Guards against a path that a target resolves out of its route's prefix.
#[test]
fn refuses_paths_that_servers_read_differently() {
    for path in ["/a/../b", "/a/%2e%2E/b", "/a/./b", "/a%2fb", "/a%5cb", "/a\\b", "/a%00", "/.."] {
        assert!(!is_unambiguous_path(path), "{path}");
    }
    for path in ["/", "/a/b.c", "/a/..b/", "/a/%C3%A9", "/a//b"] {
        assert!(is_unambiguous_path(path), "{path}");
    }
}

fn field_name() -> impl Strategy<Value = String> {
    prop_oneof![
        prop::sample::select(vec![
            "authorization",
            "proxy-authorization",
            "cookie",
            "x-api-key",
            "connection",
            "te",
            "upgrade",
            "transfer-encoding",
            "keep-alive",
            "trailer",
            "x-a",
            "x-b",
            "accept",
        ])
        .prop_map(str::to_owned),
        "x-[a-z]{1,6}",
    ]
}

/// The same cases in every run.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against any combination of fields that lets a key or a hop-by-hop field through, and
    /// against the loss of other fields.
    #[test]
    fn no_key_and_no_hop_by_hop_field_passes(
        fields in prop::collection::vec((field_name(), prop_oneof![
            Just(KEY.to_owned()), "[ -~]{0,8}", Just(format!("a {KEY}")), Just("x-a, x-b".to_owned()),
        ]), 0..12),
    ) {
        let list: Vec<(&str, &str)> =
            fields.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        let map = headers(&list);
        let named: Vec<String> = map
            .get_all("connection")
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .map(|token| token.trim().to_ascii_lowercase())
            .collect();
        let passed: Vec<(String, String)> = forwardable_headers(&map, Some(KEY))
            .map(|(name, value)| (name.to_string(), value.to_str().unwrap().to_owned()))
            .collect();
        for (name, value) in &passed {
            prop_assert!(!value.contains(KEY));
            prop_assert!(!named.contains(name));
        }
        let stripped = [
            "authorization", "proxy-authorization", "cookie", "x-api-key", "connection", "te",
            "upgrade", "transfer-encoding", "keep-alive", "trailer",
        ];
        let expected = map
            .iter()
            .filter(|(name, value)| {
                !stripped.contains(&name.as_str())
                    && !named.contains(&name.to_string())
                    && !value.to_str().unwrap().contains(KEY)
            })
            .count();
        prop_assert_eq!(passed.len(), expected);
        prop_assert!(passed.iter().all(|(name, _)| !stripped.contains(&name.as_str())));
    }

    /// Guards against a query that carries the key in any percent-encoded spelling.
    #[test]
    fn no_spelling_of_the_key_passes_in_a_query(
        encoded in prop::collection::vec(any::<bool>(), KEY.len()),
        name in "[a-z]{1,5}",
    ) {
        let spelled: String = KEY
            .bytes()
            .zip(&encoded)
            .map(|(byte, encode)| {
                if *encode { format!("%{byte:02x}") } else { char::from(byte).to_string() }
            })
            .collect();
        let query = format!("keep=1&{name}=a{spelled}b");
        prop_assert_eq!(strip_query_credentials(&query, Some(KEY)), "keep=1");
        let path = format!("/x/{spelled}");
        prop_assert!(path_contains_key(&path, KEY));
    }
}
