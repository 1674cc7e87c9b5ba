//! Proofs that a message comes from a front, and the key in the granter's lease.

use carawayrill_core::direct::knowledge::StoredVersion;
use carawayrill_core::direct::lease::Lease;
use carawayrill_core::direct::lease::LeaseView;
use carawayrill_core::direct::reach::PeerKey;
use carawayrill_core::direct::reach::PeerKeys;
use carawayrill_core::id::Era;
use carawayrill_core::id::Version;
use carawayrill_core::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

/// Computed with another implementation from the bytes 0 to 31 as the key.
const KNOWN_VALUE: &str =
    "front-1.3a48d5d5f9ceb6d7d93c57825a07913a43f25e6d56dbcac44fcdb77b4abb39cb";

fn version(number: u64) -> StoredVersion {
    StoredVersion {
        era: Era(0),
        version: Version(number),
    }
}

fn key(seed: u8) -> PeerKey {
    PeerKey::new([seed; 32])
}

fn keys(seeds: &[u8]) -> PeerKeys {
    let mut keys = PeerKeys::default();
    for (number, seed) in (1..).zip(seeds) {
        keys.set(&key(*seed), version(number));
    }
    keys
}

/// Guards against a change of the signed bytes: fronts of different builds run side by side.
#[test]
fn the_value_of_the_header_is_fixed() {
    let mut bytes = [0; 32];
    for (number, byte) in (0..).zip(&mut bytes) {
        *byte = number;
    }
    let mut keys = PeerKeys::default();
    keys.set(&PeerKey::new(bytes), version(1));
    let signed = keys.sign_request("front-1", "r-1");
    assert_eq!(signed.as_deref(), Some(KNOWN_VALUE));
    let join = keys.sign_join("front-1").expect("a key");
    assert_eq!(join[..4], [0x8c, 0x14, 0xc5, 0x12]);
}

/// Guards against callers that mark their own requests.
#[rstest]
#[case::without_a_proof("1")]
#[case::empty("")]
#[case::another_front("front-2.PROOF")]
#[case::more_in_the_name("front-1..PROOF")]
#[case::upper_case("front-1.3A48D5D5")]
#[case::short("front-1.3a48d5d5")]
#[case::odd("front-1.3a4")]
#[case::not_ascii("front-1.\u{e9}\u{e9}")]
fn a_value_without_a_valid_proof_is_not_accepted(#[case] value: &str) {
    let keys = keys(&[1]);
    let signed = keys.sign_request("front-1", "r-1").expect("a key");
    let (_, proof) = signed.rsplit_once('.').expect("a proof");
    let value = value.replace("PROOF", proof);
    assert_eq!(keys.verify_request(&value, "r-1"), None);
    assert_eq!(keys.verify_request(&signed, "r-1"), Some("front-1"));
    assert_eq!(keys.verify_request(&signed, "r-2"), None);
    assert_eq!(PeerKeys::default().verify_request(&signed, "r-1"), None);
}

/// Guards against a proof that is taken from one message for another.
#[test]
fn a_proof_of_one_kind_is_none_of_the_other() {
    let keys = keys(&[1]);
    let signed = keys.sign_request("", "front-1").expect("a key");
    let join = keys.sign_join("front-1").expect("a key");
    assert!(keys.verify_join("front-1", &join));
    assert!(!keys.verify_join("front-2", &join));
    assert!(!keys.verify_join("front-1", &[]));
    // A key has the length of a proof, and is written in the same digits.
    let joined = serde_json::to_value(PeerKey::from_slice(&join)).expect("JSON");
    let joined = joined.as_str().expect("text");
    assert_ne!(signed, format!(".{joined}"));
    assert_eq!(keys.verify_request(&format!(".{joined}"), "front-1"), None);
}

#[test]
fn the_current_key_and_the_one_before_are_accepted() {
    let signed = |seed| keys(&[seed]).sign_request("front-1", "r").expect("a key");
    let mut keys = keys(&[1, 2, 3]);
    let accepts = |keys: &PeerKeys, seed| keys.verify_request(&signed(seed), "r").is_some();
    let accepted = [1, 2, 3].map(|seed| accepts(&keys, seed));
    assert_eq!(accepted, [false, true, true]);
    // The same again, and what an earlier granter still sends, change nothing.
    keys.set(&key(3), version(9));
    keys.set(&key(2), version(5));
    let accepted = [1, 2, 3].map(|seed| accepts(&keys, seed));
    assert_eq!(accepted, [false, true, true]);
}

