//! Answers to requests that are not authorised or exceed their tenant's limits. They give the reason, and do not
//! reveal which indexes exist.

use ternpick::types::{CustomerNo, Micros};
use ternpick_identity::{Refusal, RefusalKind};
use ternpick_tenant_limits::Limits;

use crate::stages::admission::text_answer;
use crate::stages::completion::retry_after;
use crate::state::clients::Answer;

/// When to retry while the known revocations are out of date: the revocation feed may be available again by then.
const UNKNOWN_REVOCATIONS_RETRY_AFTER: Micros = Micros(1_000_000);

/// Returns the answer to a request that is refused (RFC 6750, section 3).
pub(super) fn refusal(refusal: &Refusal) -> Answer {
    let (status, error) = match refusal.kind {
        RefusalKind::NoCredentials => (401, String::new()),
        RefusalKind::InvalidCredentials => (401, challenge_error("invalid_token", &refusal.why)),
        RefusalKind::Forbidden => (403, challenge_error("insufficient_scope", &refusal.why)),
        RefusalKind::RevocationsOutdated => {
            let (status, _, body) = text_answer(503, &refusal.why);
            return (status, retry_after(UNKNOWN_REVOCATIONS_RETRY_AFTER), body);
        }
    };
    let (_, _, body) = text_answer(status, &refusal.why);
    let challenge = format!("WWW-Authenticate: Bearer realm=\"ternpick\"{error}\r\n");
    (status, challenge, body)
}

fn challenge_error(code: &str, description: &str) -> String {
    format!(", error=\"{code}\", error_description=\"{description}\"")
}

/// Reserves a place among the tenant's queries in flight. The error is the answer with the reason of the rejection.
pub(crate) fn reserve(
    limits: &mut Limits,
    now: Micros,
    tenant: CustomerNo,
    is_retry: bool,
) -> Result<(), Answer> {
    limits.admit(now, tenant, is_retry).map_err(|rejection| {
        let (status, _, body) = text_answer(429, &rejection.to_string());
        (status, retry_after(rejection.retry_after()), body)
    })
}
