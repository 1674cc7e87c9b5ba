//! Which headers are forwarded end to end.

use carawayrill_router::headers::end_to_end;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use rstest::rstest;

fn map(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let pairs = pairs.iter().map(|(name, value)| {
        (
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        )
    });
    pairs.collect()
}

#[rstest]
#[case::kept(&[("accept", "text/html"), ("x-form", "17")], &["accept", "x-form"])]
#[case::one_hop(&[("connection", "close"), ("te", "trailers"), ("accept", "a")], &["accept"])]
#[case::named_by_connection(&[("connection", "x-once, te"), ("x-once", "1"), ("accept", "a")], &["accept"])]
#[case::framing(&[("content-length", "5"), ("transfer-encoding", "chunked")], &[])]
#[case::forged(&[("x-carawayrill-token", "9.9"), ("x-carawayrill-deadline-ms", "5")], &[])]
fn passes(#[case] pairs: &[(&'static str, &'static str)], #[case] expected: &[&str]) {
    let passed = end_to_end(&map(pairs));
    let mut names: Vec<_> = passed.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    assert_eq!(expected, names);
}
