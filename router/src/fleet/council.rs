//! The one task that owns this router's seat, the register as it has played it, and, while it leads, the chair. In turns:
//! what has come, what time has brought, what is to be kept, what is to be said.

use std::collections::{BTreeMap, VecDeque};
use std::path::Path;
use std::rc::Rc;

use async_io::Timer;
use futures_lite::future;
use ternpick::types::Micros;
use ternpick_consensus::{Done, Seat, Standing, Status, Terms as SeatTerms};
use ternpick_policy::{Chair, Entry, Index, Member, Op, Order, Outcome, Register, Seated, Told};

use crate::fleet::commands::{self, Command};
use crate::fleet::disk::{self, Found};
use crate::fleet::parcel::Said;
use crate::fleet::post::{self, Post};
use crate::fleet::{chance, Fleet};
use crate::stages::Router;

/// One tick of the agreement.
const TICK: Micros = Micros(50_000);
/// After a failure to keep something the next try waits so long.
const KEEP_AGAIN: Micros = Micros(200_000);
/// Who votes is compared with what the register says so often.
const SEATS_EVERY: Micros = Micros(100_000);
/// A command that waits for its outcome is said again so often.
const SAY_AGAIN: Micros = Micros(200_000);
/// Commands of others whose outcome is still to be told; the oldest go first.
const MOST_DOING: usize = 64;
/// Turns of news within this router before it looks at time again.
const MOST_ROUNDS: usize = 32;
/// A router that waits for its folder, or its listener, looks again so often.
const LOOK_AGAIN: Micros = Micros(20_000);

/// A command or question of this router's own operator.
pub struct Own {
    pub what: Wish,
    said: Option<Micros>,
    pub outcome: Option<Heard>,
    pub done: Rc<event_listener::Event>,
}

pub enum Wish {
    Do(Command),
    Look(String),
}

#[derive(Clone, Debug)]
pub enum Heard {
    Did(Outcome),
    Seen(String),
}

pub struct Council {
    pub members: BTreeMap<Member, Seated>,
    pub seat: Option<Seat>,
    /// Why there is no seat, where there should be one.
    pub seat_words: Option<String>,
    pub register: Option<Register>,
    chair: Option<(u64, Chair)>,
    /// Who leads, as far as is known, and whom to ask next otherwise.
    leads: Option<Member>,
    next_ask: usize,
    /// Answers to the chair's questions that wait until what they rest on is played.
    reads: Vec<(u64, u64)>,
    /// Commands of others, by whom and since when.
    doing: VecDeque<(Op, Member)>,
    /// Commands and questions of this router's own operators; each is taken off by who asked.
    pub own: BTreeMap<Op, Own>,
    next_tick: Micros,
    next_seats: Micros,
    /// Something is being kept; it failed, and is tried again at a time.
    keeping: bool,
    kept: Option<Result<(), String>>,
    image: Vec<u8>,
    /// Where it is kept; with who writes while something is being kept.
    journal: Option<ternpick_store::Journal>,
    keep_again: Option<Micros>,
    images: u64,
    /// Said within this router.
    home: VecDeque<Said>,
}

impl Council {
    pub fn new(members: BTreeMap<Member, Seated>, now: Micros) -> Council {
        Council {
            members,
            seat: None,
            seat_words: None,
            register: None,
            chair: None,
            leads: None,
            next_ask: 0,
            reads: Vec::new(),
            doing: VecDeque::new(),
            own: BTreeMap::new(),
            next_tick: now,
            next_seats: now,
            keeping: false,
            kept: None,
            image: Vec::new(),
            journal: None,
            keep_again: None,
            images: 0,
            home: VecDeque::new(),
        }
    }

    pub fn leader(&self) -> Option<&Member> {
        self.leads.as_ref()
    }

    pub fn leads(&self) -> bool {
        self.chair.is_some()
    }

    pub fn seat_status(&self) -> Option<Status> {
        self.seat.as_ref().map(Seat::status)
    }

    pub fn chair(&self) -> Option<(&Chair, &Register)> {
        Some((&self.chair.as_ref()?.1, self.register.as_ref()?))
    }

