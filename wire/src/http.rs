//! HTTP/1.1 as clients and discovery speak it: one incremental parser for requests and answers, whose bodies
//! have a length or come in chunks, and the writing of heads.

use std::fmt::Write;

use crate::ring::Ring;

/// The longest head, start line and headers together; the same bounds a body's trailer.
pub const HEAD_BOUND: usize = 16 * 1024;
/// The most headers: short ones take up far more memory than their bytes.
pub const HEADERS_BOUND: usize = 100;
/// The longest body that clients may send.
pub const BODY_BOUND: usize = 64 * 1024;

/// Why a message cannot be read on; the connection ends with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Malformed(&'static str),
    BodyTooLarge,
    HeadTooLarge,
    UnknownCoding,
    UnknownVersion,
    /// It takes longer to come than anybody waits for its answer.
    TooSlow,
    /// It has given way to others while it was coming.
    NoRoom,
}

impl Fault {
    /// The status that tells a client, and words for it.
    pub fn status(self) -> (u16, &'static str) {
        match self {
            Fault::Malformed(what) => (400, what),
            Fault::BodyTooLarge => (413, "the body is too large"),
            Fault::HeadTooLarge => (431, "the head is too large"),
            Fault::UnknownCoding => (501, "only chunked transfer is known"),
            Fault::TooSlow => (408, "the request came too slowly"),
            Fault::NoRoom => (503, "no room for a request that is not whole"),
            Fault::UnknownVersion => (505, "only HTTP/1.0 and 1.1 are known"),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Start,
    Headers,
    /// So many bytes are to come, of the body or of a chunk.
    Body(usize),
    /// All that comes until the connection ends.
    Rest,
    Chunk(usize),
    ChunkEnd,
    ChunkSize,
    Trailer,
    Complete,
}

/// Reads one message after another; between messages it holds next to nothing.
pub struct Reader {
    state: State,
    line: Vec<u8>,
    head_bytes: usize,
    body_bound: usize,
    /// An answer without a length or chunks lasts until its connection ends.
    answers: bool,
    start: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Reader {
    pub fn of_requests() -> Self {
        Reader::new(false, BODY_BOUND)
    }

    pub fn of_answers(body_bound: usize) -> Self {
        Reader::new(true, body_bound)
    }

    fn new(answers: bool, body_bound: usize) -> Self {
        Reader {
            state: State::Start,
            line: Vec::new(),
            head_bytes: 0,
            body_bound,
            answers,
            start: String::new(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Takes bytes off `input`; true once a message is whole. The next call begins the message after it.
    pub fn read(&mut self, input: &mut Ring) -> Result<bool, Fault> {
        if self.state == State::Complete {
            *self = Reader::new(self.answers, self.body_bound);
        }
        while self.state != State::Complete {
            let run = input.filled();
            if run.is_empty() {
                return Ok(false);
            }
            match self.state {
                State::Rest => {
                    let taken = run.len();
                    if taken > self.body_bound - self.body.len() {
                        return Err(Fault::BodyTooLarge);
                    }
                    self.body.extend_from_slice(run);
                    input.consume(taken);
                }
                State::Body(left) | State::Chunk(left) => {
                    let taken = run.len().min(left);
                    self.body.extend_from_slice(&run[..taken]);
                    input.consume(taken);
                    self.state = match (self.state, left - taken) {
                        (State::Body(_), 0) => State::Complete,
                        (State::Body(_), left) => State::Body(left),
                        (_, 0) => State::ChunkEnd,
                        (_, left) => State::Chunk(left),
                    };
                }
                _ => {
                    let end = run.iter().position(|byte| *byte == b'\n');
                    let taken = end.map_or(run.len(), |at| at + 1);
                    self.head_bytes += taken;
                    if self.head_bytes > HEAD_BOUND {
                        return Err(Fault::HeadTooLarge);
                    }
                    self.line.extend_from_slice(&run[..taken]);
                    input.consume(taken);
                    if end.is_some() {
                        let mut line = std::mem::take(&mut self.line);
                        line.pop();
                        if line.pop() != Some(b'\r') {
                            return Err(Fault::Malformed("a line does not end in CRLF"));
                        }
                        self.line_ended(&line)?;
                    }
                }
            }
        }
        Ok(true)
    }

    /// The connection has ended in order, which a reset is not; true if that makes the message whole.
    pub fn ended(&mut self) -> bool {
        if self.state == State::Rest {
            self.state = State::Complete;
        }
        self.state == State::Complete
    }

    fn line_ended(&mut self, line: &[u8]) -> Result<(), Fault> {
        let text = std::str::from_utf8(line)
            .ok()
            .filter(|text| !text.bytes().any(|b| b < b' ' && b != b'\t'));
        let text = text.ok_or(Fault::Malformed("a line is not plain text"))?;
        match self.state {
            State::Start if text.is_empty() && !self.answers => {}
            State::Start => {
                self.start = text.to_owned();
                self.check_start()?;
                self.state = State::Headers;
            }
            State::Headers if text.is_empty() => self.head_ended()?,
            State::Headers => {
                let (name, value) = text
                    .split_once(':')
                    .ok_or(Fault::Malformed("a header has no colon"))?;
                if name.is_empty()
                    || !name
                        .bytes()
                        .all(|b| b.is_ascii_alphanumeric() || b"-_.~!#$%&'*+^`|".contains(&b))
                {
                    return Err(Fault::Malformed("a header's name is malformed"));
                }
                if self.headers.len() >= HEADERS_BOUND {
                    return Err(Fault::HeadTooLarge);
                }
                self.headers
                    .push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
            State::ChunkSize => {
                let digits = text.split(';').next().unwrap_or_default().trim_end();
                if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
                    return Err(Fault::Malformed("a chunk's size is malformed"));
                }
                let size = usize::from_str_radix(digits, 16).unwrap_or(usize::MAX);
                if size > self.body_bound - self.body.len() {
                    return Err(Fault::BodyTooLarge);
                }
                self.state = if size == 0 {
                    State::Trailer
                } else {
                    State::Chunk(size)
                };
            }
            State::ChunkEnd if text.is_empty() => self.state = State::ChunkSize,
            State::ChunkEnd => return Err(Fault::Malformed("a chunk is longer than its size")),
            State::Trailer if text.is_empty() => self.state = State::Complete,
            State::Trailer | State::Body(_) | State::Rest | State::Chunk(_) | State::Complete => {}
        }
        Ok(())
    }

    fn check_start(&self) -> Result<(), Fault> {
        let mut words = self.start.split(' ');
        let (first, second, third) = (words.next(), words.next(), words.next());
        let version = if self.answers { first } else { third };
        if !self.answers
            && (first == Some("") || second.is_none_or(str::is_empty) || words.next().is_some())
        {
            return Err(Fault::Malformed("the request line is malformed"));
        }
        match version {
            Some("HTTP/1.1" | "HTTP/1.0") => Ok(()),
            Some(other) if other.starts_with("HTTP/") => Err(Fault::UnknownVersion),
            _ => Err(Fault::Malformed("the start line is malformed")),
        }
    }

    fn head_ended(&mut self) -> Result<(), Fault> {
        let all =
            |wanted: &'static str| self.headers.iter().filter(move |(name, _)| name == wanted);
        let length = match (
            all("content-length").count(),
            all("transfer-encoding").count(),
        ) {
            (0, 0) if self.answers && !matches!(self.status(), Some(204 | 304)) => {
                self.state = State::Rest;
                return Ok(());
            }
            (0, 0) => 0,
            (1, 0) => {
                let digits = self.header("content-length").unwrap_or_default();
                if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
                    return Err(Fault::Malformed("the body's length is malformed"));
                }
                digits.parse().unwrap_or(usize::MAX)
            }
            (0, 1)
                if self
                    .header("transfer-encoding")
                    .is_some_and(|v| v.eq_ignore_ascii_case("chunked")) =>
            {
                self.state = State::ChunkSize;
                return Ok(());
            }
            (0, 1) => return Err(Fault::UnknownCoding),
            _ => return Err(Fault::Malformed("lengths conflict")),
        };
        if length > self.body_bound {
            return Err(Fault::BodyTooLarge);
        }
        self.state = if length == 0 {
            State::Complete
        } else {
            State::Body(length)
        };
        Ok(())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// The target's path, without what follows a question mark.
    pub fn path(&self) -> &str {
        let target = self.start.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    /// An answer's status.
    pub fn status(&self) -> Option<u16> {
        self.start.split(' ').nth(1)?.parse().ok()
    }

    /// All headers of a name in lower case.
    pub fn headers<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.headers
            .iter()
            .filter(move |(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// A header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// Gives the body's memory back while its answer is waited for.
    pub fn forget_body(&mut self) {
        self.body = Vec::new();
    }

    /// The memory that a message takes up while it comes.
    pub fn size(&self) -> usize {
        self.head_bytes + self.line.capacity() + self.body.capacity()
    }

    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Whether its sender ends the connection after this message.
    pub fn closes(&self) -> bool {
        let version = self.start.split(' ').nth(if self.answers { 0 } else { 2 });
        let said = self.header("connection").unwrap_or_default();
        let says = |wanted: &str| {
            said.split(',')
                .any(|word| word.trim().eq_ignore_ascii_case(wanted))
        };
        let framed = !self.answers
            || ["content-length", "transfer-encoding"]
                .iter()
                .any(|of| self.header(of).is_some());
        says("close") || version == Some("HTTP/1.0") && !says("keep-alive") || !framed
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "Other",
    }
}

/// The bytes of an answer to a client; `headers` are whole lines.
pub fn answer(status: u16, headers: &str, body: &str, close: bool) -> Vec<u8> {
    let kind = if status == 200 {
        "application/json"
    } else {
        "text/plain; charset=utf-8"
    };
    let last = if close { "Connection: close\r\n" } else { "" };
    let mut text = String::with_capacity(160 + headers.len() + body.len());
    let (name, length) = (reason(status), body.len());
    let _ = write!(
        text,
        "HTTP/1.1 {status} {name}\r\nContent-Type: {kind}\r\nContent-Length: {length}\r\n{headers}{last}\r\n{body}"
    );
    text.into_bytes()
}

#[cfg(test)]
mod tests;
