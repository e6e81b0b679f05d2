//! The maintenance status and plan as JSON. `ternpick maintenance` reads them, so no key may change.

use serde_json::{json, Value};
use ternpick_fleet_policy::Member;

use super::take_out::WaitingRouter;
use super::Coordinator;
use crate::disruption_budget::{ClusterView, DisruptionBudget, Violation};
use crate::entry::Request;
use crate::operation::{Operation, OperationKey, Phase};
use crate::router_removal::router_of;

/// What decides whether a waiting machine may be taken out now.
struct Constraints {
    view: ClusterView,
    budget: DisruptionBudget,
    waiting_routers: Vec<WaitingRouter>,
}

impl Coordinator {
    /// The status: all operations with their phases and the routers that they wait for, the plan, and the history.
    pub(super) fn status_json(&self) -> Value {
        let constraints = self.constraints();
        let rows: Vec<Value> = self
            .state
            .operations
            .iter()
            .map(|(key, operation)| self.operation_json(key, operation, &constraints))
            .collect();
        let history: Vec<Value> = self
            .state
            .history
            .iter()
            .map(|line| json!({"at": line.index, "words": line.text}))
            .collect();
        json!({
            "carrier": self.state.coordinator.as_ref().map(|coordinator| &coordinator.member),
            "fence": self.state.fence,
            "hold": self.state.pause,
            "rows": rows,
            "plan": self.plan_json(None),
            "out": self.state.machines_out(),
            "past": history,
        })
    }

    /// The rounds of all waiting machines and of the prospective request's machines.
    pub(super) fn plan_json(&self, prospective: Option<&Request>) -> Value {
        let plan = self.plan(prospective);
        let rounds: Vec<Value> = plan
            .schedule
            .rounds
            .iter()
            .map(|round| {
                let items = round.items.iter();
                let machines: Vec<&str> = items.flat_map(|item| plan.machines(*item)).collect();
                json!({"machines": machines, "lasts_ms": round.duration_us / 1000})
            })
            .collect();
        let unschedulable: Vec<Value> = plan
            .schedule
            .unschedulable
            .iter()
            .map(|found| {
                json!({"machines": plan.machines(found.item), "binds": found.violation.to_string()})
            })
            .collect();
        json!({
            "rounds": rounds,
            "cannot": unschedulable,
            "bound": plan.schedule.lower_bound,
            "lasts_ms": plan.duration_ms(plan.schedule.rounds.len()),
        })
    }

    fn constraints(&self) -> Constraints {
        let view = self.view_with_health(&self.reports());
        let active = self.state.active_machines().len();
        Constraints {
            budget: DisruptionBudget::new(&view, &self.config.limits, active),
            view,
            waiting_routers: self.waiting_routers(),
        }
    }

    fn operation_json(
        &self,
        key: &OperationKey,
        operation: &Operation,
        constraints: &Constraints,
    ) -> Value {
        let phase = &operation.phase;
        let request = self.state.requests.get(&key.request);
        let waits_for = match phase {
            Phase::Out => self.undrained_routers(&key.machine, operation.since_index),
            _ => Vec::<&Member>::new(),
        };
        let (started_by, unfit_reason) = match phase {
            Phase::Permitted {
                started_by,
                unfit_reason,
                ..
            } => (started_by.as_ref(), unfit_reason.as_ref()),
            _ => (None, None),
        };
        let is_overdue = matches!(phase, Phase::Permitted { .. })
            && request.is_some_and(|request| {
                self.wall_ms > operation.since_ms + request.duration_us / 1000
            });
        let violation = match phase {
            Phase::Waiting => self.violation(&key.machine, constraints),
            _ => None,
        };
        json!({
            "request": key.request,
            "machine": key.machine,
            "state": phase.description(),
            "permit": phase.permit(),
            "since_ms": operation.since_ms,
            "for_ms": self.wall_ms.saturating_sub(operation.since_ms),
            "waits_for": waits_for,
            "begun": started_by,
            "failed": unfit_reason,
            "overdue": is_overdue,
            "binds": violation,
            "why": request.map(|request| &request.reason),
            "by": request.map(|request| &request.requested_by),
        })
    }

    /// The limit or rule that forbids taking a waiting machine out now, if any.
    fn violation(&self, machine: &str, constraints: &Constraints) -> Option<String> {
        if let Some(router) = router_of(machine) {
            return self
                .router_violation(&router, &constraints.waiting_routers)
                .map(|violation| violation.to_string());
        }
        let checked = match constraints.view.position(machine) {
            Some(node) => constraints.budget.check(node),
            None => Err(Violation::Unknown(machine.to_owned())),
        };
        checked.err().map(|violation| violation.to_string())
    }
}
