use super::*;
use test_case::test_case;

#[test_case(libc::EINTR, FailureOwner::None)]
#[test_case(libc::EAGAIN, FailureOwner::None)]
#[test_case(libc::ECONNABORTED, FailureOwner::Peer)]
#[test_case(libc::EPROTO, FailureOwner::Peer)]
#[test_case(libc::EPERM, FailureOwner::Peer; "a firewall")]
#[test_case(libc::ENETDOWN, FailureOwner::Peer)]
#[test_case(libc::ENOPROTOOPT, FailureOwner::Peer)]
#[test_case(libc::EHOSTDOWN, FailureOwner::Peer)]
#[test_case(libc::ENONET, FailureOwner::Peer)]
#[test_case(libc::EHOSTUNREACH, FailureOwner::Peer)]
#[test_case(libc::EOPNOTSUPP, FailureOwner::Peer)]
#[test_case(libc::ENETUNREACH, FailureOwner::Peer)]
#[test_case(libc::EMFILE, FailureOwner::Machine)]
#[test_case(libc::ENFILE, FailureOwner::Machine)]
#[test_case(libc::ENOBUFS, FailureOwner::Machine)]
#[test_case(libc::ENOMEM, FailureOwner::Machine)]
#[test_case(libc::EINVAL, FailureOwner::Machine; "not documented")]
fn classifies_a_failed_accept_by_error_number(errno: i32, owner: FailureOwner) {
    assert_eq!(accept_failure_owner(errno), owner);
}

#[test_case(libc::EINTR, FailureOwner::None)]
#[test_case(libc::ECONNREFUSED, FailureOwner::Peer)]
#[test_case(libc::ECONNRESET, FailureOwner::Peer)]
#[test_case(libc::ETIMEDOUT, FailureOwner::Peer)]
#[test_case(libc::EHOSTDOWN, FailureOwner::Peer)]
#[test_case(libc::ENETUNREACH, FailureOwner::Route)]
#[test_case(libc::EHOSTUNREACH, FailureOwner::Route)]
#[test_case(libc::EADDRNOTAVAIL, FailureOwner::Machine)]
#[test_case(libc::EADDRINUSE, FailureOwner::Machine)]
#[test_case(libc::EAGAIN, FailureOwner::Machine; "no port or route entry is free")]
#[test_case(libc::ENETDOWN, FailureOwner::Machine)]
#[test_case(libc::EMFILE, FailureOwner::Machine)]
#[test_case(libc::ENFILE, FailureOwner::Machine)]
#[test_case(libc::ENOBUFS, FailureOwner::Machine)]
#[test_case(libc::ENOMEM, FailureOwner::Machine)]
#[test_case(libc::EPERM, FailureOwner::Machine)]
#[test_case(libc::EACCES, FailureOwner::Machine)]
fn classifies_a_failed_connect_by_error_number(errno: i32, owner: FailureOwner) {
    assert_eq!(connect_failure_owner(errno), owner);
}

#[test]
fn a_missing_route_is_the_peers_fault_only_if_other_peers_answer() {
    assert_eq!(
        (route_failure_owner(true), route_failure_owner(false)),
        (FailureOwner::Peer, FailureOwner::Machine)
    );
}

/// A transient failure costs only its call; a persistent one is retried twenty times per second.
#[test]
fn retry_delay_doubles_up_to_its_bound() {
    let all: Vec<u64> = (1..10).map(|count| retry_delay(count).0).collect();
    assert_eq!(
        all,
        [0, 1000, 2000, 4000, 8000, 16_000, 32_000, 50_000, 50_000]
    );
    assert_eq!(retry_delay(u32::MAX).0, 50_000);
}

#[test]
fn logs_failed_accepts_once_a_second_and_counts_only_those_of_this_machine_as_persistent() {
    let mut failures = AcceptFailures::default();
    let ms = |ms: u64| Micros(ms * 1000);
    assert_eq!(failures.record(libc::EINTR, ms(0)), (Micros(0), None));
    assert_eq!(
        failures.record(libc::ECONNABORTED, ms(0)),
        (Micros(0), Some(1))
    );
    for elapsed_ms in 1..100 {
        assert_eq!(
            failures.record(libc::ECONNABORTED, ms(elapsed_ms)),
            (Micros(0), None)
        );
    }
    assert!(!failures.is_persistent());
    assert_eq!(
        failures.record(libc::ENFILE, ms(1000)),
        (Micros(0), Some(100))
    );
    assert_eq!(failures.record(libc::ENFILE, ms(1001)), (ms(1), None));
    (0..10).for_each(|_| assert!(failures.record(libc::ENFILE, ms(1002)).0 > Micros(0)));
    assert!(failures.is_persistent());
    failures.reset();
    assert!(!failures.is_persistent());
}
