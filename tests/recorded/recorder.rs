//! Takes down every action that one input leads to.

use std::collections::{BTreeMap, BTreeSet};

use ternpick::actions::Actions;
use ternpick::types::*;

/// What the player has to follow up, in the order in which the engine asked for it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Effect {
    Sent {
        request: ShardRequestId,
        attempt: AttemptNo,
        node: NodeId,
        limit: Micros,
    },
    Cancelled {
        request: ShardRequestId,
        attempt: AttemptNo,
    },
    Answered(QueryId),
    Refused {
        query: QueryId,
        retry_after: Micros,
    },
    HealthCheck(NodeId),
    Watch,
    Timer(Micros),
}

/// The actions of one engine. Log lines are recorded without their text, which may be worded anew.
#[derive(Default)]
pub(crate) struct Recorder {
    pub(crate) line: String,
    pub(crate) effects: Vec<Effect>,
    pub(crate) kinds: BTreeSet<String>,
    pub(crate) log_forms: BTreeSet<String>,
    attempts: BTreeMap<ShardRequestId, u8>,
    last_reason: Option<DecisionReason>,
}

impl Recorder {
    fn note(&mut self, kind: &str, text: &str) {
        self.kinds.insert(kind.to_owned());
        self.line.push_str(" | ");
        self.line.push_str(text);
    }
}

impl Actions for Recorder {
    fn send_attempt(&mut self, request: ShardRequestId, node: NodeId, limit: Micros) {
        let made = self.attempts.entry(request).or_default();
        let attempt = AttemptNo(*made);
        *made += 1;
        let kind = match (attempt.0, self.last_reason) {
            (0, _) => "send first",
            (_, Some(DecisionReason::Hedge)) => "send hedge",
            _ => "send retry",
        };
        let (id, to, limit_us) = (request.0, node.0, limit.0);
        self.note(
            kind,
            &format!("send {id}.{} to {to} within {limit_us}", attempt.0),
        );
        self.effects.push(Effect::Sent {
            request,
            attempt,
            node,
            limit,
        });
    }

    fn answer(&mut self, query: QueryId, complete: bool) {
        let kind = if complete {
            "answer complete"
        } else {
            "answer partial"
        };
        self.note(kind, &format!("{kind} {}", query.0));
        self.effects.push(Effect::Answered(query));
    }

    fn reject(&mut self, query: QueryId, retry_after: Micros) {
        self.note(
            "reject",
            &format!("reject {} for {}", query.0, retry_after.0),
        );
        self.effects.push(Effect::Refused { query, retry_after });
    }

    fn fail(&mut self, query: QueryId) {
        self.note("fail", &format!("fail {}", query.0));
        let retry_after = Micros(0);
        self.effects.push(Effect::Refused { query, retry_after });
    }

    fn cancel_attempt(&mut self, request: ShardRequestId, attempt: AttemptNo) {
        self.note("cancel", &format!("cancel {}.{}", request.0, attempt.0));
        self.effects.push(Effect::Cancelled { request, attempt });
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        self.note("close-idle", &format!("close-idle {}", node.0));
    }

    fn check_health(&mut self, node: NodeId) {
        self.note("health-check", &format!("health-check {}", node.0));
        self.effects.push(Effect::HealthCheck(node));
    }

    fn watch_endpoints(&mut self) {
        self.note("watch", "watch");
        self.effects.push(Effect::Watch);
    }

    fn set_timer(&mut self, delay: Micros, timer: TimerId) {
        self.note("timer", &format!("timer {} in {}", timer.0, delay.0));
        self.effects.push(Effect::Timer(delay));
    }

    fn record_reason(&mut self, query: QueryId, reason: DecisionReason) {
        self.last_reason = Some(reason);
        self.note(
            &format!("reason {reason:?}"),
            &format!("reason {} {reason:?}", query.0),
        );
    }

    fn log(&mut self, line: &str) {
        self.note("log", "log");
        // Without what varies from line to line: words with digits in them.
        let fixed = |word: &&str| !word.contains(|letter: char| letter.is_ascii_digit());
        let form: Vec<&str> = line.split_whitespace().filter(fixed).collect();
        self.log_forms.insert(form.join(" "));
    }
}
