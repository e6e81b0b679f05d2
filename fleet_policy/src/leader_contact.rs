//! When a voter last took the word of one that leads, by term. Who leads in a later term gives a lease only once a majority
//! has taken its word after the request came; so the voters of the next one can tell it how old the leases that others
//! gave are at the least, and it need not count them from its own election on.

use ternpick::types::Micros;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaderContact {
    term: u64,
    /// In that term; and in any term before it.
    last: Micros,
    before: Micros,
}

impl LeaderContact {
    /// A process that starts does not know what the one before it has said: it may have been just now.
    pub fn starts(now: Micros) -> LeaderContact {
        LeaderContact {
            term: 0,
            last: now,
            before: now,
        }
    }

    /// The word of the one that leads in this term is taken; of an earlier term's none is.
    pub fn takes(&mut self, now: Micros, term: u64) {
        if term > self.term {
            (self.term, self.before) = (term, self.last);
        }
        if term == self.term {
            self.last = now;
        }
    }

    /// When the word of any earlier term's leader was last taken.
    pub fn before(&self, term: u64) -> Micros {
        if term == self.term {
            self.before
        } else {
            self.last
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(&[], 7 => 5; "nothing heard since its start")]
    #[test_case(&[(10, 3), (20, 3)], 4 => 20; "the leader before, until it fell silent")]
    #[test_case(&[(10, 3), (20, 3), (30, 4), (40, 4)], 4 => 20; "the new one's own word does not count")]
    #[test_case(&[(10, 3), (30, 4), (40, 3)], 4 => 10; "the one before is passed over")]
    #[test_case(&[(10, 3), (30, 4), (40, 6)], 6 => 30; "two elections")]
    fn the_last_word_of_an_earlier_leader(words: &[(u64, u64)], term: u64) -> u64 {
        let mut heeds = LeaderContact::starts(Micros(5));
        words
            .iter()
            .for_each(|(at, term)| heeds.takes(Micros(*at), *term));
        heeds.before(term).0
    }
}
