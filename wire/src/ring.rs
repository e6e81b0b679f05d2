//! A ring buffer: each connection has one for each direction. It starts without memory, grows by doubling up to its bound, and
//! gives its memory back when it has been emptied.

#[cfg(test)]
mod tests;

/// The memory that a buffer begins with, in bytes.
const INITIAL_SIZE: usize = 1024;

/// A bounded buffer of bytes, first in, first out.
pub struct Ring {
    bytes: Box<[u8]>,
    /// Where the first byte is.
    head: usize,
    /// How many bytes are held; they wrap around the end.
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

    /// Whether it holds no byte.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The memory that it takes up, in bytes.
    pub fn memory_bytes(&self) -> usize {
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

    /// Removes the first `count` bytes, or all if there are fewer.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len);
        self.len -= count;
        if self.len == 0 {
            self.bytes = Box::default();
            self.head = 0;
        } else {
            self.head = (self.head + count) % self.bytes.len();
        }
    }

    /// A run of free bytes to fill; empty only when the bound is reached.
    pub fn free(&mut self) -> &mut [u8] {
        if self.len == self.bytes.len() {
            self.grow(self.len + 1);
        }
        let size = self.bytes.len();
        let tail = self.head + self.len;
        let run = if tail < size {
            tail..size
        } else {
            tail - size..self.head
        };
        &mut self.bytes[run]
    }

    /// Counts `count` bytes in that a caller has written to the front of [`Ring::free`].
    pub fn commit(&mut self, count: usize) {
        self.len = (self.len + count).min(self.bytes.len());
    }

    /// Gives its memory back if nothing is in it, as after a read that found nothing.
    pub fn release_if_empty(&mut self) {
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
            self.commit(count);
            rest = &rest[count..];
        }
        true
    }

    fn grow(&mut self, wanted: usize) {
        let wanted = wanted.min(self.bound);
        if wanted <= self.bytes.len() {
            return;
        }
        let size = wanted.next_power_of_two().max(INITIAL_SIZE).min(self.bound);
        let mut bytes = vec![0; size].into_boxed_slice();
        let first = self.filled();
        let count = first.len();
        bytes[..count].copy_from_slice(first);
        bytes[count..self.len].copy_from_slice(&self.bytes[..self.len - count]);
        self.bytes = bytes;
        self.head = 0;
    }
}
