use std::collections::BTreeMap;

use test_case::test_case;

use super::*;
use crate::messages::{LeaseGrant, LeaseReply};
use crate::state_machine::PolicyState;

const START: Micros = Micros(10_000_000);

/// The reply that grants the request with this number.
fn grant(seq: u64) -> LeaseReply {
    let state = PolicyState::bootstrap(BTreeMap::new());
    LeaseReply {
        view: Some(View::of(&state)),
        grant: Some(LeaseGrant {
            incarnation: Incarnation(1),
            seq: Seq(seq),
            epoch: state.epoch,
            version: state.in_force.number,
        }),
        ..LeaseReply::default()
    }
}

#[test_case(1 => None; "the first is forgotten")]
#[test_case(2 => Some(Micros(500_000)); "the second lasts from when it was sent")]
#[test_case(17 => Some(Micros(2_000_000)); "the last")]
#[test_case(18 => None; "one that was never sent")]
fn of_seventeen_requests_the_last_sixteen_count(answered: u64) -> Option<Micros> {
    let config = LeaseConfig::default();
    let mut holder = LeaseHolder::new(config, "a".into(), Incarnation(1), false, START);
    let mut now = START;
    for seq in 1..=17 {
        let request = holder.next_request(now).expect("it is due");
        assert_eq!(request.seq, Seq(seq));
        assert_eq!(holder.next_request(now), None, "not twice");
        if seq < 17 {
            now = holder.next_request_at(now);
        }
    }
    assert_eq!(now, START + Micros(1_600_000));
    holder.handle_reply(now, grant(answered));
    holder.lease_left(now)
}
