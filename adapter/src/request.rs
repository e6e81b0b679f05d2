//! A query or one of its shard requests, which come as one kind of event.

use ternpick::actions::Actions;
use ternpick::routing::RoutingEngine;
use ternpick::types::{CustomerNo, IndexNo, Micros, QueryId, ShardNo, ShardRequestId, WireQueryNo};

use crate::error::AdapterError;
use crate::fields::Fields;

/// The request has a cost hint.
const HAS_HINT: u8 = 1;
/// The query is a client's repeat.
const IS_CLIENT_RETRY: u8 = 2;

/// The fields of the event.
pub(crate) struct Request {
    id: u64,
    query: WireQueryNo,
    is_client_retry: bool,
    customer: CustomerNo,
    /// Negative for a query.
    shard: f32,
    cost_hint: Option<Micros>,
    /// A query's number of shard requests, or a shard request's weight.
    amount: f64,
    index: IndexNo,
    time_allowed: Micros,
}

impl Request {
    pub(crate) fn read(fields: &mut Fields) -> Result<Request, AdapterError> {
        let id = fields.u64()?;
        let query = fields.f32()?;
        let marks = fields.u8()?;
        let customer = CustomerNo(fields.u16()?);
        let shard = fields.f32()?;
        let _key = fields.u64()?;
        let hint = fields.micros()?;
        let amount = f64::from(fields.f32()?);
        let index = IndexNo(fields.u8()?);
        let time_allowed = fields.micros()?;
        Ok(Request {
            id,
            query: WireQueryNo(u64::from(query.to_bits())),
            is_client_retry: marks & IS_CLIENT_RETRY != 0,
            customer,
            shard,
            cost_hint: (marks & HAS_HINT != 0 && hint.0 > 0).then_some(hint),
            amount,
            index,
            time_allowed,
        })
    }

    /// Hands it to the engine.
    pub(crate) fn play(&self, now: Micros, engine: &mut RoutingEngine, out: &mut dyn Actions) {
        if self.shard < 0.0 {
            engine.query_received(
                now,
                QueryId(self.id),
                self.query,
                self.index,
                self.customer,
                self.amount as usize,
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
                self.amount,
                self.cost_hint,
                out,
            );
        }
    }
}
