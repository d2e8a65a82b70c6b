//! Parts that all cases share: JSON, HTTP/1.1, the record of a case and free addresses.

use std::{
    fs::File,
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a value; `None` if the text is not valid.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, text: &str) -> Option<()> {
        let found = self.bytes[self.at..].starts_with(text.as_bytes());
        found.then(|| self.at += text.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'n' => self.take("null").map(|()| Json::Null),
            b't' => self.take("true").map(|()| Json::Bool),
            b'f' => self.take("false").map(|()| Json::Bool),
            b'"' => self.string().map(Json::Text),
            b'[' => self.list(),
            b'{' => self.object(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            let letter = char::from_u32(code.ok()?)?;
                            bytes.extend(letter.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut list = Vec::new();
        loop {
            self.space();
            if self.take("]").is_some() {
                return Some(Json::List(list));
            }
            list.push(self.value()?);
            self.space();
            let _ = self.take(",");
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = Vec::new();
        loop {
            self.space();
            if self.take("}").is_some() {
                return Some(Json::Object(fields));
            }
            let key = self.string()?;
            self.space();
            self.take(":")?;
            fields.push((key, self.value()?));
            self.space();
            let _ = self.take(",");
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for position in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * position) & 63) as usize];
            text.push(if position <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

/// A request as a stand-in has read it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.clone().find(|(key, _)| *key == name).map_or("", |(_, value)| value);
        value.replace("%2F", "/").replace("%3A", ":")
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
}

/// Reads bytes of a connection and keeps those that belong to the next message.
pub struct Reader {
    pub stream: TcpStream,
    kept: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, kept: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16 << 10];
        match self.stream.read(&mut buffer)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            read => {
                self.kept.extend_from_slice(&buffer[..read]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.kept.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.kept.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.kept.len() < length {
            self.fill()?;
        }
        Ok(self.kept.drain(..length).collect())
    }

    /// Reads the first line and the headers of a message.
    pub fn head(&mut self) -> io::Result<(String, Vec<(String, String)>)> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok((first, headers));
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads a chunk; `None` after the last one.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let length =
            usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let bytes = self.exactly(length)?;
        self.line()?;
        Ok((length > 0).then_some(bytes))
    }

    /// Reads the body of a message with these headers. Fails if it ends early.
    pub fn body(&mut self, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
        if header(headers, "transfer-encoding").is_some() {
            let mut body = Vec::new();
            while let Some(bytes) = self.chunk()? {
                body.extend(bytes);
            }
            return Ok(body);
        }
        let length = header(headers, "content-length").and_then(|text| text.parse().ok());
        self.exactly(length.unwrap_or(0))
    }

    pub fn request(&mut self) -> io::Result<Request> {
        let (first, headers) = self.head()?;
        let mut words = first.split(' ');
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let (method, target) = (method.to_owned(), target.to_owned());
        let body = self.body(&headers)?;
        Ok(Request { method, target, headers, body })
    }
}

/// Writes a whole response.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    text += body;
    stream.write_all(text.as_bytes())
}

/// Returns a loopback address that nothing listens on. Each process of a case has a host of its own.
pub fn free_address(host: u8) -> SocketAddr {
    let [address] = free_addresses(host);
    address
}

/// Returns free addresses of a host, all of them different. The port after that of the first is free too.
pub fn free_addresses<const N: usize>(host: u8) -> [SocketAddr; N] {
    loop {
        // All ports stay taken until the last one is chosen.
        let listeners: [TcpListener; N] = std::array::from_fn(|_| {
            TcpListener::bind((host_address(host), 0)).expect("a free loopback address")
        });
        let addresses = listeners.each_ref().map(|it| it.local_addr().expect("its address"));
        let next = addresses[0].port().checked_add(1);
        if next.is_some_and(|next| TcpListener::bind((host_address(host), next)).is_ok()) {
            return addresses;
        }
    }
}

/// Returns the loopback host of a process of this case.
fn host_address(host: u8) -> Ipv4Addr {
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    Ipv4Addr::new(127, 100 + host, high, low.max(1))
}

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(File, Instant)>>);

impl Record {
    pub fn new(path: &str) -> io::Result<Self> {
        Ok(Self(Arc::new(Mutex::new((File::create(path)?, Instant::now())))))
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let mut state = self.0.lock().unwrap();
        let seconds = state.1.elapsed().as_secs_f64();
        let _ = writeln!(state.0, "{seconds:8.3} {}", text.as_ref());
    }
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}
