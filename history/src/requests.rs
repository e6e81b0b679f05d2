//! Observations of single requests by clients, nodes, discovery and the test that ends processes; and a checker of the
//! rules that an operator would state for them. Times are microseconds of one monotonic clock. The checker doesn't use
//! any decision of a router.

use std::collections::BTreeMap;

/// How often the parts of a request may run, by the semantics of its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// Again only within this time after the first run, in microseconds: data nodes deduplicate by fingerprint.
    DeduplicatedWithin(u64),
    /// Once.
    OnceOnly,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A client has written the last byte of a request.
    Sent {
        id: String,
        router: String,
        deadline: u64,
        idempotency: Idempotency,
    },
    /// The client has received the last byte of the answer.
    Answered {
        id: String,
        status: u16,
    },
    /// The connection ended before the answer was complete.
    ConnectionLost {
        id: String,
    },
    /// The request was sent on an idle connection that the router closed at the same time, and no byte of an answer came.
    /// The client sends the request again, so no part of it may have started.
    ReusedConnectionClosed {
        id: String,
    },
    /// The client has closed the connection or cancelled the request.
    ClientDisconnected {
        id: String,
    },
    /// A node has received a complete shard request. `node_deadline` is the time that the request gives the node.
    ShardRequestReceived {
        id: String,
        part: u32,
        node: String,
        node_deadline: u64,
    },
    /// Discovery, while reachable, lists the node as draining or gone.
    NodeDraining {
        node: String,
    },
    /// A router was sent the signal to shut down. `RouterKilled` follows, no earlier than the shutdown may take.
    StopSignalled {
        router: String,
    },
    RouterKilled {
        router: String,
    },
}

/// The time limits of the rules, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A request whose answer comes later than this after its deadline is lost.
    pub late_answer_us: u64,
    /// No shard request may arrive later than this after the client disconnected.
    pub after_disconnect_us: u64,
    /// By how much the deadline of a shard request may exceed the request's remaining time.
    pub deadline_slack_us: u64,
    /// How long after discovery has a change the router is assumed to know it.
    pub notified_within_us: u64,
    /// How long after that a draining node may still receive shard requests.
    pub drain_grace_us: u64,
    /// A request that SIGKILL leaves unanswered is lost if it was sent later than this after the stop signal.
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

/// The observations of one request.
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
        // The request is checked anew when the client sends it again. It can't be sent again if a node has received
        // it.
        if self.reused_connection_closed {
            let is_begun = !self.runs.is_empty();
            return is_begun
                .then_some("a part was started, and the connection ended without an answer");
        }
        match (self.answered, self.connection_lost, self.disconnected) {
            (Some(at), ..) if at > self.sent + self.deadline + limits.late_answer_us => {
                Some("the answer came too late")
            }
            (Some(_), ..) | (None, _, Some(_)) => None,
            (None, Some(at), None) if by_kill(self, at) => None,
            (None, Some(_), None) => Some("no complete answer"),
            (None, None, None) => Some("no answer"),
        }
    }

    /// The parts that ran more often, or over a longer time, than the index allows, with their numbers of runs.
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

/// The state of the checker after a prefix of the observations.
struct Checker<'a> {
    limits: Limits,
    requests: BTreeMap<&'a str, Request>,
    /// By name: since when nodes are draining; when routers were sent the stop signal; when they were killed.
    draining: BTreeMap<&'a str, u64>,
    signalled: BTreeMap<&'a str, u64>,
    killed: BTreeMap<&'a str, u64>,
    violations: Vec<Violation>,
}

/// Returns all violations of the rules in a history; none means that it is accepted. Events may be in any order.
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

    /// Checks a shard request that arrived at a node that may be draining.
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

    /// Checks the deadline and the client of a shard request that arrived at a node, and counts the run.
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

    /// Checks the rules that can be checked only at the end of the history.
    fn finish(self) -> Vec<Violation> {
        let mut violations = self.violations;
        // A kill excuses requests sent before the stop signal or shortly after: the router could not answer them in
        // time.
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
