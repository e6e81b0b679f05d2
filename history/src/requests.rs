//! What clients, nodes, discovery and whoever ends processes saw of single requests, and the rules that an operator states of them.
//! Times are microseconds of one monotonic clock. The checker knows no decision of a router's.

use std::collections::BTreeMap;

/// What an index allows, in the operators' words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Idempotent.
    Idempotent,
    /// Fingerprinted: again within so many microseconds of the first time.
    DeduplicatedWithin(u64),
    /// Once-only.
    OnceOnly,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A client has written a request's last byte.
    Sent {
        id: String,
        router: String,
        deadline: u64,
        idempotency: Idempotency,
    },
    /// The last byte of its answer has come.
    Answered {
        id: String,
        status: u16,
    },
    /// Its connection has ended with no whole answer.
    ConnectionLost {
        id: String,
    },
    /// Its connection ended without a byte of an answer while it was on the way to a resting connection: its client sends it
    /// again, so nothing of it may have been begun.
    ReusedConnectionClosed {
        id: String,
    },
    /// Its client has closed or cancelled.
    ClientDisconnected {
        id: String,
    },
    /// A part has come at a node, whole, with the time that the node was told.
    ShardRequestReceived {
        id: String,
        part: u32,
        node: String,
        node_deadline: u64,
    },
    /// Discovery has a node as draining or gone, and can be reached.
    NodeDraining {
        node: String,
    },
    /// A router is told to end; and is killed, no sooner than it may be.
    StopSignalled {
        router: String,
    },
    RouterKilled {
        router: String,
    },
}

/// The figures of the rules, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// An answer this long after its time is lost.
    pub late_answer_us: u64,
    /// No attempt begins so long after its client left.
    pub after_disconnect_us: u64,
    /// The slack of a time that a node is told.
    pub deadline_slack_us: u64,
    /// A change counts as told so long after discovery had it, and is obeyed so much later.
    pub notified_within_us: u64,
    pub drain_grace_us: u64,
    /// What SIGKILL finds unanswered is lost if it came so long after the signal.
    pub accepts_after_signal_us: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            late_answer_us: 500_000,
            after_disconnect_us: 100_000,
            deadline_slack_us: 150_000,
            notified_within_us: 6_000_000,
            drain_grace_us: 500_000,
            accepts_after_signal_us: 700_000,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    Lost {
        id: String,
        reason: &'static str,
    },
    AfterDisconnect {
        id: String,
        elapsed: u64,
    },
    Duplicate {
        id: String,
        part: u32,
        times: usize,
    },
    DeadlineExtended {
        id: String,
        node_deadline: u64,
        remaining: u64,
    },
    DrainedNodeUsed {
        node: String,
        id: String,
        elapsed: u64,
    },
    AnsweredTwice {
        id: String,
    },
}

/// What was seen of one request.
struct Request {
    sent: u64,
    router: String,
    deadline: u64,
    idempotency: Idempotency,
    answered: Option<u64>,
    connection_lost: Option<u64>,
    disconnected: Option<u64>,
    reused_connection_closed: bool,
    runs: BTreeMap<u32, Vec<u64>>,
}

impl Request {
    fn lost(
        &self,
        by_kill: impl Fn(&Request, u64) -> bool,
        limits: Limits,
    ) -> Option<&'static str> {
        // It is counted anew from when it is sent again; one that a node has got cannot be.
        if self.reused_connection_closed {
            let is_begun = !self.runs.is_empty();
            return is_begun.then_some("begun, and its connection ended without an answer");
        }
        match (self.answered, self.connection_lost, self.disconnected) {
            (Some(at), ..) if at > self.sent + self.deadline + limits.late_answer_us => {
                Some("answered too late")
            }
            (Some(_), ..) | (None, _, Some(_)) => None,
            (None, Some(at), None) if by_kill(self, at) => None,
            (None, Some(_), None) => Some("no whole answer"),
            (None, None, None) => Some("no answer"),
        }
    }

    /// The parts that ran more often, or over a longer time, than the index allows, each with its runs.
    fn duplicates(&self) -> Vec<(u32, usize)> {
        let too_many = |runs: &Vec<u64>| match self.idempotency {
            Idempotency::Idempotent => false,
            Idempotency::DeduplicatedWithin(window) => {
                runs.last().is_some_and(|last| last - runs[0] > window)
            }
            Idempotency::OnceOnly => runs.len() > 1,
        };
        let runs = self.runs.iter().filter(|_| !self.reused_connection_closed);
        runs.filter(|(_, runs)| too_many(runs))
            .map(|(part, runs)| (*part, runs.len()))
            .collect()
    }
}

/// A history as far as it has been read.
struct Checker<'a> {
    limits: Limits,
    requests: BTreeMap<&'a str, Request>,
    /// Since when nodes drain, and when routers were told to end and were killed, by name.
    draining: BTreeMap<&'a str, u64>,
    signalled: BTreeMap<&'a str, u64>,
    killed: BTreeMap<&'a str, u64>,
    violations: Vec<Violation>,
}

