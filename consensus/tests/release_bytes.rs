//! Voters of two releases speak to each other, and a seat goes on from the image that an earlier release kept. A small
//! fleet is played without chance of its own: founding, election, entries, a seat that learns, a state in the place of its
//! log, a change of who leads, and a seat that is opened again. Every image and every word between seats is compared with
//! what the released code gave out, so that the private forms of both are guarded through the public surface alone.

#[path = "../../tests/common/recorded.rs"]
mod recorded;

use std::collections::{BTreeMap, VecDeque};

use recorded::Recorded;
use ternpick_consensus::{FleetId, Participation, RaftConfig, Replica, ReplicaId};

const FLEET: FleetId = FleetId(0x0102_0304_0506_0708);
const TERMS: RaftConfig = RaftConfig {
    election_ticks: 6,
    heartbeat_ticks: 2,
    promise_broadcast_ticks: 4,
    max_log_entries: 256,
    max_entry_bytes: 4096,
    max_message_bytes: 8192,
};

/// Seats whose disks and network are exact: what is to be kept is kept at once, what is said arrives in order.
struct Voters<'a> {
    recorded: Recorded<'a>,
    seats: BTreeMap<ReplicaId, Replica>,
    images: BTreeMap<ReplicaId, Vec<u8>>,
    played: BTreeMap<ReplicaId, Vec<Vec<u8>>>,
    kept: usize,
    said: usize,
}

impl Voters<'_> {
    fn opens(&mut self, no: u64) {
        let (no, seed) = (ReplicaId(no), no * 17);
        let seat =
            Replica::open(&self.images[&no], FLEET, TERMS, seed).expect("an image of this fleet");
        self.seats.insert(no, seat);
    }

    /// Passes on all that seats have to say, until nobody has anything left.
    fn settle(&mut self) {
        let mut words = VecDeque::new();
        loop {
            for (no, seat) in &mut self.seats {
                while let Some(work) = seat.ready() {
                    if let Some(image) = work.persisted_state {
                        self.kept += 1;
                        self.recorded
                            .bytes(&format!("image-{}-of-seat-{no}", self.kept), &image);
                        self.images.insert(*no, image);
                    }
                    let done = seat.advance();
                    words.extend(done.messages.into_iter().map(|(to, word)| (*no, to, word)));
                    let played = self.played.entry(*no).or_default();
                    played.extend(done.restored.map(|(_, state)| state));
                    played.extend(done.entries.into_iter().map(|(_, entry)| entry));
                }
            }
            let Some((from, to, word)) = words.pop_front() else {
                return;
            };
            self.said += 1;
            self.recorded
                .bytes(&format!("word-{}-from-{from}-to-{to}", self.said), &word);
            if let Some(seat) = self.seats.get_mut(&to) {
                seat.step(from, &word);
            }
        }
    }

    fn ticks(&mut self, count: usize) {
        for _ in 0..count {
            self.seats.values_mut().for_each(Replica::tick);
            self.settle();
        }
    }

    fn leader(&mut self) -> &mut Replica {
        for _ in 0..40 {
            if self.seats.values().any(Replica::is_confirmed_leader) {
                break;
            }
            self.ticks(1);
        }
        self.seats
            .values_mut()
            .find(|seat| seat.is_confirmed_leader())
            .expect("one that leads")
    }
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one value for each recorded form, in one list"
)]
fn every_image_and_every_word_between_seats_has_the_bytes_of_the_release() {
    let voters = [ReplicaId(1), ReplicaId(2), ReplicaId(3)];
    let founded = voters.map(|no| {
        (
            no,
            Replica::bootstrap(FLEET, no, &voters, b"founding state".to_vec()),
        )
    });
    let mut fleet = Voters {
        recorded: Recorded::parse(include_str!("release_bytes.txt")),
        seats: BTreeMap::new(),
        images: BTreeMap::from(founded),
        played: BTreeMap::new(),
        kept: 0,
        said: 0,
    };
    for (no, image) in fleet.images.clone() {
        fleet
            .recorded
            .bytes(&format!("founding-of-seat-{no}"), &image);
        fleet.opens(no.0);
    }
    let leader = fleet.leader();
    leader.propose(b"first entry".to_vec()).expect("it leads");
    fleet.ticks(1);

    // A new seat learns; the state goes in the place of the log, and it is sent that.
    let fresh = Replica::join(FLEET, ReplicaId(4), TERMS, 68).expect("a seat");
    fleet.seats.insert(ReplicaId(4), fresh);
    let proposed = fleet.leader().propose_membership(&voters, &[ReplicaId(4)]);
    assert!(matches!(proposed, Ok(true)), "{proposed:?}");
    fleet.settle();
    assert!(fleet.leader().needs_compaction());
    fleet.leader().compact(b"later state".to_vec());
    fleet.ticks(4);
    fleet
        .leader()
        .propose(b"second entry".to_vec())
        .expect("it leads");
    fleet.ticks(2);
    let learnt = [b"later state".to_vec(), b"second entry".to_vec()];
    assert_eq!(fleet.played[&ReplicaId(4)], learnt);

    // Another leads, and a seat that was ended asks what it has promised.
    let old = fleet.leader().id();
    let next = voters.into_iter().find(|no| *no != old).expect("another");
    fleet.leader().transfer_leadership(next);
    fleet.ticks(2);
    assert_eq!(fleet.leader().id(), next);
    fleet.opens(old.0);
    assert!(matches!(
        fleet.seats[&old].participation(),
        Participation::Proving(_)
    ));
    fleet.ticks(3);
    assert_eq!(fleet.seats[&old].participation(), &Participation::TakesPart);
    fleet
        .leader()
        .propose(b"third entry".to_vec())
        .expect("it leads");
    fleet.ticks(2);
    assert_eq!(
        fleet.played[&ReplicaId(4)].last(),
        Some(&b"third entry".to_vec())
    );
    fleet.recorded.finish();
}
