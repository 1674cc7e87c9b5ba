//! Messages between fronts of this build and of builds without proofs.

use carawayrill_proto::granter::FrontReport;
use carawayrill_proto::granter::GranterUpdate;
use prost::Message;

/// `GranterUpdate` of an older build: lease version 7, 3 fronts.
const OLDER_UPDATE: [u8; 4] = [0x08, 7, 0x10, 3];
/// `FrontReport` of an older build: front `f`, address `a`.
const OLDER_REPORT: [u8; 6] = [0x0a, 1, b'f', 0x5a, 1, b'a'];

/// Guards against a field that is expected of builds that don't have it.
#[test]
fn messages_of_an_older_build_have_no_key_and_no_proof() {
    let update = GranterUpdate::decode(&OLDER_UPDATE[..]).expect("an update");
    assert_eq!((update.lease_version, update.fronts), (7, 3));
    assert!(update.peer_key.is_empty());
    let report = FrontReport::decode(&OLDER_REPORT[..]).expect("a report");
    assert_eq!((report.front.as_str(), report.address.as_str()), ("f", "a"));
    assert!(report.proof.is_empty());
}

/// Guards against a change of what an older build receives: the new fields are added with numbers
/// that it does not know, after all that it does.
#[test]
fn an_older_build_finds_all_that_it_knows() {
    let update = GranterUpdate {
        lease_version: 7,
        fronts: 3,
        peer_key: vec![9, 9].into(),
        ..GranterUpdate::default()
    };
    let encoded = update.encode_to_vec();
    assert_eq!(encoded, [&OLDER_UPDATE[..], &[0x62, 2, 9, 9]].concat());
    let report = FrontReport {
        front: "f".into(),
        address: "a".into(),
        proof: vec![9, 9].into(),
        ..FrontReport::default()
    };
    let encoded = report.encode_to_vec();
    let proof = [0x82, 0x01, 2, 9, 9];
    assert_eq!(encoded, [&OLDER_REPORT[..], &proof].concat());
}
