//! Whether a query may be admitted now under the fleet's policy. The lease holder decides; admission of queries asks here.

use futures_lite::future;
use ternpick::types::Micros;
use ternpick_fleet_policy::{Admission, Version};

use super::{sleep_until, Fleet};
use crate::router::Router;
use crate::stages::admission;
use crate::stages::completion::retry_after;
use crate::state::clients::Answer;

/// The policy under which a query was admitted, as its answer tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PolicyMark {
    /// The policy's version.
    pub(crate) version: Version,
    /// Whether it was admitted without a lease.
    pub(crate) unguarded: bool,
}

impl PolicyMark {
    /// Header lines of the answer.
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
    /// Has queries that wait for admission ask again.
    pub(crate) fn notify_admission_changed(&self) {
        self.admission_changed.notify(usize::MAX);
    }

    /// Waits while a policy change takes effect, until `give_up_at` at most; what holds then is for [`Fleet::admit`], in the
    /// same turn.
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
            // In a shutdown the rejection that follows is owed in time too.
            let until = router
                .before_shutdown(Some(until.min(give_up_at)), |schedule| schedule.answers_by)
                .unwrap_or(until);
            if until <= router.clock.now() {
                return;
            }
            future::or(changed, sleep_until(router, until)).await;
        }
    }

    /// The policy under which a query is admitted now, or else its answer.
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
            // It has waited for as long as its deadline allowed; the next one may find the change over.
            Admission::Wait(until) => {
                let come_back = until.since(now).min(Micros(self.settings.renew_interval));
                Err(rejection("a change of policy takes hold", come_back))
            }
            Admission::Rejected {
                reason: why,
                retry_after: come_back,
            } => Err(rejection(why.description(), come_back)),
        }
    }
}

fn rejection(reason: &str, come_back: Micros) -> Answer {
    let (status, _, body) = admission::text_answer(503, &format!("refused: {reason}"));
    (status, retry_after(come_back), body)
}
