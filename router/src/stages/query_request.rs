//! Checks the fields of a query in a client's HTTP request.
//!
//! Called by admission. The checks do not depend on the queries in flight.

use serde_json::Value;
use ternpick::types::{IndexNo, Micros, RetrySemantics};
use ternpick_platform_config::Bounds;
use ternpick_wire::http::Reader;
use ternpick_wire::query::{self, BadQuery, ShardFields};

use crate::router::Router;
use crate::stages::admission::text_answer;
use crate::state::clients::Answer;

/// A well-formed query to an existing index.
pub(super) struct QueryRequest<'a> {
    /// The client's id of the request.
    pub(super) request_id: &'a str,
    /// The name of the index, from the path.
    pub(super) index_name: &'a str,
    /// The number of the index.
    pub(super) index: IndexNo,
    /// How long the client waits from the first byte of its request, at most the longest deadline of the settings.
    pub(super) deadline: Micros,
    /// Whether the client has marked the request as a retry.
    pub(super) is_retry: bool,
    /// The shards to query, with their weights and work hints.
    pub(super) shard_requests: Vec<ShardFields>,
    /// The statement sent to each shard.
    pub(super) statement: &'a str,
    /// The idempotency key, if the index requires one.
    pub(super) idempotency_key: Option<&'a str>,
}

/// Returns the part of the path that names the index.
pub(super) fn index_name(request: &Reader) -> &str {
    request.path().split('/').nth(1).unwrap_or_default()
}

/// Returns the number of the index with this name, if it exists.
pub(super) fn find_index(bounds: &Bounds, name: &str) -> Option<IndexNo> {
    let position = bounds.index_names.iter().position(|known| known == name);
    position.map(|position| IndexNo(position as u8))
}

/// Checks a request to `index`; `fields` is its parsed body. The error is the answer to the client.
pub(super) fn check<'a>(
    router: &Router,
    request: &'a Reader,
    index: Option<IndexNo>,
    fields: &'a Result<Value, BadQuery>,
) -> Result<QueryRequest<'a>, Answer> {
    let index_name = index_name(request);
    let index = index.ok_or_else(|| text_answer(404, "no such index"))?;
    if request.method() != "POST" {
        return Err((405, "Allow: POST\r\n".into(), "only POST\n".into()));
    }
    if request
        .header("req-kind")
        .is_some_and(|kind| kind != index_name)
    {
        return Err(bad_request("Req-Kind is not the path's"));
    }
    let request_id =
        request_id(request).ok_or_else(|| bad_request("Req-Id is missing or malformed"))?;
    let deadline = deadline(request, &router.bounds)?;
    let is_retry = request.header("req-retry") == Some("1");
    let fields = fields.as_ref().map_err(|error| bad_query(*error))?;
    let shard_requests = query::shards(fields, router.bounds.shard_count).map_err(bad_query)?;
    let statement = query::statement(fields).map_err(bad_query)?;
    let idempotency_key = idempotency_key(router, request, index)?;
    Ok(QueryRequest {
        request_id,
        index_name,
        index,
        deadline,
        is_retry,
        shard_requests,
        statement,
        idempotency_key,
    })
}

/// Returns the client's id of the request, if it is well-formed.
pub(super) fn request_id(request: &Reader) -> Option<&str> {
    plain_header(request, "req-id")
}

/// Returns the client's deadline, limited to the longest deadline of the settings.
pub(super) fn deadline(request: &Reader, bounds: &Bounds) -> Result<Micros, Answer> {
    let deadline_ms = request
        .header("req-deadline-ms")
        .and_then(|ms| ms.parse::<u32>().ok())
        .filter(|ms| *ms > 0)
        .ok_or_else(|| bad_request("Req-Deadline-Ms makes no sense"))?;
    let longest = bounds.longest_deadline.unwrap_or(Micros(u64::MAX));
    Ok(Micros(u64::from(deadline_ms) * 1000).min(longest))
}

fn idempotency_key<'a>(
    router: &Router,
    request: &'a Reader,
    index: IndexNo,
) -> Result<Option<&'a str>, Answer> {
    let decisions = router.decisions.borrow();
    let semantics = &decisions.engine.config.indexes[index.as_usize()].retry_semantics;
    if !matches!(semantics, RetrySemantics::Fingerprinted(_)) {
        return Ok(None);
    }
    plain_header(request, "idempotency-key")
        .map(Some)
        .ok_or_else(|| bad_request("Idempotency-Key is missing"))
}

fn bad_query(error: BadQuery) -> Answer {
    bad_request(&error.to_string())
}

fn bad_request(text: &str) -> Answer {
    text_answer(400, text)
}

/// Returns the value of a header if it has 1 to 128 bytes that are all allowed in the line of a frame.
fn plain_header<'a>(request: &'a Reader, name: &str) -> Option<&'a str> {
    request.header(name).filter(|value| {
        (1..=128).contains(&value.len()) && value.bytes().all(|b| b.is_ascii_graphic() && b != b',')
    })
}
