//! Tests of imbalance, churn and unavailable time on inputs with known results.

use carawayrill_core::id::ServerId;
use carawayrill_core::id::ShardId;
use carawayrill_core::measure::Churn;
use carawayrill_core::measure::OwnedItem;
use carawayrill_core::measure::Ratio;
use carawayrill_core::measure::ServerLoad;
use carawayrill_core::measure::UnavailableTable;
use carawayrill_core::measure::imbalance;
use carawayrill_core::time::Time;
use rstest::rstest;

#[rstest]
#[case::nothing(&[], "1.000")]
#[case::idle(&[(0, 1), (0, 1)], "1.000")]
#[case::even(&[(5, 1), (5, 1)], "1.000")]
#[case::one_has_all(&[(9, 1), (0, 1), (0, 1)], "3.000")]
#[case::by_weight(&[(30, 3), (10, 1)], "1.000")]
#[case::weight_unused(&[(10, 3), (10, 1)], "2.000")]
#[case::weight_zero_is_one(&[(10, 0), (10, 1)], "1.000")]
#[case::no_overflow(&[(u64::MAX, 1), (0, 1)], "2.000")]
fn imbalance_is_max_to_mean(#[case] loads: &[(u64, u32)], #[case] expected: &str) {
    let loads: Vec<ServerLoad> = loads.iter().map(|&(l, w)| ServerLoad::new(l, w)).collect();
    assert_eq!(imbalance(&loads).to_string(), expected);
}

/// Each letter is the owner of one item; `a` to `d` are servers.
#[rstest]
#[case::nothing("", "", "0.000 of least 0.000")]
#[case::same("aabb", "aabb", "0.000 of least 0.000")]
#[case::lost("aabb", "aaaa", "0.500 of least 0.500")]
#[case::lost_and_more("aabbcccc", "bacccccc", "0.375 of least 0.000")]
#[case::gone_and_more("abcc", "aacb", "0.500 of least 0.000")]
#[case::gone("abcc", "aacc", "0.250 of least 0.250")]
#[case::added("aabb", "aabc", "0.250 of least 0.333")]
#[case::swapped("ab", "ba", "1.000 of least 0.000")]
#[case::new_item("ab", "abc", "0.000 of least 0.333")]
fn churn_and_lowest_possible_churn(
    #[case] before: &str,
    #[case] after: &str,
    #[case] expected: &str,
) {
    let names: Vec<ServerId> = "abcd"
        .chars()
        .map(|c| c.to_string().parse().unwrap())
        .collect();
    let rows = |text: &str| -> Vec<OwnedItem<'_, usize>> {
        let owner = |c: u8| &names[usize::from(c - b'a')];
        let items = text.bytes().enumerate();
        items
            .map(|(item, c)| OwnedItem {
                item,
                owner: owner(c),
                keys: 10,
            })
            .collect()
    };
    assert_eq!(
        Churn::between(&rows(before), &rows(after)).to_string(),
        expected
    );
}

#[rstest]
#[case::never_failed(&[(false, 0), (false, 9)], 0, 0)]
#[case::one_outage(&[(true, 100), (true, 200), (false, 350)], 250, 250)]
#[case::two_outages(&[(true, 100), (false, 110), (true, 500), (false, 900)], 410, 400)]
#[case::ongoing(&[(true, 400)], 600, 600)]
#[case::response_from_before_the_failure(&[(true, 100), (false, 50), (false, 130)], 30, 30)]
fn unavailable_time(#[case] input: &[(bool, u64)], #[case] total: u64, #[case] longest: u128) {
    let shard: ShardId = "forms/3".parse().unwrap();
    let mut table = UnavailableTable::default();
    for &(failed, at) in input {
        if failed {
            table.on_failed(&shard, Time(at));
        } else {
            table.on_served(&shard, Time(at));
        }
    }
    assert_eq!(table.total_ms(Time(1_000)), total);
    assert_eq!(table.longest(Time(1_000)).as_millis(), longest);
}

#[rstest]
#[case("1.250", Some(1_250))]
#[case("0.007", Some(7))]
#[case("1.25", None)]
#[case("1", None)]
#[case("a.000", None)]
fn ratio_parses_and_prints(#[case] text: &str, #[case] expected: Option<u64>) {
    let read: Option<Ratio> = text.parse().ok();
    assert_eq!(read, expected.map(Ratio));
    assert_eq!(
        read.map(|ratio| ratio.to_string()),
        expected.map(|_| text.to_owned())
    );
}
