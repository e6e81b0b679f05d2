//! Identifiers of queries, shard requests, nodes and other entities. Each has its own type, so that one cannot be
//! passed in place of another.

macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(
            /// The identifier as a plain number.
            pub $inner,
        );
    )*};
}

id! {
    /// A query in flight, identified by a number that the caller assigns.
    QueryId(u64),
    /// The number by which shard requests refer to their query.
    WireQueryNo(u64),
    /// A shard request in flight, identified by a number that the caller assigns.
    ShardRequestId(u64),
    /// A node's address and port, as one opaque number.
    NodeId(u64),
    /// A shard of the data.
    ShardNo(u32),
    /// A group of nodes that hold the same shards.
    ShardGroupNo(u32),
    /// An index, identified by its position in the configuration.
    IndexNo(u8),
    /// A customer, identified by its position in the configuration.
    CustomerNo(u16),
    /// An availability zone.
    ZoneNo(u16),
    /// The number of an attempt among the attempts of its shard request, starting at 0.
    AttemptNo(u8),
    /// A timer set through [`Actions::set_timer`](crate::actions::Actions::set_timer).
    TimerId(u64),
}

impl IndexNo {
    /// The position of this index in a table that has one entry per index.
    pub fn as_usize(self) -> usize {
        self.0.into()
    }
}