    fn play(&mut self, done: &Done) {
        if let Some((_, state)) = &done.restored {
            match postcard::from_bytes(state) {
                Ok(register) => self.register = Some(register),
                Err(e) => tracing::error!("fleet: the agreed state cannot be read, {e}"),
            }
        }
        let Some(register) = &mut self.register else { return };
        for (index, bytes) in &done.entries {
            match postcard::from_bytes::<Entry>(bytes) {
                Ok(entry) => play_one(register, Index(*index), entry),
                Err(e) => tracing::error!("fleet: entry {index} cannot be read, {e}"),
            }
        }
        if done.restored.is_some() || !done.entries.is_empty() {
            self.members = register.members.clone();
        }
    }
}

/// Plays an entry; what it changed is told in one line.
fn play_one(register: &mut Register, index: Index, entry: Entry) {
    let (epoch, next, force) =
        (register.epoch, register.next.as_ref().map(|next| next.paper.number), register.in_force.number);
    register.play(index, entry);
    let now = register.next.as_ref().map(|next| next.paper.number);
    if let Some(number) = now.filter(|_| now != next) {
        let author = register.next.as_ref().map_or("", |next| next.paper.author.as_str());
        tracing::info!("policy: proposal {number} by '{author}' is on its way, entry {index}");
    }
    if register.in_force.number != force {
        tracing::info!("policy: version {} is agreed to be in force, entry {index}", register.in_force.number);
    } else if let Some(gone) = next.filter(|_| now.is_none()) {
        let fate = register.history.iter().find(|past| past.number == gone).map(|past| &past.fate);
        tracing::info!("policy: proposal {gone} is nowhere, {fate:?}, entry {index}");
    } else if register.epoch != epoch {
        tracing::debug!("policy: epoch {}, entry {index}", register.epoch);
    }
}

impl Fleet {
    fn seat_terms(&self) -> SeatTerms {
        let election_ticks = usize::try_from(self.settings.election / TICK.0).unwrap_or(10).max(4);
        SeatTerms {
            election_ticks,
            heartbeat_ticks: (election_ticks / 5).max(1),
            witness_ticks: election_ticks * 2,
            ..SeatTerms::default()
        }
    }

    /// Takes the seat that the folder holds.
    fn take_seat(&self) {
        let mut council = self.council.borrow_mut();
        let (found, journal) = disk::find(&self.folder, self.id, self.seat_terms(), chance());
        let votes = council.members.get(&self.me).is_some_and(|seated| seated.seat.is_some());
        (council.register, council.journal) = (None, journal);
        (council.seat, council.seat_words) = match found {
            Found::Seat(seat) => {
                council.register = seat.begins_from().and_then(|(_, state)| postcard::from_bytes(&state).ok());
                tracing::info!("fleet: {} has seat {}, {:?}", self.me, seat.no(), seat.standing());
                (Some(*seat), None)
            }
            Found::Nothing if votes => {
                let words = "its state is not there: it takes part without a vote until it is replaced \
                             (ternpick fleet replace)";
                tracing::error!("fleet: {} has a vote, and {words}", self.me);
                (None, Some(words.to_owned()))
            }
            Found::Nothing => (None, None),
            Found::Unusable(words) => {
                tracing::error!("fleet: {} takes part without its vote, {words}", self.me);
                (None, Some(words))
            }
        };
        if let Some(register) = &council.register {
            council.members = register.members.clone();
        }
    }

    /// Says something to a member, this one included.
    fn say(&self, router: &Rc<Router>, me: &Rc<Fleet>, to: &Member, said: Said) {
        if *to == self.me {
            return self.council.borrow_mut().home.push_back(said);
        }
        let address = self.council.borrow().members.get(to).and_then(|seated| seated.address.parse().ok());
        let Some(address) = address else { return };
        let mut posts = self.posts.borrow_mut();
        let post = posts.entry(to.clone()).or_insert_with(|| Post::open(router, me, to.clone(), address));
        post.address.set(address);
        post.say(said);
    }

    /// Ways to those that are members no longer end.
    fn close_posts(&self) {
        let council = self.council.borrow();
        self.posts.borrow_mut().retain(|member, post| {
            let stays = council.members.contains_key(member);
            if !stays {
                post.end();
            }
            stays
        });
    }

