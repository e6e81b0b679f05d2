use std::io::Write;

use test_case::test_case;

use super::*;
use crate::lifecycle::settings;

/// The maximum wait of a query at a barrier in microseconds, for the given lines of the settings `fleet`.
#[test_case("" => LeaseConfig::UNLIMITED_ADMISSION_WAIT; "no limit but the query's deadline")]
#[test_case("hold: 250ms" => 250_000; "the configured limit")]
#[test_case("hold: 0s" => 0; "no wait")]
#[test_case("without_lease: \"serve-and-mark\"" => 250_000; "a short default if queries are served without a lease")]
#[test_case("without_lease: \"serve-and-mark\"\nhold: 1s" => 1_000_000; "the configured limit if queries are served without a lease")]
fn admission_wait_limit_follows_the_settings(line: &str) -> u64 {
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    let text = format!(
        "fleet: {{\nname: \"f\"\nmembers: n0: {{address: \"127.0.0.1:1\", vote: true}}\n{line}\n}}\n"
    );
    file.write_all(text.as_bytes()).expect("written");
    let read = settings::read(file.path()).unwrap_or_else(|error| panic!("{error}"));
    lease_config(&read.fleet.expect("a fleet")).max_admission_wait_us
}
