//! HTTP/1.1 messages on a raw connection.

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest message head.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A connection and what was read from it beyond the last message.
pub(crate) struct Conn {
    pub(crate) stream: TcpStream,
    buf: Vec<u8>,
}

/// The first line and the headers of a message.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    pub(crate) first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    pub(crate) fn content_length(&self) -> usize {
        let length = self.header("content-length").and_then(|v| v.parse().ok());
        length.unwrap_or(0)
    }

    /// Status code of a response.
    pub(crate) fn status(&self) -> Option<u16> {
        self.first_line.split(' ').nth(1)?.parse().ok()
    }
}

impl Conn {
    pub(crate) fn new(stream: TcpStream) -> Conn {
        // Only affects how soon small messages are sent.
        let _ = stream.set_nodelay(true);
        Conn {
            stream,
            buf: Vec::new(),
        }
    }

    /// Reads the head of a message; none if the connection ended before its first byte.
    pub(crate) async fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                return Ok(Some(parse(&text)));
            }
            if self.buf.len() > MAX_HEAD_BYTES {
                return Err(io::Error::other("the head is too long"));
            }
            match self.fill().await? {
                0 if self.buf.is_empty() => return Ok(None),
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                _ => {}
            }
        }
    }

    /// Reads exactly so many bytes of a body.
    pub(crate) async fn read_body(&mut self, bytes: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < bytes {
            if self.fill().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..bytes).collect())
    }

    pub(crate) async fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes()).await
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.stream.read_buf(&mut self.buf).await
    }
}

/// Returns the text of a message with this body; the first line may be followed by further headers.
pub(crate) fn message(first_line: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{first_line}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text + &format!("content-length: {}\r\n\r\n{body}", body.len())
}

fn parse(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    Head {
        first_line,
        headers: headers.collect(),
    }
}
