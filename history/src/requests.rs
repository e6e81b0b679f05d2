//! What clients, nodes, discovery and whoever ends processes saw of single requests, and the rules that an operator states of them.
//! Times are microseconds of one monotonic clock. The checker knows no decision of a router's.

use std::collections::BTreeMap;

/// What an index allows, in the operators' words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent.
    Any,
    /// Fingerprinted: again within so many microseconds of the first time.
    Within(u64),
    /// Once-only.
    Once,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Saw {
    /// A client has written a request's last byte.
    Sent {
        id: String,
        router: String,
        deadline: u64,
        effect: Effect,
    },
    /// The last byte of its answer has come.
    Answered {
        id: String,
        status: u16,
    },
    /// Its connection has ended with no whole answer.
    NoAnswer {
        id: String,
    },
    /// Its connection ended without a byte of an answer while it was on the way to a resting connection: its client sends it
    /// again, so nothing of it may have been begun.
    Crossed {
        id: String,
    },
    /// Its client has closed or cancelled.
    Left {
        id: String,
    },
    /// A part has come at a node, whole, with the time that the node was told.
    Came {
        id: String,
        part: u32,
        node: String,
        told: u64,
    },
    /// Discovery has a node as draining or gone, and can be reached.
    Drains {
        node: String,
    },
    /// A router is told to end; and is killed, no sooner than it may be.
    ToldToEnd {
        router: String,
    },
    Killed {
        router: String,
    },
}