    /// Whom to ask: the one that leads as far as is known, else one that votes after the other.
    fn whom(&self) -> Option<Member> {
        let mut council = self.council.borrow_mut();
        let known = council.leads.clone().filter(|member| council.members.contains_key(member));
        if let Some(member) = known {
            return Some(member);
        }
        let voters: Vec<Member> =
            council.members.iter().filter(|(_, of)| of.seat.is_some()).map(|(member, _)| member.clone()).collect();
        council.next_ask += 1;
        voters.get(council.next_ask % voters.len().max(1)).cloned()
    }

    fn take(&self, router: &Rc<Router>, me: &Rc<Fleet>, from: &Member, said: Said, now: Micros) {
        match said {
            Said::Seat { from: seat, to, word } => {
                let mut council = self.council.borrow_mut();
                // While something cannot be kept, nothing is heard: it could not be answered for.
                if council.keep_again.is_none() {
                    if let Some(own) = council.seat.as_mut().filter(|own| own.no() == to) {
                        own.hear(seat, &word);
                    }
                }
            }
            Said::Renew(renew) => {
                let mut council = self.council.borrow_mut();
                let Council { chair, register, leads, .. } = &mut *council;
                if let (Some((_, chair)), Some(register)) = (chair, register) {
                    let orders = chair.hear(now, register, renew);
                    drop(council);
                    self.order(router, me, orders);
                } else {
                    let leads = leads.clone().filter(|member| *member != self.me && member != from);
                    drop(council);
                    self.say(router, me, from, Said::Elsewhere(leads));
                }
            }
            Said::Told(told) => {
                if *from != self.me {
                    self.council.borrow_mut().leads = Some(from.clone());
                }
                self.told(router, now, told);
            }
            Said::Elsewhere(leads) => {
                let mut council = self.council.borrow_mut();
                let news = leads.is_some() && leads != council.leads;
                council.leads = leads.filter(|member| member != from && *member != self.me);
                if news {
                    self.keeper.borrow_mut().asks_anew();
                }
            }
            Said::Do { op, command } => self.do_for(router, me, from, op, command),
            Said::Did { op, outcome } => self.heard(op, Heard::Did(outcome)),
            Said::Look { op, what } => {
                let json = commands::look(&self.council.borrow(), &what, now);
                match json {
                    Some(json) => self.say(router, me, from, Said::Seen { op, json }),
                    None => self.say(router, me, from, Said::Elsewhere(None)),
                }
            }
            Said::Seen { op, json } => self.heard(op, Heard::Seen(json)),
        }
    }

    fn told(&self, router: &Router, now: Micros, told: Told) {
        let effects = self.keeper.borrow_mut().told(now, told);
        self.carry_out(router, effects);
    }

    fn heard(&self, op: Op, outcome: Heard) {
        if let Some(own) = self.council.borrow_mut().own.get_mut(&op) {
            own.outcome = Some(outcome);
            own.done.notify(usize::MAX);
        }
    }

    /// A command, put into the log once however often it is said; its outcome is told when it is known.
    fn do_for(&self, router: &Rc<Router>, me: &Rc<Fleet>, from: &Member, op: Op, command: Command) {
        let mut council = self.council.borrow_mut();
        let Council { chair, register, seat, doing, leads, .. } = &mut *council;
        let (Some(_), Some(register), Some(seat)) = (&chair, register, seat) else {
            let leads = leads.clone().filter(|member| *member != self.me);
            drop(council);
            return self.say(router, me, from, Said::Elsewhere(leads));
        };
        if let Some(outcome) = register.outcome(op).cloned() {
            drop(council);
            return self.say(router, me, from, Said::Did { op, outcome });
        }
        if let Command::Transfer { to } = &command {
            let holder = register.members.get(to).and_then(|seated| seated.seat);
            let outcome = match holder {
                Some(no) => {
                    seat.transfer(no);
                    Outcome::Done
                }
                None => Outcome::Refused(format!("{to} has no vote")),
            };
            drop(council);
            return self.say(router, me, from, Said::Did { op, outcome });
        }
        if doing.iter().any(|(of, _)| *of == op) {
            return;
        }
        let Some(entry) = command.entry(op, self.terms.confirm) else { return };
        let put = postcard::to_stdvec(&entry).map(|bytes| seat.put(bytes));
        match put {
            Ok(Ok(())) => {
                doing.push_back((op, from.clone()));
                while doing.len() > MOST_DOING {
                    doing.pop_front();
                }
            }
            // It may still be put: whoever asks says it again.
            Ok(Err(refused)) => tracing::info!("fleet: a command is not put into the log, {refused}"),
            Err(e) => tracing::warn!("fleet: a command cannot be written, {e}"),
        }
    }

