//! Reads and writes HTTP/1.1 messages: heads are parsed by `httparse`, bodies are read whole.
//!
//! `async-h1`, which serves the connections of `caller.rs`, is not used here: it reads ahead,
//! and it does not report whether a body was complete when its connection ended, which
//! decides whether a reply may be used; see `docs/DESIGN.md`, "On the platform".

use std::io;
use std::ops::Range;
use std::time::Duration;

use async_std::net::TcpStream;
use futures::io::{AsyncReadExt, AsyncWriteExt};
use rustix::net::{RecvFlags, recv};

use super::http1_head::{Fields, Framing, RequestHead, ResponseHead};
use crate::process::Reservation;
use crate::request::Body;

/// A typical reply fits into one read.
pub(super) const READ_BYTES: usize = 4 << 10;
/// A large body is read in pieces of up to this size, as long as they arrive at once.
const MAX_READ_BYTES: usize = 64 << 10;
/// A head of a few kilobytes may have a few hundred short fields.
const MAX_HEADERS: usize = 256;
/// The statuses of HTTP (RFC 9110, section 15). Bytes with any other are no response.
const VALID_STATUSES: Range<u16> = 100..600;
const MAX_RESPONSE_HEAD_BYTES: usize = 16 << 10;

/// Why a message could not be read.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum HttpError {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The connection was closed before the first byte of a message.
    #[error("the connection was closed")]
    Closed,
    /// The connection was closed in the middle of a message.
    #[error("the connection was closed in the middle of a message")]
    Truncated,
    /// The bytes are not a valid message.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The head exceeds the size limit, or has too many fields.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The body exceeds the size limit.
    #[error("the body is too large")]
    BodyTooLarge,
    /// Other messages hold so much memory that none is left for this one.
    #[error("no memory is left for the message")]
    OutOfMemory,
}

/// An HTTP/1.1 connection with a buffer of received bytes that are not yet consumed.
#[derive(Debug)]
pub(crate) struct Http1Conn {
    stream: TcpStream,
    pub(super) buf: Vec<u8>,
    /// How many bytes at the front of the buffer belong to messages that were read.
    pub(super) consumed: usize,
    /// How many bytes the next read asks for.
    pub(super) read_bytes: usize,
    /// The memory of a body that is being read beside the buffer.
    pub(super) moved: usize,
    /// The memory of both, unless it is not limited.
    pub(super) memory: Option<Reservation>,
    read_timeout: Option<Duration>,
}

