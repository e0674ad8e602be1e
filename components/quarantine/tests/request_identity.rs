//! Which requests are the same one.

use quarantine::RequestIdentity;

const REQUEST: RequestIdentity<'static> = RequestIdentity {
    host: "shop.example",
    method: "GET",
    path: "/read/1?page=2",
    customer: Some("shop"),
    model: Some("m"),
    adapter: Some("a"),
    parts: &[1, 2],
    body: b"body",
};

/// Guards against sound requests that are refused because they share most properties with one that ends
/// targets.
#[test]
fn each_property_tells_requests_apart() {
    let others = [
        RequestIdentity { host: "press.example", ..REQUEST },
        RequestIdentity { method: "POST", ..REQUEST },
        RequestIdentity { path: "/read/1?page=3", ..REQUEST },
        RequestIdentity { customer: Some("press"), ..REQUEST },
        RequestIdentity { customer: None, ..REQUEST },
        RequestIdentity { model: Some("ma"), adapter: None, ..REQUEST },
        RequestIdentity { model: Some("a"), adapter: Some("m"), ..REQUEST },
        RequestIdentity { parts: &[2, 1], ..REQUEST },
        RequestIdentity { parts: &[1], ..REQUEST },
        RequestIdentity { body: b"bodY", ..REQUEST },
        RequestIdentity { body: b"", ..REQUEST },
    ];
    let mut digests: Vec<u64> = others.iter().map(RequestIdentity::digest).collect();
    digests.push(REQUEST.digest());
    digests.sort_unstable();
    digests.dedup();
    assert_eq!(digests.len(), others.len() + 1);
}
