use super::*;

const SECOND_US: u64 = 1_000_000;

#[test]
fn logs_one_event_per_second_with_the_count_of_all_events() {
    let limit = LogLimit::default();
    let times = [
        10 * SECOND_US,
        10 * SECOND_US + 1,
        11 * SECOND_US - 1,
        11 * SECOND_US,
        11 * SECOND_US + 5,
        20 * SECOND_US,
    ];
    let logged: Vec<Option<u64>> = times
        .iter()
        .map(|time| limit.count(Micros(*time)))
        .collect();
    assert_eq!(logged, [Some(1), None, None, Some(4), None, Some(6)]);
}
