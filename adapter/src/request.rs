//! The event of a query or of one of its shard requests: both have the same code and fields.

use ternpick::actions::Actions;
use ternpick::routing::RoutingEngine;
use ternpick::types::{CustomerNo, IndexNo, Micros, QueryId, ShardNo, ShardRequestId, WireQueryNo};

use crate::error::AdapterError;
use crate::fields::Fields;

/// Flag: the request has a cost hint.
const HAS_COST_HINT: u8 = 1;
/// Flag: the query is a client's retry.
const IS_CLIENT_RETRY: u8 = 2;

/// The fields of the event that the adapter uses.
pub(crate) struct Request {
    id: u64,
    query: WireQueryNo,
    is_client_retry: bool,
    customer: CustomerNo,
    /// The shard's number, or a negative value if the event is a query.
    shard: f32,
    cost_hint: Option<Micros>,
    /// The number of shard requests of a query, or the weight of a shard request.
    count_or_weight: f64,
    index: IndexNo,
    time_allowed: Micros,
}

impl Request {
    pub(crate) fn read(fields: &mut Fields) -> Result<Request, AdapterError> {
        let id = fields.u64()?;
        let query = fields.f32()?;
        let flags = fields.u8()?;
        let customer = CustomerNo(fields.u16()?);
        let shard = fields.f32()?;
        let _key = fields.u64()?;
        let hint = fields.micros()?;
        let count_or_weight = f64::from(fields.f32()?);
        let index = IndexNo(fields.u8()?);
        let time_allowed = fields.micros()?;
        Ok(Request {
            id,
            query: WireQueryNo(u64::from(query.to_bits())),
            is_client_retry: flags & IS_CLIENT_RETRY != 0,
            customer,
            shard,
            cost_hint: (flags & HAS_COST_HINT != 0 && hint.0 > 0).then_some(hint),
            count_or_weight,
            index,
            time_allowed,
        })
    }

    /// Passes the query or shard request to the routing engine.
    pub(crate) fn submit(&self, now: Micros, engine: &mut RoutingEngine, out: &mut dyn Actions) {
        if self.shard < 0.0 {
            engine.query_received(
                now,
                QueryId(self.id),
                self.query,
                self.index,
                self.customer,
                self.count_or_weight as usize,
                self.time_allowed,
                self.is_client_retry,
                out,
            );
        } else {
            engine.shard_request_received(
                now,
                ShardRequestId(self.id),
                self.query,
                ShardNo(self.shard as u32),
                self.count_or_weight,
                self.cost_hint,
                out,
            );
        }
    }
}
