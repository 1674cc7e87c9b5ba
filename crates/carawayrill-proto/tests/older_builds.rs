//! Messages between this build and older ones, which lack the later fields.

use carawayrill_proto::granter::LimitStatement;
use prost::Message;

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
