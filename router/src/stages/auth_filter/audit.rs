//! The audit: one record for each request that would change something guarded, allowed or not.
//!
//! Records have the target `audit` and go out whatever the log's level (`lifecycle/logging.rs`); their fields are described in
//! `docs/ops/identity.md`.

use ternpick_identity::{Act, Ask, Caller, Pass, Refusal};
use ternpick_wire::http::Reader;

/// The most characters of a client's request id that a record holds.
const REQUEST_ID_BOUND: usize = 128;

/// Records a request that is allowed, if it would change something.
pub(super) fn record_allowed(pass: &Pass, request: &Reader, asked: &Ask) {
    if pass.acts.iter().any(|act| act.changes()) {
        let caller = Some(pass.caller.as_ref());
        Record::new(caller, &pass.acts, request, asked).write(true, &pass.by);
    }
}

/// Records a request that is denied, if it would change something.
pub(super) fn record_denied(refusal: &Refusal, request: &Reader, asked: &Ask) {
    if refusal.acts.iter().any(|act| act.changes()) {
        let caller = refusal.caller.as_deref();
        Record::new(caller, &refusal.acts, request, asked).write(false, &refusal.why);
    }
}

/// What all records hold.
struct Record<'a> {
    who: String,
    proof: String,
    index: &'a str,
    acts: String,
    request_id: String,
}

impl<'a> Record<'a> {
    fn new(caller: Option<&Caller>, acts: &[Act], request: &Reader, asked: &Ask<'a>) -> Self {
        let who = caller.map_or("nobody proved".into(), |caller| {
            format!("{} of {}", caller.subject, caller.tenant)
        });
        let proof = caller.map_or("no proof".into(), |caller| caller.proof.to_string());
        let acts: Vec<&str> = acts.iter().map(|act| act.word()).collect();
        Record {
            who,
            proof,
            index: asked.index,
            acts: acts.join("+"),
            request_id: printable_request_id(request),
        }
    }

    /// Writes the record; `why` is the grant, or the reason of the denial.
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

/// The client's request id without what could disturb a line of the log.
fn printable_request_id(request: &Reader) -> String {
    request
        .header("req-id")
        .unwrap_or_default()
        .chars()
        .filter(char::is_ascii_graphic)
        .take(REQUEST_ID_BOUND)
        .collect()
}
