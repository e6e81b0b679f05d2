//! Runs the adapter on frames, bad ones above all.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use test_case::test_case;

const SETTINGS: &str = r#"{"classes": [{"onTime": 1000000, "deadline": 3000000, "semantics": "idempotent"}], "new": 1}"#;

fn play(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ternpick-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading before all is written.
    let _ = child.stdin.take().expect("a pipe").write_all(input);
    child.wait_with_output().expect("the adapter ends")
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

fn begin(settings: &str) -> Vec<u8> {
    let head = [&[21][..], &0_u32.to_be_bytes(), &7_u64.to_be_bytes()].concat();
    [
        &head[..],
        &(settings.len() as u32).to_be_bytes(),
        settings.as_bytes(),
    ]
    .concat()
}

fn elapsed(instance: u32) -> Vec<u8> {
    [&[26][..], &instance.to_be_bytes(), &0_u64.to_be_bytes()].concat()
}

fn submit(index: u8) -> Vec<u8> {
    let ids = [
        &[18][..],
        &0_u32.to_be_bytes(),
        &1_u64.to_be_bytes(),
        &1_f32.to_be_bytes(),
        &[0, 0, 0],
    ]
    .concat();
    let what = [
        &(-1_f32).to_be_bytes()[..],
        &[0; 12],
        &1_f32.to_be_bytes(),
        &[index],
    ]
    .concat();
    [ids, what, 1_000_000_u32.to_be_bytes().to_vec()].concat()
}

#[test_case(&frame(0, &[])[..9], "9 of a header's 16 bytes"; "truncated header")]
#[test_case(&frame(1, &begin(SETTINGS))[..60], "input ends after 60"; "truncated frame")]
#[test_case(&[&[0; 8][..], &[0, 0, 0, 4], &[0; 4]].concat(), "fewer than its header"; "size below the header")]
#[test_case(&frame(1, &[begin(SETTINGS), vec![0]].concat()), "1 bytes left over"; "bytes left over")]
#[test_case(&frame(2, &begin(SETTINGS)), "record 1"; "count too high")]
#[test_case(&frame(2, &[begin(SETTINGS), vec![99, 0, 0, 0, 0]].concat()), "unknown event code 99"; "unknown code")]
#[test_case(&frame(1, &elapsed(3)), "instance 3, which has not begun"; "unknown instance")]
#[test_case(&frame(1, &begin("{\"classes\"")), "not JSON"; "settings cut short")]
#[test_case(&frame(1, &begin("[]")), "not a JSON object"; "settings of another kind")]
#[test_case(&frame(1, &[22, 0, 0, 0, 0, 255, 255, 255, 255]), "catalog of 4294967295"; "catalog beyond the frame")]
fn bad_input_is_named_and_gets_no_reply(input: &[u8], says: &str) {
    let out = play(input);
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(said.contains(says), "said: {said}");
    assert!(!out.status.success() && out.stdout.is_empty());
}

#[test]
fn unknown_settings_are_skipped_and_end_of_input_is_clean() {
    let out = play(
        &[
            frame(0, &[]),
            frame(2, &[begin(SETTINGS), elapsed(0)].concat()),
        ]
        .concat(),
    );
    assert!(out.status.success() && out.stderr.is_empty());
    // Two empty replies: a router with nothing in hand asks for no timer.
    assert_eq!(out.stdout, [0, 0, 0, 8, 0, 0, 0, 0].repeat(2));
}

#[test]
fn a_panic_of_the_decisions_is_reported_as_a_bug() {
    let out = play(&frame(2, &[begin(SETTINGS), submit(9)].concat()));
    assert!(out.status.success());
    assert_eq!((out.stdout[7], out.stdout[8]), (1, 25));
    assert!(String::from_utf8_lossy(&out.stdout).contains("out of bounds"));
}
