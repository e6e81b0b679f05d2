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

/// All breaks of the rules in a history; an empty list is what is wanted. Events may stand in any order.
pub fn check(events: &[(u64, Saw)], terms: Terms) -> Vec<Break> {
    let mut events: Vec<&(u64, Saw)> = events.iter().collect();
    events.sort_by_key(|(at, saw)| (*at, !matches!(saw, Saw::Sent { .. })));
    let mut requests: BTreeMap<&str, Request> = BTreeMap::new();
    let (mut drains, mut ended, mut killed) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
    let mut breaks = Vec::new();
    for (at, saw) in &events {
        match saw {
            Saw::Sent {
                id,
                router,
                deadline,
                effect,
            } => {
                requests.entry(id).or_insert_with(|| Request {
                    sent: *at,
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
            Saw::Answered { id, .. } => {
                if let Some(of) = requests.get_mut(id.as_str()) {
                    if of.answered.replace(*at).is_some() {
                        breaks.push(Break::AnsweredTwice { id: id.clone() });
                    }
                }
            }
            Saw::NoAnswer { id } => {
                requests
                    .get_mut(id.as_str())
                    .into_iter()
                    .for_each(|of| of.failed = Some(*at));
            }
            Saw::Crossed { id } => {
                requests
                    .get_mut(id.as_str())
                    .into_iter()
                    .for_each(|of| of.crossed = true);
            }
            Saw::Left { id } => {
                requests
                    .get_mut(id.as_str())
                    .into_iter()
                    .for_each(|of| of.left = Some(*at));
            }
            Saw::Drains { node } => {
                drains.entry(node.as_str()).or_insert(*at);
            }
            Saw::ToldToEnd { router } => {
                ended.entry(router.as_str()).or_insert(*at);
            }
            Saw::Killed { router } => {
                killed.entry(router.as_str()).or_insert(*at);
            }
            Saw::Came {
                id,
                part,
                node,
                told,
            } => {
                if let Some(since) = drains.get(node.as_str()) {
                    let after = at - since;
                    if after > terms.told + terms.grace {
                        breaks.push(Break::Drain {
                            node: node.clone(),
                            id: id.clone(),
                            after,
                        });
                    }
                }
                let Some(of) = requests.get_mut(id.as_str()) else {
                    continue;
                };
                let left = (of.sent + of.deadline).saturating_sub(*at);
                if *told > left + terms.slack {
                    breaks.push(Break::ToldTooMuch {
                        id: id.clone(),
                        told: *told,
                        left,
                    });
                }
                if let Some(gone) = of.left.filter(|gone| *at > gone + terms.gone) {
                    breaks.push(Break::AfterLeaving {
                        id: id.clone(),
                        by: at - gone,
                    });
                }
                of.runs.entry(*part).or_default().push(*at);
            }
        }
    }
    for (id, of) in requests {
        // It is counted anew from when it is sent again; one that a node has got cannot be.
        if of.crossed {
            if !of.runs.is_empty() {
                breaks.push(Break::Lost {
                    id: id.to_owned(),
                    why: "begun, and its connection ended without an answer",
                });
            }
            continue;
        }
        for (part, runs) in &of.runs {
            let too_many = match of.effect {
                Effect::Any => false,
                Effect::Within(window) => runs.last().is_some_and(|last| last - runs[0] > window),
                Effect::Once => runs.len() > 1,
            };
            if too_many {
                breaks.push(Break::Duplicate {
                    id: id.to_owned(),
                    part: *part,
                    times: runs.len(),
                });
            }
        }
        // A kill takes along what came before it was told, or shortly after: nobody could answer that in time.
        let by_kill = |at: u64| {
            let kill = killed.get(of.router.as_str()).filter(|kill| **kill <= at);
            let told = ended.get(of.router.as_str());
            kill.is_some() && told.is_none_or(|told| of.sent <= told + terms.accepts)
        };
        let lost = match (of.answered, of.failed, of.left) {
            (Some(at), ..) if at > of.sent + of.deadline + terms.late => Some("answered too late"),
            (Some(_), ..) | (None, _, Some(_)) => None,
            (None, Some(at), None) if by_kill(at) => None,
            (None, Some(_), None) => Some("no whole answer"),
            (None, None, None) => Some("no answer"),
        };
        breaks.extend(lost.map(|why| Break::Lost {
            id: id.to_owned(),
            why,
        }));
    }
    breaks
}
