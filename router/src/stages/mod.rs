//! The stages that a request passes through, from its connection to its answer.
//!
//! | stage | file | function |
//! | --- | --- | --- |
//! | the connection waits to be accepted | `listener.rs` | `accept` |
//! | the connection is idle and waits for the first byte | `request_reader.rs` | `wait_for_first_byte` |
//! | the request is read | `request_reader.rs` | `read_request` |
//! | the request waits for keys, revocations and the fleet's policy | `admission_wait.rs` | `wait_for_admission` |
//! | the request is checked and entered in the in-flight table | `admission.rs` | `admit`; fields in `query_request.rs` |
//! | the caller is authorised | `auth_filter.rs` | `check`; the audit in `auth_filter/audit.rs` |
//! | the query is passed to the routing engine | `dispatch.rs` | `start_query` |
//! | the engine requests an attempt | `completion.rs` | `EffectQueue::send_attempt` |
//! | the attempt is put into a frame | `upstream_writer.rs` | `carry_out` |
//! | a connection to the node is dialled | `upstream_connection.rs`, `upstream_dial.rs` | `open`, `dial` |
//! | the frame is written | `upstream_writer.rs` | `write_available` |
//! | the attempt's deadline is checked | `attempt_deadline.rs` | `check` |
//! | the node's answer is read, and held until its length is confirmed | `upstream_reader.rs`, `answer_hold.rs` | `hold_answer` |
//! | the answer is matched to the attempt, and its value checked | `upstream_frames.rs` | `handle_answer` |
//! | the engine receives the attempt's outcome | `dispatch.rs` | `attempt_finished` |
//! | the query is closed with an answer, a rejection or a failure | `completion.rs` | `EffectQueue::close` |
//! | the client connection waits for that answer | `answer_wait.rs` | `wait_for_answer` |
//! | the answer is written | `answer_writer.rs` | `write_answer` |
//! | the connection is closed after the answer | `graceful_close.rs` | `close` |
//!
//! `client_connection.rs` runs the stages of one client connection in this order. Its buffers are in `client_io.rs`,
//! its stream in `stream.rs` (plain, or TLS by `tls_stream.rs`). `dispatch::run_turns` applies the inputs of the
//! routing engine. Queries in flight are in `state/in_flight.rs`, connections to nodes in `state/nodes.rs`, idle
//! client connections in `state/clients.rs`.

mod admission_wait;
mod answer_hold;
mod answer_wait;
mod answer_writer;
mod attempt_deadline;
mod client_connection;
mod client_io;
mod graceful_close;
mod query_request;
mod request_reader;
mod stream;
mod tls_stream;
mod upstream_connection;
mod upstream_dial;
mod upstream_frames;
mod upstream_reader;

pub(crate) mod admission;
pub(crate) mod auth_filter;
pub(crate) mod completion;
pub(crate) mod dispatch;
pub(crate) mod listener;
pub(crate) mod upstream_writer;
