//! Tests of the HTTP parser: split input, malformed messages, limits, responses.

use super::*;
use crate::ring::Ring;
use test_case::test_case;

const PLAIN: &str =
    "\r\nPOST /a/b?c=1 HTTP/1.1\r\nHost: x\r\nReq-Id:  7 \r\nContent-Length: 4\r\n\r\nbody";
const CHUNKS: &str = "POST /a/b HTTP/1.1\r\nReq-Id: 7\r\nTransfer-Encoding: Chunked\r\n\r\n\
                      2;x=y\r\nbo\r\n2\r\ndy\r\n0\r\nTrailer: t\r\n\r\n";

/// Feeds a message to the reader piece by piece. Returns whether the message is complete after the last piece.
fn read(reader: &mut Reader, pieces: &[&[u8]]) -> Result<bool, HttpError> {
    let mut ring = Ring::new(1 << 20);
    let mut complete = false;
    for piece in pieces {
        assert!(ring.push(piece));
        complete = reader.read(&mut ring)?;
    }
    Ok(complete)
}

#[test_case(PLAIN; "with a length")]
#[test_case(CHUNKS; "in chunks")]
fn reads_the_same_message_wherever_the_input_is_split(message: &str) {
    for split in 0..message.len() {
        let (first, second) = message.as_bytes().split_at(split);
        let mut reader = Reader::for_requests();
        assert_eq!(
            read(&mut reader, &[first, second]),
            Ok(true),
            "split at {split}"
        );
        assert_eq!((reader.method(), reader.path()), ("POST", "/a/b"));
        assert_eq!(
            (reader.header("req-id"), reader.body()),
            (Some("7"), &b"body"[..])
        );
    }
    let bytes: Vec<&[u8]> = message.as_bytes().chunks(1).collect();
    assert_eq!(read(&mut Reader::for_requests(), &bytes), Ok(true));
}

#[test]
fn leaves_bytes_after_a_message_for_the_next_message() {
    let (mut ring, mut reader) = (Ring::new(1 << 20), Reader::for_requests());
    assert!(ring.push(format!("{PLAIN}{CHUNKS}GET /z HTTP/1.0\r\n\r\n").as_bytes()));
    for path in ["/a/b", "/a/b", "/z"] {
        assert_eq!(reader.read(&mut ring), Ok(true));
        assert_eq!(
            (reader.path(), reader.closes_connection()),
            (path, path == "/z")
        );
    }
    assert!(reader.body().is_empty() && reader.header("req-id").is_none());
    assert_eq!(reader.read(&mut ring), Ok(false));
}

#[test_case("GET /\r\n\r\n", 400; "no version")]
#[test_case("GET  / HTTP/1.1\r\n\r\n", 400; "two spaces")]
#[test_case("GET / HTTP/1.1 x\r\n\r\n", 400; "too many words")]
#[test_case("GET / HTTP/2.0\r\n\r\n", 505; "another version")]
#[test_case("GET / HTTP/1.1\nHost: x\n\n", 400; "bare line feeds")]
#[test_case("GET / HTTP/1.1\r\nHost x\r\n\r\n", 400; "no colon")]
#[test_case("GET / HTTP/1.1\r\nHost : x\r\n\r\n", 400; "a space in a name")]
#[test_case("GET / HTTP/1.1\r\n: x\r\n\r\n", 400; "no name")]
#[test_case("GET / HTTP/1.1\r\nA: \x01\r\n\r\n", 400; "a control character")]
#[test_case("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400; "two lengths")]
#[test_case("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400; "a length and chunks")]
#[test_case("POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", 400; "a signed length")]
#[test_case("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413; "a body over the limit")]
#[test_case("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", 413; "a length beyond any integer")]
#[test_case("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501; "another coding")]
#[test_case("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", 400; "a bad chunk size")]
#[test_case("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n", 400; "no chunk size")]
#[test_case("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", 400; "a chunk longer than its size")]
#[test_case("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n", 413; "a chunk size beyond any integer")]
fn rejects_malformed_requests(message: &str, status: u16) {
    let result = read(&mut Reader::for_requests(), &[message.as_bytes()]);
    assert_eq!(result.map_err(|error| error.status()), Err(status));
}

#[test]
fn bounds_the_number_of_headers() {
    let head = |count| format!("GET / HTTP/1.1\r\n{}\r\n", "a:\r\n".repeat(count));
    assert_eq!(
        read(&mut Reader::for_requests(), &[head(MAX_HEADERS).as_bytes()]),
        Ok(true)
    );
    let result = read(
        &mut Reader::for_requests(),
        &[head(MAX_HEADERS + 1).as_bytes()],
    );
    assert_eq!(result, Err(HttpError::HeadTooLarge));
}

