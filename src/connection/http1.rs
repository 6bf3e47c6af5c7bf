//! HTTP/1.1 messages on a connection: heads by `httparse`, bodies whole and checked.
//!
//! The library that serves the project's own callers reads ahead and does not say whether
//! a body that ended with its connection was whole, which decides here whether a reply may
//! be used; see `docs/DESIGN.md`, "On the platform".

use std::io;

use async_std::net::TcpStream;
use futures::io::{AsyncReadExt, AsyncWriteExt};

use super::http1_head::{Fields, Framing, RequestHead, ResponseHead};

/// One read takes a usual reply whole.
const READ_BYTES: usize = 4 << 10;
const MOST_TRAILER: usize = 16 << 10;
const MOST_HEADERS: usize = 64;
const MOST_RESPONSE_HEAD: usize = 16 << 10;
/// The longest line that states a chunk's size.
const MOST_CHUNK_LINE: usize = 256;

/// Why a message could not be read.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum HttpError {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The connection ended before the first byte of the message.
    #[error("the connection ended")]
    Closed,
    /// The connection ended within the message.
    #[error("the connection ended within a message")]
    Truncated,
    /// The bytes are no message.
    #[error("the bytes are no message: {0}")]
    Malformed(&'static str),
    /// The head is longer than allowed.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The body is longer than allowed.
    #[error("the body is too large")]
    BodyTooLarge,
}

/// A connection with what was read from it and not yet used.
#[derive(Debug)]
pub(crate) struct Wire {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Wire {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// The connection, to watch for its end.
    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether bytes have come that belong to no message read so far.
    pub(crate) fn has_rest(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Waits until there is a byte to read; false when the connection ended.
    ///
    /// # Errors
    /// When the connection fails.
    pub(crate) async fn is_due(&mut self) -> Result<bool, HttpError> {
        Ok(self.has_rest() || self.fill().await? > 0)
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        Ok(self.stream.write_all(bytes).await?)
    }

    /// Reads a request's head of at most `most` bytes.
    ///
    /// # Errors
    /// Any of [`HttpError`] but `BodyTooLarge`.
    pub(crate) async fn request(&mut self, most: usize) -> Result<RequestHead, HttpError> {
        self.head(most, |buf| {
            let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
            let mut req = httparse::Request::new(&mut headers);
            let httparse::Status::Complete(len) = req.parse(buf).map_err(malformed)? else {
                return Ok(None);
            };
            let head = RequestHead {
                method: req.method.unwrap_or_default().to_owned(),
                target: req.path.unwrap_or_default().to_owned(),
                is_old: req.version == Some(0),
                fields: Fields::from(&*req.headers),
            };
            Ok(Some((len, head)))
        })
        .await
    }

    /// Reads a response's head of at most `most` bytes.
    ///
    /// # Errors
    /// Any of [`HttpError`] but `BodyTooLarge`.
    pub(crate) async fn response(&mut self, most: usize) -> Result<ResponseHead, HttpError> {
        self.head(most, |buf| {
            let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
            let mut res = httparse::Response::new(&mut headers);
            let httparse::Status::Complete(len) = res.parse(buf).map_err(malformed)? else {
                return Ok(None);
            };
            let head = ResponseHead {
                status: res.code.unwrap_or_default(),
                is_old: res.version == Some(0),
                fields: Fields::from(&*res.headers),
            };
            Ok(Some((len, head)))
        })
        .await
    }

    /// Sends a request and reads the whole response, with a body of at most `most`.
    ///
    /// # Errors
    /// Any of [`HttpError`].
    pub(crate) async fn exchange(
        &mut self,
        text: &[u8],
        most: usize,
    ) -> Result<(ResponseHead, Vec<u8>), HttpError> {
        self.write(text).await?;
        let head = self.response(MOST_RESPONSE_HEAD).await?;
        let body = self.body(head.framing()?, most).await?;
        Ok((head, body))
    }

    async fn head<T>(
        &mut self,
        most: usize,
        parse: impl Fn(&[u8]) -> Result<Option<(usize, T)>, HttpError>,
    ) -> Result<T, HttpError> {
        let mut begun = self.has_rest();
        loop {
            if begun && let Some((len, head)) = parse(&self.buf)? {
                if len > most {
                    return Err(HttpError::HeadTooLarge);
                }
                self.buf.drain(..len);
                return Ok(head);
            }
            if self.buf.len() >= most {
                return Err(HttpError::HeadTooLarge);
            }
            if self.fill().await? == 0 {
                return Err(if begun {
                    HttpError::Truncated
                } else {
                    HttpError::Closed
                });
            }
            begun = true;
        }
    }

    /// Reads a whole body of at most `most` bytes.
    ///
    /// # Errors
    /// [`HttpError::Truncated`] when the connection ends before the body does.
    pub(crate) async fn body(
        &mut self,
        framing: Framing,
        most: usize,
    ) -> Result<Vec<u8>, HttpError> {
        match framing {
            Framing::Length(len) => {
                let len = usize::try_from(len).unwrap_or(usize::MAX);
                if len > most {
                    return Err(HttpError::BodyTooLarge);
                }
                self.need(len).await?;
                Ok(self.buf.drain(..len).collect())
            }
            Framing::Chunked => self.chunks(most).await,
            Framing::UntilClose => {
                while self.fill().await? > 0 {
                    if self.buf.len() > most {
                        return Err(HttpError::BodyTooLarge);
                    }
                }
                Ok(std::mem::take(&mut self.buf))
            }
        }
    }

    async fn chunks(&mut self, most: usize) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        loop {
            let len = self.chunk_len().await?;
            if len == 0 {
                self.trailer().await?;
                return Ok(body);
            }
            if body.len() + len > most {
                return Err(HttpError::BodyTooLarge);
            }
            self.need(len + 2).await?;
            if &self.buf[len..len + 2] != b"\r\n" {
                return Err(HttpError::Malformed("a chunk does not end where it should"));
            }
            body.extend_from_slice(&self.buf[..len]);
            self.buf.drain(..len + 2);
        }
    }

