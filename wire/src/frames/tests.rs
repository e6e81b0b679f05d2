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
