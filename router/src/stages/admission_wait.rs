//! The wait of a complete request before its admission: for the ids that the old process of a hot restart passes on,
//! for the first read of the keys or revocations that authorisation needs, and for the end of a change of the fleet's
//! policy.
//!
//! A request waits no longer than its deadline allows, nor beyond the instant by which a shutdown must have answered
//! it. It does not wait while memory is short. `admission.rs` then decides in the same turn.

use ternpick::types::Micros;

use crate::router::Router;
use crate::stages::admission;
use crate::stages::client_connection::ClientConnection;
use crate::stages::query_request;
use crate::state::clients::Answer;

/// Time reserved before the deadline for writing the answer, so that a request that has waited without success is
/// rejected while its client still waits.
const ANSWER_RESERVE: Micros = Micros(50_000);
/// The largest share of the deadline that may be reserved for the answer.
const MAX_RESERVE_SHARE: f64 = 0.25;

/// How long a request has waited for its admission, and the time left until its deadline.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AdmissionWait {
    /// Time since the request was complete.
    waited: Micros,
    /// Time left until the client's deadline.
    time_left: Micros,
}

impl ClientConnection {
    /// Waits until the request can be admitted, or waiting longer would not help. `arrived_at` is the arrival of its
    /// first byte.
    pub(super) async fn wait_for_admission(&mut self, arrived_at: Micros) -> AdmissionWait {
        if admission::is_health(&self.request) {
            return AdmissionWait::default();
        }
        let Ok(deadline) = query_request::deadline(&self.request, &self.router.bounds) else {
            return AdmissionWait::default();
        };
        let started = self.router.clock.now();
        self.io.account_memory(self.request.memory_bytes());
        if !self.router.budget.is_over() {
            let reserve = ANSWER_RESERVE.min(deadline.times(MAX_RESERVE_SHARE));
            let wait_until = Micros((arrived_at + deadline).0 - reserve.0);
            self.wait_for_predecessor_ids(wait_until).await;
            self.wait_for_sources(wait_until).await;
            if let Some(fleet) = &self.router.fleet {
                fleet.wait_for_policy_change(&self.router, wait_until).await;
            }
        }
        let now = self.router.clock.now();
        AdmissionWait {
            waited: now.since(started),
            time_left: (arrived_at + deadline).since(now),
        }
    }

    /// Lets a query that must not run twice wait until the old process of a hot restart has passed on which it has
    /// forwarded.
    async fn wait_for_predecessor_ids(&mut self, wait_until: Micros) {
        let router = &self.router;
        let awaited_until = router.predecessor_ids.awaited_until(router.clock.now());
        let Some(awaited_until) = awaited_until else {
            return;
        };
        if admission::runs_once(router, &self.request) {
            let received = router.predecessor_ids.received();
            let until = wait_until.min(awaited_until);
            // Whether the ids have come or the time is over, admission decides.
            let _ = router.with_deadline(Some(until), received).await;
        }
    }

    /// Waits while the first read of a source may still bring the keys or revocations that are missing to authorise
    /// the caller.
    async fn wait_for_sources(&mut self, wait_until: Micros) {
        let certificate = self.io.stream.certificate();
        let router: &Router = &self.router;
        let Some(auth) = &router.auth else {
            return;
        };
        loop {
            let first_read = auth.first_read();
            let wait_until = wait_until.min(auth.first_reads_until());
            let until = router.before_shutdown(Some(wait_until), |schedule| schedule.answers_by);
            let is_over = until.is_some_and(|until| until <= router.clock.now());
            if is_over || !admission::awaits_source(router, &self.request, certificate.as_ref()) {
                return;
            }
            // The next iteration checks again, whether the source was read or the time is over.
            let _ = router.with_deadline(until, first_read).await;
        }
    }
}

impl AdmissionWait {
    /// Logs a rejection at admission with its reason, the time waited and the time left. The rate of these lines is
    /// limited.
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
                left_ms = self.time_left.0 / 1000,
                count,
                "a query is rejected at admission"
            );
        }
    }
}
