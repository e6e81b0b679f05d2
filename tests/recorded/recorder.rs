//! Records every action that an input leads to.

use std::collections::{BTreeMap, BTreeSet};

use ternpick::actions::Actions;
use ternpick::types::*;

/// An action that the player carries out, in the order of the engine's calls.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Effect {
    Sent {
        request: ShardRequestId,
        attempt: AttemptNo,
        node: NodeId,
        time_limit: Micros,
    },
    Cancelled {
        request: ShardRequestId,
        attempt: AttemptNo,
    },
    Answered(QueryId),
    EndedWithoutAnswer {
        query: QueryId,
        retry_after: Micros,
    },
    HealthCheck(NodeId),
    Watch,
    Timer(Micros),
}

/// Records the actions of one engine. Log lines are recorded without their text, since rewording them is not a change
/// of the decisions.
#[derive(Default)]
pub(crate) struct Recorder {
    /// The line of the current step.
    pub(crate) step_line: String,
    pub(crate) effects: Vec<Effect>,
    pub(crate) action_kinds: BTreeSet<String>,
    /// Log lines without the words that have digits, which vary from line to line.
    pub(crate) log_templates: BTreeSet<String>,
    /// Attempts sent so far, by shard request.
    attempt_counts: BTreeMap<ShardRequestId, u8>,
    last_reason: Option<DecisionReason>,
}

impl Recorder {
    fn record(&mut self, kind: &str, text: &str) {
        self.action_kinds.insert(kind.to_owned());
        self.step_line.push_str(" | ");
        self.step_line.push_str(text);
    }
}

impl Actions for Recorder {
    fn send_attempt(&mut self, request: ShardRequestId, node: NodeId, time_limit: Micros) {
        let sent_count = self.attempt_counts.entry(request).or_default();
        let attempt = AttemptNo(*sent_count);
        *sent_count += 1;
        let kind = match (attempt.0, self.last_reason) {
            (0, _) => "send first",
            (_, Some(DecisionReason::Hedge)) => "send hedge",
            _ => "send retry",
        };
        let (id, to, limit_us) = (request.0, node.0, time_limit.0);
        self.record(
            kind,
            &format!("send {id}.{} to {to} within {limit_us}", attempt.0),
        );
        self.effects.push(Effect::Sent {
            request,
            attempt,
            node,
            time_limit,
        });
    }

    fn answer(&mut self, query: QueryId, complete: bool) {
        let kind = if complete {
            "answer complete"
        } else {
            "answer partial"
        };
        self.record(kind, &format!("{kind} {}", query.0));
        self.effects.push(Effect::Answered(query));
    }

    fn reject(&mut self, query: QueryId, retry_after: Micros) {
        self.record(
            "reject",
            &format!("reject {} for {}", query.0, retry_after.0),
        );
        self.effects
            .push(Effect::EndedWithoutAnswer { query, retry_after });
    }

    fn fail(&mut self, query: QueryId) {
        self.record("fail", &format!("fail {}", query.0));
        let retry_after = Micros(0);
        self.effects
            .push(Effect::EndedWithoutAnswer { query, retry_after });
    }

    fn cancel_attempt(&mut self, request: ShardRequestId, attempt: AttemptNo) {
        self.record("cancel", &format!("cancel {}.{}", request.0, attempt.0));
        self.effects.push(Effect::Cancelled { request, attempt });
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        self.record("close-idle", &format!("close-idle {}", node.0));
    }

    fn check_health(&mut self, node: NodeId) {
        self.record("health-check", &format!("health-check {}", node.0));
        self.effects.push(Effect::HealthCheck(node));
    }

    fn watch_endpoints(&mut self) {
        self.record("watch", "watch");
        self.effects.push(Effect::Watch);
    }

    fn set_timer(&mut self, delay: Micros, timer: TimerId) {
        self.record("timer", &format!("timer {} in {}", timer.0, delay.0));
        self.effects.push(Effect::Timer(delay));
    }

    fn record_reason(&mut self, query: QueryId, reason: DecisionReason) {
        self.last_reason = Some(reason);
        self.record(
            &format!("reason {reason:?}"),
            &format!("reason {} {reason:?}", query.0),
        );
    }

    fn log(&mut self, line: &str) {
        self.record("log", "log");
        // Words with digits vary from line to line.
        let has_no_digit = |word: &&str| !word.contains(|letter: char| letter.is_ascii_digit());
        let template: Vec<&str> = line.split_whitespace().filter(has_no_digit).collect();
        self.log_templates.insert(template.join(" "));
    }
}
