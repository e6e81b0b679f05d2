//! Reads the fields of a record from a byte slice: big-endian, without padding.

use ternpick::types::{Endpoint, EndpointState, Micros, NodeId, ShardGroupNo, ZoneNo};

use crate::error::AdapterError;

/// A reader over the bytes that have not been read yet.
pub(crate) struct Fields<'a> {
    rest: &'a [u8],
}

macro_rules! number {
    ($($name:ident),*) => {$(
        pub(crate) fn $name(&mut self) -> Result<$name, AdapterError> {
            let bytes = self.bytes(size_of::<$name>())?;
            Ok($name::from_be_bytes(bytes.try_into().expect("a slice of the requested size")))
        }
    )*};
}

impl<'a> Fields<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        Fields { rest: bytes }
    }

    /// The number of bytes that have not been read yet.
    pub(crate) fn left(&self) -> usize {
        self.rest.len()
    }

    pub(crate) fn bytes(&mut self, size: usize) -> Result<&'a [u8], AdapterError> {
        if size > self.rest.len() {
            let left = self.rest.len();
            return Err(AdapterError::TruncatedField { size, left });
        }
        let (taken, rest) = self.rest.split_at(size);
        self.rest = rest;
        Ok(taken)
    }

    /// Skips bytes that the adapter does not use.
    pub(crate) fn skip(&mut self, size: usize) -> Result<(), AdapterError> {
        self.bytes(size).map(drop)
    }

    number!(u8, u16, u32, u64, f32);

    /// Reads a duration: microseconds in 32 bits.
    pub(crate) fn micros(&mut self) -> Result<Micros, AdapterError> {
        Ok(Micros(self.u32()?.into()))
    }

    /// Reads a node's address and port.
    pub(crate) fn node(&mut self) -> Result<NodeId, AdapterError> {
        let address = u64::from(self.u32()?);
        let port = u64::from(self.u16()?);
        Ok(NodeId(address << 16 | port))
    }

    /// Reads a load report: a count, then one value for each load metric.
    pub(crate) fn load_report(&mut self) -> Result<Vec<f64>, AdapterError> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32().map(f64::from)).collect()
    }

    /// Reads an entry of an endpoint list.
    pub(crate) fn endpoint(&mut self) -> Result<Endpoint, AdapterError> {
        let node = self.node()?;
        let zone = ZoneNo(self.u16()?);
        let _kind = self.u8()?;
        let shard_group = ShardGroupNo(self.u16()?.into());
        let state = match self.u8()? {
            0 => EndpointState::Gone,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            other => return Err(AdapterError::UnknownEndpointState(other)),
        };
        let _units = self.f32()?;
        Ok(Endpoint {
            node,
            zone,
            shard_group,
            state,
            started_at: Micros(self.u64()?),
        })
    }
}
