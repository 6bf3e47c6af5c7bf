//! The head of a caller's request: where it ends, and how its body is framed.

use crate::error::{ErrorKind, Refusal};

/// A longer head is refused.
pub(super) const MOST_HEAD_BYTES: usize = 8_000;
const MOST_HEADERS: usize = 96;
const END: &[u8] = b"\r\n\r\n";

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// After so many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
}

/// What a buffer of received bytes begins with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Head {
    /// A part of a head.
    Partial,
    /// A head of so many bytes.
    Whole(usize, Framing),
}

/// Looks for a head at the beginning of `buf`.
///
/// # Errors
/// [`ErrorKind::BadRequest`] when it is none, and [`ErrorKind::TooLarge`] when it is
/// longer than [`MOST_HEAD_BYTES`].
pub(super) fn find(buf: &[u8]) -> Result<Head, Refusal> {
    let Some(at) = buf.windows(END.len()).position(|bytes| bytes == END) else {
        if buf.len() >= MOST_HEAD_BYTES {
            return Err(too_large());
        }
        check_start(buf)?;
        return Ok(Head::Partial);
    };
    let len = at + END.len();
    if len > MOST_HEAD_BYTES {
        return Err(too_large());
    }
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    req.parse(&buf[..len]).map_err(malformed)?;
    Ok(Head::Whole(len, framing(req.headers)?))
}

/// Refuses what can no longer become a head, without waiting for more of it.
fn check_start(buf: &[u8]) -> Result<(), Refusal> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    req.parse(buf).map(drop).map_err(malformed)
}

/// Two statements of the length would let a request hide within another.
fn framing(headers: &[httparse::Header<'_>]) -> Result<Framing, Refusal> {
    let named = |name: &'static str| {
        headers
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value)
    };
    let lengths: Vec<&[u8]> = named("content-length").collect();
    let codings: Vec<&[u8]> = named("transfer-encoding").collect();
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => Ok(Framing::Length(0)),
        ([length], []) => parse_length(length).map(Framing::Length),
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Framing::Chunked),
        _ => Err(bad("the body's length is not stated in one way")),
    }
}

fn parse_length(value: &[u8]) -> Result<u64, Refusal> {
    let digits = std::str::from_utf8(value).ok();
    digits
        .filter(|digits| digits.bytes().all(|byte| byte.is_ascii_digit()))
        .and_then(|digits| digits.parse().ok())
        .ok_or_else(|| bad("the content-length is not a whole number"))
}

fn malformed(error: httparse::Error) -> Refusal {
    bad(&format!("could not read the head: {error}"))
}

fn bad(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::BadRequest, detail)
}

fn too_large() -> Refusal {
    let detail = format!("a head has at most {MOST_HEAD_BYTES} bytes");
    Refusal::new(ErrorKind::TooLarge, detail)
}