    async fn chunk_len(&mut self) -> Result<usize, HttpError> {
        loop {
            let parsed = httparse::parse_chunk_size(&self.buf);
            match parsed.map_err(|_| HttpError::Malformed("a chunk has no size"))? {
                httparse::Status::Complete((used, len)) => {
                    self.buf.drain(..used);
                    return Ok(usize::try_from(len).unwrap_or(usize::MAX / 2));
                }
                httparse::Status::Partial if self.buf.len() > MOST_CHUNK_LINE => {
                    return Err(HttpError::Malformed("a chunk's size does not end"));
                }
                httparse::Status::Partial => self.more().await?,
            }
        }
    }

    /// Reads the fields after the last chunk, which nobody here uses.
    async fn trailer(&mut self) -> Result<(), HttpError> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|bytes| bytes == b"\r\n") {
                self.buf.drain(..at + 2);
                if at == 0 {
                    return Ok(());
                }
                continue;
            }
            if self.buf.len() > MOST_TRAILER {
                return Err(HttpError::Malformed("the trailer does not end"));
            }
            self.more().await?;
        }
    }

    async fn need(&mut self, len: usize) -> Result<(), HttpError> {
        while self.buf.len() < len {
            self.more().await?;
        }
        Ok(())
    }

    async fn more(&mut self) -> Result<(), HttpError> {
        match self.fill().await? {
            0 => Err(HttpError::Truncated),
            _ => Ok(()),
        }
    }

    async fn fill(&mut self) -> Result<usize, HttpError> {
        let mut chunk = vec![0; READ_BYTES];
        let count = self.stream.read(&mut chunk).await?;
        self.buf.extend_from_slice(&chunk[..count]);
        Ok(count)
    }
}

fn malformed(error: httparse::Error) -> HttpError {
    HttpError::Malformed(match error {
        httparse::Error::HeaderName => "a field's name is none",
        httparse::Error::HeaderValue => "a field's value is none",
        httparse::Error::TooManyHeaders => "it has too many fields",
        httparse::Error::Version => "its version is unknown",
        _ => "its first line is none",
    })
}

#[cfg(test)]
#[path = "http1_tests.rs"]
mod http1_tests;
