use std::io::Write;

use test_case::test_case;

use super::*;
use crate::lifecycle::settings;

/// How long queries wait at a barrier, in microseconds, as the settings of a fleet have it.
#[test_case("" => LeaseConfig::UNLIMITED_ADMISSION_WAIT; "as long as their deadlines allow")]
#[test_case("hold: 250ms" => 250_000; "a limit that is stated")]
#[test_case("hold: 0s" => 0; "not at all")]
#[test_case("without_lease: \"serve-and-mark\"" => 250_000; "a little where they are served without a lease")]
#[test_case("without_lease: \"serve-and-mark\"\nhold: 1s" => 1_000_000; "as stated there too")]
fn queries_wait_at_a_barrier(line: &str) -> u64 {
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    let text = format!(
        "fleet: {{\nname: \"f\"\nmembers: n0: {{address: \"127.0.0.1:1\", vote: true}}\n{line}\n}}\n"
    );
    file.write_all(text.as_bytes()).expect("written");
    let read = settings::read(file.path()).unwrap_or_else(|error| panic!("{error}"));
    lease_config(&read.fleet.expect("a fleet")).max_admission_wait_us
}
