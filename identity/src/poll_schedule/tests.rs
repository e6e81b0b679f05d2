use super::*;
use proptest::prelude::*;

const S: u64 = 1_000_000;

fn schedule() -> PollSchedule {
    PollSchedule::new(Micros(5 * S), Micros(S), 7)
}

#[test]
fn requests_for_early_polls_cause_at_most_one_poll_per_minimum_interval() {
    let (mut schedule, mut polls) = (schedule(), 0);
    for ms in 0..20_000 {
        let now = Micros(ms * 1000);
        schedule.request_early(now);
        if schedule.next().is_some_and(|next| next <= now) {
            polls += 1;
            schedule.started(now);
            schedule.succeeded(now + Micros(3000));
        }
    }
    assert!((19..=21).contains(&polls), "{polls} polls in 20 s");
}

#[test]
fn backs_off_from_a_failing_source_despite_requests_for_early_polls() {
    let (mut schedule, mut now, mut waits) = (schedule(), Micros(0), Vec::new());
    for _ in 0..9 {
        schedule.started(now);
        schedule.failed(now);
        schedule.request_early(now);
        let next = schedule.next().expect("a time");
        waits.push(next.since(now).0 as f64 / S as f64);
        now = next;
    }
    assert!(
        waits[0] < 1.3 && waits[3] > 4.0 && waits[8] > 30.0 && waits[8] < 50.0,
        "{waits:?}"
    );
    schedule.started(now);
    schedule.succeeded(now);
    assert!(schedule
        .next()
        .is_some_and(|next| next.since(now).0 <= 6 * S));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn polls_never_start_closer_than_the_minimum_interval(steps in proptest::collection::vec((0u8..4, 0u64..3 * S), 1..80)) {
        let (mut schedule, mut now, mut last) = (schedule(), Micros(0), None::<Micros>);
        for (action, later) in steps {
            now += Micros(later);
            match (action, schedule.next()) {
                (0, _) => drop(schedule.request_early(now)),
                (1, None) => schedule.succeeded(now),
                (2, None) => schedule.failed(now),
                (_, Some(next)) if next <= now => {
                    prop_assert!(last.is_none_or(|last| now.since(last).0 >= S));
                    last = Some(now);
                    schedule.started(now);
                }
                _ => {}
            }
            prop_assert!(schedule.next().is_none_or(|next| next.since(now).0 <= 60 * S), "the next poll is always scheduled");
        }
    }
}
