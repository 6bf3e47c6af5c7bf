//! Finds the end of a request head and determines how its body is framed.

use crate::error::{ErrorKind, Refusal};

/// Longer heads are refused.
pub(super) const MAX_HEAD_BYTES: usize = 8_000;
const MAX_HEADERS: usize = 96;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// How the length of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body ends after the last chunk.
    Chunked,
}

/// The result of looking for a request head in a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Head {
    /// The head is incomplete.
    Partial,
    /// The head is complete and has this many bytes.
    Complete(usize, Framing),
}

/// Looks for a request head at the beginning of `buf`.
///
/// # Errors
/// Returns [`ErrorKind::BadRequest`] if the bytes are not a valid head, and
/// [`ErrorKind::TooLarge`] if the head is longer than [`MAX_HEAD_BYTES`].
pub(super) fn find(buf: &[u8]) -> Result<Head, Refusal> {
    let Some(at) = buf
        .windows(HEAD_END.len())
        .position(|bytes| bytes == HEAD_END)
    else {
        if buf.len() >= MAX_HEAD_BYTES {
            return Err(too_large());
        }
        check_prefix(buf)?;
        return Ok(Head::Partial);
    };
    let len = at + HEAD_END.len();
    if len > MAX_HEAD_BYTES {
        return Err(too_large());
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    req.parse(&buf[..len]).map_err(malformed)?;
    Ok(Head::Complete(len, framing(req.headers)?))
}

/// Refuses bytes that cannot become a valid head, without waiting for more.
fn check_prefix(buf: &[u8]) -> Result<(), Refusal> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    req.parse(buf).map(drop).map_err(malformed)
}

/// Determines the framing of the body. A head that states the length more than once is
/// refused, since it would allow request smuggling.
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
        _ => Err(bad_request(
            "the body length is ambiguous or the transfer coding is not supported",
        )),
    }
}

fn parse_length(value: &[u8]) -> Result<u64, Refusal> {
    let digits = std::str::from_utf8(value).ok();
    digits
        .filter(|digits| digits.bytes().all(|byte| byte.is_ascii_digit()))
        .and_then(|digits| digits.parse().ok())
        .ok_or_else(|| bad_request("the content-length is not a valid number"))
}

fn malformed(error: httparse::Error) -> Refusal {
    bad_request(&format!("could not parse the request head: {error}"))
}

fn bad_request(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::BadRequest, detail)
}

fn too_large() -> Refusal {
    let detail = format!("the request head exceeds the limit of {MAX_HEAD_BYTES} bytes");
    Refusal::new(ErrorKind::TooLarge, detail)
}
