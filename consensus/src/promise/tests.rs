use proptest::prelude::*;

use super::{LogPosition, Promise};

fn any_promise() -> impl Strategy<Value = Promise> {
    (0u64..4, 0u64..4, 0u64..4, 0u64..6).prop_map(|(term, vote, last_term, index)| Promise {
        term,
        vote,
        last: LogPosition {
            term: last_term,
            index,
        },
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn join_is_commutative_associative_and_idempotent(a in any_promise(), b in any_promise(), c in any_promise()) {
        prop_assert_eq!(a.join(b), b.join(a));
        prop_assert_eq!(a.join(b).join(c), a.join(b.join(c)));
        prop_assert_eq!(a.join(a), a);
    }

    #[test]
    fn a_replica_with_its_latest_state_covers_each_of_its_earlier_promises(a in any_promise(), more in any_promise()) {
        // A replica's latest state covers its own promises, and its vote does not change within a term.
        let mut own = a.join(more);
        if a.term == own.term && a.vote != 0 {
            own.vote = a.vote;
        }
        prop_assert_eq!(a.check_covered_by(&own), Ok(()));
    }
}
