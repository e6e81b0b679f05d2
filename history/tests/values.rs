//! The checker of values rejects histories in which a client is served what was not made for it, and accepts others.

use ternpick_history::values::{check_values, ValueEvent, WrongValue};
use test_case::test_case;

fn sent(at: u64, query: u64, statement: &str) -> (u64, ValueEvent) {
    let event = ValueEvent::QuerySent {
        query,
        request_id: "a".into(),
        statement: statement.into(),
    };
    (at, event)
}

fn received(
    at: u64,
    request_id: &str,
    shard: u32,
    statement: &str,
    value: &str,
) -> (u64, ValueEvent) {
    let event = ValueEvent::AttemptReceived {
        request_id: request_id.into(),
        shard,
        statement: statement.into(),
        value: value.into(),
    };
    (at, event)
}

fn served(at: u64, query: u64, value: &str) -> (u64, ValueEvent) {
    let event = ValueEvent::ValueServed {
        query,
        shard: 0,
        value: value.into(),
    };
    (at, event)
}

#[test_case(&[]; "nothing served")]
#[test_case(&[received(10, "a", 0, "s", "v1"), served(20, 1, "v1")]; "served by its attempt")]
#[test_case(&[received(5, "a", 0, "s", "v0"), received(10, "a", 0, "s", "v1"), served(20, 1, "v1")]; "an earlier attempt that serves nobody")]
#[test_case(&[received(10, "a", 0, "s", "v1"), received(11, "a", 0, "s", "v2"), served(20, 1, "v2")]; "served by a second attempt")]
#[test_case(&[served(20, 1, "v1"), received(10, "a", 0, "s", "v1")]; "in another order")]
fn accepts_values_of_the_querys_own_attempts(events: &[(u64, ValueEvent)]) {
    let mut all = vec![sent(8, 1, "s")];
    all.extend_from_slice(events);
    assert_eq!(check_values(&all), []);
}

#[test_case(&[served(20, 1, "v1")], WrongValue::NotMade; "a value that no node made")]
#[test_case(&[received(30, "a", 0, "s", "v1"), served(20, 1, "v1")], WrongValue::NotMade; "a value that is made later")]
#[test_case(&[received(10, "a", 0, "other", "v1"), served(20, 1, "v1")], WrongValue::OtherRequest; "the value of another statement")]
#[test_case(&[received(10, "b", 0, "s", "v1"), served(20, 1, "v1")], WrongValue::OtherRequest; "the value of another request id")]
#[test_case(&[received(10, "a", 1, "s", "v1"), served(20, 1, "v1")], WrongValue::OtherRequest; "the value of another shard")]
#[test_case(&[received(5, "a", 0, "s", "v1"), served(20, 1, "v1")], WrongValue::EarlierQuery; "the late value of an earlier query")]
#[test_case(&[received(10, "a", 0, "s", "v1"), served(20, 2, "v1")], WrongValue::UnknownQuery; "a value for a query that was not sent")]
fn rejects(events: &[(u64, ValueEvent)], wrong: WrongValue) {
    let mut all = vec![sent(8, 1, "s")];
    all.extend_from_slice(events);
    let violations = check_values(&all);
    let found: Vec<WrongValue> = violations.iter().map(|found| found.wrong).collect();
    assert_eq!(found, [wrong]);
}
