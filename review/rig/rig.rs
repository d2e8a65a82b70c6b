//! What the cases share: a stand-in for the platform's store, servers, callers and gateway processes.
//! Only the standard library is used. All addresses are loopback addresses.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    fs::File,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// ---------------------------------------------------------------------------------------------
// Addresses and signals

/// Returns a free loopback address. The host is derived from the process id, so that runs in parallel
/// use different ones.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let pid = std::process::id();
    loop {
        let port = 20_000 + (NEXT.fetch_add(1, Ordering::Relaxed) * 2) as u16;
        let host = [127, 200 + ((pid >> 16) & 31) as u8, (pid >> 8) as u8, pid as u8];
        let address = SocketAddr::from((host, port));
        let next = SocketAddr::from((host, port + 1));
        if TcpListener::bind(address).is_ok() && TcpListener::bind(next).is_ok() {
            return address;
        }
    }
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const SockAddrIn, len: u32) -> i32;
}

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    host: [u8; 4],
    zero: [u8; 8],
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Connects like a caller behind an ordinary network: with segments of 1,400 bytes and a receive buffer
/// of `receive_bytes`.
pub fn connect_with_window(address: SocketAddr, receive_bytes: i32) -> io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    const AF_INET: i32 = 2;
    const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2000000;
    let SocketAddr::V4(v4) = address else { return Err(io::ErrorKind::Unsupported.into()) };
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let (sol_socket, so_rcvbuf, tcp, maxseg) = (1, 8, 6, 2);
        setsockopt(fd, sol_socket, so_rcvbuf, &receive_bytes, 4);
        setsockopt(fd, tcp, maxseg, &1_400, 4);
        let name = SockAddrIn {
            family: AF_INET as u16,
            port: v4.port().to_be(),
            host: v4.ip().octets(),
            zero: [0; 8],
        };
        if connect(stream.as_raw_fd(), &name, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

// ---------------------------------------------------------------------------------------------
// Record

/// The file `record.txt`: what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create() -> Self {
        let folder = std::env::var("CASE_FOLDER").unwrap_or_else(|_| ".".into());
        let file = File::create(PathBuf::from(folder).join("record.txt")).expect("record.txt");
        Self(Arc::new((Mutex::new(file), Instant::now())))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.0.1.elapsed().as_secs_f64();
        let _ = writeln!(self.0.0.lock().unwrap(), "{at:8.3} s  {}", text.as_ref());
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Returns whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------------------------------------
// HTTP

#[derive(Debug, Default, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find_header(&self.headers, name)
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let length = find_header(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { method, path: path.into(), query: query.into(), headers, body }))
}

/// Serves HTTP: one thread a connection. The handler writes the whole response, and returns whether the
/// connection goes on.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) {
    let listener = TcpListener::bind(address).expect("a free address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut output) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !handler(&request, &mut output).unwrap_or(false) {
                        break;
                    }
                }
                let _ = output.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

/// Writes a response with a length.
pub fn respond(
    output: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<bool> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    output.write_all(&bytes)?;
    Ok(true)
}

/// The answer that a caller got.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body has arrived.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        find_header(&self.headers, name)
    }
}

/// Reads the head of an answer.
pub fn read_answer_head(reader: &mut impl BufRead) -> io::Result<(u16, Vec<(String, String)>)> {
    let Some((first, headers)) = read_head(reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    Ok((status, headers))
}

/// Reads a whole answer with a length or in chunks. An error of the connection before the head is an
/// error; a body that ends early is not whole.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    let (status, headers) = read_answer_head(reader)?;
    let mut body = Vec::new();
    let whole = if find_header(&headers, "transfer-encoding") == "chunked" {
        read_chunks(reader, &mut body).is_ok()
    } else {
        let length = find_header(&headers, "content-length").parse().unwrap_or(0);
        let _ = reader.take(length).read_to_end(&mut body);
        body.len() as u64 == length
    };
    Ok(Answer { status, headers, body, whole })
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let start = body.len();
        body.resize(start + length + 2, 0);
        reader.read_exact(&mut body[start..])?;
        body.truncate(start + length);
        if length == 0 {
            return Ok(());
        }
    }
}