/// The figures of the rules, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// An answer this long after its time is lost.
    pub late: u64,
    /// No attempt begins so long after its client left.
    pub gone: u64,
    /// The slack of a time that a node is told.
    pub slack: u64,
    /// A change counts as told so long after discovery had it, and is obeyed so much later.
    pub told: u64,
    pub grace: u64,
    /// What SIGKILL finds unanswered is lost if it came so long after the signal.
    pub accepts: u64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            late: 500_000,
            gone: 100_000,
            slack: 150_000,
            told: 6_000_000,
            grace: 500_000,
            accepts: 700_000,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Break {
    Lost {
        id: String,
        why: &'static str,
    },
    AfterLeaving {
        id: String,
        by: u64,
    },
    Duplicate {
        id: String,
        part: u32,
        times: usize,
    },
    ToldTooMuch {
        id: String,
        told: u64,
        left: u64,
    },
    Drain {
        node: String,
        id: String,
        after: u64,
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
    effect: Effect,
    answered: Option<u64>,
    failed: Option<u64>,
    left: Option<u64>,
    crossed: bool,
    runs: BTreeMap<u32, Vec<u64>>,
}

impl Request {
    fn lost(&self, by_kill: impl Fn(&Request, u64) -> bool, terms: Terms) -> Option<&'static str> {
        // It is counted anew from when it is sent again; one that a node has got cannot be.
        if self.crossed {
            let is_begun = !self.runs.is_empty();
            return is_begun.then_some("begun, and its connection ended without an answer");
        }
        match (self.answered, self.failed, self.left) {
            (Some(at), ..) if at > self.sent + self.deadline + terms.late => {
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
        let too_many = |runs: &Vec<u64>| match self.effect {
            Effect::Any => false,
            Effect::Within(window) => runs.last().is_some_and(|last| last - runs[0] > window),
            Effect::Once => runs.len() > 1,
        };
        let runs = self.runs.iter().filter(|_| !self.crossed);
        runs.filter(|(_, runs)| too_many(runs))
            .map(|(part, runs)| (*part, runs.len()))
            .collect()
    }
}

/// A history as far as it has been read.
struct Checker<'a> {
    terms: Terms,
    requests: BTreeMap<&'a str, Request>,
    /// Since when nodes drain, and when routers were told to end and were killed, by name.
    drains: BTreeMap<&'a str, u64>,
    ended: BTreeMap<&'a str, u64>,
    killed: BTreeMap<&'a str, u64>,
    breaks: Vec<Break>,
}

/// All breaks of the rules in a history; an empty list is what is wanted. Events may stand in any order.
pub fn check(events: &[(u64, Saw)], terms: Terms) -> Vec<Break> {
    let mut events: Vec<&(u64, Saw)> = events.iter().collect();
    events.sort_by_key(|(at, saw)| (*at, !matches!(saw, Saw::Sent { .. })));
    let mut checker = Checker {
        terms,
        requests: BTreeMap::new(),
        drains: BTreeMap::new(),
        ended: BTreeMap::new(),
        killed: BTreeMap::new(),
        breaks: Vec::new(),
    };
    for (at, saw) in events {
        checker.read(*at, saw);
    }
    checker.finish()
}

impl<'a> Checker<'a> {
    fn read(&mut self, at: u64, saw: &'a Saw) {
        match saw {
            Saw::Sent {
                id,
                router,
                deadline,
                effect,
            } => {
                self.requests.entry(id).or_insert_with(|| Request {
                    sent: at,
                    router: router.clone(),
                    deadline: *deadline,
                    effect: *effect,
                    answered: None,
                    failed: None,
                    left: None,
                    crossed: false,
                    runs: BTreeMap::new(),
                });
            }
            Saw::Answered { id, .. } => self.answered(at, id),
            Saw::NoAnswer { id } => self.note(id, |request| request.failed = Some(at)),
            Saw::Crossed { id } => self.note(id, |request| request.crossed = true),
            Saw::Left { id } => self.note(id, |request| request.left = Some(at)),
            Saw::Drains { node } => {
                self.drains.entry(node).or_insert(at);
            }
            Saw::ToldToEnd { router } => {
                self.ended.entry(router).or_insert(at);
            }
            Saw::Killed { router } => {
                self.killed.entry(router).or_insert(at);
            }
            Saw::Came {
                id,
                part,
                node,
                told,
            } => {
                self.drained(at, id, node);
                self.came(at, id, *part, *told);
            }
        }
    }

    fn note(&mut self, id: &str, note: impl FnOnce(&mut Request)) {
        if let Some(request) = self.requests.get_mut(id) {
            note(request);
        }
    }

    fn answered(&mut self, at: u64, id: &str) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request.answered.replace(at).is_some() {
            self.breaks.push(Break::AnsweredTwice { id: id.to_owned() });
        }
    }

    /// A part has come at a node that may be draining.
    fn drained(&mut self, at: u64, id: &str, node: &str) {
        let Some(since) = self.drains.get(node) else {
            return;
        };
        let after = at - since;
        if after > self.terms.told + self.terms.grace {
            self.breaks.push(Break::Drain {
                node: node.to_owned(),
                id: id.to_owned(),
                after,
            });
        }
    }

    /// A part has come, with the time that its node was told.
    fn came(&mut self, at: u64, id: &str, part: u32, told: u64) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let left = (request.sent + request.deadline).saturating_sub(at);
        if told > left + self.terms.slack {
            self.breaks.push(Break::ToldTooMuch {
                id: id.to_owned(),
                told,
                left,
            });
        }
        let gone = request.left.filter(|gone| at > gone + self.terms.gone);
        if let Some(gone) = gone {
            self.breaks.push(Break::AfterLeaving {
                id: id.to_owned(),
                by: at - gone,
            });
        }
        request.runs.entry(part).or_default().push(at);
    }

    /// Judges what can be judged only at the end.
    fn finish(self) -> Vec<Break> {
        let mut breaks = self.breaks;
        // A kill takes along what came before it was told, or shortly after: nobody could answer that in time.
        let by_kill = |request: &Request, at: u64| {
            let router = request.router.as_str();
            let kill = self.killed.get(router).filter(|kill| **kill <= at);
            let told = self.ended.get(router);
            kill.is_some() && told.is_none_or(|told| request.sent <= told + self.terms.accepts)
        };
        for (id, request) in &self.requests {
            let duplicates = request.duplicates();
            breaks.extend(
                duplicates
                    .into_iter()
                    .map(|(part, times)| Break::Duplicate {
                        id: (*id).to_owned(),
                        part,
                        times,
                    }),
            );
            let lost = request.lost(by_kill, self.terms);
            breaks.extend(lost.map(|why| Break::Lost {
                id: (*id).to_owned(),
                why,
            }));
        }
        breaks
    }
}
