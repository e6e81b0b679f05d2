use super::*;
use test_case::test_case;

#[test_case(libc::EINTR, Owner::Nobody)]
#[test_case(libc::EAGAIN, Owner::Nobody)]
#[test_case(libc::ECONNABORTED, Owner::Peer)]
#[test_case(libc::EPROTO, Owner::Peer)]
#[test_case(libc::EPERM, Owner::Peer; "a firewall")]
#[test_case(libc::ENETDOWN, Owner::Peer)]
#[test_case(libc::ENOPROTOOPT, Owner::Peer)]
#[test_case(libc::EHOSTDOWN, Owner::Peer)]
#[test_case(libc::ENONET, Owner::Peer)]
#[test_case(libc::EHOSTUNREACH, Owner::Peer)]
#[test_case(libc::EOPNOTSUPP, Owner::Peer)]
#[test_case(libc::ENETUNREACH, Owner::Peer)]
#[test_case(libc::EMFILE, Owner::Machine)]
#[test_case(libc::ENFILE, Owner::Machine)]
#[test_case(libc::ENOBUFS, Owner::Machine)]
#[test_case(libc::ENOMEM, Owner::Machine)]
#[test_case(libc::EINVAL, Owner::Machine; "not documented")]
fn a_failed_accept_belongs_to(errno: i32, owner: Owner) {
    assert_eq!(accept(errno), owner);
}

#[test_case(libc::EINTR, Owner::Nobody)]
#[test_case(libc::ECONNREFUSED, Owner::Peer)]
#[test_case(libc::ECONNRESET, Owner::Peer)]
#[test_case(libc::ETIMEDOUT, Owner::Peer)]
#[test_case(libc::EHOSTDOWN, Owner::Peer)]
#[test_case(libc::ENETUNREACH, Owner::Route)]
#[test_case(libc::EHOSTUNREACH, Owner::Route)]
#[test_case(libc::EADDRNOTAVAIL, Owner::Machine)]
#[test_case(libc::EADDRINUSE, Owner::Machine)]
#[test_case(libc::EAGAIN, Owner::Machine; "no port or route entry is free")]
#[test_case(libc::ENETDOWN, Owner::Machine)]
#[test_case(libc::EMFILE, Owner::Machine)]
#[test_case(libc::ENFILE, Owner::Machine)]
#[test_case(libc::ENOBUFS, Owner::Machine)]
#[test_case(libc::ENOMEM, Owner::Machine)]
#[test_case(libc::EPERM, Owner::Machine)]
#[test_case(libc::EACCES, Owner::Machine)]
fn a_failed_connect_belongs_to(errno: i32, owner: Owner) {
    assert_eq!(dial(errno), owner);
}

#[test]
fn a_missing_route_concerns_the_node_where_others_are_heard() {
    assert_eq!((route(true), route(false)), (Owner::Peer, Owner::Machine));
}

/// One that passes costs its call; one that lasts is met twenty times a second.
#[test]
fn pauses_grow_to_their_bound() {
    let all: Vec<u64> = (1..10).map(|count| pause(count).0).collect();
    assert_eq!(
        all,
        [0, 1000, 2000, 4000, 8000, 16_000, 32_000, 50_000, 50_000]
    );
    assert_eq!(pause(u32::MAX).0, 50_000);
}

#[test]
fn failed_accepts_are_logged_once_a_second_and_only_this_machines_last() {
    let mut of = AcceptFailures::default();
    let ms = |ms: u64| Micros(ms * 1000);
    assert_eq!(of.next(libc::EINTR, ms(0)), (Micros(0), None));
    assert_eq!(of.next(libc::ECONNABORTED, ms(0)), (Micros(0), Some(1)));
    for at in 1..100 {
        assert_eq!(of.next(libc::ECONNABORTED, ms(at)), (Micros(0), None));
    }
    assert!(!of.lasts());
    assert_eq!(of.next(libc::ENFILE, ms(1000)), (Micros(0), Some(100)));
    assert_eq!(of.next(libc::ENFILE, ms(1001)), (ms(1), None));
    (0..10).for_each(|_| assert!(of.next(libc::ENFILE, ms(1002)).0 > Micros(0)));
    assert!(of.lasts());
    of.passed();
    assert!(!of.lasts());
}
