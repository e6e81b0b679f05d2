//! A ring buffer, of which each connection has one per direction. It starts without memory, grows in powers of two up
//! to its capacity, and releases its memory when it becomes empty.

#[cfg(test)]
mod tests;

/// The smallest allocation of a buffer, in bytes, unless its capacity is smaller.
const INITIAL_BYTES: usize = 1024;

/// A first-in, first-out byte buffer of bounded capacity.
pub struct Ring {
    bytes: Box<[u8]>,
    /// The position of the first byte held.
    head: usize,
    /// The number of bytes held. They may wrap around the end of `bytes`.
    len: usize,
    capacity: usize,
}

impl Ring {
    /// Creates an empty buffer that holds at most `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Ring {
            bytes: Box::default(),
            head: 0,
            len: 0,
            capacity,
        }
    }

    /// Whether it holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The memory that it has allocated, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// The number of bytes that can still be added.
    pub fn room(&self) -> usize {
        self.capacity - self.len
    }

    /// The first contiguous run of the bytes held. The rest follows once this run has been consumed.
    pub fn filled(&self) -> &[u8] {
        let end = (self.head + self.len).min(self.bytes.len());
        &self.bytes[self.head..end]
    }

    /// A copy of all bytes held, in order.
    pub fn to_vec(&self) -> Vec<u8> {
        let first = self.filled();
        let rest = &self.bytes[..self.len - first.len()];
        [first, rest].concat()
    }

    /// Removes the first `count` bytes, or all bytes if there are fewer.
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

    /// A contiguous run of free space to write to. It is empty only if the buffer is full. [`Ring::commit`] adds the
    /// bytes written.
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

    /// Adds the first `count` bytes of [`Ring::free`], which the caller has written.
    pub fn commit(&mut self, count: usize) {
        self.len = (self.len + count).min(self.bytes.len());
    }

    /// Releases its memory if it holds no bytes, for example after a read that found no data.
    pub fn release_if_empty(&mut self) {
        if self.len == 0 {
            self.consume(0);
        }
    }

    /// Appends all of `bytes`. Returns false, without appending any byte, if they do not fit.
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

    fn grow(&mut self, needed: usize) {
        let needed = needed.min(self.capacity);
        if needed <= self.bytes.len() {
            return;
        }
        let size = needed
            .next_power_of_two()
            .max(INITIAL_BYTES)
            .min(self.capacity);
        let mut bytes = vec![0; size].into_boxed_slice();
        let first = self.filled();
        let count = first.len();
        bytes[..count].copy_from_slice(first);
        bytes[count..self.len].copy_from_slice(&self.bytes[..self.len - count]);
        self.bytes = bytes;
        self.head = 0;
    }
}
