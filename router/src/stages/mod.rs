//! The stages that one request passes, from its connection to its answer.
//!
//! | where the request is | file | function |
//! | --- | --- | --- |
//! | its connection waits to be accepted | `listener.rs` | `accept` |
//! | its connection is idle, its first byte is awaited | `request_reader.rs` | `wait_for_first_byte` |
//! | it is arriving | `request_reader.rs` | `read_request` |
//! | it is complete, and waits for identity's sources and the fleet's policy | `admission_wait.rs` | `wait_for_admission` |
//! | it is checked, and entered in the in-flight table | `admission.rs` | `admit`; fields in `query_request.rs` |
//! | its caller is judged | `auth_filter.rs` | `check`; the audit in `auth_filter/audit.rs` |
//! | it is given to the decision module | `dispatch.rs` | `start_query` |
//! | the module wants an attempt | `completion.rs` | `EffectQueue::send_attempt` |
//! | an attempt becomes part of a frame | `upstream_writer.rs` | `carry_out` |
//! | its connection to the node is dialled | `upstream_connection.rs`, `upstream_dial.rs` | `open`, `dial` |
//! | its frame is written | `upstream_writer.rs` | `write_available` |
//! | the node works on it; its time is watched | `attempt_deadline.rs` | `check` |
//! | the node's answer is read and matched | `upstream_reader.rs` | `take_answer` |
//! | the module is told of the attempt's end | `dispatch.rs` | `attempt_finished` |
//! | the query is closed: answer, rejection, failure | `completion.rs` | `EffectQueue::close` |
//! | its connection waits for that answer | `answer_wait.rs` | `wait_for_answer` |
//! | the answer is written | `answer_writer.rs` | `write_answer` |
//! | the connection is closed behind it | `graceful_close.rs` | `close` |
//!
//! `client_connection.rs` runs the steps of one client connection in this order, with the bytes in `client_io.rs` on a
//! `stream.rs` (plain, or TLS by `tls_stream.rs`). `dispatch::run_turns` runs the inputs of the decision module. What is in flight is in
//! `state/in_flight.rs`, the connections to nodes in `state/nodes.rs`, idle client connections in `state/clients.rs`.

mod admission_wait;
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
mod upstream_reader;

pub(crate) mod admission;
pub(crate) mod auth_filter;
pub(crate) mod completion;
pub(crate) mod dispatch;
pub(crate) mod listener;
pub(crate) mod upstream_writer;
