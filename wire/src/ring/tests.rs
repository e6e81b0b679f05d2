//! Tests of the ring buffer.

use super::*;
use test_case::test_case;

#[test_case(&[3, 5, 1], 2; "small pushes")]
#[test_case(&[900, 400, 700], 650; "growth while the content wraps around")]
#[test_case(&[1500], 1500; "one push larger than the initial memory")]
fn returns_the_bytes_in_the_order_in_which_they_were_pushed(pushes: &[usize], taken: usize) {
    let (mut ring, mut pushed, mut consumed) = (Ring::new(2000), Vec::new(), Vec::new());
    let mut take = |ring: &mut Ring, mut count: usize| {
        while count > 0 && !ring.is_empty() {
            let run = ring.filled().len().min(count);
            consumed.extend_from_slice(&ring.filled()[..run]);
            ring.consume(run);
            count -= run;
        }
    };
    for (round, count) in pushes.iter().cycle().take(12).enumerate() {
        let bytes: Vec<u8> = (0..*count).map(|index| (index * 7 + round) as u8).collect();
        if ring.push(&bytes) {
            pushed.extend(bytes);
        }
        take(&mut ring, taken);
    }
    take(&mut ring, usize::MAX);
    assert_eq!(consumed, pushed);
    assert!(
        ring.bytes.is_empty(),
        "an empty buffer has no memory allocated"
    );
}

#[test]
fn rejects_a_push_beyond_its_capacity() {
    let mut ring = Ring::new(10);
    assert!(ring.push(b"12345678"));
    assert!(!ring.push(b"123"));
    assert_eq!((ring.len, ring.room()), (8, 2));
    assert!(ring.push(b"90"));
    assert!(ring.free().is_empty());
}
