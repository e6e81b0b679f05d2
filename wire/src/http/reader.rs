//! The incremental parser of the messages on one connection.

use crate::http::{
    HttpError, CHUNK_FRAMING_BASE_BYTES, CHUNK_FRAMING_PER_BODY_BYTE, MAX_BODY_BYTES,
    MAX_CHUNK_LINE_BYTES, MAX_HEADERS, MAX_HEAD_BYTES, MAX_TRAILER_BYTES,
};
use crate::ring::Ring;

/// What the parser expects next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    StartLine,
    Headers,
    /// This many more bytes of a body of known length.
    Body(usize),
    /// All bytes until the connection ends.
    UntilEnd,
    /// This many more bytes of a chunk.
    Chunk(usize),
    /// The line end after a chunk.
    ChunkEnd,
    ChunkSize,
    Trailer,
    Complete,
}

/// The kind of messages on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Requests,
    /// A response with neither a length nor chunks ends with its connection.
    Responses,
}

/// Where a header is in the text of a head. Short fields take little more memory than their bytes.
struct HeaderSpan {
    /// Where its lower-case name begins.
    name: u16,
    /// Where its value begins, right behind the name.
    value: u16,
    /// Where its value ends.
    end: u16,
}

// Every position in a head fits a span.
const _: () = assert!(MAX_HEAD_BYTES <= u16::MAX as usize);

/// Parses one message after another. A new message releases the memory of the previous one.
pub struct Reader {
    kind: Kind,
    state: State,
    /// The bytes of the incomplete current line.
    line: Vec<u8>,
    head_bytes: usize,
    trailer_bytes: usize,
    /// The bytes of size lines and of the line ends behind chunks.
    framing_bytes: usize,
    max_body_bytes: usize,
    /// The start line, then the names and values of all headers.
    head: String,
    /// Where the start line ends in `head`.
    start_line_end: usize,
    headers: Vec<HeaderSpan>,
    body: Vec<u8>,
}

impl Reader {
    /// Creates a reader of client requests.
    pub fn for_requests() -> Self {
        Reader::new(Kind::Requests, MAX_BODY_BYTES)
    }

    /// Creates a reader of responses whose bodies have at most `max_body_bytes` bytes.
    pub fn for_responses(max_body_bytes: usize) -> Self {
        Reader::new(Kind::Responses, max_body_bytes)
    }

