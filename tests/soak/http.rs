//! Minimal HTTP/1.1 for the simulated systems and callers of the soak.

use std::io;

use async_std::io::ReadExt;
use async_std::net::TcpStream;

const MAX_HEADERS: usize = 32;

/// A request or response; `line` is the method and target, or the status code.
#[derive(Clone, Debug, Default)]
pub(crate) struct Message {
    pub(crate) line: String,
    pub(crate) fields: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Message {
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        let field = |(header_name, _): &&(String, String)| header_name.eq_ignore_ascii_case(name);
        self.fields
            .iter()
            .find(field)
            .map(|(_, value)| value.as_str())
    }

    pub(crate) fn status(&self) -> u16 {
        self.line.parse().unwrap_or_default()
    }
}

/// Reads the next message; `None` when the connection is closed before it starts.
pub(crate) async fn read(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Message>> {
    loop {
        if let Some((head_len, mut message)) = parse(buf)? {
            let len: usize = message
                .get("content-length")
                .and_then(|len| len.parse().ok())
                .unwrap_or_default();
            while buf.len() < head_len + len {
                if fill(stream, buf).await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            message.body = buf[head_len..head_len + len].to_vec();
            buf.drain(..head_len + len);
            return Ok(Some(message));
        }
        if fill(stream, buf).await? == 0 {
            return if buf.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    }
}

/// Reads more bytes into the buffer; zero at the end of the stream.
async fn fill(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = vec![0; 8 << 10];
    let count = stream.read(&mut chunk).await?;
    buf.extend_from_slice(&chunk[..count]);
    Ok(count)
}

/// Parses a message head and returns its length; `None` while it is incomplete.
fn parse(buf: &[u8]) -> io::Result<Option<(usize, Message)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let invalid = |error: httparse::Error| io::Error::other(error.to_string());
    let (status, line) = if buf.starts_with(b"HTTP/") {
        let mut res = httparse::Response::new(&mut headers);
        let status = res.parse(buf).map_err(invalid)?;
        (status, res.code.unwrap_or_default().to_string())
    } else {
        let mut req = httparse::Request::new(&mut headers);
        let status = req.parse(buf).map_err(invalid)?;
        let line = format!(
            "{} {}",
            req.method.unwrap_or_default(),
            req.path.unwrap_or_default()
        );
        (status, line)
    };
    let httparse::Status::Complete(head_len) = status else {
        return Ok(None);
    };
    let named = headers.iter().filter(|header| !header.name.is_empty());
    let fields = named
        .map(|header| {
            let value = String::from_utf8_lossy(header.value).into_owned();
            (header.name.to_owned(), value)
        })
        .collect();
    Ok(Some((
        head_len,
        Message {
            line,
            fields,
            body: Vec::new(),
        },
    )))
}

/// Encodes a response with a body.
pub(crate) fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let field = |(name, value): &(&str, &str)| format!("{name}: {value}\r\n");
    let fields: String = fields.iter().map(field).collect();
    let head = format!(
        "HTTP/1.1 {status:03} X\r\n{fields}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