    fn order(&self, router: &Rc<Router>, me: &Rc<Fleet>, orders: Vec<Order>) {
        for order in orders {
            match order {
                Order::Put(entry) => {
                    let mut council = self.council.borrow_mut();
                    let bytes = postcard::to_stdvec(&entry).unwrap_or_default();
                    if let Some(Err(refused)) = council.seat.as_mut().map(|seat| seat.put(bytes)) {
                        tracing::debug!("fleet: an entry is not put, {refused}");
                    }
                }
                Order::Ask(number) => {
                    let mut council = self.council.borrow_mut();
                    let term = council.chair.as_ref().map_or(0, |(term, _)| *term);
                    if let Some(seat) = &mut council.seat {
                        seat.ask(term << 32 | number);
                    }
                }
                Order::Tell(to, told) => self.say(router, me, &to, Said::Told(told)),
                Order::Say(line) => tracing::info!("{line}"),
            }
        }
    }

    /// Takes or leaves the chair as the seat leads or not.
    fn follow_lead(&self, router: &Router) {
        let mut council = self.council.borrow_mut();
        let Council { seat, register, chair, leads, reads, doing, members, .. } = &mut *council;
        let Some(seat) = seat else {
            *chair = None;
            return;
        };
        let term = seat.term();
        match register {
            Some(register) if seat.leads_surely() && !matches!(seat.standing(), Standing::Spoilt(_)) => {
                if chair.as_ref().is_none_or(|(of, _)| *of != term) {
                    // The leases that others gave ran at the latest from now on: the clock is read at this moment.
                    let taken = Chair::takes(self.terms, router.clock.now(), register);
                    tracing::info!("fleet: {} leads in term {term}, entry {}", self.me, register.index);
                    *chair = Some((term, taken));
                    *leads = Some(self.me.clone());
                    reads.clear();
                    doing.clear();
                }
            }
            _ => {
                if chair.take().is_some() {
                    tracing::info!("fleet: {} leads no longer, term {term}", self.me);
                    *leads = None;
                }
                if let Some(no) = seat.leader().filter(|no| *no != seat.no()) {
                    let holder = members.iter().find(|(_, of)| of.seat == Some(no));
                    if let Some((member, _)) = holder {
                        *leads = Some(member.clone());
                    }
                }
            }
        }
    }

    /// Keeps what is to be kept, and carries out what follows from what is.
    fn work(&self, router: &Rc<Router>, me: &Rc<Fleet>, now: Micros) {
        for _ in 0..MOST_ROUNDS {
            let mut council = self.council.borrow_mut();
            if let Some(kept) = council.kept.take() {
                council.keeping = false;
                match kept {
                    Ok(()) => {
                        if council.keep_again.take().is_some() {
                            tracing::info!("fleet: the state can be kept again");
                        }
                        let done = council.seat.as_mut().map(Seat::kept).unwrap_or_default();
                        drop(council);
                        self.follow_up(router, me, done);
                        continue;
                    }
                    Err(words) => {
                        if council.keep_again.is_none() {
                            tracing::error!("fleet: the state cannot be kept, nothing is answered until it can: {words}");
                        }
                        council.keep_again = Some(now + KEEP_AGAIN);
                    }
                }
            }
            if council.keeping || council.keep_again.is_some_and(|at| now < at) {
                return;
            }
            if council.keep_again.is_some() {
                let image = council.image.clone();
                drop(council);
                return self.keep(router, me, image);
            }
            let Some(work) = council.seat.as_mut().and_then(Seat::work) else { return };
            match work.image {
                Some(image) => {
                    council.image.clone_from(&image);
                    drop(council);
                    return self.keep(router, me, image);
                }
                None => {
                    let done = council.seat.as_mut().map(Seat::kept).unwrap_or_default();
                    drop(council);
                    self.follow_up(router, me, done);
                }
            }
        }
    }