    fn new(kind: Kind, max_body_bytes: usize) -> Self {
        Reader {
            kind,
            state: State::StartLine,
            line: Vec::new(),
            head_bytes: 0,
            trailer_bytes: 0,
            framing_bytes: 0,
            max_body_bytes,
            head: String::new(),
            start_line_end: 0,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Consumes bytes from `input`. Returns true once a message is complete; the next call then starts the next
    /// message.
    pub fn read(&mut self, input: &mut Ring) -> Result<bool, HttpError> {
        if self.state == State::Complete {
            *self = Reader::new(self.kind, self.max_body_bytes);
        }
        while self.state != State::Complete {
            if input.is_empty() {
                return Ok(false);
            }
            match self.state {
                State::UntilEnd => self.read_until_end(input)?,
                State::Body(left) => {
                    let left = self.read_body(input, left);
                    self.state = if left == 0 {
                        State::Complete
                    } else {
                        State::Body(left)
                    };
                }
                State::Chunk(left) => {
                    let left = self.read_body(input, left);
                    self.state = if left == 0 {
                        State::ChunkEnd
                    } else {
                        State::Chunk(left)
                    };
                }
                _ => self.read_line(input)?,
            }
        }
        self.line = Vec::new();
        Ok(true)
    }

    fn read_until_end(&mut self, input: &mut Ring) -> Result<(), HttpError> {
        let run = input.filled();
        let taken = run.len();
        if taken > self.max_body_bytes - self.body.len() {
            return Err(HttpError::BodyTooLarge);
        }
        self.body.extend_from_slice(run);
        input.consume(taken);
        Ok(())
    }

    /// Consumes at most `left` bytes of the body and returns how many are still missing.
    fn read_body(&mut self, input: &mut Ring, left: usize) -> usize {
        let run = input.filled();
        let taken = run.len().min(left);
        self.body.extend_from_slice(&run[..taken]);
        input.consume(taken);
        left - taken
    }

    /// Consumes bytes up to the end of a line, and processes the line once it is complete.
    fn read_line(&mut self, input: &mut Ring) -> Result<(), HttpError> {
        let run = input.filled();
        let end = run.iter().position(|byte| *byte == b'\n');
        let taken = end.map_or(run.len(), |at| at + 1);
        self.count_line_bytes(taken)?;
        self.line.extend_from_slice(&run[..taken]);
        input.consume(taken);
        if end.is_none() {
            return Ok(());
        }
        let mut line = std::mem::take(&mut self.line);
        self.process_line(line_text(&line)?)?;
        // The memory is used again: a body may have as many lines as bytes.
        line.clear();
        self.line = line;
        Ok(())
    }

    /// Counts bytes of the current line against the limit of the part of the message that it belongs to.
    fn count_line_bytes(&mut self, count: usize) -> Result<(), HttpError> {
        match self.state {
            State::ChunkSize | State::ChunkEnd => self.count_framing_bytes(count),
            State::Trailer => {
                self.trailer_bytes += count;
                if self.trailer_bytes > MAX_TRAILER_BYTES {
                    return Err(HttpError::HeadTooLarge);
                }
                Ok(())
            }
            _ => {
                self.head_bytes += count;
                if self.head_bytes > MAX_HEAD_BYTES {
                    return Err(HttpError::HeadTooLarge);
                }
                Ok(())
            }
        }
    }

    /// Counts framing in proportion to the body that has been read. A fixed limit would reject a sound body for the size
    /// of its chunks, and without a limit a small body could take any time to read.
    fn count_framing_bytes(&mut self, count: usize) -> Result<(), HttpError> {
        self.framing_bytes += count;
        let for_body = CHUNK_FRAMING_PER_BODY_BYTE.saturating_mul(self.body.len());
        let limit = CHUNK_FRAMING_BASE_BYTES.saturating_add(for_body);
        let line_bytes = self.line.len() + count;
        if line_bytes > MAX_CHUNK_LINE_BYTES || self.framing_bytes > limit {
            return Err(HttpError::FramingTooLarge);
        }
        Ok(())
    }

    fn process_line(&mut self, text: &str) -> Result<(), HttpError> {
        match self.state {
            // Empty lines before a request are ignored (RFC 9112, section 2.2).
            State::StartLine if text.is_empty() && self.kind == Kind::Requests => {}
            State::StartLine => self.process_start_line(text)?,
            State::Headers if text.is_empty() => self.process_head_end()?,
            State::Headers => self.process_header(text)?,
            State::ChunkSize => self.process_chunk_size(text)?,
            State::ChunkEnd if text.is_empty() => self.state = State::ChunkSize,
            State::ChunkEnd => {
                return Err(HttpError::Malformed("a chunk is longer than its size"));
            }
            State::Trailer if text.is_empty() => self.state = State::Complete,
            State::Trailer
            | State::Body(_)
            | State::UntilEnd
            | State::Chunk(_)
            | State::Complete => {}
        }
        Ok(())
    }

    fn process_start_line(&mut self, text: &str) -> Result<(), HttpError> {
        self.head.push_str(text);
        self.start_line_end = self.head.len();
        let mut words = text.split(' ');
        let first = words.next();
        let second = words.next();
        let third = words.next();
        let version = match self.kind {
            Kind::Responses => first,
            Kind::Requests => {
                let no_method = first == Some("");
                let no_target = second.is_none_or(str::is_empty);
                if no_method || no_target || words.next().is_some() {
                    return Err(HttpError::Malformed("the request line is malformed"));
                }
                third
            }
        };
        match version {
            Some("HTTP/1.1" | "HTTP/1.0") => {}
            Some(other) if other.starts_with("HTTP/") => return Err(HttpError::UnknownVersion),
            _ => return Err(HttpError::Malformed("the start line is malformed")),
        }
        self.state = State::Headers;
        Ok(())
    }

    fn process_header(&mut self, text: &str) -> Result<(), HttpError> {
        let (name, value) = text
            .split_once(':')
            .ok_or(HttpError::Malformed("a header has no colon"))?;
        let is_token_byte = |b: u8| b.is_ascii_alphanumeric() || b"-_.~!#$%&'*+^`|".contains(&b);
        if name.is_empty() || !name.bytes().all(is_token_byte) {
            return Err(HttpError::Malformed("a header's name is malformed"));
        }
        if self.headers.len() >= MAX_HEADERS {
            return Err(HttpError::HeadTooLarge);
        }
        let name_begins = self.head.len();
        self.head.push_str(name);
        self.head[name_begins..].make_ascii_lowercase();
        let value_begins = self.head.len();
        self.head.push_str(value.trim());
        let span = HeaderSpan {
            name: name_begins as u16,
            value: value_begins as u16,
            end: self.head.len() as u16,
        };
        self.headers.push(span);
        Ok(())
    }

    fn start_line(&self) -> &str {
        &self.head[..self.start_line_end]
    }

    fn header_name(&self, span: &HeaderSpan) -> &str {
        &self.head[usize::from(span.name)..usize::from(span.value)]
    }

    fn header_value(&self, span: &HeaderSpan) -> &str {
        &self.head[usize::from(span.value)..usize::from(span.end)]
    }

    fn process_chunk_size(&mut self, text: &str) -> Result<(), HttpError> {
        let digits = text.split(';').next().unwrap_or_default().trim_end();
        if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(HttpError::Malformed("a chunk's size is malformed"));
        }
        let size = usize::from_str_radix(digits, 16).unwrap_or(usize::MAX);
        if size > self.max_body_bytes - self.body.len() {
            return Err(HttpError::BodyTooLarge);
        }
        self.state = if size == 0 {
            State::Trailer
        } else {
            State::Chunk(size)
        };
        Ok(())
    }

    /// Determines how the body is delimited (RFC 9112, section 6.3).
    fn process_head_end(&mut self) -> Result<(), HttpError> {
        let lengths = self.headers("content-length").count();
        let codings = self.headers("transfer-encoding").count();
        let has_no_body = matches!(self.status(), Some(204 | 304));
        self.state = match (lengths, codings) {
            (0, 0) if self.kind == Kind::Responses && !has_no_body => State::UntilEnd,
            (0, 0) => State::Complete,
            (1, 0) => self.state_for_content_length()?,
            (0, 1) => self.state_for_transfer_encoding()?,
            _ => return Err(HttpError::Malformed("lengths conflict")),
        };
        Ok(())
    }

    fn state_for_content_length(&self) -> Result<State, HttpError> {
        let digits = self.header("content-length").unwrap_or_default();
        if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return Err(HttpError::Malformed("the body's length is malformed"));
        }
        let length = digits.parse().unwrap_or(usize::MAX);
        if length > self.max_body_bytes {
            return Err(HttpError::BodyTooLarge);
        }
        Ok(if length == 0 {
            State::Complete
        } else {
            State::Body(length)
        })
    }

