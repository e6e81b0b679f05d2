//! What a node that has just started bears.

use std::time::Duration;

/// What a node bears in a second at this age, of parts of 100 ms: twice what it can do, from a fifth of its ten on.
pub(crate) const RAMP: &str =
    r#""rules":{"coldFrom":0.2,"warmWithin":6000000,"fallMultiple":2,"fall":1000000,"#;

/// The first second with more than is borne in it, 2 roots of that and 2: when, how many, how many are borne.
pub(crate) fn overrun(sent: &[Duration]) -> Option<(Duration, usize, f64)> {
    sent.iter().enumerate().find_map(|(at, first)| {
        let end = *first + Duration::from_secs(1);
        let count = sent[at..].iter().take_while(|other| **other < end).count();
        let bears = 2.0 * 10.0 * (0.2 + 0.8 * (first.as_secs_f64() / 6.0).min(1.0));
        (count as f64 > bears + 2.0 * bears.sqrt() + 2.0).then_some((*first, count, bears))
    })
}
