//! Tests of frames: split input, hostile lengths, answers, load reports, encoding.

use super::*;
use test_case::test_case;

fn fields_of(answer: ShardResponse<'_>) -> (&str, ResponseStatus, &str, &str) {
    (answer.id, answer.status, answer.load_report, answer.value)
}

#[test]
fn reads_frames_alike_wherever_they_are_split() {
    let bytes = [
        encode_frame(b'a', b"x.1 served 0 -\nvalue"),
        encode_frame(b'p', b""),
    ]
    .concat();
    for at in 0..=bytes.len() {
        let (mut ring, mut into, mut got) = (Ring::new(1024), Vec::new(), Vec::new());
        for piece in [&bytes[..at], &bytes[at..]] {
            assert!(ring.push(piece));
            while let Some(letter) = read_frame(&mut ring, &mut into).expect("good frames") {
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
#[test_case(MAX_FRAME_BYTES as u32 + 1; "too long")]
#[test_case(u32::MAX; "endless")]
fn refuses_hostile_lengths(length: u32) {
    let mut ring = Ring::new(1024);
    assert!(ring.push(&length.to_le_bytes()));
    assert!(read_frame(&mut ring, &mut Vec::new()).is_err());
}

#[test_case("x.1 served 7 queue=3\nv", Ok(("x.1", ResponseStatus::Served, "queue=3", "v")); "served")]
#[test_case("x.1 broke 0 -\n", Ok(("x.1", ResponseStatus::Failed, "-", "")); "broke")]
#[test_case("x.1 skipped 0 -\n", Ok(("x.1", ResponseStatus::NotStarted, "-", "")); "skipped")]
#[test_case("x.1 lost 0 -\n", Err(()); "an unknown end")]
#[test_case("x.1 served -\n", Err(()); "a word missing")]
#[test_case("x.1 served 0 q=1 %%\nv", Ok(("x.1", ResponseStatus::Served, "q=1 %%", "v")); "a report of several words")]
#[test_case("x.1 served 0 \nv", Ok(("x.1", ResponseStatus::Served, "", "v")); "an empty report")]
#[test_case("x.1 served -7 -\n", Err(()); "no score")]
#[test_case("x.1 served 0 -\nv\x20\0\0\0ax.2", Err(()); "a value that goes on into the next frame")]
#[test_case("x.1 served 0 -", Err(()); "no line end")]
fn reads_answers(rest: &str, fields: Result<(&str, ResponseStatus, &str, &str), ()>) {
    let read = parse_shard_response(rest.as_bytes());
    assert_eq!(read.map(fields_of).map_err(drop), fields);
}

#[test]
fn refuses_an_answer_that_is_not_text() {
    assert!(parse_shard_response(b"x.1 served 0 -\n\xff").is_err());
    assert!(parse_shard_response(b"\xff served 0 -\n").is_err());
    // Nothing but its report is lost with a report that is not.
    assert_eq!(
        parse_shard_response(b"x.1 served 0 \xff\nv").map(fields_of),
        Ok(("x.1", ResponseStatus::Served, "", "v"))
    );
}

#[test_case("queue=4,qps=2.5,util=0.5", &[2.5, 0.5, 4.0]; "in another order")]
#[test_case("depth=4,tps=2,load_share=1", &[2.0, 1.0, 4.0]; "by the settings' words")]
#[test_case("-", &[]; "none")]
#[test_case("broke", &[]; "a probe that broke")]
fn reads_reports_by_the_settings_columns(text: &str, figures: &[f64]) {
    let columns = ["tps", "load_share", "depth"].map(str::to_owned);
    assert_eq!(parse_load_report(text, &columns), figures);
}

#[test]
fn a_figure_that_is_missing_or_unreadable_is_none() {
    let columns = ["tps", "depth"].map(str::to_owned);
    assert!(parse_load_report("queue=many,util=1", &columns)
        .iter()
        .all(|figure| figure.is_nan()));
}

#[test_case(b"x.1 ? 0 -\nv", Some("x.1"); "of unknown end")]
#[test_case(b"\xff", None; "noise")]
fn names_the_shard_request_of_a_malformed_answer(rest: &[u8], name: Option<&str>) {
    assert_eq!(parse_shard_request_id(rest), name);
}

#[test]
fn encodes_shard_requests_as_nodes_read_them() {
    let first = ShardRequest {
        id: "x.3",
        shard: 3,
        wait_ms: 240,
        idempotency_key: Some("k1"),
        statement: "text",
    };
    let second = ShardRequest {
        id: "x.4",
        shard: 4,
        wait_ms: 240,
        idempotency_key: None,
        statement: "",
    };
    let bytes = encode_shard_requests([first, second].into_iter());
    let rest = b"x.3 3 d=240,k=k1 4\ntextx.4 4 d=240 0\n";
    assert_eq!(bytes[5..], rest[..]);
    assert_eq!(bytes[..5], [rest.len() as u8 + 1, 0, 0, 0, b'q']);
    assert_eq!(encode_cancel("x.3"), b"\x04\x00\x00\x00cx.3");
}
