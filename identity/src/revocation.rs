//! Revocations of tokens, subjects, keys and certificates before they expire. They come from a feed of numbered entries,
//! whose pages may be lost, duplicated, late or out of order, and which may stop to answer.

use std::collections::HashMap;
use std::rc::Rc;

use serde::Deserialize;
use ternpick::types::Micros;

use crate::keys::seconds;
use crate::names::{Act, Caller, Proof};
use crate::validity::revocation_kept_until;

/// The maximum number of entries that are held. Pages that would exceed it are refused, so that the trust in the known
/// revocations ends with their age.
pub const MAX_REVOCATIONS: usize = 200_000;
/// The maximum size of the document of a page.
pub const MAX_PAGE_BYTES: usize = 32 << 20;
/// How long an entry that lifts a revocation is kept, so that an older page cannot reinstate the revocation: one day.
const LIFTED_RETENTION: Micros = Micros(86_400_000_000);

/// An item that can be revoked.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RevokedItem {
    /// The id of a token (`jti`).
    Token(Rc<str>),
    Subject(Rc<str>),
    /// The id of a key (`kid`).
    Key(Rc<str>),
    /// The fingerprint of a certificate (SHA-256 in hexadecimal).
    Certificate(Rc<str>),
}

/// One entry of the feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub number: u64,
    pub item: RevokedItem,
    /// Whether the entry lifts an earlier revocation of the item.
    pub lifted: bool,
    /// When the entry can be removed, because the item has expired.
    pub until: Option<Micros>,
}

/// A page of the feed: the entries with the numbers `after + 1` to `to`; or, if `whole`, all entries up to `to` that are
/// not obsolete.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    pub after: u64,
    pub to: u64,
    pub whole: bool,
    pub entries: Vec<Entry>,
}

#[derive(Deserialize)]
struct PageForm {
    #[serde(default)]
    after: u64,
    to: u64,
    #[serde(default)]
    whole: bool,
    entries: Vec<EntryForm>,
}

#[derive(Deserialize)]
struct EntryForm {
    number: u64,
    token: Option<String>,
    subject: Option<String>,
    key: Option<String>,
    certificate: Option<String>,
    #[serde(default)]
    lifted: bool,
    /// In seconds of Unix time.
    until: Option<u64>,
}

/// Why a page is not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FeedError {
    #[error("the revocation page is malformed")]
    Malformed,
    #[error("the revocation page has different entries with the same number")]
    Contradicts,
    #[error("entry numbers are missing before or in the revocation page")]
    Gap,
    #[error("the revocation page ends before the last known entry")]
    Older,
    #[error("the revocation page would exceed the maximum of {MAX_REVOCATIONS} entries")]
    TooMany,
}

impl Page {
    /// Reads the JSON document of a page.
    pub fn parse(text: &[u8]) -> Result<Page, FeedError> {
        let form: PageForm = serde_json::from_slice(text).map_err(|_| FeedError::Malformed)?;
        let entry = |form: EntryForm| {
            let items = [
                form.token.map(|name| RevokedItem::Token(name.into())),
                form.subject.map(|name| RevokedItem::Subject(name.into())),
                form.key.map(|name| RevokedItem::Key(name.into())),
                form.certificate
                    .map(|name| RevokedItem::Certificate(name.to_ascii_lowercase().into())),
            ];
            let mut named = items.into_iter().flatten();
            let (Some(item), None) = (named.next(), named.next()) else {
                return Err(FeedError::Malformed);
            };
            let until = form.until.map(seconds);
            Ok(Entry {
                number: form.number,
                item,
                lifted: form.lifted,
                until,
            })
        };
        let entries = form
            .entries
            .into_iter()
            .map(entry)
            .collect::<Result<_, _>>()?;
        Ok(Page {
            after: form.after,
            to: form.to,
            whole: form.whole,
            entries,
        })
    }
}

/// The entry with the largest number for an item.
#[derive(Clone, Copy, Debug)]
struct LatestEntry {
    number: u64,
    lifted: bool,
    until: Option<Micros>,
}

/// Which requests the known revocations are recent enough for. The variants' names are part of the status output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trust {
    None,
    /// Only requests that read are allowed.
    Reads,
    Full,
}

/// How long after its last page the known revocations are relied on.
#[derive(Clone, Copy, Debug)]
pub struct GracePeriods {
    pub reads: Micros,
    /// Not longer than `reads`, so that requests that set or clear are refused first.
    pub changes: Micros,
}

/// The known revocations.
pub struct Revocations {
    /// The latest entry for each item. It is removed when nothing that it revokes can be accepted any more
    /// ([`revocation_kept_until`]), or [`LIFTED_RETENTION`] after it lifted a revocation.
    entries: HashMap<RevokedItem, LatestEntry>,
    number: u64,
    /// When the newest page was current; none before the first page.
    updated_at: Option<Micros>,
    grace_periods: GracePeriods,
    /// The trust at the last call of [`Revocations::trust_change`].
    reported_trust: Trust,
}

impl Revocations {
    pub fn new(grace_periods: GracePeriods) -> Self {
        Revocations {
            entries: HashMap::new(),
            number: 0,
            updated_at: None,
            grace_periods,
            reported_trust: Trust::Full,
        }
    }

