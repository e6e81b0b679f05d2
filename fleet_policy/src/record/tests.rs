use super::*;
use test_case::test_case;

fn platform() -> PlatformLimits {
    PlatformLimits {
        indexes: vec![IndexLimits {
            name: "half".into(),
            min_completeness_threshold: 0.5,
            max_completeness_threshold: 1.0,
            latency_objective: Micros(600_000),
        }],
        max_attempts: Some(3),
        hedging: false,
        customers: BTreeMap::from([("north".into(), 20.0)]),
        retry_budget: Some((3.0, 0.1)),
    }
}

const HEAD: &str = "author: \"ann\"\nreason: \"a test\"\n";

#[test_case("indexes: half: least: 0.4", "p.cue:3: indexes.half.least is 0.4, the platform allows 0.5 to 1"; "a threshold below")]
#[test_case("indexes: half: partly_at: 700ms", "indexes.half.partly_at is 700 ms, after the soft deadline of 600 ms"; "too late a deadline")]
#[test_case("indexes: half: calls: 4", "indexes.half.calls is 4, the platform allows 3"; "too many attempts")]
#[test_case("indexes: half: copies: true", "the platform allows none"; "hedged requests")]
#[test_case("indexes: whole: calls: 1", "indexes.whole is no index here; there are half"; "an unknown index")]
#[test_case("customers: south: per_second: 3", "customers.south is no customer here"; "an unknown customer")]
#[test_case("customers: north: per_second: 30", "has 30 a second, the platform allows 20"; "too high a quota")]
#[test_case("further: {spare: 4, share: 0.1}", "further is 4 and 0.1, the platform allows 3 and 0.1"; "too large a retry budget")]
#[test_case("indexes: half: calls: 0", "p.cue:3:23"; "no attempts at all")]
#[test_case("indexs: {}", "p.cue:3:1"; "a misspelt name")]
fn refuses_a_setting_beyond_the_platforms_limits_with_its_line(text: &str, expected: &str) {
    let refused = Record::read_within("p.cue", &format!("{HEAD}{text}\n"), &platform());
    let got = refused.expect_err("refused");
    assert!(got.contains(expected), "{got}");
}

#[test]
fn accepts_a_policy_within_the_limits_and_lists_its_differences() {
    let text = format!("{HEAD}indexes: half: {{least: 0.75, calls: 2}}\ndrained: [\"s-1\"]\nfurther: {{spare: 1, share: 0.05}}\n");
    let record = Record::read_within("p.cue", &text, &platform()).expect("within");
    assert_eq!(
        (
            record.indexes["half"].completeness_threshold,
            record.indexes["half"].max_attempts
        ),
        (Some(0.75), Some(2))
    );
    let rows = record.differences(&Record::default());
    let paths: Vec<&str> = rows.iter().map(|(path, ..)| path.as_str()).collect();
    let wanted = [
        "drained.s-1",
        "further.share",
        "further.spare",
        "indexes.half.calls",
        "indexes.half.least",
    ];
    assert_eq!(paths, wanted);
    assert_eq!(Record::read("p", ""), Ok(Record::default()));
}
