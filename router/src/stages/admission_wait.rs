//! What a complete request waits for before it is admitted: the first read of a source that its caller is judged by, and the
//! end of a change of the fleet's policy.
//!
//! A request waits for as long as its own deadline allows, and no longer: not beyond the instant by which a shutdown has to
//! have answered it, and not while memory is short. What becomes of it then is for `admission.rs`, in the same turn.

use ternpick::types::Micros;

use crate::router::Router;
use crate::stages::admission;
use crate::stages::client_connection::ClientConnection;
use crate::stages::query_request;
use crate::state::clients::Answer;

/// Kept of the deadline for the answer itself: a request that has waited in vain is rejected while its client listens.
const ANSWER_RESERVE: Micros = Micros(50_000);
/// The most of the deadline that is kept.
const LARGEST_RESERVE: f64 = 0.25;

/// How long a request has waited for its admission, and how long it could have gone on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AdmissionWait {
    /// From when it was complete.
    waited: Micros,
    /// Until its client's deadline.
    left: Micros,
}

impl ClientConnection {
    /// Waits until the request can be admitted or rejected for good. Its first byte had arrived at `began`.
    pub(super) async fn wait_for_admission(&mut self, began: Micros) -> AdmissionWait {
        if admission::is_health(&self.request) {
            return AdmissionWait::default();
        }
        let Ok(deadline) = query_request::deadline(&self.request, &self.router.bounds) else {
            return AdmissionWait::default();
        };
        let started = self.router.clock.now();
        self.io.account_memory(self.request.memory_bytes());
        if !self.router.budget.is_over() {
            let reserve = ANSWER_RESERVE.min(deadline.times(LARGEST_RESERVE));
            let give_up_at = Micros((began + deadline).0 - reserve.0);
            self.wait_for_sources(give_up_at).await;
            if let Some(fleet) = &self.router.fleet {
                fleet.settled(&self.router, give_up_at).await;
            }
        }
        let now = self.router.clock.now();
        AdmissionWait {
            waited: now.since(started),
            left: (began + deadline).since(now),
        }
    }

    /// Waits while the first read of a source may still bring what the caller is refused for now.
    async fn wait_for_sources(&mut self, give_up_at: Micros) {
        let certificate = self.io.stream.certificate();
        let router: &Router = &self.router;
        let Some(auth) = &router.auth else {
            return;
        };
        loop {
            let first_read = auth.first_read();
            let give_up_at = give_up_at.min(auth.first_reads_until());
            let until = router.before_shutdown(Some(give_up_at), |schedule| schedule.answers_by);
            let is_over = until.is_some_and(|until| until <= router.clock.now());
            if is_over || !admission::awaits_source(router, &self.request, certificate.as_ref()) {
                return;
            }
            // Whether it has come or not: the next round looks.
            let _ = router.with_deadline(until, first_read).await;
        }
    }
}

impl AdmissionWait {
    /// Logs a rejection at admission: why, and whether the client's deadline had left time to wait. Bounded under repetition.
    pub(super) fn log_rejection(self, router: &Router, request_id: &str, answer: &Answer) {
        let (status, _, reason) = answer;
        if *status != 503 {
            return;
        }
        if let Some(count) = router.rejections.count(router.clock.now()) {
            tracing::info!(
                request_id,
                reason = reason.trim_end(),
                waited_ms = self.waited.0 / 1000,
                left_ms = self.left.0 / 1000,
                count,
                "a query is rejected at admission"
            );
        }
    }
}
