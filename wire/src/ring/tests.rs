//! Tests of the ring buffer.

use super::*;
use test_case::test_case;

#[test_case(&[3, 5, 1], 2; "small steps")]
#[test_case(&[900, 400, 700], 650; "growing while it wraps")]
#[test_case(&[1500], 1500; "more than the least at once")]
fn gives_back_what_it_took(pushes: &[usize], taken: usize) {
    let (mut ring, mut sent, mut got) = (Ring::new(2000), Vec::new(), Vec::new());
    let mut take = |ring: &mut Ring, mut count: usize| {
        while count > 0 && !ring.is_empty() {
            let run = ring.filled().len().min(count);
            got.extend_from_slice(&ring.filled()[..run]);
            ring.consume(run);
            count -= run;
        }
    };
    for (round, count) in pushes.iter().cycle().take(12).enumerate() {
        let bytes: Vec<u8> = (0..*count).map(|at| (at * 7 + round) as u8).collect();
        if ring.push(&bytes) {
            sent.extend(bytes);
        }
        take(&mut ring, taken);
    }
    take(&mut ring, usize::MAX);
    assert_eq!(got, sent);
    assert!(ring.bytes.is_empty(), "an empty buffer holds no memory");
}

#[test]
fn refuses_what_goes_over_its_bound() {
    let mut ring = Ring::new(10);
    assert!(ring.push(b"12345678"));
    assert!(!ring.push(b"123"));
    assert_eq!((ring.len, ring.room()), (8, 2));
    assert!(ring.push(b"90"));
    assert!(ring.free().is_empty());
}