/// Guards against requests that do not verify while a new key reaches 300 fronts one by one, when a
/// granter is lost: 20,000 requests between fronts of which some have the new key and some do not.
#[test]
fn requests_of_fronts_with_the_key_before_verify_at_those_with_the_new_one() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut fronts: Vec<PeerKeys> = (0..300).map(|_| keys(&[1])).collect();
    let mut told = 0;
    let mut refused = 0;
    for number in 0..20_000 {
        if number % 60 == 0 && told < fronts.len() {
            fronts[told].set(&key(2), version(2));
            told += 1;
        }
        let from = rng.random_range(0..fronts.len());
        let to = rng.random_range(0..fronts.len());
        let signed = fronts[from].sign_request("front", "r").expect("a key");
        let verified = fronts[to].verify_request(&signed, "r").is_some();
        let is_ahead = from < told && to >= told;
        assert_eq!(verified, !is_ahead);
        refused += usize::from(!verified);
    }
    // Only those that a front with the new key sends to one without it.
    assert!(refused > 0);
}

#[test]
fn a_key_is_not_written_to_logs() {
    assert_eq!(format!("{:?}", key(7)), "PeerKey(..)");
}

fn record(peer_key: Option<&str>) -> Value {
    let mut record = json!({"front": "front-1", "run": 1, "address": "127.0.0.1:7000",
        "length_ms": 2_000, "renewals": 4, "released": false, "era": 0});
    if let Some(peer_key) = peer_key {
        record["peer_key"] = peer_key.into();
    }
    record
}

fn decode(record: Value) -> Lease {
    serde_json::from_value(record).expect("a lease")
}

/// An older build writes no key; one that is not valid must not keep fronts from reading the lease.
#[rstest]
#[case::older_build(None)]
#[case::not_hexadecimal(Some("zz"))]
#[case::short(Some("0707"))]
fn a_lease_without_a_valid_key_is_read(#[case] peer_key: Option<&str>) {
    let lease = decode(record(peer_key));
    assert_eq!(lease.peer_key, None);
    assert_eq!(lease.renewals, 4);
    // Written again, it is what an older build writes.
    assert_eq!(serde_json::to_value(lease).expect("JSON"), record(None));
}

#[test]
fn a_key_is_stored_as_lower_case_hexadecimal_digits() {
    let text = "0a".repeat(32);
    let lease = decode(record(Some(&text)));
    assert_eq!(lease.peer_key, Some(key(10)));
    let written = serde_json::to_value(lease).expect("JSON");
    assert_eq!(written, record(Some(&text)));
}

/// The lease record as builds without the key have it.
#[derive(serde::Serialize, serde::Deserialize)]
struct OlderLease {
    front: String,
    run: u64,
    address: String,
    length_ms: u64,
    renewals: u64,
    released: bool,
    #[serde(default)]
    era: u64,
}

/// An older build reads a lease with a key, and drops it with its renewal. Fronts keep the key that
/// they know.
#[test]
fn fronts_keep_their_key_while_an_older_build_is_the_granter() {
    let newer = record(Some(&"0a".repeat(32)));
    let mut view = LeaseView::new(decode(record(None)), true);
    let mut keys = PeerKeys::default();
    let mut learn = |view: &LeaseView| {
        if let Some((key, version)) = view.peer_key() {
            keys.set(key, version);
        }
        keys.current().cloned()
    };
    view.observe(version(1), Some(decode(newer.clone())), Time(0));
    assert_eq!(learn(&view), Some(key(10)));
    let older: OlderLease = serde_json::from_value(newer).expect("read by an older build");
    let renewed = serde_json::to_value(older).expect("JSON");
    view.observe(version(2), Some(decode(renewed)), Time(10));
    assert_eq!(view.peer_key(), None);
    assert_eq!(learn(&view), Some(key(10)));
}

/// Guards against a new key with each renewal, and against one that is lost with it.
#[test]
fn renewals_keep_the_key_of_the_claim() {
    let mut view = LeaseView::new(decode(record(None)), true);
    view.observe(version(0), None, Time(0));
    view.set_peer_key(key(1));
    for number in 1..4 {
        let claim = view.claim(Time(number)).expect("claimable lease");
        assert_eq!(claim.lease.peer_key, Some(key(1)));
        view.claim_stored(claim, Version(number), Time(number), Time(number));
        assert_eq!(view.peer_key(), Some((&key(1), version(number))));
    }
    let released = view.release().expect("held");
    assert_eq!(released.lease.peer_key, Some(key(1)));
}