/// Guards against heads of very many short fields, whose memory was counted as their bytes and was twenty times as much.
#[test]
fn the_memory_of_short_fields_is_counted_and_is_a_small_multiple_of_their_bytes() {
    let head = format!("POST /a HTTP/1.1\r\n{}", "a:b\r\n".repeat(MAX_HEADERS - 1));
    let mut reader = Reader::for_requests();
    assert_eq!(read(&mut reader, &[head.as_bytes()]), Ok(false));
    let spans = (MAX_HEADERS - 1) * 6;
    assert!(reader.memory_bytes() >= spans);
    assert!(
        reader.memory_bytes() <= 4 * head.len(),
        "{}",
        reader.memory_bytes()
    );
    assert_eq!(reader.headers("a").count(), MAX_HEADERS - 1);
    assert!(reader.headers("a").all(|value| value == "b"));
}

#[test_case("A: b\r\n"; "many short headers")]
#[test_case("no end of this line "; "one line without an end")]
fn bounds_the_length_of_a_head(piece: &str) {
    let message = format!("GET / HTTP/1.1\r\n{}", piece.repeat(MAX_HEAD_BYTES));
    assert_eq!(
        read(&mut Reader::for_requests(), &[message.as_bytes()]),
        Err(HttpError::HeadTooLarge)
    );
}

#[test]
fn bounds_the_total_length_of_chunks() {
    let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
    let message =
        format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}{chunk}1\r\n");
    assert_eq!(
        read(&mut Reader::for_requests(), &[message.as_bytes()]),
        Err(HttpError::BodyTooLarge)
    );
}

/// A chunk of one byte whose framing takes up `framing_bytes`, of which an extension fills what is not needed.
fn one_byte_chunk(framing_bytes: usize) -> String {
    const SIZE_AND_LINE_ENDS: usize = 5;
    let extension = match framing_bytes - SIZE_AND_LINE_ENDS {
        0 => String::new(),
        more => format!(";{}", "e".repeat(more - 1)),
    };
    format!("1{extension}\r\nx\r\n")
}

/// The last chunk and the trailer of a body, of the given lengths.
fn chunked_end(last_line_bytes: usize, trailer_bytes: usize) -> String {
    let extension = "e".repeat(last_line_bytes - "0;\r\n".len());
    let trailer = match trailer_bytes - "\r\n".len() {
        0 => String::new(),
        more => format!("T:{}\r\n", "t".repeat(more - "T:\r\n".len())),
    };
    format!("0;{extension}\r\n{trailer}\r\n")
}

/// Reads a request with this chunked body. Returns the length of its body.
fn read_chunked(body: &str) -> Result<usize, HttpError> {
    let message = format!("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{body}");
    let mut reader = Reader::for_requests();
    let pieces: Vec<&[u8]> = message.as_bytes().chunks(1000).collect();
    let complete = read(&mut reader, &pieces)?;
    assert!(complete, "the request is complete");
    // The memory of a long line is released.
    assert!(reader.memory_bytes() <= 2 * reader.body().len() + 1024);
    Ok(reader.body().len())
}

/// Guards against a sound body that is rejected for the form of its chunks: the size lines were counted as bytes of the
/// head, so that the list of a discovery that writes it in small chunks was never read.
#[test_case(5; "without extensions")]
#[test_case(26; "with extensions of twenty bytes")]
#[test_case(CHUNK_FRAMING_PER_BODY_BYTE; "with the longest extensions")]
fn reads_the_longest_body_in_chunks_of_one_byte(framing_bytes: usize) {
    let chunks = one_byte_chunk(framing_bytes).repeat(MAX_BODY_BYTES);
    let body = format!(
        "{chunks}{}",
        chunked_end(CHUNK_FRAMING_BASE_BYTES, MAX_TRAILER_BYTES)
    );
    assert_eq!(read_chunked(&body), Ok(MAX_BODY_BYTES));
    assert_eq!(
        read_chunked(&format!("{chunks}1\r\nx\r\n")),
        Err(HttpError::BodyTooLarge)
    );
}

