use super::*;

#[test]
fn close_oldest_closes_idle_connections_before_those_awaiting_a_request() {
    let clients = Rc::new(Clients::default());
    let register = |since, state| clients.register(Micros(since), state);
    let registrations = [
        register(1, ClientState::Partial),
        register(3, ClientState::Idle),
        register(2, ClientState::Closing),
        register(0, ClientState::New),
    ];
    let mut close_requests: Vec<_> = registrations
        .iter()
        .map(|registration| registration.close_requested.listen())
        .collect();
    for expected in [2, 1, 3, 0] {
        assert!(clients.close_oldest());
        let notified = close_requests.iter_mut().position(|close_request| {
            let polled = futures_lite::future::poll_once(close_request);
            futures_lite::future::block_on(polled).is_some()
        });
        assert_eq!(notified, Some(expected));
        close_requests[expected] = Rc::new(Event::new()).listen();
    }
    assert!(!clients.close_oldest());
}

#[test]
fn limit_idle_closes_the_longest_idle_connections_above_the_limit() {
    let clients = Rc::new(Clients::default());
    let _idle = [5, 3, 4].map(|since| clients.register(Micros(since), ClientState::Idle));
    let _partial = clients.register(Micros(0), ClientState::Partial);
    clients.limit_idle(2);
    let left: Vec<u64> = clients
        .registered
        .borrow()
        .values()
        .map(|connection| connection.since.0)
        .collect();
    assert_eq!(left, [5, 4, 0]);
}

#[test]
fn close_largest_closes_the_largest_incomplete_request_and_no_query_in_flight() {
    let clients = Rc::new(Clients::default());
    let small = clients.register(Micros(0), ClientState::Partial);
    let large = clients.register(Micros(1), ClientState::Partial);
    small.set_held_bytes(10);
    large.set_held_bytes(20);
    assert!(clients.close_largest());
    assert!(clients.registered.borrow().contains_key(&small.key));
    assert_eq!(clients.registered.borrow().len(), 1);
    drop(small);
    assert!(!clients.close_largest());
}
