//! Operators' commands and questions. A router sends those of its own operators to the leader until they are answered.
//! The leader proposes each command once, even if it is sent repeatedly, and returns its outcome.

use ternpick::types::Micros;

use super::replication::encode;
use super::FleetNode;
use crate::command::Command;
use crate::effects::{Effect, LogLevel, OperatorRequest, OperatorResponse};
use crate::ids::{Member, OperationId};
use crate::messages::PeerMessage;
use crate::state_machine::Outcome;

/// The time without a response after which a request is sent again.
pub(super) const RETRY_AFTER: Micros = Micros(200_000);
/// The maximum number of commands whose outcome is still to be sent; the oldest are dropped first.
const MAX_IN_PROGRESS: usize = 64;

/// A request of this router's operators.
pub(super) struct OwnRequest {
    request: OperatorRequest,
    last_sent_at: Option<Micros>,
    is_answered: bool,
}

impl OwnRequest {
    fn is_due(&self, now: Micros) -> bool {
        !self.is_answered && self.last_sent_at.is_none_or(|at| now >= at + RETRY_AFTER)
    }

    fn message(&self, op: OperationId) -> PeerMessage {
        match &self.request {
            OperatorRequest::Command(command) => PeerMessage::Command {
                op,
                command: command.clone(),
            },
            OperatorRequest::Inspect(question) => PeerMessage::Inspect {
                op,
                question: question.clone(),
            },
        }
    }
}

/// A proposed command, and the router that sent it.
pub(super) struct CommandInProgress {
    op: OperationId,
    from: Member,
}

impl FleetNode {
    /// Sends a request of this router's operators until it is answered or cancelled.
    pub fn submit(&mut self, op: OperationId, request: OperatorRequest) {
        let own = OwnRequest {
            request,
            last_sent_at: None,
            is_answered: false,
        };
        self.own_requests.insert(op, own);
    }

    /// Drops a request whose response is no longer needed. If it is a command, the leader may still carry it out.
    pub fn cancel(&mut self, op: OperationId) {
        self.own_requests.remove(&op);
    }

    /// Sends the answer to [`Effect::Inspect`].
    pub fn inspection_answered(&mut self, to: &Member, op: OperationId, json: String) {
        self.send(to, PeerMessage::InspectionResult { op, json });
    }

    pub(super) fn awaits_response(&self) -> bool {
        self.own_requests.values().any(|own| !own.is_answered)
    }

    pub(super) fn send_own_requests(&mut self, now: Micros) {
        let mut due = Vec::new();
        for (op, own) in &mut self.own_requests {
            if own.is_due(now) {
                own.last_sent_at = Some(now);
                due.push(own.message(*op));
            }
        }
        for message in due {
            if let Some(to) = self.leader_or_next_voter() {
                self.send(&to, message);
            }
        }
    }

    pub(super) fn handle_outcome(&mut self, op: OperationId, outcome: Outcome) {
        self.response_received(op, OperatorResponse::Outcome(outcome));
    }

    pub(super) fn handle_inspection_result(&mut self, op: OperationId, json: String) {
        self.response_received(op, OperatorResponse::Inspection(json));
    }

    fn response_received(&mut self, op: OperationId, response: OperatorResponse) {
        if let Some(own) = self.own_requests.get_mut(&op) {
            own.is_answered = true;
            self.effects.push(Effect::OperatorResponse(op, response));
        }
    }

    pub(super) fn handle_inspect(&mut self, from: &Member, op: OperationId, question: String) {
        if self.is_leader() {
            self.effects
                .push(Effect::Inspect(from.clone(), op, question));
        } else {
            self.redirect(from);
        }
    }

    /// Handles a command: the leader proposes it, unless its outcome is known or it is already in progress.
    pub(super) fn handle_command(
        &mut self,
        now: Micros,
        from: &Member,
        op: OperationId,
        command: Command,
    ) {
        if self.leader_state().is_none() || self.replica.is_none() {
            // Unlike `redirect`, this may name the sender as the leader.
            let leader = self
                .known_leader
                .clone()
                .filter(|member| *member != self.me);
            return self.send(from, PeerMessage::NotLeader(leader));
        }
        if let Some(outcome) = self.known_outcome(now, op, &command) {
            return self.send(from, PeerMessage::CommandOutcome { op, outcome });
        }
        if self.is_in_progress(op) {
            return;
        }
        if let Some(entry) = command.entry(op, self.config.confirmation_required) {
            self.propose_command(from, op, encode(&entry));
        }
    }

    fn is_in_progress(&self, op: OperationId) -> bool {
        self.commands_in_progress
            .iter()
            .any(|command| command.op == op)
    }

    /// Returns the outcome of a command that needs no further log entry: it was applied before, or is carried out or
    /// refused at once.
    fn known_outcome(
        &mut self,
        now: Micros,
        op: OperationId,
        command: &Command,
    ) -> Option<Outcome> {
        let outcome = self.state.as_ref().and_then(|state| state.outcome(op));
        if outcome.is_some() {
            return outcome.cloned();
        }
        match command {
            Command::Transfer { to } => Some(self.transfer_to(to)),
            Command::Extension { entry } if !self.is_in_progress(op) => self
                .extension
                .check_command(now, entry)
                .err()
                .map(Outcome::Refused),
            _ => None,
        }
    }

    fn transfer_to(&mut self, to: &Member) -> Outcome {
        let voter = self
            .state
            .as_ref()
            .and_then(|state| state.members.get(to))
            .and_then(|info| info.replica);
        match (voter, &mut self.replica) {
            (Some(voter), Some(replica)) => {
                replica.transfer_leadership(voter);
                Outcome::Done
            }
            _ => Outcome::Refused(format!("{to} has no vote")),
        }
    }

    fn propose_command(&mut self, from: &Member, op: OperationId, entry: Vec<u8>) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        // The sender retries: a command that cannot be proposed now may be later.
        if let Err(error) = replica.propose(entry) {
            self.log(
                LogLevel::Info,
                format!("fleet: command {op} cannot be proposed: {error}"),
            );
            return;
        }
        self.commands_in_progress.push_back(CommandInProgress {
            op,
            from: from.clone(),
        });
        while self.commands_in_progress.len() > MAX_IN_PROGRESS {
            self.commands_in_progress.pop_front();
        }
    }

    /// Sends the outcomes of commands that have been applied.
    pub(super) fn send_outcomes(&mut self) {
        let Some(state) = &self.state else {
            return;
        };
        let mut known = Vec::new();
        self.commands_in_progress.retain(|command| {
            let Some(outcome) = state.outcome(command.op) else {
                return true;
            };
            known.push((command.from.clone(), command.op, outcome.clone()));
            false
        });
        for (to, op, outcome) in known {
            self.send(&to, PeerMessage::CommandOutcome { op, outcome });
        }
    }
}
