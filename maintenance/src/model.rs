//! All orders of one machine's going out, at small size, with the real books and carrier: two routers with leases, lookups
//! in hand, words that come late or not at all, who carries the work on changes, and its word from before comes still.
//! The rule: nothing is begun at the machine while its permit stands.

use stateright::{Checker, Model, Property};
use ternpick::types::Micros;
use ternpick_fleet_policy::{Extension, Index, MemberContact};
use test_case::test_case;

use crate::disruption_budget::{ClusterView as Fleet, Limits, Node};
use crate::*;

const LEASE: u8 = 2;
/// A lookup that was admitted may have parts sent for so long.
const LINGERS: u8 = 2;
const UNTIL: u8 = 9;

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Router {
    goes_by: u64,
    lease: u8,
    /// Until when its lookup in hand may send parts.
    hand: Option<u8>,
    /// It has a part at the machine.
    busy: bool,
    /// A word that is on its way.
    letter: Option<(u64, bool)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ClusterView {
    now: u8,
    at: u64,
    term: u64,
    books: MaintenanceState,
    /// Where the machine's being out was agreed.
    outs_at: u64,
    routers: [Router; 2],
    /// Of who leads: since when, the newest word of each, and when it last gave each a lease.
    since: u8,
    words: [Option<(u64, bool)>; 2],
    granted: [Option<u8>; 2],
    /// A step of the one that carried the work on before, which is put late.
    late: Option<Entry>,
    broken: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Passes,
    /// A router and the one that leads speak: its word, what it has to know, its lease.
    Speaks(usize),
    Writes(usize),
    Comes(usize),
    Takes(usize),
    Sends(usize),
    Ends(usize),
    /// Who leads does what is due.
    Steps,
    /// The same, and it is lost for now.
    Holds,
    Late,
    Changes,
    GivesBack,
}

struct Out {
    planted: Option<InjectedBug>,
}

impl ClusterView {
    fn out(&self) -> bool {
        !self.books.machines_out().is_empty()
    }

    fn permitted(&self) -> bool {
        self.books
            .operations
            .values()
            .any(|job| matches!(job.phase, Phase::Permitted { .. }))
    }

    fn play(&mut self, entry: Entry) {
        self.at += 1;
        let before = self.books.machines_out();
        // An entry that no longer fits changes nothing.
        let _ = self.books.apply(Index(self.at), entry);
        self.books.history.clear();
        if self.books.machines_out() != before {
            self.outs_at = self.at;
        }
    }

    fn attended(&self) -> Vec<MemberContact> {
        let of = |at: usize| {
            let word = self.words[at].map(|(goes_by, busy)| {
                let busy = if busy {
                    vec!["s0".to_owned()]
                } else {
                    Vec::new()
                };
                RouterReport {
                    goes_by: Index(goes_by),
                    busy,
                    ..RouterReport::default()
                }
                .encode()
            });
            let span = LEASE + LINGERS;
            let over = self.now > self.since + span
                && self.granted[at].is_none_or(|at| self.now > at + span);
            let member = if at == 0 { "a" } else { "b" }.into();
            MemberContact {
                member,
                is_recent: word.is_some(),
                report: word,
                only_one_process: true,
                all_leases_expired: over,
            }
        };
        vec![of(0), of(1)]
    }

    fn steps(&self, planted: Option<InjectedBug>) -> Vec<Entry> {
        let limits = Limits {
            zone_share: 0.0,
            most_out: 1.0,
            ..Limits::default()
        };
        let mut carrier = Coordinator::new(MaintenanceConfig {
            limits,
            calm: 0,
            ..MaintenanceConfig::default()
        });
        (carrier.state, carrier.injected_bug) = (self.books.clone(), planted);
        let node = |at: u32| Node {
            name: format!("s{at}"),
            zone: 0,
            shard_sets: vec![0],
            healthy: true,
            out_of_service: false,
        };
        carrier.observe_cluster(
            Fleet {
                nodes: (0..3).map(node).collect(),
                load: 0.0,
            },
            0,
        );
        let me = if self.term.is_multiple_of(2) {
            "a"
        } else {
            "b"
        };
        let now = Micros(u64::from(self.now) * 1_000_000);
        let (steps, _) = carrier.next_entries(now, &me.into(), self.term, &self.attended());
        steps
            .iter()
            .filter_map(|bytes| postcard::from_bytes(bytes).ok())
            .collect()
    }
}

impl Model for Out {
    type State = ClusterView;
    type Action = Action;

    fn init_states(&self) -> Vec<ClusterView> {
        let router = Router {
            lease: LEASE,
            ..Router::default()
        };
        let mut world = ClusterView {
            now: 0,
            at: 0,
            term: 1,
            books: MaintenanceState::default(),
            outs_at: 0,
            routers: [router.clone(), router],
            since: 0,
            words: [None, None],
            granted: [Some(0), Some(0)],
            late: None,
            broken: false,
        };
        let request = Request {
            machines: vec!["s0".into()],
            by: "ann".into(),
            ..Request::default()
        };
        world.play(Entry::Ask { request });
        world.play(Entry::Carry {
            member: "b".into(),
            term: 1,
        });
        vec![world]
    }

    fn actions(&self, of: &ClusterView, actions: &mut Vec<Action>) {
        if of.now < UNTIL {
            actions.push(Action::Passes);
        }
        for (at, router) in of.routers.iter().enumerate() {
            actions.push(Action::Speaks(at));
            if router.letter.is_none() {
                actions.push(Action::Writes(at));
            } else {
                actions.push(Action::Comes(at));
            }
            if of.now < router.lease && router.hand.is_none() {
                actions.push(Action::Takes(at));
            }
            if router.hand.is_some() && !router.busy && router.goes_by < of.outs_at.max(1) {
                actions.push(Action::Sends(at));
            }
            if router.busy {
                actions.push(Action::Ends(at));
            }
        }
        actions.extend([Action::Steps, Action::Holds]);
        if of.late.is_some() {
            actions.push(Action::Late);
        }
        if of.term < 2 {
            actions.push(Action::Changes);
        }
        if of.permitted() {
            actions.push(Action::GivesBack);
        }
    }

    fn next_state(&self, before: &ClusterView, action: Action) -> Option<ClusterView> {
        let mut of = before.clone();
        match action {
            Action::Passes => {
                of.now += 1;
                for router in &mut of.routers {
                    if router.hand.is_some_and(|until| until < of.now) {
                        (router.hand, router.busy) = (None, false);
                    }
                    if router.lease <= of.now {
                        router.lease = 0;
                    }
                }
            }
            Action::Speaks(at) => {
                let (now, outs_at) = (of.now, of.outs_at);
                let router = &mut of.routers[at];
                of.words[at] = Some((router.goes_by, router.busy));
                // A word that is newer makes one on its way needless.
                router.letter = None;
                if router.goes_by >= outs_at {
                    (router.lease, of.granted[at]) = (now + LEASE, Some(now));
                }
                router.goes_by = outs_at;
            }
            Action::Writes(at) => {
                let router = &mut of.routers[at];
                router.letter = Some((router.goes_by, router.busy));
            }
            Action::Comes(at) => of.words[at] = of.routers[at].letter.take(),
            Action::Takes(at) => of.routers[at].hand = Some(of.now + LINGERS),
            Action::Sends(at) => {
                of.routers[at].busy = true;
                // It does not know that the machine is out, or it would not.
                of.broken |= of.out() && of.permitted();
            }
            Action::Ends(at) => of.routers[at].busy = false,
            Action::Steps => of
                .steps(self.planted)
                .into_iter()
                .for_each(|step| of.play(step)),
            Action::Holds => of.late = of.steps(self.planted).into_iter().next(),
            Action::Late => {
                let step = of.late.take()?;
                of.play(step);
            }
            Action::Changes => {
                (of.term, of.since) = (of.term + 1, of.now);
                (of.words, of.granted) = ([None, None], [None, None]);
            }
            Action::GivesBack => {
                let permit = of
                    .books
                    .operations
                    .values()
                    .find_map(|job| job.phase.permit())?;
                of.play(Entry::Done {
                    permit,
                    by: "ann".into(),
                    failed: None,
                });
            }
        }
        // A part that is at the machine as the permit is given breaks the rule as well.
        of.broken |= of.permitted() && of.routers.iter().any(|router| router.busy);
        (of != *before).then_some(of)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "nothing is at a machine under its permit",
                |_, of: &ClusterView| !of.broken,
            ),
            Property::sometimes("a permit is given", |_, of: &ClusterView| of.permitted()),
            Property::sometimes(
                "a permit is given without a word of one router",
                |_, of: &ClusterView| of.permitted() && of.words.contains(&None),
            ),
        ]
    }

    /// A permit that has been given back ends the story.
    fn within_boundary(&self, of: &ClusterView) -> bool {
        of.at < 9
            && of
                .books
                .operations
                .values()
                .all(|job| !matches!(job.phase, Phase::Returning { .. }))
    }
}

#[test]
fn nothing_is_ever_begun_under_a_permit() {
    let checker = Out { planted: None }
        .checker()
        .threads(4)
        .target_state_count(600_000)
        .spawn_bfs()
        .join();
    checker.assert_no_discovery("nothing is at a machine under its permit");
    assert!(
        checker.discovery("a permit is given").is_some(),
        "{} states",
        checker.unique_state_count()
    );
    assert!(
        checker.unique_state_count() > 10_000,
        "{} states",
        checker.unique_state_count()
    );
    eprintln!("{} states", checker.unique_state_count());
}

#[test_case(InjectedBug::NoWaiting)]
#[test_case(InjectedBug::SilentIsQuiet)]
#[test_case(InjectedBug::AnyWord)]
fn a_planted_fault_is_found(planted: InjectedBug) {
    let checker = Out {
        planted: Some(planted),
    }
    .checker()
    .threads(4)
    .target_state_count(600_000)
    .spawn_bfs()
    .join();
    assert!(checker
        .discovery("nothing is at a machine under its permit")
        .is_some());
}
