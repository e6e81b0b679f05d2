//! Frames between a router and a node: four bytes of length (least significant first), a letter, the rest.

use crate::http::BODY_BOUND;
use crate::ring::Ring;

/// The longest frame that a node may send: a value that no answer has room for is of no use.
pub const FRAME_BOUND: usize = BODY_BOUND + LINE_BOUND;

/// The longest line of a part in a call, with what frames it.
pub const LINE_BOUND: usize = 1024;

/// Why a node's bytes cannot be read on; the connection ends with it.
pub type BadFrame = &'static str;

/// How a node ended a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    Broke,
    Skipped,
}

/// Takes a whole frame's letter and rest off `input`, if it is all there.
pub fn next(input: &mut Ring, into: &mut Vec<u8>) -> Result<Option<u8>, BadFrame> {
    while into.len() < 4 || into.len() < 4 + length(into)? {
        let wanted = if into.len() < 4 {
            4 - into.len()
        } else {
            4 + length(into)? - into.len()
        };
        let run = input.filled();
        if run.is_empty() {
            return Ok(None);
        }
        let taken = run.len().min(wanted);
        into.extend_from_slice(&run[..taken]);
        input.consume(taken);
    }
    let letter = into[4];
    into.drain(..5);
    Ok(Some(letter))
}

fn length(head: &[u8]) -> Result<usize, BadFrame> {
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    match length {
        0 => Err("a frame without a letter"),
        _ if length > FRAME_BOUND => Err("a frame longer than its bound"),
        _ => Ok(length),
    }
}

/// The id that a frame names first, if it can be read: also of one that is spoilt further on.
pub fn id(rest: &[u8]) -> Option<&str> {
    std::str::from_utf8(rest.split(|byte| *byte == b' ').next()?).ok()
}

/// An `a` frame's fields: id, end, report, value. A report that is not text is an unreadable one, and spoils
/// nothing else. No text holds a NUL: it is the length of the frame behind, which a wrong length took in.
pub fn answer(rest: &[u8]) -> Result<(&str, End, &str, &str), BadFrame> {
    let end = rest
        .iter()
        .position(|byte| *byte == b'\n')
        .ok_or("an answer without its line")?;
    let value = std::str::from_utf8(&rest[end + 1..])
        .ok()
        .filter(|value| !value.contains('\0'));
    let value = value.ok_or("an answer's value is not text")?;
    let mut words = rest[..end].splitn(4, |byte| *byte == b' ');
    let mut word = || std::str::from_utf8(words.next()?).ok();
    let (Some(id), Some(end), Some(score)) = (word(), word(), word()) else {
        return Err("an answer's line has not four words");
    };
    let report = words.next().ok_or("an answer's line has not four words")?;
    if score.is_empty() || !score.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err("an answer's score is no number");
    }
    let end = match end {
        "served" => End::Served,
        "broke" => End::Broke,
        "skipped" => End::Skipped,
        _ => return Err("an answer of unknown end"),
    };
    Ok((
        id,
        end,
        std::str::from_utf8(report).unwrap_or_default(),
        value,
    ))
}

/// A load report's figures in the order of `columns`, which are the settings' words; one that is missing or
/// unreadable is no number. Empty if there is no report.
pub fn report(text: &str, columns: &[String]) -> Vec<f64> {
    if text == "-" || text == "broke" {
        return Vec::new();
    }
    let figure = |column: &String| {
        let of = |(word, figure): (&str, &str)| {
            (meaning(word) == column)
                .then(|| figure.parse().ok())
                .flatten()
        };
        text.split(',')
            .filter_map(|pair| pair.split_once('='))
            .find_map(of)
            .unwrap_or(f64::NAN)
    };
    columns.iter().map(figure).collect()
}

/// The settings' word for what a node's report calls by another.
fn meaning(word: &str) -> &str {
    match word.trim() {
        "inflight" => "concurrent",
        "queue" => "depth",
        "util" => "load_share",
        "latency_ms" => "mean_ms",
        "qps" => "tps",
        "eps" => "err_ps",
        other => other,
    }
}

fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(5 + rest.len());
    frame.extend_from_slice(&(1 + rest.len() as u32).to_le_bytes());
    frame.push(letter);
    frame.extend_from_slice(rest);
    frame
}

/// Adds one part to the rest of a `q` frame.
pub fn add_part(
    rest: &mut Vec<u8>,
    id: &str,
    shard: u32,
    wait_ms: u64,
    key: Option<&str>,
    text: &str,
) {
    let key = key.map(|key| format!(",k={key}")).unwrap_or_default();
    rest.extend_from_slice(
        format!("{id} {shard} d={wait_ms}{key} {}\n{text}", text.len()).as_bytes(),
    );
}

pub fn call(rest: &[u8]) -> Vec<u8> {
    frame(b'q', rest)
}