    /// Returns the number up to which all entries are known.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the time of the last update, and all known entries as a whole page in the form that [`Page::parse`] reads.
    pub fn page(&self) -> (Option<Micros>, String) {
        let entry = |(item, entry): (&RevokedItem, &LatestEntry)| {
            let (kind, name) = match item {
                RevokedItem::Token(name) => ("token", name),
                RevokedItem::Subject(name) => ("subject", name),
                RevokedItem::Key(name) => ("key", name),
                RevokedItem::Certificate(name) => ("certificate", name),
            };
            let until = entry.until.map(|until| until.0.div_ceil(1_000_000));
            serde_json::json!({"number": entry.number, kind: name.as_ref(), "lifted": entry.lifted, "until": until})
        };
        let entries: Vec<serde_json::Value> = self.entries.iter().map(entry).collect();
        let page = serde_json::json!({"to": self.number, "whole": true, "entries": entries});
        (self.updated_at, page.to_string())
    }

    /// Returns the number of items that are revoked.
    pub fn count(&self) -> usize {
        self.entries.values().filter(|entry| !entry.lifted).count()
    }

    /// Applies a page that was current at `updated_at` (now, or the time at which a stored page was saved); returns the
    /// number of entries that were applied. If entries are missing, the whole page is refused: the caller has to request
    /// the whole list. `skew` is that of [`Revocations::remove_expired`].
    pub fn update(
        &mut self,
        updated_at: Micros,
        page: Page,
        skew: Micros,
    ) -> Result<usize, FeedError> {
        let mut entries = page.entries;
        entries.sort_by_key(|entry| entry.number);
        if entries
            .windows(2)
            .any(|pair| pair[0].number == pair[1].number && pair[0] != pair[1])
        {
            return Err(FeedError::Contradicts);
        }
        entries.dedup();
        if entries
            .iter()
            .any(|entry| entry.number == 0 || entry.number > page.to)
        {
            return Err(FeedError::Malformed);
        }
        if page.to < self.number {
            return Err(FeedError::Older);
        }
        if !page.whole {
            let expected_first = page.after.checked_add(1).ok_or(FeedError::Malformed)?;
            let numbers = entries
                .iter()
                .map(|entry| entry.number)
                .filter(|number| *number >= expected_first);
            if page.after > self.number || !numbers.eq(expected_first..=page.to) {
                return Err(FeedError::Gap);
            }
        }
        if self.entries.len() + entries.len() > MAX_REVOCATIONS {
            self.remove_expired(updated_at, skew);
        }
        let new_items = entries
            .iter()
            .filter(|entry| !self.entries.contains_key(&entry.item))
            .count();
        if self.entries.len() + new_items > MAX_REVOCATIONS {
            return Err(FeedError::TooMany);
        }
        let mut applied = 0;
        for Entry {
            number,
            item,
            lifted,
            until,
        } in entries
        {
            // An entry that is missing from a whole list stays until a later entry for the same item, or its own end. A
            // service that serves an incomplete list reinstates no revoked caller.
            if self
                .entries
                .get(&item)
                .is_none_or(|latest| latest.number < number)
            {
                let until = if lifted {
                    Some(updated_at + LIFTED_RETENTION)
                } else {
                    until
                };
                self.entries.insert(
                    item,
                    LatestEntry {
                        number,
                        lifted,
                        until,
                    },
                );
                applied += 1;
            }
        }
        self.number = page.to;
        self.updated_at = self.updated_at.max(Some(updated_at));
        Ok(applied)
    }

    /// Removes the entries that have no effect any more, where `skew` is permitted for tokens and certificates.
    pub fn remove_expired(&mut self, now: Micros, skew: Micros) {
        self.entries.retain(|_, entry| {
            entry.until.is_none_or(|until| {
                if entry.lifted {
                    until > now
                } else {
                    revocation_kept_until(until, skew) > now
                }
            })
        });
    }

    fn is_revoked(&self, item: &RevokedItem) -> bool {
        self.entries.get(item).is_some_and(|entry| !entry.lifted)
    }

    /// Returns the text that names what is revoked of a caller, if anything is. It is sent to the client.
    pub fn revocation_of(&self, caller: &Caller) -> Option<&'static str> {
        let by_proof = match &caller.proof {
            Proof::Token { key, id } => {
                let token = id
                    .as_ref()
                    .is_some_and(|id| self.is_revoked(&RevokedItem::Token(Rc::clone(&id.0))));
                let key = self.is_revoked(&RevokedItem::Key(Rc::clone(&key.0)));
                if key {
                    Some("the token's key is revoked")
                } else {
                    token.then_some("the token is revoked")
                }
            }
            Proof::Certificate(fingerprint) => self
                .is_revoked(&RevokedItem::Certificate(Rc::clone(fingerprint)))
                .then_some("the certificate is revoked"),
        };
        let subject = || self.is_revoked(&RevokedItem::Subject(Rc::clone(&caller.subject.0)));
        by_proof.or_else(|| subject().then_some("the subject is revoked"))
    }

    /// Returns the trust in the known revocations, by their age.
    pub fn trust(&self, now: Micros) -> Trust {
        match self.updated_at.map(|updated_at| now.since(updated_at)) {
            Some(age) if age <= self.grace_periods.changes => Trust::Full,
            Some(age) if age <= self.grace_periods.reads => Trust::Reads,
            _ => Trust::None,
        }
    }

    /// Whether the known revocations are recent enough for an act.
    pub fn permits(&self, now: Micros, act: Act) -> bool {
        self.trust(now)
            >= if act.changes() {
                Trust::Full
            } else {
                Trust::Reads
            }
    }

    /// Returns the trust if it has changed since the last call.
    pub fn trust_change(&mut self, now: Micros) -> Option<Trust> {
        let trust = self.trust(now);
        (std::mem::replace(&mut self.reported_trust, trust) != trust).then_some(trust)
    }
}
