use super::*;

/// The longest that a change can stay unknown, whatever instant of a call the watch falls silent in: the call is given up, a
/// look follows at once, is refused as late as discovery refuses, and one more follows behind the pause of all.
#[test]
fn all_that_follows_a_silence_adds_up_to_less_than_the_time_by_which_news_counts_as_told() {
    for seed in 0..1000 {
        let mut cadence = WatchSchedule::new(Some(Micros(10_000_000)), seed);
        let call = cadence.next(true);
        assert!(call.wait <= WAITS && call.wait >= WAITS.times(0.66));
        assert!(cadence.failed(true), "a look follows at once");
        let look = cadence.next(true);
        assert_eq!(look.wait, Micros(0));
        assert!(call.timeout + OVERDUE + Micros(1_000_000) <= TOLD);
        assert!(call.timeout + look.timeout <= TOLD);
    }
}

#[test]
fn only_one_look_follows_at_once_and_none_a_refusal() {
    let mut cadence = WatchSchedule::new(None, 7);
    assert!(!cadence.failed(false));
    assert!(cadence.failed(true) && !cadence.failed(true) && !cadence.failed(false));
    assert_eq!(
        cadence.next(true).wait,
        Micros(0),
        "still unanswered: it waits for nothing"
    );
    cadence.answered();
    assert!(cadence.next(true).wait > Micros(0) && cadence.failed(true));
}

#[test]
fn nobody_asks_less_often_than_the_settings_say_and_a_whole_list_is_not_waited_for() {
    let mut cadence = WatchSchedule::new(Some(Micros(900_000)), 7);
    assert!((0..100).all(|_| cadence.next(true).wait <= Micros(900_000)));
    assert_eq!(cadence.next(false).wait, Micros(0));
}

#[test]
fn watches_that_were_answered_together_come_apart() {
    let waits: Vec<u64> = (0..300)
        .map(|seed| WatchSchedule::new(None, seed).next(true).wait.0)
        .collect();
    let (least, most) = (waits.iter().min().copied(), waits.iter().max().copied());
    assert!(most
        .zip(least)
        .is_some_and(|(most, least)| most - least > WAITS.0 / 4));
}
