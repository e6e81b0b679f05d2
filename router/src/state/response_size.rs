//! The size of a query's response, which the protocol bounds.
//!
//! The in-flight table checks each value against it as a node's answer comes, so that a query is never answered with a
//! response that cannot be sent.

use ternpick::types::ShardNo;
use ternpick_wire::http::MAX_BODY_BYTES;
use ternpick_wire::query;
use thiserror::Error;

/// Why the response of a query cannot hold a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum ValueTooLong {
    /// The value is too long for any response of the query, so no node made it for this shard request.
    #[error("the value is too long for a response")]
    ByItself,
    /// The value is too long together with those of other shard requests, of which any may be wrong.
    #[error("the value is too long for a response with the other values")]
    WithOthers,
}

/// The size of the body of a query's response, in bytes.
pub(crate) struct ResponseSize {
    /// Without the values.
    empty: usize,
    /// Of the values so far, as the body encodes them.
    values: usize,
}

impl ResponseSize {
    /// The size of a response without values for the shards that the query names.
    pub(crate) fn new(shards: impl Iterator<Item = ShardNo>) -> Self {
        ResponseSize {
            empty: query::empty_response_bytes(shards),
            values: 0,
        }
    }

    /// Whether a value fits into the response beside the values so far.
    pub(crate) fn check(&self, value: &str) -> Result<(), ValueTooLong> {
        let alone = self.empty + query::encoded_value_bytes(value);
        if alone > MAX_BODY_BYTES {
            Err(ValueTooLong::ByItself)
        } else if alone + self.values > MAX_BODY_BYTES {
            Err(ValueTooLong::WithOthers)
        } else {
            Ok(())
        }
    }

    /// Adds a value.
    pub(crate) fn add(&mut self, value: &str) {
        self.values += query::encoded_value_bytes(value);
    }

    /// Removes a value that was added.
    pub(crate) fn remove(&mut self, value: &str) {
        self.values -= query::encoded_value_bytes(value);
    }
}

#[cfg(test)]
mod tests;
