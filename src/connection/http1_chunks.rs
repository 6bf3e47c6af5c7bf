//! Chunked bodies of HTTP/1.1 messages.

use super::http1::{Http1Conn, HttpError};

const MAX_TRAILER_BYTES: usize = 16 << 10;
/// The maximum length of a chunk's size line.
const MAX_CHUNK_LINE_BYTES: usize = 256;
const LINE_END_BYTES: usize = 2;

impl Http1Conn {
    /// Reads a chunked body of at most `max_bytes` bytes, and the trailer after it.
    ///
    /// # Errors
    /// Any [`HttpError`]; [`HttpError::Truncated`] if the connection ends before the body.
    pub(super) async fn read_chunks(&mut self, max_bytes: usize) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        loop {
            let len = self.read_chunk_len().await?;
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

    async fn read_chunk_len(&mut self) -> Result<usize, HttpError> {
        loop {
            let parsed = httparse::parse_chunk_size(self.unread());
            match parsed.map_err(|_| HttpError::Malformed("a chunk size is invalid"))? {
                httparse::Status::Complete((consumed, len)) => {
                    self.consume(consumed);
                    return Ok(usize::try_from(len).unwrap_or(usize::MAX / 2));
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