impl Http1Conn {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
            consumed: 0,
            read_bytes: READ_BYTES,
            moved: 0,
            memory: None,
            read_timeout: None,
        }
    }

    /// Sets how long a read may wait for the next bytes of a message. Unlike a timeout for a
    /// whole message, this lets a long one arrive over a slow link.
    pub(crate) fn set_read_timeout(&mut self, read_timeout: Option<Duration>) {
        self.read_timeout = read_timeout;
    }

    /// The underlying stream, to watch for its end.
    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether bytes were received beyond the messages read so far.
    pub(crate) fn has_buffered_bytes(&self) -> bool {
        !self.unread().is_empty()
    }

    /// Whether the connection is open and nothing arrived on it: an idle one on which the other
    /// side sent something carries a response to no request.
    pub(crate) fn is_quiet(&self) -> bool {
        let mut byte = [0; 1];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        let received = recv(&self.stream, &mut byte, flags);
        !self.has_buffered_bytes()
            && received.is_err_and(|error| error == rustix::io::Errno::WOULDBLOCK)
    }

    /// Waits until there is a byte to read. Returns false if the connection was closed.
    ///
    /// # Errors
    /// Returns an error if the connection fails.
    pub(crate) async fn wait_for_data(&mut self) -> Result<bool, HttpError> {
        Ok(self.has_buffered_bytes() || self.fill().await? > 0)
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        Ok(self.stream.write_all(bytes).await?)
    }

    /// Reads a request head of at most `max_bytes` bytes.
    ///
    /// # Errors
    /// Any [`HttpError`] except `BodyTooLarge`.
    pub(crate) async fn request(&mut self, max_bytes: usize) -> Result<RequestHead, HttpError> {
        self.head(max_bytes, |buf| {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut req = httparse::Request::new(&mut headers);
            let httparse::Status::Complete(len) = req.parse(buf).map_err(head_error)? else {
                return Ok(None);
            };
            let head = RequestHead {
                method: req.method.unwrap_or_default().to_owned(),
                target: req.path.unwrap_or_default().to_owned(),
                is_http10: req.version == Some(0),
                fields: Fields::from(&*req.headers),
            };
            Ok(Some((len, head)))
        })
        .await
    }

    /// Reads a response head of at most `max_bytes` bytes.
    ///
    /// # Errors
    /// Any [`HttpError`] except `BodyTooLarge`.
    pub(crate) async fn response(&mut self, max_bytes: usize) -> Result<ResponseHead, HttpError> {
        self.head(max_bytes, |buf| {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut res = httparse::Response::new(&mut headers);
            let httparse::Status::Complete(len) = res.parse(buf).map_err(head_error)? else {
                return Ok(None);
            };
            let status = res.code.filter(|status| VALID_STATUSES.contains(status));
            let head = ResponseHead {
                status: status.ok_or(HttpError::Malformed("invalid status"))?,
                is_http10: res.version == Some(0),
                fields: Fields::from(&*res.headers),
            };
            Ok(Some((len, head)))
        })
        .await
    }

    /// Sends a request and reads the head of the response.
    ///
    /// # Errors
    /// Any [`HttpError`] except `BodyTooLarge`.
    pub(crate) async fn send(
        &mut self,
        head: &[u8],
        body: &[u8],
    ) -> Result<ResponseHead, HttpError> {
        self.write(head).await?;
        if !body.is_empty() {
            self.write(body).await?;
        }
        self.next_response().await
    }

    /// Reads the head of one more response to a request that was sent.
    ///
    /// # Errors
    /// Any [`HttpError`] except `BodyTooLarge`.
    pub(crate) async fn next_response(&mut self) -> Result<ResponseHead, HttpError> {
        self.response(MAX_RESPONSE_HEAD_BYTES).await
    }

    async fn head<T>(
        &mut self,
        max_bytes: usize,
        parse: impl Fn(&[u8]) -> Result<Option<(usize, T)>, HttpError>,
    ) -> Result<T, HttpError> {
        let mut started = self.has_buffered_bytes();
        loop {
            if started && let Some((len, head)) = parse(self.unread())? {
                if len > max_bytes {
                    return Err(HttpError::HeadTooLarge);
                }
                self.consume(len);
                return Ok(head);
            }
            if self.unread().len() >= max_bytes {
                return Err(HttpError::HeadTooLarge);
            }
            if self.fill().await? == 0 {
                return Err(if started {
                    HttpError::Truncated
                } else {
                    HttpError::Closed
                });
            }
            started = true;
        }
    }

    /// Reads a whole body of at most `max_bytes` bytes.
    ///
    /// # Errors
    /// Any [`HttpError`]; [`HttpError::Truncated`] if the connection ends before the body.
    pub(crate) async fn body(
        &mut self,
        framing: Framing,
        max_bytes: usize,
    ) -> Result<Body, HttpError> {
        let bytes = match framing {
            Framing::Length(len) => {
                let len = usize::try_from(len).unwrap_or(usize::MAX);
                if len > max_bytes {
                    return Err(HttpError::BodyTooLarge);
                }
                self.fill_to(len).await?;
                let mut body = Vec::new();
                self.move_to(&mut body, len)?;
                body
            }
            Framing::Chunked => self.read_chunks(max_bytes).await?,
            Framing::UntilClose => {
                while self.fill().await? > 0 {
                    if self.unread().len() > max_bytes {
                        return Err(HttpError::BodyTooLarge);
                    }
                }
                let mut body = Vec::new();
                self.move_to(&mut body, self.unread().len())?;
                body
            }
        };
        self.finish(bytes)
    }

    pub(super) async fn fill_to(&mut self, len: usize) -> Result<(), HttpError> {
        while self.unread().len() < len {
            self.fill_more().await?;
        }
        Ok(())
    }

    pub(super) async fn fill_more(&mut self) -> Result<(), HttpError> {
        match self.fill().await? {
            0 => Err(HttpError::Truncated),
            _ => Ok(()),
        }
    }

    async fn fill(&mut self) -> Result<usize, HttpError> {
        let mut chunk = vec![0; self.read_bytes];
        let reading = self.stream.read(&mut chunk);
        let count = match self.read_timeout {
            Some(limit) => async_std::io::timeout(limit, reading).await?,
            None => reading.await?,
        };
        self.read_bytes = if count == chunk.len() {
            MAX_READ_BYTES.min(count * 2)
        } else {
            READ_BYTES
        };
        self.receive(&chunk[..count])?;
        Ok(count)
    }
}

fn head_error(error: httparse::Error) -> HttpError {
    HttpError::Malformed(match error {
        httparse::Error::TooManyHeaders => return HttpError::HeadTooLarge,
        httparse::Error::HeaderName => "invalid header name",
        httparse::Error::HeaderValue => "invalid header value",
        httparse::Error::Version => "unsupported HTTP version",
        _ => "invalid start line",
    })
}

#[cfg(test)]
#[path = "http1_tests.rs"]
mod http1_tests;
