//! Answers of nodes that are spoilt as a seed draws it.

use super::draw::Draw;
use super::frame;
use super::scripted::answer_bytes;

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug)]
enum Spoilt {
    Length,
    LengthBit,
    End,
    Id,
    Line,
    Nul,
    NotText,
    CutOff,
    Noise,
    Letter,
    TooLong,
}

const KINDS: [Spoilt; 11] = [
    Spoilt::Length,
    Spoilt::LengthBit,
    Spoilt::End,
    Spoilt::Id,
    Spoilt::Line,
    Spoilt::Nul,
    Spoilt::NotText,
    Spoilt::CutOff,
    Spoilt::Noise,
    Spoilt::Letter,
    Spoilt::TooLong,
];

/// Draws what is wrong with an answer to the shard request `id`, and returns its bytes.
pub(crate) fn draw_answer(draw: &mut Draw, id: &str, value: &str) -> Vec<u8> {
    let kind = draw.one(&KINDS);
    spoil(draw, kind, id, value)
}

fn spoil(draw: &mut Draw, kind: Spoilt, id: &str, value: &str) -> Vec<u8> {
    let sound = answer_bytes(id, value, 0);
    let served = |line: &str, value: &str| frame(b'a', &format!("{line}\n{value}"));
    match kind {
        Spoilt::Length => {
            let least = -(value.len() as i64) - 30;
            let excess = least + draw.below((100 - least) as u64) as i64;
            answer_bytes(id, value, if excess == 0 { -1 } else { excess })
        }
        Spoilt::LengthBit => {
            let mut bytes = sound;
            bytes[draw.below(4) as usize] ^= 1 << draw.below(8);
            bytes
        }
        Spoilt::End => served(&format!("{id} perhaps 5 -"), value),
        Spoilt::Id => served(&format!("x{id} served 5 -"), value),
        Spoilt::Line => served(&format!("{id} served 5"), value),
        Spoilt::Nul => served(&format!("{id} served 5 -"), &format!("{value}\0")),
        Spoilt::NotText => {
            let mut bytes = answer_bytes(id, &format!("{value}?"), 0);
            *bytes.last_mut().expect("a byte") = 0xff;
            bytes
        }
        Spoilt::CutOff => sound[..draw.below(sound.len() as u64) as usize].to_vec(),
        Spoilt::Noise => (0..draw.between(1, 90))
            .map(|_| draw.below(256) as u8)
            .collect(),
        Spoilt::TooLong => answer_bytes(id, &"\u{1}".repeat(60_000), 0),
        Spoilt::Letter => frame(b'z', &format!("{id} served 5 -\n{value}")),
    }
}
