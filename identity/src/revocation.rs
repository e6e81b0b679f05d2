//! What has been revoked before its time: tokens, subjects, keys, certificates. The word comes as a numbered feed, of
//! which pages may be lost, doubled, late or out of order; and it may fall silent.

use std::collections::HashMap;
use std::rc::Rc;

use serde::Deserialize;
use ternpick::types::Micros;

use crate::keys::seconds;
use crate::names::{Act, Caller, Proof};

/// The most that may be revoked at a time. A feed beyond it is not taken, so that trust in it ends with its age.
pub const MAX_REVOCATIONS: usize = 200_000;
/// The longest page, in bytes.
pub const MAX_PAGE_BYTES: usize = 32 << 20;
/// A word that takes a revocation back is remembered so long, lest an older page bring the revocation again.
const LIFTED_RETENTION: Micros = Micros(86_400_000_000);

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RevokedItem {
    Token(Rc<str>),
    Subject(Rc<str>),
    Key(Rc<str>),
    /// By fingerprint (SHA-256, hexadecimal).
    Certificate(Rc<str>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub number: u64,
    pub item: RevokedItem,
    /// Taken back.
    pub lifted: bool,
    /// When it no longer matters: what it revokes has ended by itself.
    pub until: Option<Micros>,
}

/// Entries `after + 1` to `to`; or, of a whole list, all that still matter up to `to`.
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
    /// Seconds of Unix time.
    until: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FeedError {
    #[error("the page is malformed")]
    Malformed,
    #[error("the page names one number for two things")]
    Contradicts,
    #[error("numbers are missing before the page, or in it")]
    Gap,
    #[error("the page is older than what is known")]
    Older,
    #[error("more is revoked than can be held")]
    TooMany,
}

impl Page {
    pub fn parse(text: &[u8]) -> Result<Page, FeedError> {
        let form: PageForm = serde_json::from_slice(text).map_err(|_| FeedError::Malformed)?;
        let entry = |form: EntryForm| {
            let items = [
                form.token.map(|of| RevokedItem::Token(of.into())),
                form.subject.map(|of| RevokedItem::Subject(of.into())),
                form.key.map(|of| RevokedItem::Key(of.into())),
                form.certificate
                    .map(|of| RevokedItem::Certificate(of.to_ascii_lowercase().into())),
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

#[derive(Clone, Copy, Debug)]
struct LatestEntry {
    number: u64,
    lifted: bool,
    until: Option<Micros>,
}

/// How far what is known may be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trust {
    None,
    /// Reading goes on.
    Reads,
    Full,
}

/// How long a feed may be silent.
#[derive(Clone, Copy, Debug)]
pub struct GracePeriods {
    pub reads: Micros,
    /// Shorter: setting and clearing stops first.
    pub changes: Micros,
}

pub struct Revocations {
    /// By what they name; a word goes once its own end has passed, or a while after it was taken back.
    entries: HashMap<RevokedItem, LatestEntry>,
    number: u64,
    updated_at: Option<Micros>,
    grace_periods: GracePeriods,
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

    /// Up to which number all is known.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// All that is known, as a whole page in the form of [`Page::parse`], and when it was last heard.
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

    pub fn count(&self) -> usize {
        self.entries.values().filter(|entry| !entry.lifted).count()
    }

    /// Takes a page, as it was at `then` (now, or when a kept page was saved); tells how many words were news. After
    /// a gap nothing of it is taken: the whole list is to be asked for.
    pub fn update(&mut self, updated_at: Micros, page: Page) -> Result<usize, FeedError> {
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
            self.remove_expired(updated_at);
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
            // What a whole list lacks stays: only a later word on the same thing, or its own end, takes it off. A
            // service that serves half of its list brings nobody back.
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

    /// Takes off what no longer matters.
    pub fn remove_expired(&mut self, now: Micros) {
        self.entries
            .retain(|_, entry| entry.until.is_none_or(|until| until > now));
    }

    fn is_revoked(&self, item: &RevokedItem) -> bool {
        self.entries.get(item).is_some_and(|entry| !entry.lifted)
    }

    /// What of a caller has been revoked.
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

    pub fn trust(&self, now: Micros) -> Trust {
        match self.updated_at.map(|updated_at| now.since(updated_at)) {
            Some(age) if age <= self.grace_periods.changes => Trust::Full,
            Some(age) if age <= self.grace_periods.reads => Trust::Reads,
            _ => Trust::None,
        }
    }

    /// Whether an act may rely on what is known.
    pub fn permits(&self, now: Micros, act: Act) -> bool {
        self.trust(now)
            >= if act.changes() {
                Trust::Full
            } else {
                Trust::Reads
            }
    }

    /// The trust, where it has changed since this was last asked.
    pub fn trust_change(&mut self, now: Micros) -> Option<Trust> {
        let trust = self.trust(now);
        (std::mem::replace(&mut self.reported_trust, trust) != trust).then_some(trust)
    }
}
