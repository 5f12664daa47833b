//! A small blocking HTTP/1.1 reader and writer.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head and the body of a request or of a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// One connection.
pub struct Conn {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Conn {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> io::Result<Conn> {
        stream.set_nodelay(true)?;
        Ok(Conn {
            reader: BufReader::new(stream.try_clone()?),
            stream,
        })
    }

    /// Connects to an address.
    pub fn connect(addr: SocketAddr) -> io::Result<Conn> {
        Conn::new(TcpStream::connect_timeout(&addr, Duration::from_secs(1))?)
    }

    /// Sets how long a read may wait.
    pub fn set_read_timeout(&self, time: Option<Duration>) -> io::Result<()> {
        self.stream.set_read_timeout(time)
    }

    /// Writes all bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a head; `None` if the connection ended before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return match message.start.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
            let line = line.trim_end_matches(['\r', '\n']);
            if line.is_empty() {
                return Ok(Some(message));
            }
            match line.split_once(':') {
                _ if message.start.is_empty() => message.start = line.to_owned(),
                Some((name, value)) => {
                    let name = name.to_ascii_lowercase();
                    message.headers.push((name, value.trim().to_owned()));
                }
                None => return Err(io::ErrorKind::InvalidData.into()),
            }
        }
    }

    /// Reads the body that belongs to a head. Without a length and chunks, a response's body ends with
    /// the connection, and a request has none.
    pub fn read_body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        let chunked = head.header("transfer-encoding").is_some();
        let length = head.header("content-length").map(str::parse::<usize>);
        match length {
            _ if chunked => {
                let mut body = Vec::new();
                while let Some(chunk) = self.read_chunk()? {
                    body.extend(chunk);
                }
                Ok(body)
            }
            Some(Ok(length)) => {
                let mut body = vec![0; length];
                self.reader.read_exact(&mut body)?;
                Ok(body)
            }
            Some(Err(_)) => Err(io::ErrorKind::InvalidData.into()),
            None if head.start.starts_with("HTTP/") => {
                let mut body = Vec::new();
                self.reader.read_to_end(&mut body)?;
                Ok(body)
            }
            None => Ok(Vec::new()),
        }
    }

    /// Reads one chunk; `None` after the last one.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or("");
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        self.reader.read_exact(&mut chunk)?;
        chunk.truncate(size);
        Ok(Some(chunk).filter(|_| size > 0))
    }

    /// Reads a request or a response to its end.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        message.body = self.read_body(&message)?;
        Ok(Some(message))
    }
}

/// Returns the bytes of a message with a length.
pub fn encode(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
