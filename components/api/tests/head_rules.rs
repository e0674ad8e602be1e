//! Checks of raw request heads and of chunked bodies.

use api::{BodyFraming, ChunkedScanner, HeadError, check_head};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn check(fields: &str) -> Result<BodyFraming, HeadError> {
    check_head(format!("POST /x HTTP/1.1\r\nHost: a\r\n{fields}\r\n").as_bytes(), 64, true)
}

/// Guards against request smuggling: heads that two servers could frame differently.
#[test]
fn refuses_heads_that_can_be_framed_in_two_ways() {
    use HeadError::{Malformed, MixedLengths, RepeatedCredential, RepeatedField, UnknownEncoding};
    let cases = [
        ("Content-Length: 2\r\nContent-Length: 2\r\n", RepeatedField),
        ("Content-Length: 2\r\ncontent-length: 3\r\n", RepeatedField),
        ("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", MixedLengths),
        ("Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", MixedLengths),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", RepeatedField),
        ("Transfer-Encoding: gzip, chunked\r\n", UnknownEncoding),
        ("Transfer-Encoding: xchunked\r\n", UnknownEncoding),
        ("Content-Length: +2\r\n", Malformed),
        ("Content-Length: 2,2\r\n", Malformed),
        ("Content-Length: -1\r\n", Malformed),
        ("Content-Length: 99999999999999999999\r\n", Malformed),
        ("Content-Length:\r\n", Malformed),
        ("Content-Length : 2\r\n", Malformed),
        ("Host: b\r\n", RepeatedField),
        ("Authorization: Bearer a\r\nAuthorization: Bearer b\r\n", RepeatedCredential),
        ("Authorization: Bearer a\r\nX-Api-Key: a\r\n", RepeatedCredential),
        ("Idempotency-Key: a\r\nIdempotency-Key: a\r\n", RepeatedField),
        (" folded: a\r\n", Malformed),
    ];
    for (fields, fault) in cases {
        assert_eq!(check(fields), Err(fault), "{fields:?}");
    }
    let early_end = b"GET / HTTP/1.1\nHost: a\n\nGET /x HTTP/1.1\r\n\r\n";
    assert_eq!(check_head(early_end, 64, true), Err(Malformed));
}

/// Guards against a refusal of good heads.
#[test]
fn accepts_the_usual_framings() {
    assert_eq!(check(""), Ok(BodyFraming::Length(0)));
    assert_eq!(check("Content-Length: 42\r\n"), Ok(BodyFraming::Length(42)));
    assert_eq!(check("Transfer-Encoding: Chunked\r\n"), Ok(BodyFraming::Chunked));
}

/// Guards against a refusal of `X-Api-Key` where it is no key but a header to be forwarded, and against two
/// keys there.
#[test]
fn accepts_an_api_key_header_where_it_is_no_credential() {
    let check = |fields: &str| {
        check_head(format!("GET /x HTTP/1.1\r\nHost: a\r\n{fields}\r\n").as_bytes(), 64, false)
    };
    let both = check("Authorization: Bearer a\r\nX-Api-Key: a\r\n");
    assert_eq!(both, Ok(BodyFraming::Length(0)));
    let two = check("Authorization: Bearer a\r\nAuthorization: Bearer b\r\n");
    assert_eq!(two, Err(HeadError::RepeatedCredential));
}

/// Guards against callers of HTTP/1.0, to which a response that is cut off looks complete if it has no
/// length.
#[test]
fn refuses_other_versions() {
    for version in ["HTTP/1.0", "HTTP/2.0", "HTTP/1.2"] {
        let head = format!("GET /x {version}\r\nHost: a\r\n\r\n");
        assert_eq!(check_head(head.as_bytes(), 64, true), Err(HeadError::Malformed), "{version}");
    }
}

/// Guards against unbounded numbers of fields.
#[test]
fn limits_the_number_of_fields() {
    let fields: String = (0..70).map(|at| format!("x-{at}: 1\r\n")).collect();
    assert_eq!(check(&fields), Err(HeadError::TooManyFields));
    let fields: String = (0..400).map(|at| format!("x-{at}: 1\r\n")).collect();
    assert_eq!(check(&fields), Err(HeadError::TooManyFields));
}

/// Guards against chunked bodies whose end two servers could see at different places.
#[test]
fn refuses_loose_chunks() {
    let loose = [
        "\r\n",
        "x\r\n",
        "-1\r\n",
        " 1\r\na\r\n",
        "1 \r\na\r\n",
        "1\na\r\n",
        "1\r\nab\r\n",
        "1\r\na\n",
        "0\r\n\n",
        "0\n\r\n",
        "1;a\nb\r\n",
        "ffffffffffffffffff\r\n",
        "0\r\na: b\n\r\n",
    ];
    for body in loose {
        let result = ChunkedScanner::default().scan(body.as_bytes());
        assert_eq!(result, Err(HeadError::BadChunk), "{body:?}");
    }
}

fn encode(chunks: &[Vec<u8>], trailer: bool) -> Vec<u8> {
    let mut body = Vec::new();
    for chunk in chunks.iter().filter(|chunk| !chunk.is_empty()) {
        body.extend(format!("{:x};ext=1\r\n", chunk.len()).into_bytes());
        body.extend(chunk);
        body.extend(b"\r\n");
    }
    body.extend(if trailer { &b"0\r\nx: y\r\n\r\n"[..] } else { b"0\r\n\r\n" });
    body
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

    /// Guards against an end that depends on how the bytes were cut by the network.
    #[test]
    fn finds_the_end_of_a_chunked_body_however_it_is_cut(
        chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..40), 0..6),
        trailer in any::<bool>(),
        rest in proptest::collection::vec(any::<u8>(), 0..20),
        cut in 1usize..17,
    ) {
        let body = encode(&chunks, trailer);
        let sent = [body.clone(), rest].concat();
        let mut scanner = ChunkedScanner::default();
        let mut before = 0;
        let mut end = None;
        for part in sent.chunks(cut) {
            match scanner.scan(part).unwrap() {
                Some(at) => {
                    end = Some(before + at);
                    break;
                }
                None => before += part.len(),
            }
        }
        prop_assert_eq!(end, Some(body.len()));
    }

    /// Guards against a panic or an endless loop on arbitrary bytes.
    #[test]
    fn survives_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _head = check_head(&bytes, 64, true);
        let end = ChunkedScanner::default().scan(&bytes);
        if let Ok(Some(at)) = end {
            prop_assert!(at <= bytes.len());
        }
    }
}
