//! Answers spoilt and split as seeds draw them. `ANSWER_SEEDS=1..1000` plays other seeds than CI does.

use std::collections::HashSet;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::common::draw::Draw;
use crate::common::scripted::{answer_bytes, Call, Step};
use crate::common::spoilt;
use crate::common::*;
use crate::support::*;

/// The seeds that CI plays.
const SEEDS: Range<u64> = 1..13;
/// Queries of each seed.
const QUERIES: u64 = 12;
/// Of so many answers, one is spoilt.
const SPOILT_ONE_IN: u64 = 3;
/// The longest answer that is written in short pieces, which take up a pause each.
const MAX_BYTE_BY_BYTE: usize = 2_000;
const INDEXES: [&str; 3] = ["whole", "half", "once"];

/// A value of one to four-byte characters, quotes and control characters, of up to some hundred bytes.
fn value_drawn(seed: u64, id: &str) -> String {
    let hash = u64::from_str_radix(&value_of(id), 16).expect("a number");
    let mut draw = Draw::new(hash ^ seed);
    let longest = draw.one(&[3, 20, 400]);
    let length = draw.below(longest);
    let letters = [
        '0', 'f', 'z', '"', '\\', ' ', '\n', '\u{1}', 'é', '語', '🦀',
    ];
    (0..length).map(|_| draw.one(&letters)).collect()
}

/// The pieces in which bytes are written.
fn split(draw: &mut Draw, bytes: &[u8]) -> Vec<Step> {
    let pause = Duration::from_micros(draw.one(&[0, 0, 300, 1_000]));
    let longest_piece = if bytes.len() > MAX_BYTE_BY_BYTE {
        4_096
    } else {
        draw.one(&[1, 7, 4_096, 4_096])
    };
    let mut steps = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let length = draw.between(1, longest_piece + 1).min(rest.len() as u64);
        let (piece, behind) = rest.split_at(length as usize);
        steps.push(Step::Write(piece.to_vec()));
        if !pause.is_zero() {
            steps.push(Step::Pause(pause));
        }
        rest = behind;
    }
    steps
}

/// The response to an attempt; spoilt ones are noted by the ids of their shard requests.
fn response(seed: u64, call: &Call, spoilt: &Mutex<HashSet<String>>) -> Vec<Step> {
    let hash = u64::from_str_radix(&value_of(&call.id), 16).expect("a number");
    let mut draw = Draw::new(hash ^ seed ^ u64::from(call.earlier_attempts) << 8);
    let value = value_drawn(seed, &call.id);
    let bytes = if draw.below(SPOILT_ONE_IN) == 0 {
        spoilt
            .lock()
            .expect("no thread panicked")
            .insert(call.id.clone());
        spoilt::draw_answer(&mut draw, &call.id, &value)
    } else {
        answer_bytes(&call.id, &value, 0)
    };
    split(&mut draw, &bytes)
}

/// Plays one seed; returns the number of queries with a spoilt answer and of those with a sound one only, as far as
/// this machine held nothing up.
fn play(seed: u64) -> (usize, usize) {
    let spoilt = Arc::<Mutex<HashSet<String>>>::default();
    let noted = Arc::clone(&spoilt);
    let scripted = Scripted::start(SETTINGS, move |call| response(seed, call, &noted));
    let (mut with_spoilt, mut sound) = (0, 0);
    for number in 0..QUERIES {
        let (id, index) = (format!("s{seed}q{number}"), INDEXES[number as usize % 3]);
        let mut client = scripted.router.connect();
        let served = query(&mut client, index, &id, 2);
        if scripted.was_held_up(&id) {
            continue;
        }
        let spoilt = spoilt.lock().expect("no thread panicked");
        let is_spoilt = spoilt
            .iter()
            .any(|part| part.starts_with(&format!("{id}.")));
        for (shard, value) in &served.values {
            let part = format!("{id}.{shard}");
            assert_eq!(*value, value_drawn(seed, &part), "seed {seed}, {part}");
        }
        if index == "once" {
            let attempts = [0, 1].map(|shard| scripted.attempts_of(&format!("{id}.{shard}")));
            assert!(
                attempts.iter().all(|count| *count <= 1),
                "seed {seed}, {id}: {attempts:?}"
            );
        }
        with_spoilt += usize::from(is_spoilt);
        sound += usize::from(!is_spoilt && served.status == 200);
    }
    (with_spoilt, sound)
}

/// Guards against any spoilt answer being served, whatever is wrong with it and however its bytes are split.
#[test]
fn no_spoilt_answer_is_served_and_every_query_is_answered() {
    let seeds = std::env::var("ANSWER_SEEDS").ok().map_or(SEEDS, |range| {
        let (from, to) = range.split_once("..").expect("a range of seeds");
        from.parse().expect("a seed")..to.parse().expect("a seed")
    });
    let (mut with_spoilt, mut sound) = (0, 0);
    for seed in seeds {
        let judged = play(seed);
        with_spoilt += judged.0;
        sound += judged.1;
    }
    println!("{with_spoilt} queries with a spoilt answer, {sound} served by sound ones alone");
    assert!(with_spoilt > 0 && sound > 0);
}
