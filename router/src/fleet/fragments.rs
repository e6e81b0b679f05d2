//! What routers say to each other: serde records (postcard) in the body of an HTTP/1.1 request, bounded as all requests.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use ternpick_consensus::FleetId;
use ternpick_fleet_policy::{Member, PeerMessage};

/// The path that fleets speak on, and the form of what is said there.
pub const PATH: &str = "/_fleet/1";
/// The longest parcel that is sent; a request's body may be a little longer.
pub const PARCEL_BYTES: usize = 60 * 1024;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerBatch {
    pub fleet: FleetId,
    pub from: Member,
    pub to: Member,
    pub said: Vec<PeerMessage>,
}

impl PeerBatch {
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads what has come for `me`; what is wrong with it, in words.
    pub fn parse(bytes: &[u8], fleet: FleetId, me: &Member) -> Result<PeerBatch, String> {
        let parcel: PeerBatch =
            postcard::from_bytes(bytes).map_err(|_| "it cannot be read".to_owned())?;
        if parcel.fleet != fleet {
            return Err(format!(
                "it is of fleet {}, this one is {fleet}",
                parcel.fleet
            ));
        }
        if parcel.to != *me {
            return Err(format!("it is for {}, this is {me}", parcel.to));
        }
        Ok(parcel)
    }
}

/// What goes in one piece of something longer, and the most pieces of one thing.
const PIECE_BYTES: usize = 48 * 1024;
const MOST_PIECES: u16 = 48;

/// Something longer than a parcel, in pieces; none: it is longer than anything that is ever sent. Seen on reading over: the
/// state of many machines in work was dropped on its way to a voter that had to learn it, time and again.
pub fn in_pieces(said: &PeerMessage, number: u64) -> Option<Vec<PeerMessage>> {
    let whole = postcard::to_stdvec(said).ok()?;
    let of = u16::try_from(whole.len().div_ceil(PIECE_BYTES))
        .ok()
        .filter(|of| *of <= MOST_PIECES)?;
    let piece = |(at, bytes): (usize, &[u8])| PeerMessage::Fragment {
        number,
        at: at as u16,
        of,
        bytes: bytes.to_vec(),
    };
    Some(whole.chunks(PIECE_BYTES).enumerate().map(piece).collect())
}

/// Pieces that have come: of each router, those of the newest thing; emptied as that is whole, or a newer one begins.
#[derive(Default)]
pub struct FragmentBuffer(BTreeMap<Member, Coming>);

#[derive(Default)]
struct Coming {
    number: u64,
    parts: Vec<Option<Vec<u8>>>,
}

impl FragmentBuffer {
    /// A piece, and the whole once it is there; what is no piece is whole.
    pub fn take(&mut self, from: &Member, said: PeerMessage) -> Option<PeerMessage> {
        let PeerMessage::Fragment {
            number,
            at,
            of,
            bytes,
        } = said
        else {
            return Some(said);
        };
        if of == 0 || at >= of || of > MOST_PIECES || bytes.len() > PIECE_BYTES {
            return None;
        }
        let coming = self.0.entry(from.clone()).or_default();
        if coming.number != number || coming.parts.len() != usize::from(of) {
            *coming = Coming {
                number,
                parts: vec![None; usize::from(of)],
            };
        }
        coming.parts[usize::from(at)] = Some(bytes);
        if coming.parts.iter().any(Option::is_none) {
            return None;
        }
        let whole = self
            .0
            .remove(from)?
            .parts
            .into_iter()
            .flatten()
            .collect::<Vec<_>>()
            .concat();
        postcard::from_bytes(&whole).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn long(bytes: usize) -> PeerMessage {
        PeerMessage::Raft {
            from: ternpick_fleet_policy::ReplicaId(1),
            to: ternpick_fleet_policy::ReplicaId(2),
            word: vec![7; bytes],
        }
    }

    /// In which order the pieces of something come, by number; whether it is whole then.
    #[test_case(&[0, 1, 2], true; "in order")]
    #[test_case(&[2, 0, 0, 1], true; "in any order, one twice")]
    #[test_case(&[0, 2], false; "one is lost")]
    fn what_is_long_comes_in_pieces(order: &[usize], whole: bool) {
        let (said, mut pieces, from) =
            (long(130_000), FragmentBuffer::default(), Member::from("n1"));
        let sent = in_pieces(&said, 4).expect("it may be sent");
        assert_eq!(sent.len(), 3);
        let fits = |of: &PeerMessage| {
            postcard::to_stdvec(of).is_ok_and(|bytes| bytes.len() <= PARCEL_BYTES)
        };
        assert!(sent.iter().all(fits));
        let come: Vec<PeerMessage> = order
            .iter()
            .filter_map(|at| pieces.take(&from, sent[*at].clone()))
            .collect();
        assert_eq!(come, if whole { vec![said] } else { vec![] });
        assert_eq!(
            pieces.0.is_empty(),
            whole,
            "what is whole leaves nothing behind"
        );
    }

    #[test]
    fn a_newer_thing_takes_the_place_of_one_that_never_came_whole() {
        let (mut pieces, from) = (FragmentBuffer::default(), Member::from("n1"));
        let (old, new) = (in_pieces(&long(100_000), 1), in_pieces(&long(70_000), 2));
        assert_eq!(pieces.take(&from, old.expect("sent")[0].clone()), None);
        let come: Vec<PeerMessage> = new
            .expect("sent")
            .into_iter()
            .filter_map(|of| pieces.take(&from, of))
            .collect();
        assert_eq!(come, [long(70_000)]);
    }

    #[test]
    fn nothing_endless_is_sent_or_kept() {
        assert_eq!(in_pieces(&long(3 << 20), 1), None);
        let (mut pieces, from) = (FragmentBuffer::default(), Member::from("n1"));
        let mad = PeerMessage::Fragment {
            number: 1,
            at: 9,
            of: u16::MAX,
            bytes: vec![0; 10],
        };
        assert_eq!((pieces.take(&from, mad), pieces.0.len()), (None, 0));
    }
}

#[cfg(test)]
mod release_bytes;
