//! What has been revoked before its time: tokens, subjects, keys, certificates. The word comes as a numbered feed, of
//! which pages may be lost, doubled, late or out of order; and it may fall silent.

use std::collections::HashMap;
use std::rc::Rc;

use serde::Deserialize;
use ternpick::types::Micros;

use crate::keys::seconds;
use crate::names::{Act, Caller, Proof};

/// The most that may be revoked at a time. A feed beyond it is not taken, so that trust in it ends with its age.
pub const MOST_REVOKED: usize = 200_000;
/// The longest page, in bytes.
pub const PAGE_BOUND: usize = 32 << 20;
/// A word that takes a revocation back is remembered so long, lest an older page bring the revocation again.
const LIFTED_FOR: Micros = Micros(86_400_000_000);

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum What {
    Token(Rc<str>),
    Subject(Rc<str>),
    Key(Rc<str>),
    /// By fingerprint (SHA-256, hexadecimal).
    Certificate(Rc<str>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub number: u64,
    pub what: What,
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
pub enum FeedFault {
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
    pub fn parse(text: &[u8]) -> Result<Page, FeedFault> {
        let form: PageForm = serde_json::from_slice(text).map_err(|_| FeedFault::Malformed)?;
        let entry = |form: EntryForm| {
            let whats = [
                form.token.map(|of| What::Token(of.into())),
                form.subject.map(|of| What::Subject(of.into())),
                form.key.map(|of| What::Key(of.into())),
                form.certificate
                    .map(|of| What::Certificate(of.to_ascii_lowercase().into())),
            ];
            let mut named = whats.into_iter().flatten();
            let (Some(what), None) = (named.next(), named.next()) else {
                return Err(FeedFault::Malformed);
            };
            let until = form.until.map(seconds);
            Ok(Entry {
                number: form.number,
                what,
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
struct Word {
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
pub struct Grace {
    pub reads: Micros,
    /// Shorter: setting and clearing stops first.
    pub changes: Micros,
}

pub struct Revocations {
    /// By what they name; a word goes once its own end has passed, or a while after it was taken back.
    words: HashMap<What, Word>,
    number: u64,
    told: Option<Micros>,
    grace: Grace,
    said: Trust,
}

impl Revocations {
    pub fn new(grace: Grace) -> Self {
        Revocations {
            words: HashMap::new(),
            number: 0,
            told: None,
            grace,
            said: Trust::Full,
        }
    }

    /// Up to which number all is known.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// All that is known, as a whole page in the form of [`Page::parse`], and when it was last heard.
    pub fn page(&self) -> (Option<Micros>, String) {
        let entry = |(what, word): (&What, &Word)| {
            let (kind, name) = match what {
                What::Token(name) => ("token", name),
                What::Subject(name) => ("subject", name),
                What::Key(name) => ("key", name),
                What::Certificate(name) => ("certificate", name),
            };
            let until = word.until.map(|until| until.0.div_ceil(1_000_000));
            serde_json::json!({"number": word.number, kind: name.as_ref(), "lifted": word.lifted, "until": until})
        };
        let entries: Vec<serde_json::Value> = self.words.iter().map(entry).collect();
        let page = serde_json::json!({"to": self.number, "whole": true, "entries": entries});
        (self.told, page.to_string())
    }

    pub fn count(&self) -> usize {
        self.words.values().filter(|word| !word.lifted).count()
    }

    /// Takes a page, as it was at `then` (now, or when a kept page was saved); tells how many words were news. After
    /// a gap nothing of it is taken: the whole list is to be asked for.
    pub fn told_of(&mut self, then: Micros, page: Page) -> Result<usize, FeedFault> {
        let mut entries = page.entries;
        entries.sort_by_key(|entry| entry.number);
        if entries
            .windows(2)
            .any(|two| two[0].number == two[1].number && two[0] != two[1])
        {
            return Err(FeedFault::Contradicts);
        }
        entries.dedup();
        if entries
            .iter()
            .any(|entry| entry.number == 0 || entry.number > page.to)
        {
            return Err(FeedFault::Malformed);
        }
        if page.to < self.number {
            return Err(FeedFault::Older);
        }
        if !page.whole {
            let first = page.after.checked_add(1).ok_or(FeedFault::Malformed)?;
            let all = entries
                .iter()
                .map(|entry| entry.number)
                .filter(|number| *number >= first);
            if page.after > self.number || !all.eq(first..=page.to) {
                return Err(FeedFault::Gap);
            }
        }
        if self.words.len() + entries.len() > MOST_REVOKED {
            self.elapsed(then);
        }
        let fresh = entries
            .iter()
            .filter(|entry| !self.words.contains_key(&entry.what))
            .count();
        if self.words.len() + fresh > MOST_REVOKED {
            return Err(FeedFault::TooMany);
        }
        let mut news = 0;
        for Entry {
            number,
            what,
            lifted,
            until,
        } in entries
        {
            // What a whole list lacks stays: only a later word on the same thing, or its own end, takes it off. A
            // service that serves half of its list brings nobody back.
            if self
                .words
                .get(&what)
                .is_none_or(|known| known.number < number)
            {
                let until = if lifted {
                    Some(then + LIFTED_FOR)
                } else {
                    until
                };
                self.words.insert(
                    what,
                    Word {
                        number,
                        lifted,
                        until,
                    },
                );
                news += 1;
            }
        }
        self.number = page.to;
        self.told = self.told.max(Some(then));
        Ok(news)
    }

    /// Takes off what no longer matters.
    pub fn elapsed(&mut self, now: Micros) {
        self.words
            .retain(|_, word| word.until.is_none_or(|until| until > now));
    }

    fn names(&self, what: &What) -> bool {
        self.words.get(what).is_some_and(|word| !word.lifted)
    }

    /// What of a caller has been revoked.
    pub fn of(&self, caller: &Caller) -> Option<&'static str> {
        let proof = match &caller.proof {
            Proof::Token { key, id } => {
                let token = id
                    .as_ref()
                    .is_some_and(|id| self.names(&What::Token(Rc::clone(&id.0))));
                let key = self.names(&What::Key(Rc::clone(&key.0)));
                if key {
                    Some("the token's key is revoked")
                } else {
                    token.then_some("the token is revoked")
                }
            }
            Proof::Certificate(print) => self
                .names(&What::Certificate(Rc::clone(print)))
                .then_some("the certificate is revoked"),
        };
        let subject = || self.names(&What::Subject(Rc::clone(&caller.subject.0)));
        proof.or_else(|| subject().then_some("the subject is revoked"))
    }

    pub fn trust(&self, now: Micros) -> Trust {
        match self.told.map(|told| now.since(told)) {
            Some(age) if age <= self.grace.changes => Trust::Full,
            Some(age) if age <= self.grace.reads => Trust::Reads,
            _ => Trust::None,
        }
    }

    /// Whether an act may rely on what is known.
    pub fn bears(&self, now: Micros, act: Act) -> bool {
        self.trust(now)
            >= if act.changes() {
                Trust::Full
            } else {
                Trust::Reads
            }
    }

    /// The trust, where it has changed since this was last asked.
    pub fn changed(&mut self, now: Micros) -> Option<Trust> {
        let trust = self.trust(now);
        (std::mem::replace(&mut self.said, trust) != trust).then_some(trust)
    }
}
