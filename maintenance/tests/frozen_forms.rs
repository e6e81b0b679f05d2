//! Guards the encodings that other versions of the program read against changes by renamed types and fields: entries
//! in stored logs and on the control socket, the stored state, and the settings. The expected values are from version
//! 0.2.0, before types and fields were renamed.

use std::fmt::Write;

use ternpick_fleet_policy::{Extension, Index};
use ternpick_maintenance::{Coordinator, Entry, MaintenanceConfig};
use test_case::test_case;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a string takes every write");
        text
    })
}

#[test_case(r#"{"ask":{"request":{"machines":["s0","s1"],"why":"disks","by":"ann","lasts":60000000,"not_before":5,"by_when":null,"priority":3,"together":true}}}"#, "0002027330027331056469736b7303616e6e808ece1c0105000301"; "ask")]
#[test_case(r#"{"change":{"request":300,"by_when":7,"priority":2,"by":"ann"}}"#, "01ac0201070203616e6e"; "change")]
#[test_case(r#"{"cancel":{"request":1,"by":"ann"}}"#, "020103616e6e"; "cancel")]
#[test_case(r#"{"hold":{"by":"ann","why":"a storm"}}"#, "0303616e6e07612073746f726d"; "hold")]
#[test_case(r#"{"resume":{"by":"ann"}}"#, "0403616e6e"; "resume")]
#[test_case(r#"{"begin":{"permit":4,"by":"ann"}}"#, "050403616e6e"; "begin")]
#[test_case(r#"{"done":{"permit":4,"by":"ann","failed":"no disk"}}"#, "060403616e6e01076e6f206469736b"; "done")]
#[test_case(r#"{"carry":{"member":"n0","term":2}}"#, "07026e3002"; "carry")]
#[test_case(r#"{"take_out":{"fence":2,"jobs":[[1,"s0"],[1,"s1"]],"now":9}}"#, "080202010273300102733109"; "take out")]
#[test_case(r#"{"permit":{"fence":2,"job":[1,"s0"],"now":9}}"#, "09020102733009"; "permit")]
#[test_case(r#"{"back":{"fence":2,"job":[1,"s0"],"now":9}}"#, "0a020102733009"; "back")]
#[test_case(r#"{"keep":{"fence":2,"job":[1,"s0"],"now":9}}"#, "0b020102733009"; "keep")]
#[test_case(r#"{"own_hold":{"fence":2,"why":"late"}}"#, "0c02046c617465"; "own hold")]
#[test_case(r#"{"go_on":{"fence":2}}"#, "0d02"; "go on")]
#[test_case(r#"{"load":{"fence":2,"calls":700}}"#, "0e02bc05"; "load")]
#[test_case(r#"{"forget":{"fence":2,"member":"n1"}}"#, "0f02026e31"; "forget")]
fn encodes_an_entry_as_the_json_and_bytes_of_version_0_2_0(json: &str, stored: &str) {
    let entry: Entry = serde_json::from_str(json).expect("an entry");
    assert_eq!(serde_json::to_string(&entry).expect("JSON"), json);
    let bytes = postcard::to_stdvec(&entry).expect("bytes");
    assert_eq!(hex(&bytes), stored);
}

#[test]
fn encodes_the_stored_state_as_the_bytes_of_version_0_2_0() {
    let mut coordinator = Coordinator::new(MaintenanceConfig::default());
    let entries = [
        r#"{"ask":{"request":{"machines":["s0","s1"],"why":"disks","by":"ann","lasts":60000000,"not_before":5,"by_when":null,"priority":3,"together":true}}}"#,
        r#"{"carry":{"member":"n0","term":1}}"#,
        r#"{"take_out":{"fence":2,"jobs":[[1,"s0"]],"now":9}}"#,
        r#"{"permit":{"fence":2,"job":[1,"s0"],"now":10}}"#,
        r#"{"begin":{"permit":4,"by":"ann"}}"#,
        r#"{"done":{"permit":4,"by":"ann","failed":"no disk"}}"#,
        r#"{"own_hold":{"fence":2,"why":"late"}}"#,
        r#"{"load":{"fence":2,"calls":700}}"#,
    ];
    for (at, json) in (1..).zip(entries) {
        let entry: Entry = serde_json::from_str(json).expect("an entry");
        let bytes = postcard::to_stdvec(&entry).expect("bytes");
        coordinator.apply(Index(at), &bytes).expect("it fits");
    }
    assert_eq!(hex(&coordinator.snapshot()), concat!("0201026e3001010102027330027331056469736b7303616e6e808ece1c0105000301020102733002040103616e",
        "6e01076e6f206469736b040a01027331000100010974686520666c656574046c61746501bc0500000701237265",
        "7175657374203120627920616e6e3a2032206d616368696e65732c206469736b7302166e302063617272696573",
        "2074686520776f726b206f6e031e7330206f66207265717565737420313a206265696e6720656d707469656404",
        "1a7330206f66207265717565737420313a207065726d6974746564051e616e6e20776f726b73206f6e20733020",
        "756e646572207065726d69742034062c733020697320676976656e206261636b20756e66697420627920616e6e",
        "2c20616e64207374617973206f7574071468656c6420627920697473656c663a206c617465"));
}

#[test]
fn encodes_the_default_settings_as_the_json_of_version_0_2_0() {
    let json = serde_json::to_string(&MaintenanceConfig::default()).expect("JSON");
    assert_eq!(
        json,
        r#"{"keep":2,"zone_share":0.5,"most_out":0.2,"per_node":null,"growth":0.25,"reserve":1,"lingers":10000000,"back_within":600000000,"calm":5000000,"late_over":0.1}"#
    );
}
