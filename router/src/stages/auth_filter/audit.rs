//! The audit log: one record for each request that would make a protected change, whether allowed or denied.
//!
//! Records have the target `audit` and are written at every log level (`lifecycle/logging.rs`).
//! `docs/ops/identity.md` describes their fields.

use ternpick_identity::{Act, AuthRequest, Authorized, Caller, Refusal};
use ternpick_wire::http::Reader;

/// The maximum number of characters of a client's request id in a record.
const MAX_REQUEST_ID_CHARS: usize = 128;

/// Records an allowed request, if it would make a change.
pub(super) fn record_allowed(pass: &Authorized, request: &Reader, asked: &AuthRequest) {
    if pass.acts.iter().any(|act| act.changes()) {
        let caller = Some(pass.caller.as_ref());
        Record::new(caller, &pass.acts, request, asked).write(true, &pass.granted_by);
    }
}

/// Records a denied request, if it would make a change.
pub(super) fn record_denied(refusal: &Refusal, request: &Reader, asked: &AuthRequest) {
    if refusal.acts.iter().any(|act| act.changes()) {
        let caller = refusal.caller.as_deref();
        Record::new(caller, &refusal.acts, request, asked).write(false, &refusal.why);
    }
}

/// The fields that allowed and denied requests have in common.
struct Record<'a> {
    who: String,
    proof: String,
    index: &'a str,
    acts: String,
    request_id: String,
}

impl<'a> Record<'a> {
    fn new(
        caller: Option<&Caller>,
        acts: &[Act],
        request: &Reader,
        asked: &AuthRequest<'a>,
    ) -> Self {
        let who = caller.map_or("nobody proved".into(), |caller| {
            format!("{} of {}", caller.subject, caller.tenant)
        });
        let proof = caller.map_or("no proof".into(), |caller| caller.proof.to_string());
        let acts: Vec<&str> = acts.iter().map(|act| act.name()).collect();
        Record {
            who,
            proof,
            index: asked.index,
            acts: acts.join("+"),
            request_id: printable_request_id(request),
        }
    }

    /// Writes the record. `why` is the grant that allows the request, or the reason of the denial.
    fn write(&self, allowed: bool, why: &str) {
        let Record {
            who,
            proof,
            index,
            acts,
            request_id,
        } = self;
        tracing::info!(
            target: "audit", who, proof, index, acts, allowed, why, request = request_id,
            "audit: request judged"
        );
    }
}

/// Returns the client's request id without characters that could corrupt a log line.
fn printable_request_id(request: &Reader) -> String {
    request
        .header("req-id")
        .unwrap_or_default()
        .chars()
        .filter(char::is_ascii_graphic)
        .take(MAX_REQUEST_ID_CHARS)
        .collect()
}
