use super::*;

#[test]
fn each_kind_of_peer_is_limited_so_that_the_other_gets_descriptors() {
    let descriptors = Descriptors::new(RESERVED_DESCRIPTORS + 16);
    let take_all =
        |peer| -> Vec<DescriptorPermit> { std::iter::from_fn(|| descriptors.take(peer)).collect() };
    let clients = take_all(Peer::Client);
    let nodes = take_all(Peer::Node);
    assert_eq!(clients.len(), 12);
    assert_eq!(nodes.len(), 4);
    assert_eq!(descriptors.highest(), 16);
    drop(clients);
    assert_eq!(descriptors.clients(), 0);
    let more_nodes = take_all(Peer::Node);
    let more_clients = take_all(Peer::Client);
    assert_eq!(more_nodes.len(), 4);
    assert_eq!(more_clients.len(), 8);
}
