//! The heads of HTTP/1.1 messages and the framing of their bodies.

use super::http1::HttpError;

/// How the length of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body ends after the last chunk.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

/// The header fields of a message, in order, with names spelled as they were received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Fields(Vec<(String, Vec<u8>)>);

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestHead {
    pub(crate) method: String,
    pub(crate) target: String,
    /// Whether the version is HTTP/1.0, which closes the connection by default.
    pub(crate) is_http10: bool,
    pub(crate) fields: Fields,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) is_http10: bool,
    pub(crate) fields: Fields,
}

impl Fields {
    /// Returns the value of a field, unless the field is missing or repeated.
    pub(crate) fn get<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        let mut all = self.all(name);
        let value = all.next()?;
        all.next().is_none().then_some(value)
    }

    /// Returns the values of a field, except those that are not valid UTF-8.
    pub(crate) fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.named(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
    }

    /// Whether there is a field of that name, whatever its value.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.named(name).next().is_some()
    }

    /// Whether a comma-separated field contains the token, such as `Connection: close`.
    pub(crate) fn has_token(&self, name: &str, token: &str) -> bool {
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
            _ => Err(HttpError::Malformed(
                "the body length is ambiguous or the transfer coding is not supported",
            )),
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
    /// Determines the framing of the body. A request that states no length has no body.
    ///
    /// # Errors
    /// Returns an error if the length is invalid or stated more than once; accepting the
    /// latter would allow request smuggling.
    pub(crate) fn framing(&self) -> Result<Framing, HttpError> {
        Ok(self.fields.framing()?.unwrap_or(Framing::Length(0)))
    }

    /// Whether the head states the length of a body, even of an empty one.
    pub(crate) fn states_body_length(&self) -> bool {
        matches!(self.fields.framing(), Ok(Some(_)))
    }

    /// Whether the connection is closed after this request.
    pub(crate) fn closes(&self) -> bool {
        let keeps_alive = self.fields.has_token("connection", "keep-alive");
        self.fields.has_token("connection", "close") || (self.is_http10 && !keeps_alive)
    }
}

impl ResponseHead {
    /// Determines the framing of the body.
    ///
    /// # Errors
    /// Returns an error if the length is invalid or stated more than once.
    pub(crate) fn framing(&self) -> Result<Framing, HttpError> {
        if matches!(self.status, 100..200 | 204 | 304) {
            return Ok(Framing::Length(0));
        }
        Ok(self.fields.framing()?.unwrap_or(Framing::UntilClose))
    }

    /// Whether another response to the same request follows.
    pub(crate) fn is_interim(&self) -> bool {
        self.status < 200
    }

    /// Whether the connection is closed after this response.
    pub(crate) fn closes(&self) -> bool {
        self.is_http10 || self.fields.has_token("connection", "close")
    }
}

fn parse_length(value: &[u8]) -> Result<Framing, HttpError> {
    let digits = std::str::from_utf8(value).ok();
    digits
        .filter(|digits| !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit()))
        .and_then(|digits| digits.parse().ok())
        .map(Framing::Length)
        .ok_or(HttpError::Malformed(
            "the content-length is not a valid number",
        ))
}

fn is_chunked(coding: &[u8]) -> bool {
    coding.eq_ignore_ascii_case(b"chunked")
}

/// Whether a header field applies to one connection only and is not forwarded.
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
