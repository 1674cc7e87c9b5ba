//! Messages between fronts of this build and of older builds, which lack the later fields.

use carawayrill_proto::granter::EgressShare;
use carawayrill_proto::granter::FrontReport;
use carawayrill_proto::granter::GranterUpdate;
use carawayrill_proto::granter::LimitStatement;
use carawayrill_proto::granter::RegionLoad;
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

/// `RegionLoad` of an older build: service `f`, 9 requests, of which 4 are of routes with homes.
const OLDER_LOAD: [u8; 7] = [0x0a, 1, b'f', 0x10, 9, 0x28, 4];

/// Guards against shares or counts that are expected of builds that don't have them.
#[test]
fn messages_of_an_older_build_have_no_shares_and_count_no_responses() {
    let update = GranterUpdate::decode(&OLDER_UPDATE[..]).expect("an update");
    assert!(update.egress.is_empty());
    let load = RegionLoad::decode(&OLDER_LOAD[..]).expect("a load");
    assert_eq!((load.offered, load.with_homes), (9, 4));
    assert_eq!((load.sent_away, load.bytes, load.responses), (0, 0, 0));
}

/// Guards against a change of what an older build reads in a share: it knows three fields.
#[test]
fn an_older_build_finds_the_share_that_it_knows() {
    let share = EgressShare {
        service: "f".into(),
        region: "r".into(),
        milli_share: 5,
        link_full: true,
        region_full: true,
    };
    let older = [0x0a, 1, b'f', 0x12, 1, b'r', 0x18, 5];
    let new = [0x20, 1, 0x28, 1];
    assert_eq!(share.encode_to_vec(), [&older[..], &new].concat());
}

/// The statement of a server's limit as builds without cold servers have it.
#[derive(Clone, PartialEq, Eq, Message)]
struct OlderLimitStatement {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(uint64, tag = "2")]
    born: u64,
    #[prost(uint64, optional, tag = "3")]
    milli_rate: Option<u64>,
    #[prost(uint64, tag = "4")]
    age_ms: u64,
}

/// Guards against a build that takes the missing fields of an older one for a cold server.
#[test]
fn a_statement_of_an_older_build_names_no_cold_server() {
    let older = OlderLimitStatement {
        server: "s-1".to_owned(),
        born: 7,
        milli_rate: Some(5_000),
        age_ms: 20,
    };
    let read = LimitStatement::decode(older.encode_to_vec().as_slice()).expect("a message");
    assert_eq!(read.milli_rate, Some(5_000));
    assert_eq!((read.cold_milli_rate, read.cold_left_ms), (None, None));
}

/// Guards against a statement that an older build can't read.
#[test]
fn an_older_build_reads_the_statement_of_a_cold_server() {
    let statement = LimitStatement {
        server: "s-1".to_owned(),
        born: 7,
        milli_rate: None,
        age_ms: u64::MAX,
        cold_milli_rate: Some(4_900),
        cold_left_ms: Some(3_000),
    };
    let read = OlderLimitStatement::decode(statement.encode_to_vec().as_slice());
    let read = read.expect("a message");
    assert_eq!((read.milli_rate, read.age_ms), (None, u64::MAX));
}