/// Gives a part up.
pub fn give_up(id: &str) -> Vec<u8> {
    frame(b'c', id.as_bytes())
}

/// Asks for the load report.
pub fn load_probe() -> Vec<u8> {
    frame(b'l', b"")
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test]
    fn reads_frames_alike_wherever_they_are_split() {
        let bytes = [frame(b'a', b"x.1 served 0 -\nvalue"), frame(b'p', b"")].concat();
        for at in 0..=bytes.len() {
            let (mut ring, mut into, mut got) = (Ring::new(1024), Vec::new(), Vec::new());
            for piece in [&bytes[..at], &bytes[at..]] {
                assert!(ring.push(piece));
                while let Some(letter) = next(&mut ring, &mut into).expect("good frames") {
                    got.push((letter, std::mem::take(&mut into)));
                }
            }
            assert_eq!(
                got,
                [
                    (b'a', b"x.1 served 0 -\nvalue".to_vec()),
                    (b'p', Vec::new())
                ],
                "split at {at}"
            );
        }
    }

    #[test_case(0; "no letter")]
    #[test_case(FRAME_BOUND as u32 + 1; "too long")]
    #[test_case(u32::MAX; "endless")]
    fn refuses_hostile_lengths(length: u32) {
        let mut ring = Ring::new(1024);
        assert!(ring.push(&length.to_le_bytes()));
        assert!(next(&mut ring, &mut Vec::new()).is_err());
    }

    #[test_case("x.1 served 7 queue=3\nv", Ok(("x.1", End::Served, "queue=3", "v")); "served")]
    #[test_case("x.1 broke 0 -\n", Ok(("x.1", End::Broke, "-", "")); "broke")]
    #[test_case("x.1 skipped 0 -\n", Ok(("x.1", End::Skipped, "-", "")); "skipped")]
    #[test_case("x.1 lost 0 -\n", Err(()); "an unknown end")]
    #[test_case("x.1 served -\n", Err(()); "a word missing")]
    #[test_case("x.1 served 0 q=1 %%\nv", Ok(("x.1", End::Served, "q=1 %%", "v")); "a report of several words")]
    #[test_case("x.1 served 0 \nv", Ok(("x.1", End::Served, "", "v")); "an empty report")]
    #[test_case("x.1 served -7 -\n", Err(()); "no score")]
    #[test_case("x.1 served 0 -\nv\x20\0\0\0ax.2", Err(()); "a value that goes on into the next frame")]
    #[test_case("x.1 served 0 -", Err(()); "no line end")]
    fn reads_answers(rest: &str, fields: Result<(&str, End, &str, &str), ()>) {
        assert_eq!(answer(rest.as_bytes()).map_err(drop), fields);
    }

    #[test]
    fn refuses_an_answer_that_is_not_text() {
        assert!(answer(b"x.1 served 0 -\n\xff").is_err());
        assert!(answer(b"\xff served 0 -\n").is_err());
        // Nothing but its report is lost with a report that is not.
        assert_eq!(
            answer(b"x.1 served 0 \xff\nv"),
            Ok(("x.1", End::Served, "", "v"))
        );
    }

    #[test_case("queue=4,qps=2.5,util=0.5", &[2.5, 0.5, 4.0]; "in another order")]
    #[test_case("depth=4,tps=2,load_share=1", &[2.0, 1.0, 4.0]; "by the settings' words")]
    #[test_case("-", &[]; "none")]
    #[test_case("broke", &[]; "a probe that broke")]
    fn reads_reports_by_the_settings_columns(text: &str, figures: &[f64]) {
        let columns = ["tps", "load_share", "depth"].map(str::to_owned);
        assert_eq!(report(text, &columns), figures);
    }

    #[test]
    fn a_figure_that_is_missing_or_unreadable_is_none() {
        let columns = ["tps", "depth"].map(str::to_owned);
        assert!(report("queue=many,util=1", &columns)
            .iter()
            .all(|figure| figure.is_nan()));
    }

    #[test_case(b"x.1 ? 0 -\nv", Some("x.1"); "of unknown end")]
    #[test_case(b"\xff", None; "noise")]
    fn names_the_call_of_a_spoilt_answer(rest: &[u8], name: Option<&str>) {
        assert_eq!(id(rest), name);
    }

    #[test]
    fn words_parts_as_nodes_read_them() {
        let mut rest = Vec::new();
        add_part(&mut rest, "x.3", 3, 240, Some("k1"), "text");
        add_part(&mut rest, "x.4", 4, 240, None, "");
        assert_eq!(rest, b"x.3 3 d=240,k=k1 4\ntextx.4 4 d=240 0\n");
        assert_eq!(call(&rest)[..5], [rest.len() as u8 + 1, 0, 0, 0, b'q']);
        assert_eq!(give_up("x.3"), b"\x04\x00\x00\x00cx.3");
    }
}
