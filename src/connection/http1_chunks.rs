//! Chunked bodies of HTTP/1.1 messages.

use super::http1::{Http1Conn, HttpError};

const MAX_TRAILER_BYTES: usize = 16 << 10;
/// The maximum length of a chunk's size line.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// The size lines and line ends of a body may have this many bytes more than the body itself: each
/// chunk costs time, however small.
const MAX_CHUNK_OVERHEAD: usize = 16 << 10;
const LINE_END_BYTES: usize = 2;

impl Http1Conn {
    /// Reads a chunked body of at most `max_bytes` bytes, and the trailer after it.
    ///
    /// # Errors
    /// Any [`HttpError`]; [`HttpError::Truncated`] if the connection ends before the body.
    pub(super) async fn read_chunks(&mut self, max_bytes: usize) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        let mut overhead = 0;
        loop {
            let (line_bytes, len) = self.read_chunk_len().await?;
            overhead += line_bytes + LINE_END_BYTES;
            if overhead > body.len() + MAX_CHUNK_OVERHEAD {
                return Err(HttpError::Malformed("the chunks are too small"));
            }
            if len == 0 {
                self.skip_trailer().await?;
                return Ok(body);
            }
            if body.len() + len > max_bytes {
                return Err(HttpError::BodyTooLarge);
            }
            self.fill_to(len + LINE_END_BYTES).await?;
            if &self.unread()[len..len + LINE_END_BYTES] != b"\r\n" {
                return Err(HttpError::Malformed("a chunk does not match its size"));
            }
            self.move_to(&mut body, len)?;
            self.consume(LINE_END_BYTES);
        }
    }

    /// Reads the size line of a chunk. Returns the length of the line and of the chunk.
    async fn read_chunk_len(&mut self) -> Result<(usize, usize), HttpError> {
        loop {
            let parsed = httparse::parse_chunk_size(self.unread());
            match parsed.map_err(|_| HttpError::Malformed("a chunk size is invalid"))? {
                httparse::Status::Complete((consumed, len)) => {
                    self.consume(consumed);
                    let len = usize::try_from(len)
                        .unwrap_or(usize::MAX)
                        .min(usize::MAX / 2);
                    return Ok((consumed, len));
                }
                httparse::Status::Partial if self.unread().len() > MAX_CHUNK_LINE_BYTES => {
                    return Err(HttpError::Malformed("a chunk size line is too long"));
                }
                httparse::Status::Partial => self.fill_more().await?,
            }
        }
    }

    /// Reads and discards the trailer fields after the last chunk.
    async fn skip_trailer(&mut self) -> Result<(), HttpError> {
        let mut skipped = 0;
        loop {
            if skipped + self.unread().len() > MAX_TRAILER_BYTES {
                return Err(HttpError::Malformed("the trailer is too long"));
            }
            let mut pairs = self.unread().windows(2);
            let Some(at) = pairs.position(|bytes| bytes == b"\r\n") else {
                self.fill_more().await?;
                continue;
            };
            self.consume(at + 2);
            skipped += at + 2;
            if at == 0 {
                return Ok(());
            }
        }
    }
}
