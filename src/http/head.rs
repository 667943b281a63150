//! Request heads: finding their end, and handing long ones to the HTTP library.

use crate::http::connection::RequestBytes;
use crate::http::error::ApiError;

/// Length from which the HTTP library refuses a head, in bytes.
const LIBRARY_HEAD_BYTES: usize = 8 * 1024;

/// Lines of a head from which it may have more headers than the library parses, which is 128.
const LIBRARY_HEAD_LINES: usize = 120;

/// Headers that the library itself needs; the others can be added to the decoded request.
const LIBRARY_HEADERS: [&str; 6] =
    ["host", "content-length", "transfer-encoding", "connection", "upgrade", "expect"];

const END: &[u8] = b"\r\n\r\n";

/// Length of the head at the start of `bytes`, if it is complete. The first `searched` bytes are
/// known to hold no end.
pub(crate) fn end(bytes: &[u8], searched: usize) -> Option<usize> {
    let from = searched.saturating_sub(END.len() - 1);
    let rest = bytes.get(from..)?;
    let position = rest.windows(END.len()).position(|window| window == END)?;
    Some(from + position + END.len())
}

/// Splits received bytes after a head of `length` bytes. A head that is too long for the HTTP library
/// is reduced to the headers that the library needs; the others are set aside. So is one with header
/// values that are not ASCII, at which the library panics; these values become empty.
///
/// # Errors
/// 400 if the head is malformed, 431 if it is too long even so.
pub(crate) fn split(mut bytes: Vec<u8>, length: usize) -> Result<RequestBytes, ApiError> {
    let rest = bytes.split_off(length);
    let is_short = bytes.len() < LIBRARY_HEAD_BYTES;
    let lines = if is_short { count_lines(&bytes) } else { 0 };
    // The library takes paths that are not ASCII.
    if is_short && lines < LIBRARY_HEAD_LINES && headers(&bytes).is_ascii() {
        return Ok(RequestBytes { head: bytes, rest, set_aside: Vec::new() });
    }
    reduce(&bytes, rest)
}

/// The part of a head after its request line.
fn headers(head: &[u8]) -> &[u8] {
    let begin = head.iter().position(|byte| !b"\r\n".contains(byte)).unwrap_or(head.len());
    let line = head[begin..].iter().position(|byte| *byte == b'\n').unwrap_or_default();
    &head[begin + line..]
}

fn count_lines(bytes: &[u8]) -> usize {
    bytes.iter().filter(|byte| **byte == b'\n').count()
}

/// Reduces a head to what the library needs.
fn reduce(bytes: &[u8], rest: Vec<u8>) -> Result<RequestBytes, ApiError> {
    let mut headers = vec![httparse::EMPTY_HEADER; count_lines(bytes)];
    let mut request = httparse::Request::new(&mut headers);
    let parsed = request.parse(bytes).map_err(|error| malformed(error.to_string()))?;
    let (Some(method), Some(path), Some(version)) = (request.method, request.path, request.version)
    else {
        return Err(malformed("the head is incomplete"));
    };
    if parsed.is_partial() {
        return Err(malformed("the head is incomplete"));
    }
    let mut head = format!("{method} {path} HTTP/1.{version}\r\n");
    let mut set_aside = Vec::new();
    for header in request.headers.iter() {
        let is_framing = LIBRARY_HEADERS.iter().any(|name| header.name.eq_ignore_ascii_case(name));
        let text = std::str::from_utf8(header.value).ok().filter(|value| value.is_ascii());
        let value = match text {
            Some(value) => value,
            None if is_framing => return Err(malformed("a header for framing is not ASCII")),
            None => "",
        };
        if is_framing {
            head.push_str(&format!("{}: {value}\r\n", header.name));
        } else {
            set_aside.push((header.name.to_owned(), value.to_owned()));
        }
    }
    head.push_str("\r\n");
    if head.len() >= LIBRARY_HEAD_BYTES || count_lines(head.as_bytes()) >= LIBRARY_HEAD_LINES {
        return Err(too_large(format!(
            "the request line and the headers for framing exceed {LIBRARY_HEAD_BYTES} bytes"
        )));
    }
    Ok(RequestBytes { head: head.into_bytes(), rest, set_aside })
}

fn malformed(message: impl Into<String>) -> ApiError {
    ApiError::new(400, "malformed_request", message)
}

/// The answer to a head over the limit.
pub(crate) fn too_large(message: impl Into<String>) -> ApiError {
    ApiError::new(431, "head_too_large", message)
}