    /// Writing waits for the disk, and the router does not wait for it.
    fn keep(&self, router: &Rc<Router>, me: &Rc<Fleet>, image: Vec<u8>) {
        let mut council = self.council.borrow_mut();
        council.keeping = true;
        council.images += 1;
        let (folder, version, me) = (self.folder.clone(), council.images, Rc::clone(me));
        let mut journal = council.journal.take();
        let task = async move {
            let write = move || (disk::keep(Path::new(&folder), &mut journal, version, &image), journal);
            let (kept, journal) = blocking::unblock(write).await;
            let mut council = me.council.borrow_mut();
            (council.kept, council.journal) = (Some(kept), journal);
            drop(council);
            me.wake.notify(1);
        };
        router.executor.spawn(task).detach();
    }

    fn follow_up(&self, router: &Rc<Router>, me: &Rc<Fleet>, done: Done) {
        let mut council = self.council.borrow_mut();
        council.play(&done);
        council.reads.extend(done.answered);
        let own = council.seat.as_ref().map(|seat| seat.no()).unwrap_or_default();
        if let (Some(seat), Some(register)) = (council.seat.as_ref(), &council.register) {
            if seat.is_long() {
                let state = postcard::to_stdvec(register).unwrap_or_default();
                if let Some(seat) = council.seat.as_mut() {
                    seat.compact(state);
                }
            }
        }
        let letters: Vec<(Member, Said)> = done
            .messages
            .into_iter()
            .filter_map(|(to, word)| {
                let holder = council.members.iter().find(|(_, of)| of.seat == Some(to));
                Some((holder?.0.clone(), Said::Seat { from: own, to, word }))
            })
            .collect();
        drop(council);
        for (to, said) in letters {
            self.say(router, me, &to, said);
        }
        self.follow_lead(router);
        self.tell_outcomes(router, me);
    }

    fn tell_outcomes(&self, router: &Rc<Router>, me: &Rc<Fleet>) {
        let mut council = self.council.borrow_mut();
        let Council { doing, register, .. } = &mut *council;
        let Some(register) = register else { return };
        let mut known = Vec::new();
        doing.retain(|(op, member)| match register.outcome(*op) {
            Some(outcome) => {
                known.push((member.clone(), Said::Did { op: *op, outcome: outcome.clone() }));
                false
            }
            None => true,
        });
        drop(council);
        for (member, said) in known {
            self.say(router, me, &member, said);
        }
    }

    /// The chair looks what is due, and gets the answers to its questions.
    fn beat(&self, router: &Rc<Router>, me: &Rc<Fleet>, now: Micros) {
        let mut council = self.council.borrow_mut();
        let Council { seat, register, chair, reads, .. } = &mut *council;
        let (Some(seat), Some(register), Some((term, chair))) = (seat, register, chair) else { return };
        let played = seat.played();
        let (ready, rest): (Vec<_>, Vec<_>) = reads.drain(..).partition(|(_, index)| *index <= played);
        *reads = rest;
        let mut orders = Vec::new();
        for (number, _) in ready {
            if number >> 32 == *term & 0xffff_ffff {
                orders.extend(chair.confirmed(now, register, number & 0xffff_ffff));
            }
        }
        orders.extend(chair.beat(now, register));
        drop(council);
        self.order(router, me, orders);
    }

    /// Brings who votes to what the register says, one change at a time.
    fn reconcile(&self, now: Micros) {
        let mut council = self.council.borrow_mut();
        if now < council.next_seats {
            return;
        }
        council.next_seats = now + SEATS_EVERY;
        let Council { seat, register, chair, .. } = &mut *council;
        let (Some(seat), Some(register), Some(_)) = (seat, register, chair) else { return };
        let (voters, learners) = register.seats();
        match seat.change(&voters, &learners) {
            Ok(true) => tracing::info!("fleet: who votes changes to {voters:?}, learning {learners:?}"),
            Ok(false) => {}
            Err(refused) => tracing::debug!("fleet: who votes cannot change now, {refused}"),
        }
        for no in learners {
            if seat.learners().contains(&no) && seat.has_learnt(no) {
                let entry = postcard::to_stdvec(&Entry::Learnt { seat: no }).unwrap_or_default();
                if seat.put(entry).is_ok() {
                    tracing::info!("fleet: seat {no} has learnt what was agreed, and is to vote");
                }
            }
        }
    }

