//! Runs the adapter's program on valid and invalid frames.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use test_case::test_case;

const SETTINGS: &str = r#"{"classes": [{"onTime": 1000000, "deadline": 3000000, "semantics": "idempotent"}], "new": 1}"#;

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ternpick-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("cannot start the adapter");
    // The adapter may end before it has read all input, so that this write may fail.
    let _ = child
        .stdin
        .take()
        .expect("standard input is not piped")
        .write_all(input);
    child
        .wait_with_output()
        .expect("cannot wait for the adapter")
}

fn frame(count: u32, records: &[u8]) -> Vec<u8> {
    let size = 16 + records.len() as u32;
    [
        &5_000_000_u64.to_be_bytes()[..],
        &size.to_be_bytes(),
        &count.to_be_bytes(),
        records,
    ]
    .concat()
}

fn instance_begins(settings: &str) -> Vec<u8> {
    let header = [&[21][..], &0_u32.to_be_bytes(), &7_u64.to_be_bytes()].concat();
    [
        &header[..],
        &(settings.len() as u32).to_be_bytes(),
        settings.as_bytes(),
    ]
    .concat()
}

fn timer_fired(instance: u32) -> Vec<u8> {
    [&[26][..], &instance.to_be_bytes(), &0_u64.to_be_bytes()].concat()
}

fn query(index: u8) -> Vec<u8> {
    let identification = [
        &[18][..],
        &0_u32.to_be_bytes(),
        &1_u64.to_be_bytes(),
        &1_f32.to_be_bytes(),
        &[0, 0, 0],
    ]
    .concat();
    let content = [
        &(-1_f32).to_be_bytes()[..],
        &[0; 12],
        &1_f32.to_be_bytes(),
        &[index],
    ]
    .concat();
    [
        identification,
        content,
        1_000_000_u32.to_be_bytes().to_vec(),
    ]
    .concat()
}

#[test_case(&frame(0, &[])[..9], "truncated frame header: got 9 of 16 bytes"; "truncated header")]
#[test_case(&frame(1, &instance_begins(SETTINGS))[..60], "truncated frame: got 60 of"; "truncated frame")]
#[test_case(&[&[0; 8][..], &[0, 0, 0, 4], &[0; 4]].concat(), "frame size is 4 bytes, less than its header of 16 bytes"; "size below the header")]
#[test_case(&frame(1, &[instance_begins(SETTINGS), vec![0]].concat()), "frame has 1 unexpected bytes after its 1 records"; "bytes after the last record")]
#[test_case(&frame(2, &instance_begins(SETTINGS)), "record 1"; "count too high")]
#[test_case(&frame(2, &[instance_begins(SETTINGS), vec![99, 0, 0, 0, 0]].concat()), "unknown event code 99"; "unknown code")]
#[test_case(&frame(1, &timer_fired(3)), "instance 3, which is not running"; "unknown instance")]
#[test_case(&frame(1, &instance_begins("{\"classes\"")), "settings are not valid JSON"; "truncated settings")]
#[test_case(&frame(1, &instance_begins("[]")), "settings are not a JSON object"; "settings are a list")]
#[test_case(&frame(1, &[22, 0, 0, 0, 0, 255, 255, 255, 255]), "catalog of 4294967295"; "catalog beyond the frame")]
fn ends_with_an_error_and_without_a_reply_on_invalid_input(input: &[u8], expected: &str) {
    let out = run_adapter(input);
    let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(
        stderr.contains(expected),
        "expected {expected:?} in {stderr:?}"
    );
    assert!(!out.status.success() && out.stdout.is_empty());
}

#[test]
fn ignores_unknown_settings_and_exits_cleanly_at_the_end_of_the_input() {
    let out = run_adapter(
        &[
            frame(0, &[]),
            frame(2, &[instance_begins(SETTINGS), timer_fired(0)].concat()),
        ]
        .concat(),
    );
    assert!(out.status.success() && out.stderr.is_empty());
    // Two empty replies: a router without queries in flight sets no timer.
    assert_eq!(out.stdout, [0, 0, 0, 8, 0, 0, 0, 0].repeat(2));
}

#[test]
fn reports_a_panic_of_the_routing_engine_as_a_bug() {
    let out = run_adapter(&frame(2, &[instance_begins(SETTINGS), query(9)].concat()));
    assert!(out.status.success());
    assert_eq!((out.stdout[7], out.stdout[8]), (1, 25));
    assert!(String::from_utf8_lossy(&out.stdout).contains("out of bounds"));
}