    fn state_for_transfer_encoding(&self) -> Result<State, HttpError> {
        let coding = self.header("transfer-encoding").unwrap_or_default();
        if coding.eq_ignore_ascii_case("chunked") {
            Ok(State::ChunkSize)
        } else {
            Err(HttpError::UnknownCoding)
        }
    }

    /// Records that the peer has closed the connection in order, not by a reset. Returns true if the message is
    /// complete.
    pub fn end_of_input(&mut self) -> bool {
        if self.state == State::UntilEnd {
            self.state = State::Complete;
        }
        self.state == State::Complete
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.start_line().split(' ').next().unwrap_or_default()
    }

    /// The path of a request's target, without its query string.
    pub fn path(&self) -> &str {
        let target = self.start_line().split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    /// The status of a response.
    pub fn status(&self) -> Option<u16> {
        self.start_line().split(' ').nth(1)?.parse().ok()
    }

    /// All values of the header with this lower-case name.
    pub fn headers<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.headers
            .iter()
            .filter(move |span| self.header_name(span) == name)
            .map(|span| self.header_value(span))
    }

    /// The first value of the header with this lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|span| self.header_name(span) == name)
            .map(|span| self.header_value(span))
    }

    /// The part of the body that has arrived.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Releases the body's memory, which is not needed while the request waits for its response.
    pub fn release_body(&mut self) {
        self.body = Vec::new();
    }

    /// The memory that the current message takes up, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let headers = self.headers.capacity() * std::mem::size_of::<HeaderSpan>();
        self.head.capacity() + headers + self.line.capacity() + self.body.capacity()
    }

    /// Whether the sender closes the connection after this message (RFC 9112, section 9.3).
    pub fn closes_connection(&self) -> bool {
        let has_option = |wanted: &str| {
            let options = self.header("connection").unwrap_or_default();
            options
                .split(',')
                .any(|option| option.trim().eq_ignore_ascii_case(wanted))
        };
        let version_word = match self.kind {
            Kind::Responses => 0,
            Kind::Requests => 2,
        };
        let is_http_1_0 = self.start_line().split(' ').nth(version_word) == Some("HTTP/1.0");
        let lasts_until_end = self.kind == Kind::Responses
            && self.header("content-length").is_none()
            && self.header("transfer-encoding").is_none();
        has_option("close") || is_http_1_0 && !has_option("keep-alive") || lasts_until_end
    }
}

/// Returns the text of a complete line without its line end.
fn line_text(line: &[u8]) -> Result<&str, HttpError> {
    let line = line
        .strip_suffix(b"\r\n")
        .ok_or(HttpError::Malformed("a line does not end in CRLF"))?;
    std::str::from_utf8(line)
        .ok()
        .filter(|text| !text.bytes().any(|b| b < b' ' && b != b'\t'))
        .ok_or(HttpError::Malformed("a line is not plain text"))
}
