//! Tests of frames: split input, invalid lengths, shard responses, load reports, encoding.

use super::*;
use test_case::test_case;

fn fields_of(response: ShardResponse<'_>) -> (&str, ResponseStatus, &str, &str) {
    (
        response.id,
        response.status,
        response.load_report,
        response.value,
    )
}

#[test]
fn reads_the_same_frames_wherever_the_input_is_split() {
    let bytes = [
        encode_frame(b'a', b"x.1 served 0 -\nvalue"),
        encode_frame(b'p', b""),
    ]
    .concat();
    for split in 0..=bytes.len() {
        let (mut ring, mut frame, mut frames) = (Ring::new(1024), Vec::new(), Vec::new());
        for piece in [&bytes[..split], &bytes[split..]] {
            assert!(ring.push(piece));
            while let Some(letter) = read_frame(&mut ring, &mut frame).expect("valid frames") {
                frames.push((letter, std::mem::take(&mut frame)));
            }
        }
        assert_eq!(
            frames,
            [
                (b'a', b"x.1 served 0 -\nvalue".to_vec()),
                (b'p', Vec::new())
            ],
            "split at {split}"
        );
    }
}

#[test_case(0; "empty")]
#[test_case(MAX_FRAME_BYTES as u32 + 1; "too long")]
#[test_case(u32::MAX; "largest length")]
fn rejects_invalid_frame_lengths(length: u32) {
    let mut ring = Ring::new(1024);
    assert!(ring.push(&length.to_le_bytes()));
    assert!(read_frame(&mut ring, &mut Vec::new()).is_err());
}

#[test_case("x.1 served 7 queue=3\nv", Ok(("x.1", ResponseStatus::Served, "queue=3", "v")); "served")]
#[test_case("x.1 broke 0 -\n", Ok(("x.1", ResponseStatus::Failed, "-", "")); "broke")]
#[test_case("x.1 skipped 0 -\n", Ok(("x.1", ResponseStatus::NotStarted, "-", "")); "skipped")]
#[test_case("x.1 lost 0 -\n", Err(()); "an unknown status")]
#[test_case("x.1 served -\n", Err(()); "a word missing")]
#[test_case("x.1 served 0 q=1 %%\nv", Ok(("x.1", ResponseStatus::Served, "q=1 %%", "v")); "a load report of several words")]
#[test_case("x.1 served 0 \nv", Ok(("x.1", ResponseStatus::Served, "", "v")); "an empty load report")]
#[test_case("x.1 served -7 -\n", Err(()); "a negative score")]
#[test_case("x.1 served 0 -\nv\x20\0\0\0ax.2", Err(()); "a value that runs into the next frame")]
#[test_case("x.1 served 0 -", Err(()); "no line end")]
fn parses_shard_responses(payload: &str, expected: Result<(&str, ResponseStatus, &str, &str), ()>) {
    let response = parse_shard_response(payload.as_bytes());
    assert_eq!(response.map(fields_of).map_err(drop), expected);
}

#[test]
fn rejects_a_shard_response_that_is_not_utf8_except_for_its_load_report() {
    assert!(parse_shard_response(b"x.1 served 0 -\n\xff").is_err());
    assert!(parse_shard_response(b"\xff served 0 -\n").is_err());
    // Only the load report is lost if it is not UTF-8.
    assert_eq!(
        parse_shard_response(b"x.1 served 0 \xff\nv").map(fields_of),
        Ok(("x.1", ResponseStatus::Served, "", "v"))
    );
}

#[test_case("queue=4,qps=2.5,util=0.5", &[2.5, 0.5, 4.0]; "in another order")]
#[test_case("depth=4,tps=2,load_share=1", &[2.0, 1.0, 4.0]; "with the names of the settings")]
#[test_case("-", &[]; "no report")]
#[test_case("broke", &[]; "a failed health check")]
fn parses_load_reports_in_the_order_of_the_columns(text: &str, expected: &[f64]) {
    let columns = ["tps", "load_share", "depth"].map(str::to_owned);
    assert_eq!(parse_load_report(text, &columns), expected);
}

