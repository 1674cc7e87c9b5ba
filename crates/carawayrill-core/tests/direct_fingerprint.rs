//! Tests how requests are recognised that come again.

use carawayrill_core::direct::quarantine::Fingerprint;
use carawayrill_core::direct::quarantine::RequestContent;
use rstest::rstest;

const CONTENT: RequestContent<'static> = RequestContent {
    host: "forms.example",
    method: "GET",
    path: "/a/b",
    query: "page=2",
    key: Some(7),
    body: b"",
};

#[rstest]
#[case::the_same(CONTENT, true, true)]
#[case::upper_case_host(RequestContent { host: "Forms.Example", ..CONTENT }, true, true)]
#[case::other_query(RequestContent { query: "page=3", ..CONTENT }, false, true)]
#[case::no_query(RequestContent { query: "", ..CONTENT }, false, true)]
#[case::other_host(RequestContent { host: "other.example", ..CONTENT }, false, false)]
#[case::other_method(RequestContent { method: "POST", ..CONTENT }, false, false)]
#[case::other_path(RequestContent { path: "/a/c", ..CONTENT }, false, false)]
#[case::other_key(RequestContent { key: Some(8), ..CONTENT }, false, false)]
#[case::no_key(RequestContent { key: None, ..CONTENT }, false, false)]
#[case::other_body(RequestContent { body: b"x", ..CONTENT }, false, false)]
#[case::shifted_parts(
    RequestContent { host: "forms.exampleG", method: "ET", ..CONTENT }, false, false
)]
fn a_request_is_recognised_by_its_content(
    #[case] other: RequestContent<'static>,
    #[case] same: bool,
    #[case] same_without_query: bool,
) {
    let known = CONTENT.fingerprints();
    let found = other.fingerprints();
    assert_eq!(known.exact == found.exact, same);
    assert_eq!(known.any_query == found.any_query, same_without_query);
}

#[test]
fn a_request_without_a_query_has_one_fingerprint() {
    let content = RequestContent {
        query: "",
        ..CONTENT
    };
    let found = content.fingerprints();
    assert_eq!(found.exact, found.any_query);
}

#[test]
fn a_fingerprint_is_read_as_it_is_printed() {
    let known = CONTENT.fingerprints().exact;
    let read: Fingerprint = known.to_string().parse().expect("a fingerprint");
    assert_eq!(read, known);
    assert_eq!("no number".parse::<Fingerprint>().ok(), None);
}
