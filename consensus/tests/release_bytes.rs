//! Voters of two releases speak to each other, and a seat goes on from the image that an earlier release kept. A small
//! fleet is played without chance of its own: founding, election, entries, a seat that learns, a state in the place of its
//! log, a change of who leads, and a seat that is opened again. Every image and every word between seats is compared with
//! what the released code gave out, so that the private forms of both are guarded through the public surface alone.

#[path = "../../tests/common/recorded.rs"]
mod recorded;

use std::collections::{BTreeMap, VecDeque};

use recorded::Recorded;
use ternpick_consensus::{FleetId, Seat, SeatNo, Standing, Terms};

const FLEET: FleetId = FleetId(0x0102_0304_0506_0708);
const TERMS: Terms = Terms {
    election_ticks: 6,
    heartbeat_ticks: 2,
    witness_ticks: 4,
    entries_kept: 256,
    entry_bytes: 4096,
    message_bytes: 8192,
};

/// Seats whose disks and network are exact: what is to be kept is kept at once, what is said arrives in order.
struct Voters<'a> {
    recorded: Recorded<'a>,
    seats: BTreeMap<SeatNo, Seat>,
    images: BTreeMap<SeatNo, Vec<u8>>,
    played: BTreeMap<SeatNo, Vec<Vec<u8>>>,
    kept: usize,
    said: usize,
}

impl Voters<'_> {
    fn opens(&mut self, no: u64) {
        let (no, seed) = (SeatNo(no), no * 17);
        let seat =
            Seat::open(&self.images[&no], FLEET, TERMS, seed).expect("an image of this fleet");
        self.seats.insert(no, seat);
    }

    /// Passes on all that seats have to say, until nobody has anything left.
    fn settle(&mut self) {
        let mut words = VecDeque::new();
        loop {
            for (no, seat) in &mut self.seats {
                while let Some(work) = seat.work() {
                    if let Some(image) = work.image {
                        self.kept += 1;
                        self.recorded
                            .bytes(&format!("image-{}-of-seat-{no}", self.kept), &image);
                        self.images.insert(*no, image);
                    }
                    let done = seat.kept();
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
                seat.hear(from, &word);
            }
        }
    }

    fn ticks(&mut self, count: usize) {
        for _ in 0..count {
            self.seats.values_mut().for_each(Seat::tick);
            self.settle();
        }
    }

    fn leader(&mut self) -> &mut Seat {
        for _ in 0..40 {
            if self.seats.values().any(Seat::leads_surely) {
                break;
            }
            self.ticks(1);
        }
        self.seats
            .values_mut()
            .find(|seat| seat.leads_surely())
            .expect("one that leads")
    }
}

#[test]
fn every_image_and_every_word_between_seats_has_the_bytes_of_the_release() {
    let voters = [SeatNo(1), SeatNo(2), SeatNo(3)];
    let founded = voters.map(|no| {
        (
            no,
            Seat::founds(FLEET, no, &voters, b"founding state".to_vec()),
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
    leader.put(b"first entry".to_vec()).expect("it leads");
    fleet.ticks(1);

    // A new seat learns; the state goes in the place of the log, and it is sent that.
    let fresh = Seat::fresh(FLEET, SeatNo(4), TERMS, 68).expect("a seat");
    fleet.seats.insert(SeatNo(4), fresh);
    assert_eq!(fleet.leader().change(&voters, &[SeatNo(4)]), Ok(true));
    fleet.settle();
    assert!(fleet.leader().is_long());
    fleet.leader().compact(b"later state".to_vec());
    fleet.ticks(4);
    fleet
        .leader()
        .put(b"second entry".to_vec())
        .expect("it leads");
    fleet.ticks(2);
    let learnt = [b"later state".to_vec(), b"second entry".to_vec()];
    assert_eq!(fleet.played[&SeatNo(4)], learnt);

    // Another leads, and a seat that was ended asks what it has promised.
    let old = fleet.leader().no();
    let next = voters.into_iter().find(|no| *no != old).expect("another");
    fleet.leader().transfer(next);
    fleet.ticks(2);
    assert_eq!(fleet.leader().no(), next);
    fleet.opens(old.0);
    assert!(matches!(fleet.seats[&old].standing(), Standing::Proving(_)));
    fleet.ticks(3);
    assert_eq!(fleet.seats[&old].standing(), &Standing::TakesPart);
    fleet
        .leader()
        .put(b"third entry".to_vec())
        .expect("it leads");
    fleet.ticks(2);
    assert_eq!(
        fleet.played[&SeatNo(4)].last(),
        Some(&b"third entry".to_vec())
    );
    fleet.recorded.finish();
}
