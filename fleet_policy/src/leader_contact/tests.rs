use super::*;
use test_case::test_case;

#[test_case(&[], 7 => 5; "nothing accepted since the start")]
#[test_case(&[(10, 3), (20, 3)], 4 => 20; "an earlier leader, until it fell silent")]
#[test_case(&[(10, 3), (20, 3), (30, 4), (40, 4)], 4 => 20; "messages of the new leader do not count")]
#[test_case(&[(10, 3), (30, 4), (40, 3)], 4 => 10; "a late message of an earlier leader is ignored")]
#[test_case(&[(10, 3), (30, 4), (40, 6)], 6 => 30; "two elections")]
fn the_last_contact_is_with_a_leader_of_an_earlier_term(messages: &[(u64, u64)], term: u64) -> u64 {
    let mut contact = LeaderContact::at_start(Micros(5));
    for (at, term) in messages {
        contact.accepted(Micros(*at), *term);
    }
    contact.last_before(term).0
}