/// All violations of the rules in a history; an empty list is what is wanted. Events may stand in any order.
pub fn check(events: &[(u64, Observation)], limits: Limits) -> Vec<Violation> {
    let mut events: Vec<&(u64, Observation)> = events.iter().collect();
    events.sort_by_key(|(at, observation)| (*at, !matches!(observation, Observation::Sent { .. })));
    let mut checker = Checker {
        limits,
        requests: BTreeMap::new(),
        draining: BTreeMap::new(),
        signalled: BTreeMap::new(),
        killed: BTreeMap::new(),
        violations: Vec::new(),
    };
    for (at, observation) in events {
        checker.read(*at, observation);
    }
    checker.finish()
}

impl<'a> Checker<'a> {
    fn read(&mut self, at: u64, observation: &'a Observation) {
        match observation {
            Observation::Sent {
                id,
                router,
                deadline,
                idempotency,
            } => {
                self.requests.entry(id).or_insert_with(|| Request {
                    sent: at,
                    router: router.clone(),
                    deadline: *deadline,
                    idempotency: *idempotency,
                    answered: None,
                    connection_lost: None,
                    disconnected: None,
                    reused_connection_closed: false,
                    runs: BTreeMap::new(),
                });
            }
            Observation::Answered { id, .. } => self.answered(at, id),
            Observation::ConnectionLost { id } => {
                self.update(id, |request| request.connection_lost = Some(at))
            }
            Observation::ReusedConnectionClosed { id } => {
                self.update(id, |request| request.reused_connection_closed = true)
            }
            Observation::ClientDisconnected { id } => {
                self.update(id, |request| request.disconnected = Some(at))
            }
            Observation::NodeDraining { node } => {
                self.draining.entry(node).or_insert(at);
            }
            Observation::StopSignalled { router } => {
                self.signalled.entry(router).or_insert(at);
            }
            Observation::RouterKilled { router } => {
                self.killed.entry(router).or_insert(at);
            }
            Observation::ShardRequestReceived {
                id,
                part,
                node,
                node_deadline,
            } => {
                self.check_drain(at, id, node);
                self.shard_request(at, id, *part, *node_deadline);
            }
        }
    }

    fn update(&mut self, id: &str, update: impl FnOnce(&mut Request)) {
        if let Some(request) = self.requests.get_mut(id) {
            update(request);
        }
    }

    fn answered(&mut self, at: u64, id: &str) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request.answered.replace(at).is_some() {
            self.violations
                .push(Violation::AnsweredTwice { id: id.to_owned() });
        }
    }

    /// A part has come at a node that may be draining.
    fn check_drain(&mut self, at: u64, id: &str, node: &str) {
        let Some(since) = self.draining.get(node) else {
            return;
        };
        let elapsed = at - since;
        if elapsed > self.limits.notified_within_us + self.limits.drain_grace_us {
            self.violations.push(Violation::DrainedNodeUsed {
                node: node.to_owned(),
                id: id.to_owned(),
                elapsed,
            });
        }
    }

    /// A part has come, with the time that its node was told.
    fn shard_request(&mut self, at: u64, id: &str, part: u32, node_deadline: u64) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let remaining = (request.sent + request.deadline).saturating_sub(at);
        if node_deadline > remaining + self.limits.deadline_slack_us {
            self.violations.push(Violation::DeadlineExtended {
                id: id.to_owned(),
                node_deadline,
                remaining,
            });
        }
        let disconnected = request
            .disconnected
            .filter(|time| at > time + self.limits.after_disconnect_us);
        if let Some(disconnected) = disconnected {
            self.violations.push(Violation::AfterDisconnect {
                id: id.to_owned(),
                elapsed: at - disconnected,
            });
        }
        request.runs.entry(part).or_default().push(at);
    }

    /// Judges what can be judged only at the end.
    fn finish(self) -> Vec<Violation> {
        let mut violations = self.violations;
        // A kill takes along what came before it was told, or shortly after: nobody could answer that in time.
        let by_kill = |request: &Request, at: u64| {
            let router = request.router.as_str();
            let kill = self.killed.get(router).filter(|kill| **kill <= at);
            let signal = self.signalled.get(router);
            kill.is_some()
                && signal.is_none_or(|signal| {
                    request.sent <= signal + self.limits.accepts_after_signal_us
                })
        };
        for (id, request) in &self.requests {
            let duplicates = request.duplicates();
            violations.extend(
                duplicates
                    .into_iter()
                    .map(|(part, times)| Violation::Duplicate {
                        id: (*id).to_owned(),
                        part,
                        times,
                    }),
            );
            let lost = request.lost(by_kill, self.limits);
            violations.extend(lost.map(|reason| Violation::Lost {
                id: (*id).to_owned(),
                reason,
            }));
        }
        violations
    }
}