/// Returns the text of a request of a caller, without its body.
pub fn request_head(method: &str, path: &str, headers: &[(&str, &str)], length: usize) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: review.example\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text + &format!("Content-Length: {length}\r\n\r\n")
}

/// Sends one request on a connection of its own and reads the answer; fails after `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, limit.min(ms(1_000)))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let mut bytes = request_head(method, path, headers, body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_answer(&mut BufReader::new(stream))
}

// ---------------------------------------------------------------------------------------------
// JSON and base64, as far as the store needs them

#[derive(Debug, Clone)]
pub enum Json {
    Text(String),
    Number(f64),
    List(Vec<Json>),
    Table(HashMap<String, Json>),
    Other,
}

impl Json {
    pub fn parse(text: &str) -> Self {
        parse_json(text.as_bytes(), &mut 0)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(key).unwrap_or(&Json::Other),
            _ => &Json::Other,
        }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }
}

fn parse_json(text: &[u8], at: &mut usize) -> Json {
    let skip = |at: &mut usize| {
        while *at < text.len() && (text[*at].is_ascii_whitespace() || b",:".contains(&text[*at])) {
            *at += 1;
        }
    };
    skip(at);
    match text.get(*at) {
        Some(b'"') => {
            let mut value = Vec::new();
            *at += 1;
            while *at < text.len() && text[*at] != b'"' {
                if text[*at] == b'\\' {
                    *at += 1;
                }
                value.push(text[*at]);
                *at += 1;
            }
            *at += 1;
            Json::Text(String::from_utf8_lossy(&value).into())
        }
        Some(b'[') => {
            let mut list = Vec::new();
            *at += 1;
            loop {
                skip(at);
                match text.get(*at) {
                    Some(b']') | None => break *at += 1,
                    _ => list.push(parse_json(text, at)),
                }
            }
            Json::List(list)
        }
        Some(b'{') => {
            let mut table = HashMap::new();
            *at += 1;
            loop {
                skip(at);
                match text.get(*at) {
                    Some(b'}') | None => break *at += 1,
                    _ => {
                        let key = parse_json(text, at);
                        table.insert(key.text().to_owned(), parse_json(text, at));
                    }
                }
            }
            Json::Table(table)
        }
        Some(_) => {
            let start = *at;
            while *at < text.len() && !b",]} \n".contains(&text[*at]) {
                *at += 1;
            }
            let word = std::str::from_utf8(&text[start..*at]).unwrap_or_default();
            word.parse().map_or(Json::Other, Json::Number)
        }
        None => Json::Other,
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().enumerate().fold(0, |sum, (i, b)| sum | u32::from(*b) << (16 - 8 * i));
        for i in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * i) & 63) as usize] as char;
            text.push(if i <= group.len() { digit } else { '=' });
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------
// Store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Default)]
struct StoreState {
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (Duration, Instant)>,
    changes: VecDeque<(u64, String, Option<Item>)>,
    revision: u64,
    last_lease: u64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push_back((revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.changes.push_back((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        self.revision += 1;
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        for key in keys.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.delete(&key);
        }
    }
}

/// The platform's metadata store. Its answers are linearizable, and it loses nothing but in a drill.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<StoreState>, Condvar)>, Arc<Drill>);

/// State of a drill.
#[derive(Default)]
struct Drill {
    away: AtomicBool,
    /// Grows with each return from a copy.
    era: AtomicU32,
}

/// A copy of the store.
pub struct StoreCopy(StoreState, Instant);

impl StoreCopy {
    pub fn age(&self) -> Duration {
        self.1.elapsed()
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"create_rev":{created},"lease":{lease}}}"#
    )
}

fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value);
    value.replace("%2F", "/").replace("%2f", "/")
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let store = Self::default();
        store.0.0.lock().unwrap().revision = 1;
        let ends = store.clone();
        thread::spawn(move || {
            loop {
                sleep(ms(20));
                let mut state = ends.0.0.lock().unwrap();
                let now = Instant::now();
                let ended: Vec<u64> =
                    state.leases.iter().filter(|(_, it)| it.1 <= now).map(|(id, _)| *id).collect();
                ended.iter().for_each(|id| state.end_lease(*id));
                if !ended.is_empty() {
                    ends.0.1.notify_all();
                }
            }
        });
        let served = store.clone();
        serve(address, move |request, output| {
            let away = ("503 Service Unavailable", "{}".to_owned());
            let (status, body) = if served.is_away() { away } else { served.call(request) };
            let era = served.era().to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            respond(output, status, &headers, body.as_bytes())
        });
        store
    }

    /// Serves the store at another address, where the text `from` in answers reads `to`, so that a proxy can
    /// stand before an address that the store names.
    pub fn serve_view(&self, address: SocketAddr, from: String, to: String) {
        let served = self.clone();
        serve(address, move |request, output| {
            let (status, body) = served.call(request);
            let body = body.replace(&from, &to);
            let era = served.era().to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            respond(output, status, &headers, body.as_bytes())
        });
    }

    fn is_away(&self) -> bool {
        self.1.away.load(Ordering::SeqCst)
    }

    fn era(&self) -> u32 {
        self.1.era.load(Ordering::SeqCst)
    }

    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.0.0.lock().unwrap().clone(), Instant::now())
    }

    /// Lets the store be away: it answers 503 and carries nothing out.
    pub fn go_away(&self) {
        self.1.away.store(true, Ordering::SeqCst);
    }

    /// Lets the store come back from a copy: what was written since is gone, leases too, and revisions are
    /// given out again. Watches that wait end.
    pub fn come_back(&self, copy: &StoreCopy) {
        let mut state = self.0.0.lock().unwrap();
        *state = copy.0.clone();
        let now = Instant::now();
        state.leases.values_mut().for_each(|(ttl, ends_at)| *ends_at = now + *ttl);
        self.1.era.fetch_add(1, Ordering::SeqCst);
        self.1.away.store(false, Ordering::SeqCst);
        self.0.1.notify_all();
    }

    /// Writes a record, as the operator or a server does. Its return is the confirmation.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.0.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        state.delete(key);
        self.0.1.notify_all();
    }

    fn call(&self, request: &Request) -> (&'static str, String) {
        let (path, query) = (request.path.as_str(), request.query.as_str());
        let id = || path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
        let number = |name| parameter(query, name).parse::<u64>().unwrap_or(0);
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let mut state = self.0.0.lock().unwrap();
        match (request.method.as_str(), path) {
            ("GET", "/api/kv-key") => {
                let key = parameter(query, "key");
                match state.items.get(&key) {
                    Some(item) => ("200 OK", item_json(&key, item)),
                    None => ("404 Not Found", "{}".into()),
                }
            }
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (parameter(query, "path_prefix"), parameter(query, "after"));
                let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                let found = found.filter(|(key, _)| **key > after);
                let items: Vec<String> = found.map(|(key, item)| item_json(key, item)).collect();
                let (items, revision) = (items.join(","), state.revision);
                ("200 OK", format!(r#"{{"items":[{items}],"truncated":false,"as_of":{revision}}}"#))
            }
            ("GET", "/api/kv-watch") => {
                let (prefix, after) = (parameter(query, "path_prefix"), number("after"));
                let ends_at = Instant::now() + ms(number("wait_ms").min(30_000));
                let era = self.era();
                loop {
                    if after > state.revision || self.era() != era {
                        break ("410 Gone", "{}".into());
                    }
                    let changes = state.changes.iter().filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
                    let events: Vec<String> = changes
                        .map(|(at, key, item)| match item {
                            Some(item) => item_json(key, item),
                            None => format!(r#"{{"key":"{key}","revision":{at},"removed":true}}"#),
                        })
                        .collect();
                    let left = ends_at.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, revision) = (events.join(","), state.revision);
                        break ("200 OK", format!(r#"{{"events":[{events}],"as_of":{revision}}}"#));
                    }
                    state = self.0.1.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/api/kv-txn") => {
                let holds = |row: &Json| {
                    let item = state.items.get(row.get("key").text());
                    item.map_or(0, |item| item.revision) == row.get("revision").number()
                };
                let rows = body.get("precondition").list();
                if !rows.iter().all(holds) {
                    let keys = rows.iter().map(|row| row.get("key").text());
                    let items = keys.filter_map(|key| Some(item_json(key, state.items.get(key)?)));
                    let items = items.collect::<Vec<_>>().join(",");
                    return ("412 Precondition Failed", format!(r#"{{"items":[{items}]}}"#));
                }
                let leases = body.get("puts").list().iter().map(|put| put.get("lease").number());
                if leases.filter(|id| *id > 0).any(|id| !state.leases.contains_key(&id)) {
                    return ("404 Not Found", "{}".into());
                }
                state.revision += 1;
                for put in body.get("puts").list() {
                    let value = put.get("value").text().to_owned();
                    state.put(put.get("key").text(), value, put.get("lease").number());
                }
                for key in body.get("delete").list() {
                    state.delete(key.text());
                }
                self.0.1.notify_all();
                ("200 OK", format!(r#"{{"revision":{}}}"#, state.revision))
            }
            ("POST", "/api/kv-lease") => {
                let ttl = ms(body.get("ttl_ms").number().max(1_000));
                state.last_lease += 1;
                let id = state.last_lease;
                state.leases.insert(id, (ttl, Instant::now() + ttl));
                ("200 OK", format!(r#"{{"lease":{id},"ttl_ms":{}}}"#, ttl.as_millis()))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => match state.leases.get_mut(&id()) {
                Some(lease) => {
                    lease.1 = Instant::now() + lease.0;
                    ("200 OK", "{}".into())
                }
                None => ("404 Not Found", "{}".into()),
            },
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                state.end_lease(id());
                self.0.1.notify_all();
                ("200 OK", "{}".into())
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }
}

// ---------------------------------------------------------------------------------------------
// The operators' document and the servers' entries

/// A route of the operators' document.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub attempts: u32,
    pub resumable: bool,
}

/// Returns the operators' document. `tenants` are names with their keys.
pub fn document(version: u64, routes: &[Route], services: &[String], tenants: &[(&str, &[&str])]) -> String {
    let routes = routes.iter().map(|it| {
        format!(
            r#"{{"name":"{}","host":"review.example","path_prefix":"{}","type":"{}","service":"{}","timeout_ms":{},"target_latency_ms":{},"priority":1,"max_attempts":{},"resumable":{}}}"#,
            it.prefix.trim_matches('/'), it.prefix, it.kind, it.service, it.timeout_ms, it.target_ms, it.attempts, it.resumable
        )
    });
    let tenants = tenants.iter().map(|(name, keys)| {
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        format!(
            r#"{{"name":"{name}","api_keys":[{}],"unit":"tokens","plain_tokens":10,"rate_per_s":10000000,"burst":10000000}}"#,
            keys.join(",")
        )
    });
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"tenants":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.collect::<Vec<_>>().join(","),
        services.join(","),
        tenants.collect::<Vec<_>>().join(",")
    )
}

/// Returns a plain service of the document.
pub fn plain_service(name: &str) -> String {
    format!(r#"{{"name":"{name}","health_path":"/healthz","max_conns":110}}"#)
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

/// Registers a server of a plain service under `id`.
pub fn register(store: &Store, id: &str, service: &str, zone: &str, address: SocketAddr, slots: u32) {
    register_engine(store, id, service, zone, address, slots, &[]);
}

/// Registers an engine under `id`, which holds `models`.
pub fn register_engine(store: &Store, id: &str, service: &str, zone: &str, address: SocketAddr, slots: u32, models: &[&str]) {
    register_version(store, id, service, "v1", zone, address, slots, models);
}

/// Registers an engine under `id`, whose software has a version.
#[allow(clippy::too_many_arguments)]
pub fn register_version(store: &Store, id: &str, service: &str, version: &str, zone: &str, address: SocketAddr, slots: u32, models: &[&str]) {
    let models: Vec<String> =
        models.iter().map(|name| format!(r#"{{"name":"{name}","version":1,"adapters":[]}}"#)).collect();
    let (models, born) = (models.join(","), 1_700_000_000_000u64);
    let entry = format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":{slots},"state":"ready","cold_remaining_ms":0,"seq":1,"born":{born},"models":[{models}],"at_hand":{{"in_memory":[],"on_disk":[]}}}}"#
    );
    store.write(&format!("servers/{id}"), &entry);
}

/// Answers what the system itself calls at a server of a plain service, and what is meant for another
/// server. Returns `None` for a request of a caller. `id` is the name of the server.
pub fn answer_system(id: &str, request: &Request, output: &mut TcpStream) -> Option<io::Result<bool>> {
    let request_id = request.header("x-request-id").to_owned();
    let headers = [("X-Request-Id", request_id.as_str()), ("X-Instance-Id", id)];
    let expected = request.header("x-expect-instance");
    if !expected.is_empty() && expected != id {
        let headers = [("X-Request-Id", request_id.as_str()), ("X-Not-Executed", "1")];
        return Some(respond(output, "421 Misdirected Request", &headers, b""));
    }
    match request.path.as_str() {
        "/healthz" => Some(respond(output, "200 OK", &headers, b"")),
        _ => None,
    }
}

// ---------------------------------------------------------------------------------------------
// Gateways

/// A gateway process. It is killed when it is dropped.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub peer: SocketAddr,
    pub child: Child,
    settings: PathBuf,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        PROCESSES.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

impl Gateway {
    /// Writes the settings into `folder`, as the platform does from `deploy/gateway.yaml`, and starts the
    /// process with the command of the deploy file.
    pub fn start(folder: &std::path::Path, name: &str, zone: &str, store: SocketAddr) -> Self {
        let [callers, directory, readiness, peer, metrics] = std::array::from_fn(|_| free_address());
        let settings = format!(
            "instance: \"{name}\"\ndata_centre: \"{zone}\"\ncallers: \"{callers}\"\ndirectory: \"{directory}\"\nreadiness: \"{readiness}\"\npeer: \"{peer}\"\nmetrics: \"{metrics}\"\nstore: \"{store}\"\nmachine:\n  cores: 0.25\n  link_mbps: 1000.0\nlimits:\n  repeat_ratio: 0.2\n  repeat_slack: 58\n  repeat_window_s: 10\n  load_window_s: 5\n  rate_slack: 110000\n  order_gap_ms: 3000\n  stop_s: 8\n  address_ttl_s: 5\n  drain_ms: 2000\nlog: \"info\"\n"
        );
        let path = folder.join(format!("{name}.yaml"));
        std::fs::write(&path, settings).expect("settings");
        let child = Self::spawn(&path);
        Self { name: name.into(), callers, readiness, directory, peer, child, settings: path }
    }

    fn spawn(settings: &std::path::Path) -> Child {
        let log = File::options().create(true).append(true).open(settings.with_extension("log")).expect("log");
        let errors = log.try_clone().expect("log");
        let child = Command::new("target/release/cardamomshore")
            .arg("gateway")
            .env("CARDAMOMSHORE_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("target/release/cardamomshore");
        PROCESSES.lock().unwrap().push(child.id());
        child
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again after its end.
    pub fn start_again(&mut self) {
        PROCESSES.lock().unwrap().retain(|id| *id != self.child.id());
        self.child = Self::spawn(&self.settings);
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns whether the process says that it is ready.
    pub fn is_ready(&self, limit: Duration) -> bool {
        call(self.readiness, "GET", "/api/readyz", &[], b"", limit).is_ok_and(|it| it.status == 200)
    }

    /// Returns the resident memory in megabytes; zero if the process has ended.
    pub fn resident_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|it| it.trim().trim_end_matches(" kB").parse::<u64>().ok()).unwrap_or(0) / 1_000
    }
}

/// A temporary folder, which is removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        } else {
            eprintln!("kept {}", self.0.display());
        }
    }
}

/// Waits until all gateways are ready and one of them leads; exits with 2 if that takes too long.
pub fn wait_ready(gateways: &[Gateway]) {
    let started = Instant::now();
    while !gateways.iter().all(|gateway| gateway.is_ready(ms(500))) {
        if started.elapsed() > Duration::from_secs(20) {
            could_not_run("the gateways did not become ready");
        }
        sleep(ms(100));
    }
    // Leader, links, and the first orders: traffic starts 10 s after the machines do.
    let rest = Duration::from_secs(10).saturating_sub(started.elapsed());
    sleep(rest);
}

/// Ends the case with exit code 2, after its processes have been killed.
pub fn could_not_run(reason: &str) -> ! {
    panic!("could not run: {reason}")
}

/// Longest time that a case may take.
const CASE_LIMIT: Duration = Duration::from_secs(115);

/// Ids of the gateway processes, for the end of a case that takes too long.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Runs a case, which returns whether the rule held, and exits with the code for that.
pub fn run_case(case: impl FnOnce(&Record) -> bool + std::panic::UnwindSafe) -> ! {
    thread::spawn(|| {
        sleep(CASE_LIMIT);
        eprintln!("could not run: it takes too long");
        for id in PROCESSES.lock().unwrap().iter() {
            unsafe { kill(*id as i32, SIGKILL) };
        }
        std::process::exit(2);
    });
    let held = std::panic::catch_unwind(|| case(&Record::create()));
    std::process::exit(match held {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    })
}

/// A flag that threads share.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self, value: bool) {
        self.0.store(value, Ordering::SeqCst);
    }

    pub fn get(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

// ---------------------------------------------------------------------------------------------
// Proxy

/// A proxy before an address whose open connections can fall silent for good, while new ones work.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// Whether new connections are silent, too.
    pub cut: Flag,
    connections: Arc<Mutex<Vec<ProxyConnection>>>,
}

#[derive(Clone)]
struct ProxyConnection {
    silent: Flag,
    /// First line of the request that was sent last.
    last_request: Arc<Mutex<String>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).expect("a free address");
        let proxy = Self { address, cut: Flag::default(), connections: Arc::default() };
        let cut = proxy.cut.clone();
        let connections = proxy.connections.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                let connection = ProxyConnection { silent: Flag::default(), last_request: Arc::default() };
                connection.silent.set(cut.get());
                connections.lock().unwrap().push(connection.clone());
                let (client2, server2) = (client.try_clone().unwrap(), server.try_clone().unwrap());
                let requests = connection.clone();
                thread::spawn(move || {
                    copy(client, server, &requests.silent, |bytes| {
                        let text = String::from_utf8_lossy(bytes);
                        let line = text.lines().next().unwrap_or_default();
                        if line.contains(" HTTP/1.1") {
                            *requests.last_request.lock().unwrap() = line.to_owned();
                        }
                    })
                });
                thread::spawn(move || copy(server2, client2, &connection.silent, |_| {}));
            }
        });
        proxy
    }

    /// Lets all open connections fall silent whose last request contains `part`. Returns how many.
    pub fn silence(&self, part: &str) -> usize {
        let connections = self.connections.lock().unwrap();
        let found = connections.iter().filter(|it| {
            !it.silent.get() && it.last_request.lock().unwrap().contains(part)
        });
        found.inspect(|it| it.silent.set(true)).count()
    }
}

/// Copies bytes until the connection ends. Once it is silent, it takes bytes and passes none on, and
/// never closes.
fn copy(mut from: TcpStream, mut to: TcpStream, silent: &Flag, seen: impl Fn(&[u8])) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        match from.read(&mut buffer) {
            Ok(0) | Err(_) if silent.get() => sleep(Duration::from_secs(600)),
            Ok(0) | Err(_) => {
                let _ = to.shutdown(std::net::Shutdown::Both);
                let _ = from.shutdown(std::net::Shutdown::Both);
                return;
            }
            Ok(_) if silent.get() => {}
            Ok(length) => {
                seen(&buffer[..length]);
                if to.write_all(&buffer[..length]).is_err() {
                    return;
                }
            }
        }
    }
}
