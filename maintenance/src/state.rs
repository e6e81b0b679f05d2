//! The books of the works: what the fleet has agreed on, replayed from the log alone. What no longer fits the state when
//! its turn comes changes nothing.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use ternpick_fleet_policy::{Index, Member};

use crate::disruption_budget::MOST_OUT;
use crate::ids::{Fence, PermitNo, RequestNo};

/// Requests that are open at a time, and machines of one request.
pub const MOST_REQUESTS: usize = 64;
pub const MOST_MACHINES: usize = 200;
/// Lines of the past; the oldest go first.
const MOST_PAST: usize = 64;
/// The longest name or reason, in bytes.
const LONGEST: usize = 256;

/// What an operator asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    pub machines: Vec<String>,
    pub why: String,
    pub by: String,
    /// How long the work on one machine takes, in microseconds.
    pub lasts: u64,
    /// Not before, and by when: milliseconds of the wall clock.
    pub not_before: Option<u64>,
    pub by_when: Option<u64>,
    /// Higher goes first.
    pub priority: u8,
    /// All machines at once, or none.
    pub together: bool,
}

/// How far a machine is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    Waiting,
    /// Out by agreement: it gets no new work, and is not proven quiet yet.
    Out,
    /// Quiet, and handed over. `begun`: by whom, once somebody has taken it. `failed`: it was given back unfit.
    Permitted {
        permit: PermitNo,
        begun: Option<String>,
        failed: Option<String>,
    },
    /// Given back; it has yet to show that it bears load.
    Returning {
        permit: PermitNo,
    },
    /// It did not come back in time, and is kept out.
    KeptOut {
        permit: PermitNo,
    },
    InService,
    Cancelled,
}

impl Phase {
    /// Nothing new goes there.
    pub fn is_out(&self) -> bool {
        matches!(
            self,
            Phase::Out | Phase::Permitted { .. } | Phase::KeptOut { .. }
        )
    }

    /// Somebody is at it, or it has yet to be there again.
    pub fn is_active(&self) -> bool {
        self.is_out() || matches!(self, Phase::Returning { .. })
    }

    pub fn description(&self) -> &'static str {
        match self {
            Phase::Waiting => "waits",
            Phase::Out => "being emptied",
            Phase::Permitted {
                failed: Some(_), ..
            } => "given back unfit",
            Phase::Permitted { begun: Some(_), .. } => "in work",
            Phase::Permitted { .. } => "permitted",
            Phase::Returning { .. } => "coming back",
            Phase::KeptOut { .. } => "kept out",
            Phase::InService => "back",
            Phase::Cancelled => "cancelled",
        }
    }

    pub fn permit(&self) -> Option<PermitNo> {
        match self {
            Phase::Permitted { permit, .. }
            | Phase::Returning { permit }
            | Phase::KeptOut { permit } => Some(*permit),
            _ => None,
        }
    }
}

/// One machine of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Operation {
    pub phase: Phase,
    /// Where in the log it came to this stage, and when by the wall clock of who carried it on; milliseconds.
    pub at: Index,
    pub since: u64,
}

/// Why nothing more goes out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pause {
    pub by: String,
    pub why: String,
    /// The fleet's own, which ends by itself.
    pub own: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HistoryEntry {
    pub at: Index,
    pub words: String,
}

