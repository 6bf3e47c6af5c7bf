//! The heads of HTTP/1.1 messages, and what they say of the body.

use super::http1::HttpError;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// After so many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
    /// With the connection.
    UntilClose,
}

/// The fields of a head, in their order, with names as they were sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Fields(Vec<(String, Vec<u8>)>);

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestHead {
    pub(crate) method: String,
    pub(crate) target: String,
    /// Whether the sender speaks HTTP/1.0, which closes unless told otherwise.
    pub(crate) is_old: bool,
    pub(crate) fields: Fields,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) is_old: bool,
    pub(crate) fields: Fields,
}

impl Fields {
    /// The value of a field that is stated once.
    pub(crate) fn get<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        let mut all = self.all(name);
        let value = all.next()?;
        all.next().is_none().then_some(value)
    }

    /// Every value of a field that is text.
    pub(crate) fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.named(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
    }

    /// Whether a field lists the token, as `Connection: close` does.
    pub(crate) fn lists(&self, name: &str, token: &str) -> bool {
        let mut tokens = self.all(name).flat_map(|value| value.split(','));
        tokens.any(|listed| listed.trim().eq_ignore_ascii_case(token))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &(String, Vec<u8>)> {
        self.0.iter()
    }

    fn named<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = move |(known, _): &&(String, Vec<u8>)| known.eq_ignore_ascii_case(name);
        self.0
            .iter()
            .filter(named)
            .map(|(_, value)| value.as_slice())
    }

    fn framing(&self) -> Result<Option<Framing>, HttpError> {
        let mut lengths = self.named("content-length");
        let mut codings = self.named("transfer-encoding");
        match (lengths.next(), codings.next()) {
            (None, None) => Ok(None),
            (Some(length), None) if lengths.next().is_none() => parse_length(length).map(Some),
            (None, Some(coding)) if codings.next().is_none() && is_chunked(coding) => {
                Ok(Some(Framing::Chunked))
            }
            _ => Err(HttpError::Malformed("its length is not stated in one way")),
        }
    }
}

impl From<&[httparse::Header<'_>]> for Fields {
    fn from(headers: &[httparse::Header<'_>]) -> Self {
        let field = |header: &httparse::Header<'_>| (header.name.to_owned(), header.value.to_vec());
        Self(headers.iter().map(field).collect())
    }
}

impl RequestHead {
    /// How the body's end is found; a request without a statement has none.
    ///
    /// # Errors
    /// When the length is stated in two ways, which could hide a second request.
    pub(crate) fn framing(&self) -> Result<Framing, HttpError> {
        Ok(self.fields.framing()?.unwrap_or(Framing::Length(0)))
    }

    /// Whether it says anything of a body, be it that it is empty.
    pub(crate) fn states_body(&self) -> bool {
        matches!(self.fields.framing(), Ok(Some(_)))
    }

    /// Whether the sender closes the connection after this request.
    pub(crate) fn closes(&self) -> bool {
        let keeps = self.fields.lists("connection", "keep-alive");
        self.fields.lists("connection", "close") || (self.is_old && !keeps)
    }
}

impl ResponseHead {
    /// How the body's end is found.
    ///
    /// # Errors
    /// When the length is stated in two ways.
    pub(crate) fn framing(&self) -> Result<Framing, HttpError> {
        if matches!(self.status, 100..200 | 204 | 304) {
            return Ok(Framing::Length(0));
        }
        Ok(self.fields.framing()?.unwrap_or(Framing::UntilClose))
    }

    /// Whether the sender closes the connection after this response.
    pub(crate) fn closes(&self) -> bool {
        self.is_old || self.fields.lists("connection", "close")
    }
}

fn parse_length(value: &[u8]) -> Result<Framing, HttpError> {
    let digits = std::str::from_utf8(value).ok();
    digits
        .filter(|digits| !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit()))
        .and_then(|digits| digits.parse().ok())
        .map(Framing::Length)
        .ok_or(HttpError::Malformed("its length is not a whole number"))
}

fn is_chunked(coding: &[u8]) -> bool {
    coding.eq_ignore_ascii_case(b"chunked")
}

/// Whether a field concerns one connection only and is not passed on.
pub(crate) fn is_hop_by_hop(name: &str) -> bool {
    const NAMES: &[&str] = &[
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    NAMES.iter().any(|known| name.eq_ignore_ascii_case(known))
}