#[test]
fn bounds_the_framing_of_chunks_in_proportion_to_the_body() {
    let chunks = one_byte_chunk(CHUNK_FRAMING_PER_BODY_BYTE).repeat(100);
    let end = |more| chunked_end(CHUNK_FRAMING_BASE_BYTES - 10 + more, 2);
    let at_the_limit = format!("{}{chunks}{}", one_byte_chunk(74), end(0));
    assert_eq!(read_chunked(&at_the_limit), Ok(101));
    let beyond = format!("{}{chunks}{}", one_byte_chunk(74), end(1));
    assert_eq!(read_chunked(&beyond), Err(HttpError::FramingTooLarge));
}

#[test]
fn bounds_the_size_line_of_a_chunk() {
    let large_chunk = format!("400\r\n{}\r\n", "x".repeat(0x400));
    let at_the_limit = format!("{large_chunk}{}", chunked_end(MAX_CHUNK_LINE_BYTES, 2));
    assert_eq!(read_chunked(&at_the_limit), Ok(0x400));
    let beyond = format!("{large_chunk}{}", chunked_end(MAX_CHUNK_LINE_BYTES + 1, 2));
    assert_eq!(read_chunked(&beyond), Err(HttpError::FramingTooLarge));
    let endless = format!("{large_chunk}1;{}", "e".repeat(2 * MAX_CHUNK_LINE_BYTES));
    assert_eq!(read_chunked(&endless), Err(HttpError::FramingTooLarge));
    assert_eq!(HttpError::FramingTooLarge.status(), 413);
}

#[test]
fn bounds_the_trailer_of_a_chunked_body() {
    assert_eq!(read_chunked(&chunked_end(10, MAX_TRAILER_BYTES)), Ok(0));
    assert_eq!(
        read_chunked(&chunked_end(10, MAX_TRAILER_BYTES + 1)),
        Err(HttpError::HeadTooLarge)
    );
}

#[test]
fn reads_the_longest_head_and_the_longest_body_of_a_given_length() {
    let start = format!("POST /a HTTP/1.1\r\nContent-Length: {MAX_BODY_BYTES}\r\nA: ");
    let end = "\r\n\r\n";
    let filler = "a".repeat(MAX_HEAD_BYTES - start.len() - end.len());
    let body = "x".repeat(MAX_BODY_BYTES);
    let mut reader = Reader::for_requests();
    let message = format!("{start}{filler}{end}{body}");
    assert_eq!(read(&mut reader, &[message.as_bytes()]), Ok(true));
    assert_eq!(reader.body().len(), MAX_BODY_BYTES);
    let message = format!("{start}{filler}a{end}{body}");
    let result = read(&mut Reader::for_requests(), &[message.as_bytes()]);
    assert_eq!(result, Err(HttpError::HeadTooLarge));
}

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", Ok(Some(200)); "complete")]
#[test_case("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", Ok(Some(503)); "complete without a body")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n{}", Ok(None); "a body delimited by the end of the connection")]
#[test_case("HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n", Ok(None); "no status")]
fn reads_responses(message: &str, expected: Result<Option<u16>, u16>) {
    let mut reader = Reader::for_responses(MAX_BODY_BYTES);
    let read = read(&mut reader, &[message.as_bytes()]).map_err(|error| error.status());
    assert_eq!(
        read.map(|complete| reader.status().filter(|_| complete)),
        expected
    );
}

/// Discovery's responses may have no length. Such a response is complete once the connection ends in order, and not
/// before; the limit for bodies applies to it as well.
#[test]
fn a_response_without_a_length_is_complete_when_its_connection_ends() {
    let head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    let mut reader = Reader::for_responses(MAX_BODY_BYTES);
    assert_eq!(
        read(&mut reader, &[head.as_bytes(), b"{\"a\"", b":1}"]),
        Ok(false)
    );
    assert!(reader.closes_connection() && reader.end_of_input());
    assert_eq!(
        (reader.status(), reader.body()),
        (Some(200), &b"{\"a\":1}"[..])
    );
    for cut in [
        "",
        "HTTP/1.1 200 OK\r\nConn",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfour",
    ] {
        let mut reader = Reader::for_responses(MAX_BODY_BYTES);
        assert_eq!(read(&mut reader, &[cut.as_bytes()]), Ok(false));
        assert!(!reader.end_of_input(), "{cut:?} is not a complete response");
    }
    let endless = "x".repeat(MAX_BODY_BYTES + 1);
    let read = read(
        &mut Reader::for_responses(MAX_BODY_BYTES),
        &[head.as_bytes(), endless.as_bytes()],
    );
    assert_eq!(read, Err(HttpError::BodyTooLarge));
}
