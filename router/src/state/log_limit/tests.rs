use super::*;

const S: u64 = 1_000_000;

#[test]
fn one_event_a_second_is_logged_and_none_is_lost_from_the_count() {
    let limit = LogLimit::default();
    let times = [10 * S, 10 * S + 1, 11 * S - 1, 11 * S, 11 * S + 5, 20 * S];
    let logged: Vec<Option<u64>> = times.iter().map(|at| limit.count(Micros(*at))).collect();
    assert_eq!(logged, [Some(1), None, None, Some(4), None, Some(6)]);
}
