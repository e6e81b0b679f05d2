//! A ring buffer: one stands at each connection for each direction. It starts without memory, grows by
//! doubling up to its bound, and gives its memory back when it has been emptied.

const LEAST: usize = 1024;

pub struct Ring {
    bytes: Box<[u8]>,
    head: usize,
    len: usize,
    bound: usize,
}

impl Ring {
    /// An empty buffer that never holds more than `bound` bytes.
    pub fn new(bound: usize) -> Self {
        Ring {
            bytes: Box::default(),
            head: 0,
            len: 0,
            bound,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The memory that it takes up.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    /// How many more bytes it may take.
    pub fn room(&self) -> usize {
        self.bound - self.len
    }

    /// The first run of bytes; the rest follows once these are consumed.
    pub fn filled(&self) -> &[u8] {
        let end = (self.head + self.len).min(self.bytes.len());
        &self.bytes[self.head..end]
    }

    /// All bytes in order.
    pub fn to_vec(&self) -> Vec<u8> {
        let first = self.filled();
        let rest = &self.bytes[..self.len - first.len()];
        [first, rest].concat()
    }

    /// Gives up the first `count` bytes.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len);
        self.len -= count;
        if self.len == 0 {
            (self.bytes, self.head) = (Box::default(), 0);
        } else {
            self.head = (self.head + count) % self.bytes.len();
        }
    }

    /// A run of free bytes to fill; empty only when the bound is reached.
    pub fn free(&mut self) -> &mut [u8] {
        if self.len == self.bytes.len() {
            self.grow(self.len + 1);
        }
        let (size, tail) = (self.bytes.len(), self.head + self.len);
        let run = if tail < size {
            tail..size
        } else {
            tail - size..self.head
        };
        &mut self.bytes[run]
    }

    /// Says that `count` bytes of [`Ring::free`] have been filled.
    pub fn filled_more(&mut self, count: usize) {
        self.len = (self.len + count).min(self.bytes.len());
    }

    /// Gives its memory back if nothing is in it, as after a read that found nothing.
    pub fn rest(&mut self) {
        if self.len == 0 {
            self.consume(0);
        }
    }

    /// Appends all of `bytes`, or nothing and says so.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        if bytes.len() > self.room() {
            return false;
        }
        self.grow(self.len + bytes.len());
        let mut rest = bytes;
        while !rest.is_empty() {
            let free = self.free();
            let count = free.len().min(rest.len());
            free[..count].copy_from_slice(&rest[..count]);
            self.filled_more(count);
            rest = &rest[count..];
        }
        true
    }

    fn grow(&mut self, wanted: usize) {
        let wanted = wanted.min(self.bound);
        if wanted <= self.bytes.len() {
            return;
        }
        let size = wanted.next_power_of_two().max(LEAST).min(self.bound);
        let mut bytes = vec![0; size].into_boxed_slice();
        let first = self.filled();
        let count = first.len();
        bytes[..count].copy_from_slice(first);
        bytes[count..self.len].copy_from_slice(&self.bytes[..self.len - count]);
        (self.bytes, self.head) = (bytes, 0);
    }
}

#[cfg(test)]
mod tests {
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
}
