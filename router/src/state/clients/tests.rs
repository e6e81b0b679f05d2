use super::*;

#[test]
fn the_idle_give_way_first_then_what_is_longest_in_coming() {
    let clients = Rc::new(Clients::default());
    let at = |at, state| clients.register(Micros(at), state);
    let places = [
        at(1, ClientState::Partial),
        at(3, ClientState::Idle),
        at(2, ClientState::Closing),
        at(0, ClientState::New),
    ];
    let mut closed: Vec<_> = places
        .iter()
        .map(|place| place.close_requested.listen())
        .collect();
    for first in [2, 1, 3, 0] {
        assert!(clients.close_oldest());
        let notified = closed.iter_mut().position(|closed| {
            let polled = futures_lite::future::poll_once(closed);
            futures_lite::future::block_on(polled).is_some()
        });
        assert_eq!(notified, Some(first));
        closed[first] = Rc::new(Event::new()).listen();
    }
    assert!(!clients.close_oldest());
}

#[test]
fn only_so_many_stay_idle() {
    let clients = Rc::new(Clients::default());
    let _places = [5, 3, 4].map(|at| clients.register(Micros(at), ClientState::Idle));
    let _partial = clients.register(Micros(0), ClientState::Partial);
    clients.limit_idle(2);
    let left: Vec<u64> = clients
        .waiting
        .borrow()
        .values()
        .map(|connection| connection.since.0)
        .collect();
    assert_eq!(left, [5, 4, 0]);
}

#[test]
fn the_largest_request_gives_way_and_no_query_in_flight() {
    let clients = Rc::new(Clients::default());
    let small = clients.register(Micros(0), ClientState::Partial);
    let large = clients.register(Micros(1), ClientState::Partial);
    small.set_held_bytes(10);
    large.set_held_bytes(20);
    assert!(clients.close_largest());
    assert!(clients.waiting.borrow().contains_key(&small.key));
    assert_eq!(clients.waiting.borrow().len(), 1);
    drop(small);
    assert!(!clients.close_largest());
}
