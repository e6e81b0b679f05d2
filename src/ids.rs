//! The numbers by which queries, requests, nodes and the rest are known. Each is a type of its own, so that
//! one cannot be passed for another.

macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(
            /// The number itself.
            pub $inner,
        );
    )*};
}

id! {
    /// A query in hand, by the number that the caller gave it.
    QueryId(u64),
    /// The number by which a query's shard requests name their query.
    WireQueryNo(u64),
    /// A shard request in hand, by the number that the caller gave it.
    ShardRequestId(u64),
    /// A node's address and port, as one opaque number.
    NodeId(u64),
    /// A shard of the data.
    ShardNo(u32),
    /// A group of nodes that hold the same shards.
    ShardGroupNo(u32),
    /// An index, by its place in the configuration.
    IndexNo(u8),
    /// A customer, by its place in the configuration.
    CustomerNo(u16),
    /// An availability zone.
    ZoneNo(u16),
    /// The number of an attempt among those of its shard request, from 0.
    AttemptNo(u8),
    /// A timer that was asked for.
    TimerId(u64),
}

impl IndexNo {
    /// The position of this index in a table that has one entry per index.
    pub fn as_usize(self) -> usize {
        self.0.into()
    }
}