    /// A seat that was just given to this router begins with nothing, as it has promised nothing. Only on the word of one
    /// that surely leads, which a lease in this member's hands shows.
    fn take_new_seat(&self, now: Micros) {
        let has_lease = self.keeper.borrow().lease_left(now).is_some();
        let mut council = self.council.borrow_mut();
        let given = council.members.get(&self.me).and_then(|of| Some((of.seat?, of.learns)));
        let own = council.seat.as_ref().map(|seat| seat.no());
        match given {
            Some((no, true)) if own != Some(no) && has_lease && !council.keeping => {
                match Seat::fresh(self.id, no, self.seat_terms(), chance()) {
                    Ok(seat) => {
                        tracing::info!("fleet: {} begins in the new seat {no}, and learns", self.me);
                        (council.seat, council.seat_words, council.register) = (Some(seat), None, None);
                        council.chair = None;
                    }
                    Err(refused) => tracing::error!("fleet: the new seat {no} cannot be taken, {refused}"),
                }
            }
            // Its seat is another's word now, or nobody's: it must not speak from it.
            Some((no, _)) if own.is_some() && own != Some(no) && !council.keeping && has_lease => {
                let words = format!("its state is of seat {}, the fleet has given it seat {no}", own.unwrap_or_default());
                tracing::error!("fleet: {} takes part without its vote, {words}", self.me);
                (council.seat, council.seat_words, council.chair) = (None, Some(words), None);
            }
            None if own.is_some() && has_lease && !council.keeping => {
                tracing::info!("fleet: {} has no vote any more", self.me);
                (council.seat, council.register, council.chair) = (None, None, None);
            }
            _ => {}
        }
    }

    /// This router's lease: what time has brought, and the next request.
    fn keep_lease(&self, router: &Rc<Router>, me: &Rc<Fleet>, now: Micros) {
        let effect = self.keeper.borrow_mut().elapsed(now);
        if let Some(effect) = effect {
            self.carry_out(router, vec![effect]);
        }
        let silent = self.keeper.borrow().is_unanswered(now);
        if silent {
            let mut council = self.council.borrow_mut();
            if council.chair.is_none() {
                council.leads = None;
            }
        }
        let renew = self.keeper.borrow_mut().renew(now);
        if let Some(renew) = renew {
            if let Some(to) = self.whom() {
                self.say(router, me, &to, Said::Renew(renew));
            }
        }
    }

    fn say_own(&self, router: &Rc<Router>, me: &Rc<Fleet>, now: Micros) {
        let mut due = Vec::new();
        for (op, own) in &mut self.council.borrow_mut().own {
            if own.outcome.is_none() && own.said.is_none_or(|at| now >= at + SAY_AGAIN) {
                own.said = Some(now);
                due.push(match &own.what {
                    Wish::Do(command) => Said::Do { op: *op, command: command.clone() },
                    Wish::Look(what) => Said::Look { op: *op, what: what.clone() },
                });
            }
        }
        for said in due {
            if let Some(to) = self.whom() {
                self.say(router, me, &to, said);
            }
        }
    }

    /// One turn; when the next is due comes back.
    fn turn(&self, router: &Rc<Router>, me: &Rc<Fleet>) -> Micros {
        let now = router.clock.now();
        {
            let mut council = self.council.borrow_mut();
            // After a stop of any length time goes on with one tick: nobody is voted out for what was not heard meanwhile.
            if now >= council.next_tick {
                let stuck = council.keep_again.is_some();
                if let Some(seat) = council.seat.as_mut().filter(|_| !stuck) {
                    seat.tick();
                }
                council.next_tick = (council.next_tick + TICK).max(now);
            }
        }
        while let Some(parcel) = self.next_parcel() {
            for said in parcel.said {
                self.take(router, me, &parcel.from, said, now);
            }
        }
        self.take_new_seat(now);
        for _ in 0..MOST_ROUNDS {
            self.work(router, me, now);
            self.follow_lead(router);
            self.beat(router, me, now);
            self.reconcile(now);
            self.keep_lease(router, me, now);
            self.say_own(router, me, now);
            let said: Vec<Said> = self.council.borrow_mut().home.drain(..).collect();
            if said.is_empty() {
                break;
            }
            for said in said {
                self.take(router, me, &self.me, said, now);
            }
        }
        self.close_posts();
        self.next_due(now)
    }

