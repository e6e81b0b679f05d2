//! Checks an operator's command before it is proposed. The state checks the entry again when it is applied.

use super::Coordinator;
use crate::disruption_budget::Violation;
use crate::entry::{Entry, Request};
use crate::router_removal::{router_of, RouterViolation};

/// Why a command is not proposed. Operators read the texts.
#[derive(Debug, thiserror::Error)]
pub(super) enum CommandError {
    #[error("it cannot be read: {0}")]
    Unreadable(#[from] postcard::Error),
    /// Only the coordinator may propose this entry.
    #[error("this is no operator's command")]
    NotACommand,
    #[error(transparent)]
    Router(RouterViolation),
    #[error("routers go one at a time: they cannot be asked for together")]
    RoutersAllAtOnce,
    #[error(transparent)]
    Machine(Violation),
    #[error("{machines} can never go out: {violation}")]
    NeverPossible {
        machines: String,
        violation: Violation,
    },
    #[error(
        "it needs {rounds} rounds and {needed_s} s, and is wanted within {available_s} s: more time, fewer machines at \
         once under other requests, or lower limits would have to be given"
    )]
    TooLittleTime {
        rounds: usize,
        needed_s: u64,
        available_s: u64,
    },
}

impl Coordinator {
    pub(super) fn check_operator_command(&self, entry: &[u8]) -> Result<(), CommandError> {
        match postcard::from_bytes::<Entry>(entry)? {
            Entry::OpenRequest { request } => self.check_request(&request),
            command if command.is_operator_command() => Ok(()),
            _ => Err(CommandError::NotACommand),
        }
    }

    fn check_request(&self, request: &Request) -> Result<(), CommandError> {
        for name in &request.machines {
            self.check_machine(name, request)?;
        }
        let plan = self.plan(Some(request));
        let impossible = plan
            .schedule
            .unschedulable
            .iter()
            .find(|found| plan.is_prospective(found.item));
        if let Some(found) = impossible {
            return Err(CommandError::NeverPossible {
                machines: plan.machines(found.item).join(", "),
                violation: found.violation.clone(),
            });
        }
        let Some(deadline_ms) = request.deadline_ms else {
            return Ok(());
        };
        let rounds = plan
            .schedule
            .rounds
            .iter()
            .rposition(|round| round.items.iter().any(|item| plan.is_prospective(*item)))
            .map_or(0, |last| last + 1);
        let needed_ms = plan.duration_ms(rounds);
        let start_ms = request.not_before_ms.unwrap_or(0).max(self.wall_ms);
        if start_ms + needed_ms > deadline_ms {
            return Err(CommandError::TooLittleTime {
                rounds,
                needed_s: needed_ms / 1000,
                available_s: deadline_ms.saturating_sub(start_ms) / 1000,
            });
        }
        Ok(())
    }

    fn check_machine(&self, name: &str, request: &Request) -> Result<(), CommandError> {
        match router_of(name) {
            Some(router) if !self.members.contains_key(&router) => {
                Err(CommandError::Router(RouterViolation::Unknown))
            }
            Some(_) if request.all_at_once => Err(CommandError::RoutersAllAtOnce),
            None if self.view.position(name).is_none() => {
                Err(CommandError::Machine(Violation::Unknown(name.to_owned())))
            }
            _ => Ok(()),
        }
    }
}
