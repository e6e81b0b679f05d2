//! Admission of queries under the fleet's policy. The lease holder decides; the admission stage asks it through
//! [`Fleet`].

use futures_lite::future;
use ternpick::types::Micros;
use ternpick_fleet_policy::{Admission, Version};

use super::{sleep_until, Fleet};
use crate::router::Router;
use crate::stages::admission;
use crate::stages::completion::retry_after;
use crate::state::clients::Answer;

/// The policy under which a query was admitted, as the answer's headers report it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PolicyMark {
    /// The policy's version.
    pub(crate) version: Version,
    /// Whether the query was admitted without a lease.
    pub(crate) unguarded: bool,
}

impl PolicyMark {
    /// The header lines that report the policy in the answer.
    pub(crate) fn headers(self) -> String {
        let guard = if self.unguarded {
            "Policy-Guard: none\r\n"
        } else {
            ""
        };
        format!("Policy-Version: {}\r\n{guard}", self.version)
    }
}

impl Fleet {
    /// Wakes the queries that wait for admission, so that each of them evaluates it again.
    pub(crate) fn notify_admission_changed(&self) {
        self.admission_changed.notify(usize::MAX);
    }

    /// Waits while a policy change takes effect, until `give_up_at` at most. The caller then calls [`Fleet::admit`] in
    /// the same turn to learn the decision.
    pub(crate) async fn wait_for_policy_change(&self, router: &Router, give_up_at: Micros) {
        loop {
            let changed = self.admission_changed.listen();
            let Admission::Wait(until) = self
                .node
                .borrow()
                .lease_holder
                .admission(router.clock.now())
            else {
                return;
            };
            // During a shutdown the query's answer, including a rejection, is due by the shutdown's own deadline.
            let until = router
                .before_shutdown(Some(until.min(give_up_at)), |schedule| schedule.answers_by)
                .unwrap_or(until);
            if until <= router.clock.now() {
                return;
            }
            future::or(changed, sleep_until(router, until)).await;
        }
    }

    /// Returns the policy under which a query is admitted now, or the answer that rejects the query.
    pub(crate) fn admit(&self, now: Micros) -> Result<PolicyMark, Answer> {
        match self.node.borrow().lease_holder.admission(now) {
            Admission::Leased(version) => Ok(PolicyMark {
                version,
                unguarded: false,
            }),
            Admission::Unguarded(version) => Ok(PolicyMark {
                version,
                unguarded: true,
            }),
            // The query has waited for as long as its deadline allowed. A retry may find the policy change finished.
            Admission::Wait(until) => {
                let retry_delay = until.since(now).min(Micros(self.settings.renew_interval));
                Err(rejection("a change of policy takes hold", retry_delay))
            }
            Admission::Rejected {
                reason,
                retry_after: retry_delay,
            } => Err(rejection(reason.description(), retry_delay)),
        }
    }
}

fn rejection(reason: &str, retry_delay: Micros) -> Answer {
    let (status, _, body) = admission::text_answer(503, &format!("refused: {reason}"));
    (status, retry_after(retry_delay), body)
}