#[test]
fn a_missing_or_unreadable_load_metric_is_nan() {
    let columns = ["tps", "depth"].map(str::to_owned);
    assert!(parse_load_report("queue=many,util=1", &columns)
        .iter()
        .all(|value| value.is_nan()));
}

#[test_case(b"x.1 ? 0 -\nv", Some("x.1"); "an unknown status")]
#[test_case(b"\xff", None; "not UTF-8")]
fn reads_the_shard_request_id_of_a_malformed_response(payload: &[u8], expected: Option<&str>) {
    assert_eq!(parse_shard_request_id(payload), expected);
}

#[test]
fn encodes_shard_requests_and_cancels_in_the_node_protocol() {
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
    let payload = b"x.3 3 d=240,k=k1 4\ntextx.4 4 d=240 0\n";
    assert_eq!(bytes[5..], payload[..]);
    assert_eq!(bytes[..5], [payload.len() as u8 + 1, 0, 0, 0, b'q']);
    assert_eq!(encode_cancel("x.3"), b"\x04\x00\x00\x00cx.3");
}

#[test]
fn a_frame_shows_its_start_with_its_letter() {
    let frame = encode_frame(b'a', b"x.1 served 0 -\nvalue");
    for length in 0..=frame.len() {
        let expected = if length < HEAD_BYTES {
            FrameStart::Undecided
        } else {
            FrameStart::Frame
        };
        assert_eq!(frame_start(&frame[..length]), expected, "{length} bytes");
    }
}

/// The bytes from the wrong end of an answer on: the rest of its value and the next frame, or the rest of the next
/// frame's length.
#[test]
fn no_bytes_behind_a_wrong_length_show_the_start_of_a_frame() {
    for next_length in 1..=u32::from(u16::MAX) {
        let mut next = next_length.to_le_bytes().to_vec();
        next.extend_from_slice(b"ax.2 served");
        let cut_short = ["3", "63", "d63", "4d63", "54d63", "é", "\u{7f}\u{2}"]
            .map(|rest| [rest.as_bytes(), &next].concat());
        let run_over = [1, 2, 3].map(|excess| next[excess..].to_vec());
        for behind in cut_short.into_iter().chain(run_over) {
            for length in 0..HEAD_BYTES {
                assert_ne!(frame_start(&behind[..length]), FrameStart::Frame);
            }
            assert_eq!(
                frame_start(&behind),
                FrameStart::Invalid,
                "{behind:?} before a frame of {next_length} bytes"
            );
        }
    }
}

#[test_case(b"63", true; "text")]
#[test_case(b"\0\0\0a", true; "the rest of a length field")]
#[test_case(b"\xc3", true; "the beginning of a character")]
#[test_case(b"63\xff", true; "text before noise")]
#[test_case(b"\xff\xff", false; "no text")]
#[test_case(b"\xa963", false; "the end of a character")]
fn only_text_may_continue_a_value(bytes: &[u8], expected: bool) {
    assert_eq!(may_continue_value(bytes), expected);
}

#[test_case(b"x.1 served 0 -\n", true; "served without a value")]
#[test_case(b"x.1 served 0 -\nv\n", false; "a value that ends in a line end")]
#[test_case(b"x.1 skipped 0 -\n", false; "not started")]
#[test_case(b"x.1 served 0\n", false; "malformed")]
fn recognises_a_served_response_without_a_value(payload: &[u8], expected: bool) {
    assert_eq!(is_served_without_value(payload), expected);
}

#[test_case(b"\x14\0\0\0ax.1 ser", Some("x.1"); "a part of its line")]
#[test_case(b"\x14\0\0\0a", Some(""); "its head")]
#[test_case(b"\x14\0", None; "a part of its length")]
fn reads_the_shard_request_id_of_an_incomplete_frame(frame: &[u8], expected: Option<&str>) {
    assert_eq!(parse_incomplete_frame_id(frame), expected);
}

#[test]
fn rejects_a_frame_without_a_letter() {
    let mut ring = Ring::new(1024);
    assert!(ring.push(b"\x01\0\0\0\0"));
    assert_eq!(
        read_frame(&mut ring, &mut Vec::new()),
        Err(BadFrame::NoLetter)
    );
}