    fn next_due(&self, now: Micros) -> Micros {
        let council = self.council.borrow();
        let mut due = self.keeper.borrow().next_due(now);
        if council.seat.is_some() {
            due = due.min(council.next_tick.max(now));
        }
        if let Some((chair, register)) = council.chair() {
            due = due.min(chair.next_due(now, register));
        }
        if let Some(at) = council.keep_again.filter(|_| !council.keeping) {
            due = due.min(at);
        }
        if council.own.values().any(|own| own.outcome.is_none()) {
            due = due.min(now + SAY_AGAIN);
        }
        due
    }

    /// An operator's command or question, until its outcome is heard or its time is up.
    pub async fn ask(&self, router: &Router, op: Op, what: Wish, wait: Micros) -> Option<Heard> {
        let done = Rc::new(event_listener::Event::new());
        let until = router.clock.now() + wait;
        let own = Own { what, said: None, outcome: None, done: Rc::clone(&done) };
        self.council.borrow_mut().own.insert(op, own);
        self.wake.notify(1);
        let heard = async {
            loop {
                let more = done.listen();
                if let Some(outcome) = self.council.borrow().own.get(&op).and_then(|own| own.outcome.clone()) {
                    return outcome;
                }
                more.await;
            }
        };
        let heard = router.until(Some(until), heard).await;
        self.council.borrow_mut().own.remove(&op);
        heard
    }
}

/// Takes part for as long as this process accepts clients: one that has handed over speaks for its member no more, and
/// takes the folder, the seat and the listener again if it has to take over.
pub async fn run(router: Rc<Router>, fleet: Rc<Fleet>) {
    loop {
        while !router.accepts.get() {
            let changed = router.accepts_changed.listen();
            if !router.accepts.get() {
                changed.await;
            }
        }
        let Some(held) = hold(&router, &fleet).await else { continue };
        fleet.take_seat();
        let Some(address) = fleet.address() else {
            tracing::error!("fleet: {} is no member by its settings, and has no address", fleet.me);
            return;
        };
        let listener = post::bind(&router, address).await;
        tracing::info!("fleet: {} speaks on {address} in fleet {}", fleet.me, fleet.settings.name);
        let listening = router.executor.spawn(post::listen(Rc::clone(&router), Rc::clone(&fleet), listener));
        while router.accepts.get() {
            let (wake, changed) = (fleet.wake.listen(), router.accepts_changed.listen());
            let due = fleet.turn(&router, &fleet);
            let time = async {
                Timer::at(router.clock.instant(due)).await;
            };
            future::or(future::or(wake, changed), time).await;
        }
        drop(listening);
        leave(&router, &fleet).await;
        drop(held);
        tracing::info!("fleet: {} speaks no more in this process", fleet.me);
    }
}

/// Waits for the folder; none: this process no longer accepts.
async fn hold(router: &Router, fleet: &Fleet) -> Option<ternpick_store::Held> {
    let mut said = false;
    while router.accepts.get() {
        match ternpick_store::hold(&fleet.folder) {
            Ok(Some(held)) => return Some(held),
            Ok(None) if said => {}
            Ok(None) => {
                said = true;
                tracing::info!("fleet: waits for another process to leave {}", fleet.folder.display());
            }
            Err(fault) => {
                if !std::mem::replace(&mut said, true) {
                    tracing::error!("fleet: {fault}");
                }
            }
        }
        Timer::at(router.clock.instant(router.clock.now() + LOOK_AGAIN)).await;
    }
    None
}

/// Ends what speaks for the member here; what is being written is waited for.
async fn leave(router: &Router, fleet: &Fleet) {
    for (_, post) in std::mem::take(&mut *fleet.posts.borrow_mut()) {
        post.end();
    }
    while fleet.council.borrow().keeping && fleet.council.borrow().kept.is_none() {
        Timer::at(router.clock.instant(router.clock.now() + LOOK_AGAIN)).await;
    }
    let members = fleet.council.borrow().members.clone();
    *fleet.council.borrow_mut() = Council::new(members, router.clock.now());
}
