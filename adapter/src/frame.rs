//! Frames and fields: big-endian, no padding.

use std::io::Read;

/// What is wrong with the input, in plain words.
pub type BadFrame = String;

const HEADER: usize = 16;

/// One batch: its clock, its count of records, and their bytes.
pub struct Batch {
    pub clock: u64,
    pub count: u32,
    pub body: Vec<u8>,
}

/// Reads the next batch; `None` at a clean end of input.
pub fn read(input: &mut impl Read) -> Result<Option<Batch>, BadFrame> {
    let mut header = Vec::with_capacity(HEADER);
    fill(input, HEADER, &mut header)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < HEADER {
        return Err(format!(
            "input ends after {} of a header's {HEADER} bytes",
            header.len()
        ));
    }
    let mut fields = Fields::new(&header);
    let (clock, size, count) = (fields.u64()?, fields.u32()? as usize, fields.u32()?);
    if size < HEADER {
        return Err(format!(
            "a frame says it has {size} bytes, fewer than its header"
        ));
    }
    let mut body = Vec::new();
    fill(input, size - HEADER, &mut body)?;
    if body.len() < size - HEADER {
        return Err(format!(
            "input ends after {} of a frame's {size} bytes",
            HEADER + body.len()
        ));
    }
    Ok(Some(Batch { clock, count, body }))
}

fn fill(input: &mut impl Read, size: usize, into: &mut Vec<u8>) -> Result<(), BadFrame> {
    input
        .take(size as u64)
        .read_to_end(into)
        .map(drop)
        .map_err(|e| format!("cannot read a frame: {e}"))
}

/// Takes fields off the front of a run of bytes.
pub struct Fields<'a> {
    rest: &'a [u8],
}

macro_rules! number {
    ($($name:ident),*) => {$(
        pub fn $name(&mut self) -> Result<$name, BadFrame> {
            let bytes = self.bytes(size_of::<$name>())?;
            Ok($name::from_be_bytes(bytes.try_into().expect("as many bytes as asked for")))
        }
    )*};
}

impl<'a> Fields<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Fields { rest: bytes }
    }

    pub fn left(&self) -> usize {
        self.rest.len()
    }

    pub fn bytes(&mut self, size: usize) -> Result<&'a [u8], BadFrame> {
        if size > self.rest.len() {
            return Err(format!(
                "a field of {size} bytes where {} are left of the frame",
                self.rest.len()
            ));
        }
        let (taken, rest) = self.rest.split_at(size);
        self.rest = rest;
        Ok(taken)
    }

    number!(u8, u16, u32, u64, f32);

    /// A node's address and port.
    pub fn node(&mut self) -> Result<u64, BadFrame> {
        Ok(u64::from(self.u32()?) << 16 | u64::from(self.u16()?))
    }

    /// A load report.
    pub fn report(&mut self) -> Result<Vec<f64>, BadFrame> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32().map(f64::from)).collect()
    }
}

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Starts a record of an instance.
    pub fn record(&mut self, code: u8, instance: u32) -> &mut Self {
        self.count += 1;
        self.put(&[code]).put(&instance.to_be_bytes())
    }

    pub fn put(&mut self, bytes: &[u8]) -> &mut Self {
        self.records.extend_from_slice(bytes);
        self
    }

    pub fn node(&mut self, node: u64) -> &mut Self {
        self.put(&node.to_be_bytes()[2..])
    }

    /// A time in 32 bits; a longer one becomes the longest that fits.
    pub fn time(&mut self, micros: u64) -> &mut Self {
        self.put(&u32::try_from(micros).unwrap_or(u32::MAX).to_be_bytes())
    }

    pub fn text(&mut self, text: &str) -> &mut Self {
        let bytes = &text.as_bytes()[..text.floor_char_boundary(usize::from(u16::MAX))];
        self.put(&(bytes.len() as u16).to_be_bytes()).put(bytes)
    }

    pub fn finish(self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(8 + self.records.len());
        frame.extend_from_slice(&(8 + self.records.len() as u32).to_be_bytes());
        frame.extend_from_slice(&self.count.to_be_bytes());
        frame.extend_from_slice(&self.records);
        frame
    }
}