/// What an entry asks for. Steps carry the number of who carries the work on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    Ask {
        request: Request,
    },
    /// Of a request that is open: another deadline, or another priority.
    Change {
        request: RequestNo,
        by_when: Option<u64>,
        priority: u8,
        by: String,
    },
    Cancel {
        request: RequestNo,
        by: String,
    },
    #[serde(rename = "hold")]
    Pause {
        by: String,
        why: String,
    },
    Resume {
        by: String,
    },
    Begin {
        permit: PermitNo,
        by: String,
    },
    /// The permit is given back; `failed`: the machine is not fit, and stays out.
    Done {
        permit: PermitNo,
        by: String,
        failed: Option<String>,
    },
    /// This router carries the work on, as it leads in this term.
    Carry {
        member: Member,
        term: u64,
    },
    TakeOut {
        fence: Fence,
        jobs: Vec<(RequestNo, String)>,
        now: u64,
    },
    Permit {
        fence: Fence,
        job: (RequestNo, String),
        now: u64,
    },
    Back {
        fence: Fence,
        job: (RequestNo, String),
        now: u64,
    },
    Keep {
        fence: Fence,
        job: (RequestNo, String),
        now: u64,
    },
    OwnHold {
        fence: Fence,
        why: String,
    },
    GoOn {
        fence: Fence,
    },
    /// Part calls a second of all routers, as each has told them.
    Load {
        fence: Fence,
        calls: u64,
    },
    /// A member that left can surely act no more.
    Forget {
        fence: Fence,
        member: Member,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaintenanceState {
    pub fence: Fence,
    /// Who carries the work on, and in which term it led.
    pub coordinator: Option<(Member, u64)>,
    /// Open ones; one is taken off once all its machines are back or cancelled.
    pub requests: BTreeMap<RequestNo, Request>,
    pub operations: BTreeMap<(RequestNo, String), Operation>,
    pub pause: Option<Pause>,
    /// Part calls a second of all routers together, as last agreed.
    pub load: u64,
    pub members: BTreeSet<Member>,
    /// Left, and may still act on what they admitted; emptied by [`Entry::Forget`].
    pub departed_members: BTreeSet<Member>,
    pub history: VecDeque<HistoryEntry>,
}

type Played = Result<u64, String>;

fn refused(words: impl Into<String>) -> Played {
    Err(words.into())
}

impl MaintenanceState {
    /// Machines that get nothing new, in order.
    pub fn machines_out(&self) -> Vec<String> {
        let out = self.operations.iter().filter(|(_, job)| job.phase.is_out());
        let names: BTreeSet<&String> = out.map(|((_, machine), _)| machine).collect();
        names.into_iter().cloned().collect()
    }

    /// Machines that are out, or have yet to be there again.
    pub fn active_machines(&self) -> BTreeSet<&str> {
        let active = self
            .operations
            .iter()
            .filter(|(_, job)| job.phase.is_active());
        active.map(|((_, machine), _)| machine.as_str()).collect()
    }

    fn permitted(&self, permit: PermitNo) -> Option<(RequestNo, String)> {
        let found = self
            .operations
            .iter()
            .find(|(_, job)| job.phase.permit() == Some(permit));
        found.map(|(key, _)| key.clone())
    }

    fn note(&mut self, at: Index, words: String) {
        self.history.push_back(HistoryEntry { at, words });
        while self.history.len() > MOST_PAST {
            self.history.pop_front();
        }
    }

    fn set(&mut self, key: &(RequestNo, String), stage: Phase, at: Index, since: u64) {
        let words = format!("{} of request {}: {}", key.1, key.0, stage.description());
        if let Some(job) = self.operations.get_mut(key) {
            *job = Operation {
                phase: stage,
                at,
                since,
            };
            self.note(at, words);
        }
        self.close(key.0, at);
    }

    /// A request of which nothing is left to do is closed.
    fn close(&mut self, request: RequestNo, at: Index) {
        let mut own = self.operations.iter().filter(|((of, _), _)| *of == request);
        let over = |job: &Operation| matches!(job.phase, Phase::InService | Phase::Cancelled);
        if self.requests.contains_key(&request) && own.all(|(_, job)| over(job)) {
            self.requests.remove(&request);
            self.operations.retain(|(of, _), _| *of != request);
            self.note(at, format!("request {request} is closed"));
        }
    }

    pub fn set_members(&mut self, members: BTreeSet<Member>) {
        let left: Vec<Member> = self.members.difference(&members).cloned().collect();
        self.departed_members.extend(left);
        self.departed_members
            .retain(|member| !members.contains(member));
        self.members = members;
    }

    /// Plays an entry. For who asked: a number, or why it is refused.
    pub fn apply(&mut self, at: Index, entry: Entry) -> Played {
        match entry {
            Entry::Ask { request } => self.ask(at, request),
            Entry::Change {
                request,
                by_when,
                priority,
                by,
            } => {
                let Some(of) = self.requests.get_mut(&request) else {
                    return refused(format!("there is no open request {request}"));
                };
                (of.by_when, of.priority) = (by_when, priority);
                self.note(at, format!("request {request} is changed by {by}"));
                Ok(request.0)
            }
            Entry::Cancel { request, by } => self.cancel(at, request, &by),
            Entry::Pause { by, why } => {
                self.note(at, format!("held by {by}: {why}"));
                self.pause = Some(Pause {
                    by,
                    why,
                    own: false,
                });
                Ok(at.0)
            }
            Entry::Resume { by } => {
                if self.pause.take().is_none() {
                    return refused("nothing is held");
                }
                self.note(at, format!("resumed by {by}"));
                Ok(at.0)
            }
            Entry::Begin { permit, by } => self.begin(at, permit, by),
            Entry::Done { permit, by, failed } => self.done(at, permit, &by, failed),
            Entry::Carry { member, term } => {
                // A term has one that leads; an earlier one's word comes too late.
                if self
                    .coordinator
                    .as_ref()
                    .is_some_and(|(_, known)| *known >= term)
                {
                    return refused("another carries the work on by now");
                }
                self.note(at, format!("{member} carries the work on"));
                (self.fence, self.coordinator) = (Fence(at.0), Some((member, term)));
                Ok(at.0)
            }
            Entry::TakeOut { fence, .. }
            | Entry::Permit { fence, .. }
            | Entry::Back { fence, .. }
            | Entry::Keep { fence, .. }
            | Entry::OwnHold { fence, .. }
            | Entry::GoOn { fence }
            | Entry::Load { fence, .. }
            | Entry::Forget { fence, .. }
                if fence != self.fence =>
            {
                refused(format!(
                    "its number {fence} is old, the work is carried on under {}",
                    self.fence
                ))
            }
            Entry::TakeOut { jobs, now, .. } => self.take_out(at, jobs, now),
            Entry::Permit { job, now, .. } => match self.operations.get(&job).map(|of| &of.phase) {
                Some(Phase::Out) => {
                    let stage = Phase::Permitted {
                        permit: PermitNo(at.0),
                        begun: None,
                        failed: None,
                    };
                    self.set(&job, stage, at, now);
                    Ok(at.0)
                }
                _ => refused("it is not being emptied"),
            },
            Entry::Back { job, now, .. } => match self.operations.get(&job).map(|of| &of.phase) {
                Some(Phase::Returning { .. }) => {
                    self.set(&job, Phase::InService, at, now);
                    Ok(at.0)
                }
                _ => refused("it is not coming back"),
            },
            Entry::Keep { job, now, .. } => match self.operations.get(&job).map(|of| &of.phase) {
                Some(Phase::Returning { permit }) => {
                    let permit = *permit;
                    self.set(&job, Phase::KeptOut { permit }, at, now);
                    Ok(at.0)
                }
                _ => refused("it is not coming back"),
            },
            Entry::OwnHold { why, .. } => {
                if self.pause.is_none() {
                    self.note(at, format!("held by itself: {why}"));
                    self.pause = Some(Pause {
                        by: "the fleet".into(),
                        why,
                        own: true,
                    });
                }
                Ok(at.0)
            }
            Entry::GoOn { .. } => {
                if self.pause.take_if(|hold| hold.own).is_some() {
                    self.note(at, "goes on by itself".into());
                }
                Ok(at.0)
            }
            Entry::Load { calls, .. } => {
                self.load = calls;
                Ok(at.0)
            }
            Entry::Forget { member, .. } => {
                self.departed_members.remove(&member);
                Ok(at.0)
            }
        }
    }

    fn ask(&mut self, at: Index, request: Request) -> Played {
        let number = RequestNo(at.0);
        let names: BTreeSet<&String> = request.machines.iter().collect();
        if request.machines.is_empty() || request.machines.len() > MOST_MACHINES {
            return refused(format!("a request names 1 to {MOST_MACHINES} machines"));
        }
        if names.len() != request.machines.len() {
            return refused("it names a machine twice");
        }
        if request
            .machines
            .iter()
            .any(|name| name.is_empty() || name.len() > LONGEST)
            || request.why.len() + request.by.len() > LONGEST * 2
        {
            return refused("its words are longer than any are");
        }
        if self.requests.len() >= MOST_REQUESTS {
            return refused(format!(
                "{MOST_REQUESTS} requests are open: close some first"
            ));
        }
        for machine in &request.machines {
            let job = Operation {
                phase: Phase::Waiting,
                at,
                since: 0,
            };
            self.operations.insert((number, machine.clone()), job);
        }
        self.note(
            at,
            format!(
                "request {number} by {}: {} machines, {}",
                request.by,
                request.machines.len(),
                request.why
            ),
        );
        self.requests.insert(number, request);
        Ok(number.0)
    }

    fn cancel(&mut self, at: Index, request: RequestNo, by: &str) -> Played {
        if !self.requests.contains_key(&request) {
            return refused(format!("there is no open request {request}"));
        }
        let own = self.operations.iter().filter(|((of, _), _)| *of == request);
        // What somebody may be working on stays out until it is given back.
        let free = own.filter(|(_, job)| matches!(job.phase, Phase::Waiting | Phase::Out));
        let free: Vec<(RequestNo, String)> = free.map(|(key, _)| key.clone()).collect();
        self.note(
            at,
            format!(
                "request {request} is cancelled by {by}, {} machines",
                free.len()
            ),
        );
        let count = free.len() as u64;
        for key in free {
            let since = self.operations.get(&key).map_or(0, |job| job.since);
            self.set(&key, Phase::Cancelled, at, since);
        }
        Ok(count)
    }

    fn take_out(&mut self, at: Index, jobs: Vec<(RequestNo, String)>, now: u64) -> Played {
        let active: BTreeSet<String> = self
            .active_machines()
            .into_iter()
            .map(str::to_owned)
            .collect();
        let waits = |key: &(RequestNo, String)| {
            self.operations
                .get(key)
                .is_some_and(|job| job.phase == Phase::Waiting)
                && !active.contains(&key.1)
        };
        if self.pause.is_some() || !jobs.iter().all(waits) || active.len() + jobs.len() > MOST_OUT {
            return refused("it was held, cancelled or taken out meanwhile");
        }
        for key in jobs {
            self.set(&key, Phase::Out, at, now);
        }
        Ok(at.0)
    }

    fn begin(&mut self, at: Index, permit: PermitNo, by: String) -> Played {
        let found = self.permitted(permit);
        let stage = found
            .as_ref()
            .and_then(|key| self.operations.get_mut(key))
            .map(|job| &mut job.phase);
        match stage {
            Some(Phase::Permitted {
                begun: Some(other), ..
            }) if *other != by => refused(format!("{other} has taken permit {permit}")),
            Some(Phase::Permitted { begun, failed, .. }) => {
                (*begun, *failed) = (Some(by.clone()), None);
                let machine = found.map(|(_, machine)| machine).unwrap_or_default();
                self.note(at, format!("{by} works on {machine} under permit {permit}"));
                Ok(permit.0)
            }
            _ => refused(format!("there is no permit {permit}")),
        }
    }

    fn done(&mut self, at: Index, permit: PermitNo, by: &str, failed: Option<String>) -> Played {
        let Some(key) = self.permitted(permit) else {
            return refused(format!("there is no permit {permit}"));
        };
        let since = self.operations.get(&key).map_or(0, |job| job.since);
        match (
            self.operations.get_mut(&key).map(|job| &mut job.phase),
            failed,
        ) {
            (Some(Phase::Returning { .. }), _) => {
                refused(format!("permit {permit} was given back before"))
            }
            (Some(Phase::Permitted { failed, .. }), Some(words)) => {
                *failed = Some(words.chars().take(LONGEST).collect());
                self.note(
                    at,
                    format!("{} is given back unfit by {by}, and stays out", key.1),
                );
                Ok(permit.0)
            }
            (Some(Phase::Permitted { .. } | Phase::KeptOut { .. }), None) => {
                self.set(&key, Phase::Returning { permit }, at, since);
                Ok(permit.0)
            }
            _ => refused(format!("permit {permit} cannot be given back now")),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn ask(machines: &[&str]) -> Entry {
        let machines = machines.iter().map(|name| (*name).to_owned()).collect();
        Entry::Ask {
            request: Request {
                machines,
                by: "ann".into(),
                ..Request::default()
            },
        }
    }

    fn key(request: u64, machine: &str) -> (RequestNo, String) {
        (RequestNo(request), machine.into())
    }

    /// Request 1 for a and b; n0 carries the work on under 2, and a is out at 3.
    fn begun() -> MaintenanceState {
        let mut books = MaintenanceState::default();
        for (at, entry) in [
            ask(&["a", "b"]),
            Entry::Carry {
                member: "n0".into(),
                term: 1,
            },
            Entry::TakeOut {
                fence: Fence(2),
                jobs: vec![key(1, "a")],
                now: 5,
            },
        ]
        .into_iter()
        .enumerate()
        {
            books.apply(Index(at as u64 + 1), entry).expect("it fits");
        }
        books
    }

    #[test]
    fn an_old_carriers_steps_count_for_nothing() {
        let mut books = begun();
        assert_eq!(
            books.apply(
                Index(4),
                Entry::Carry {
                    member: "n1".into(),
                    term: 2
                }
            ),
            Ok(4)
        );
        let late = Entry::Permit {
            fence: Fence(2),
            job: key(1, "a"),
            now: 6,
        };
        assert!(books.apply(Index(5), late).is_err());
        assert!(books
            .apply(
                Index(6),
                Entry::Carry {
                    member: "n0".into(),
                    term: 1
                }
            )
            .is_err());
        let step = Entry::Permit {
            fence: Fence(4),
            job: key(1, "a"),
            now: 6,
        };
        assert_eq!(books.apply(Index(7), step), Ok(7));
    }

    #[test]
    fn a_permit_stands_until_it_is_given_back_and_exists_once() {
        let mut books = begun();
        let permit = Entry::Permit {
            fence: Fence(2),
            job: key(1, "a"),
            now: 6,
        };
        assert_eq!(books.apply(Index(4), permit.clone()), Ok(4));
        assert!(books.apply(Index(5), permit).is_err(), "a second permit");
        let cancel = Entry::Cancel {
            request: RequestNo(1),
            by: "ann".into(),
        };
        assert_eq!(books.apply(Index(6), cancel), Ok(1), "only b, which waits");
        assert_eq!(books.machines_out(), ["a"]);
        let begin = |by: &str| Entry::Begin {
            permit: PermitNo(4),
            by: by.into(),
        };
        assert_eq!(books.apply(Index(7), begin("ann")), Ok(4));
        assert!(books.apply(Index(8), begin("bob")).is_err(), "ann has it");
        let done = |failed: Option<&str>| Entry::Done {
            permit: PermitNo(4),
            by: "ann".into(),
            failed: failed.map(str::to_owned),
        };
        assert_eq!(books.apply(Index(9), done(Some("no disk"))), Ok(4));
        assert_eq!(books.machines_out(), ["a"], "unfit stays out");
        assert_eq!(books.apply(Index(10), done(None)), Ok(4));
        assert!(books.machines_out().is_empty() && books.active_machines().contains("a"));
        assert!(
            books.apply(Index(11), done(None)).is_err(),
            "given back twice"
        );
        let back = Entry::Back {
            fence: Fence(2),
            job: key(1, "a"),
            now: 9,
        };
        assert_eq!(books.apply(Index(12), back), Ok(12));
        assert!(
            books.requests.is_empty() && books.operations.is_empty(),
            "{books:?}"
        );
    }

    #[test]
    fn the_same_machine_in_two_requests_goes_out_for_one_at_a_time() {
        let mut books = begun();
        books.apply(Index(4), ask(&["a", "c"])).expect("asked");
        let again = Entry::TakeOut {
            fence: Fence(2),
            jobs: vec![key(4, "a")],
            now: 5,
        };
        assert!(books.apply(Index(5), again).is_err());
        let other = Entry::TakeOut {
            fence: Fence(2),
            jobs: vec![key(4, "c")],
            now: 5,
        };
        assert!(books.apply(Index(6), other).is_ok());
    }

    #[test]
    fn a_member_that_left_is_remembered_until_it_can_act_no_more() {
        let mut books = begun();
        books.set_members(["n0", "n1"].map(Member::from).into());
        books.set_members(["n0"].map(Member::from).into());
        assert!(books.departed_members.contains(&"n1".into()));
        books
            .apply(
                Index(9),
                Entry::Forget {
                    fence: Fence(2),
                    member: "n1".into(),
                },
            )
            .expect("forgotten");
        assert!(books.departed_members.is_empty());
    }

    fn entry() -> impl Strategy<Value = Entry> {
        let job = || {
            (1u64..4, 0usize..4).prop_map(|(request, at)| key(request, ["a", "b", "c", "d"][at]))
        };
        let fence = || (0u64..6).prop_map(Fence);
        let permit = || (0u64..40).prop_map(PermitNo);
        prop_oneof![
            Just(ask(&["a", "b"])),
            Just(ask(&["c", "d"])),
            (1u64..4).prop_map(|no| Entry::Cancel {
                request: RequestNo(no),
                by: "ann".into()
            }),
            Just(Entry::Pause {
                by: "ann".into(),
                why: "wait".into()
            }),
            Just(Entry::Resume { by: "ann".into() }),
            permit().prop_map(|permit| Entry::Begin {
                permit,
                by: "ann".into()
            }),
            (permit(), any::<bool>()).prop_map(|(permit, fails)| Entry::Done {
                permit,
                by: "ann".into(),
                failed: fails.then(|| "broken".into())
            }),
            (1u64..4).prop_map(|term| Entry::Carry {
                member: "n0".into(),
                term
            }),
            (fence(), job()).prop_map(|(fence, job)| Entry::TakeOut {
                fence,
                jobs: vec![job],
                now: 0
            }),
            (fence(), job()).prop_map(|(fence, job)| Entry::Permit { fence, job, now: 0 }),
            (fence(), job()).prop_map(|(fence, job)| Entry::Back { fence, job, now: 0 }),
            (fence(), job()).prop_map(|(fence, job)| Entry::Keep { fence, job, now: 0 }),
            fence().prop_map(|fence| Entry::OwnHold {
                fence,
                why: "late".into()
            }),
            fence().prop_map(|fence| Entry::GoOn { fence }),
            (fence(), 0u64..9).prop_map(|(fence, calls)| Entry::Load { fence, calls }),
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn whatever_comes_no_machine_is_out_twice_and_nothing_grows(
            entries in proptest::collection::vec(entry(), 1..300)
        ) {
            let mut books = MaintenanceState::default();
            let mut permits = BTreeSet::new();
            for (at, entry) in entries.into_iter().enumerate() {
                let before = books.clone();
                let is_permit = matches!(entry, Entry::Permit { .. });
                if let (Ok(number), true) = (books.apply(Index(at as u64 + 1), entry), is_permit) {
                    prop_assert!(permits.insert(number), "a permit's number comes once");
                }
                let active = books.operations.iter().filter(|(_, job)| job.phase.is_active()).count();
                prop_assert_eq!(active, books.active_machines().len(), "a machine is active for one request at most");
                // A machine in somebody's hands stays out until it is given back.
                for (key, job) in &before.operations {
                    if let Phase::Permitted { permit, .. } = job.phase {
                        let now = books.operations.get(key).map(|job| job.phase.permit());
                        prop_assert_eq!(now, Some(Some(permit)));
                    }
                }
                prop_assert!(books.history.len() <= MOST_PAST && books.requests.len() <= MOST_REQUESTS);
                prop_assert!(books.operations.keys().all(|(request, _)| books.requests.contains_key(request)));
            }
        }
    }
}
