//! Servers of plain services and model engines, as the platform's pages describe them, and clients.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    base::{Json, Reader, Record, Request, free_address, header, respond, sleep_ms},
    platform::Store,
};

/// Interval of the liveness reports.
pub const BEAT_MS: u64 = 1_200;

/// Memory of an engine, in tokens.
const KV_TOKENS: u128 = 232_000;

/// Time that a plain request takes.
const PLAIN_MS: u64 = 10;

/// Events of a stream, and the time between two of them.
const EVENTS: u64 = 10;
const EVENT_MS: u64 = 20;

/// Weights and adapters that an engine holds at once.
pub const WEIGHTS_MB: u64 = 200_000;
pub const ADAPTER_SLOTS: usize = 8;
pub const ADAPTER_MB: u64 = 12;

/// Time of a load from the weight store, and from an engine's own disk.
pub const LOAD_MS: u64 = 3_800;
pub const DISK_MS: u64 = 760;

/// What a server runs and holds since its start.
struct State {
    id: String,
    born: u64,
    beats: u64,
    is_up: bool,
    is_draining: bool,
    orders: u64,
    /// Models with their adapters.
    held: BTreeMap<String, BTreeSet<String>>,
    /// Model that is loaded or unloaded, and until when.
    ongoing: Option<(String, bool, Instant)>,
    on_disk: BTreeSet<String>,
    running: BTreeMap<String, usize>,
    connections: Vec<TcpStream>,
}

/// What to do with an order that arrives.
pub enum Fate {
    Answer,
    /// No answer; it is carried out after this time.
    Late(Duration),
}

type OrderRule = Box<dyn FnMut(&Json) -> Fate + Send>;

/// A server. It serves at one address, also after a restart.
pub struct Engine {
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    slots: usize,
    model_mb: BTreeMap<String, u64>,
    state: Mutex<State>,
    store: Arc<Store>,
    record: Record,
    rule: Mutex<Option<OrderRule>>,
    /// Orders that loaded more than fits.
    pub overloads: AtomicU64,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Engine {
    /// Starts a server that holds `models`; a plain one holds none and knows none.
    pub fn start(
        id: &str,
        (service, zone): (&str, &str),
        slots: usize,
        model_mb: &[(&str, u64)],
        models: &[&str],
        store: &Arc<Store>,
        record: &Record,
    ) -> Arc<Self> {
        let held = models.iter().map(|name| ((*name).to_owned(), BTreeSet::new())).collect();
        let state = State {
            id: id.to_owned(),
            born: unix_ms(),
            beats: 1,
            is_up: false,
            is_draining: false,
            orders: 0,
            held,
            ongoing: None,
            on_disk: models.iter().map(|name| (*name).to_owned()).collect(),
            running: BTreeMap::new(),
            connections: Vec::new(),
        };
        let engine = Arc::new(Self {
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: free_address(20),
            slots,
            model_mb: model_mb.iter().map(|(name, mb)| ((*name).to_owned(), *mb)).collect(),
            state: Mutex::new(state),
            store: store.clone(),
            record: record.clone(),
            rule: Mutex::new(None),
            overloads: AtomicU64::new(0),
        });
        engine.clone().come_up();
        let beating = engine.clone();
        std::thread::spawn(move || {
            loop {
                sleep_ms(BEAT_MS);
                beating.beat();
            }
        });
        let advancing = engine.clone();
        std::thread::spawn(move || {
            loop {
                sleep_ms(10);
                advancing.advance();
            }
        });
        engine
    }

    pub fn id(&self) -> String {
        self.state.lock().unwrap().id.clone()
    }

    /// Sets what happens to orders that arrive from now on.
    pub fn set_rule(&self, rule: impl FnMut(&Json) -> Fate + Send + 'static) {
        *self.rule.lock().unwrap() = Some(Box::new(rule));
    }

    /// Returns what it holds, for the record.
    pub fn holdings(&self) -> String {
        let state = self.state.lock().unwrap();
        let State { orders, held, ongoing, .. } = &*state;
        let ongoing = ongoing.as_ref().map(|(model, is_load, _)| (model, is_load));
        format!("seq={orders} held={held:?} ongoing={ongoing:?}")
    }

    fn come_up(self: Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("the address of the server is free");
        let _ = listener.set_nonblocking(true);
        self.state.lock().unwrap().is_up = true;
        self.write_entry();
        std::thread::spawn(move || {
            while self.state.lock().unwrap().is_up {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(clone) = stream.try_clone() {
                            self.state.lock().unwrap().connections.push(clone);
                        }
                        let engine = self.clone();
                        std::thread::spawn(move || drop(engine.serve(stream)));
                    }
                    Err(_) => sleep_ms(2),
                }
            }
        });
    }

    /// Ends the process of the server: its connections break, and it forgets what it held.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        self.record.note(format!("server {} crashes", state.id));
        state.is_up = false;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        state.orders = 0;
        state.held.clear();
        state.ongoing = None;
        state.running.clear();
        state.is_draining = false;
    }

    /// Starts the server again after a crash, under the id that it had.
    pub fn restart(self: &Arc<Self>) {
        {
            let mut state = self.state.lock().unwrap();
            (state.born, state.beats) = (unix_ms(), 1);
            self.record.note(format!("server {} starts again, born {}", state.id, state.born));
        }
        self.clone().come_up();
    }

    fn beat(&self) {
        {
            let mut state = self.state.lock().unwrap();
            if !state.is_up {
                return;
            }
            state.beats += 1;
        }
        self.write_entry();
    }

    /// Returns the entry of the server, as it writes it now.
    pub fn entry(&self) -> String {
        let state = self.state.lock().unwrap();
        let models: Vec<String> = state.held.keys().map(|name| model_text(name, &[])).collect();
        let on_disk: Vec<String> = state.on_disk.iter().map(|name| format!("\"{name}\"")).collect();
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{}\",\"cold_remaining_ms\":0,\"seq\":{},\"born\":{},\
             \"stage\":\"unified\",\"models\":[{}],\
             \"at_hand\":{{\"in_memory\":[],\"on_disk\":[{}]}}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            if state.is_draining { "draining" } else { "ready" },
            state.beats,
            state.born,
            models.join(","),
            on_disk.join(","),
        )
    }

    pub fn write_entry(&self) {
        let entry = self.entry();
        self.store.put(&format!("servers/{}", self.id()), &entry);
    }

    /// Goes on with a load or an unload.
    fn advance(&self) {
        let has_changed = {
            let mut state = self.state.lock().unwrap();
            match state.ongoing.clone() {
                Some((model, true, end)) if end <= Instant::now() => {
                    state.on_disk.insert(model.clone());
                    state.held.insert(model, BTreeSet::new());
                    state.ongoing = None;
                    true
                }
                Some((model, false, end)) if end <= Instant::now() => {
                    let uses =
                        |key: &String| *key == model || key.starts_with(&format!("{model}/"));
                    if state.running.iter().any(|(key, count)| uses(key) && *count > 0) {
                        return;
                    }
                    state.held.remove(&model);
                    state.ongoing = None;
                    true
                }
                _ => false,
            }
        };
        if has_changed {
            self.write_entry();
        }
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        loop {
            let request = reader.request()?;
            let expected = request.header("x-expect-instance");
            if expected.is_some_and(|expected| expected != self.id()) {
                self.refuse(&mut writer, &request, 421)?;
                continue;
            }
            match request.path() {
                "/api/report" => {
                    let body = self.report();
                    respond(&mut writer, 200, &self.json_headers(&request), &body)?;
                }
                "/api/order" => match self.order(&request) {
                    Some(status) => respond(&mut writer, status, &self.json_headers(&request), "")?,
                    None => return Ok(std::thread::sleep(Duration::from_secs(20))),
                },
                _ => self.run(&mut writer, &request)?,
            }
        }
    }

    fn json_headers(&self, request: &Request) -> Vec<(&'static str, String)> {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        vec![("Content-Type", "application/json".to_owned()), ("X-Request-Id", id)]
    }

    fn refuse(&self, writer: &mut TcpStream, request: &Request, status: u16) -> io::Result<()> {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let headers = [
            ("X-Not-Executed", "1".to_owned()),
            ("X-Request-Id", id),
            ("X-Instance-Id", self.id()),
        ];
        respond(writer, status, &headers, "")
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let models: Vec<String> = state
            .held
            .iter()
            .map(|(name, adapters)| {
                let adapters: Vec<&str> = adapters.iter().map(String::as_str).collect();
                model_text(name, &adapters)
            })
            .collect();
        format!(
            "{{\"stage\":\"unified\",\"models\":[{}],\"busy\":{},\"seq\":{},\"born\":{},\
             \"coming\":[],\"queued_requests\":0,\"running\":{},\"kv_used\":0,\
             \"kv_total\":{KV_TOKENS},\"handles\":0}}",
            models.join(","),
            state.ongoing.is_some(),
            state.orders,
            state.born,
            state.running.values().sum::<usize>(),
        )
    }

    /// Handles an order that arrives. Returns the status of the answer; `None` if there is none.
    fn order(self: &Arc<Self>, request: &Request) -> Option<u16> {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let fate = self.rule.lock().unwrap().as_mut().map_or(Fate::Answer, |rule| rule(&body));
        match fate {
            Fate::Answer => Some(self.carry_out(&body, "")),
            Fate::Late(delay) => {
                self.record.note(format!(
                    "order {} gets no answer; carried out in {} ms",
                    order_text(&body),
                    delay.as_millis()
                ));
                let expected = request.header("x-expect-instance").unwrap_or_default().to_owned();
                let engine = self.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    if engine.state.lock().unwrap().is_up && expected == engine.id() {
                        engine.carry_out(&body, "late ");
                    }
                });
                None
            }
        }
    }

    fn carry_out(&self, body: &Json, kind: &str) -> u16 {
        let holdings = self.holdings();
        let (status, fits) = self.apply(body);
        let id = self.id();
        let text = order_text(body);
        self.record.note(format!("{kind}order {text} at {id} ({holdings}): {status} fits={fits}"));
        if !fits {
            self.overloads.fetch_add(1, Ordering::SeqCst);
            self.crash();
        }
        status
    }

    /// Applies an order. Returns the status and whether what it loads fits.
    fn apply(&self, body: &Json) -> (u16, bool) {
        let (operation, model, adapter) =
            (body.text("operation"), body.text("model"), body.text("adapter"));
        if body.text("holder").is_empty() || body.number("fencing_token").is_none() {
            return (400, true);
        }
        let mut state = self.state.lock().unwrap();
        let has_run = |state: &State, key: &str| state.running.get(key).is_some_and(|n| *n > 0);
        let is_load = operation == "load";
        let is_expected = body.number("precondition").is_none_or(|number| number == state.orders);
        if state.ongoing.is_some() || !is_expected {
            return (409, true);
        }
        if !self.model_mb.contains_key(&model) {
            return (400, true);
        }
        let used: u64 = state.held.keys().map(|name| self.model_mb[name]).sum();
        let adapters: usize = state.held.values().map(BTreeSet::len).sum();
        let used = used + adapters as u64 * ADAPTER_MB;
        if !adapter.is_empty() {
            let key = format!("{model}/{adapter}");
            let is_used = has_run(&state, &key);
            let Some(list) = state.held.get_mut(&model) else { return (400, true) };
            if list.contains(&adapter) == is_load {
                return (200, true);
            }
            if !is_load {
                if is_used {
                    return (409, true);
                }
                list.remove(&adapter);
                state.orders += 1;
                return (200, true);
            }
            list.insert(adapter);
            state.orders += 1;
            return (202, adapters < ADAPTER_SLOTS && used + ADAPTER_MB <= WEIGHTS_MB);
        }
        if state.held.contains_key(&model) == is_load {
            return (200, true);
        }
        state.orders += 1;
        let time = match (is_load, state.on_disk.contains(&model)) {
            (false, _) => 20,
            (true, true) => DISK_MS,
            (true, false) => LOAD_MS,
        };
        let fits = !is_load || used + self.model_mb[&model] <= WEIGHTS_MB;
        state.ongoing = Some((model, is_load, Instant::now() + Duration::from_millis(time)));
        (202, fits)
    }

    /// Runs a client's request.
    fn run(&self, writer: &mut TcpStream, request: &Request) -> io::Result<()> {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let name = request.header("x-model").unwrap_or_default().to_owned();
        let (model, adapter) = name.split_once('/').unwrap_or((&name, ""));
        let tokens = request.header("x-token-count").unwrap_or("0,0");
        let tokens: u128 =
            tokens.split(',').filter_map(|text| text.trim().parse::<u128>().ok()).sum();
        let refusal = {
            let mut state = self.state.lock().unwrap();
            let lacks = state
                .held
                .get(model)
                .is_none_or(|adapters| !adapter.is_empty() && !adapters.contains(adapter));
            if id.is_empty() {
                Some(400)
            } else if !self.model_mb.is_empty() && lacks {
                Some(421)
            } else if tokens > KV_TOKENS || state.running.values().sum::<usize>() >= self.slots {
                Some(503)
            } else {
                *state.running.entry(name.clone()).or_default() += 1;
                None
            }
        };
        if let Some(status) = refusal {
            self.record.note(format!("server {} refuses {id} with {status}", self.id()));
            return self.refuse(writer, request, status);
        }
        self.record.note(format!("server {} runs {id} {name}", self.id()));
        let result = match model.is_empty() {
            true => self.answer(writer, &id),
            false => self.stream(writer, &id),
        };
        if let Some(count) = self.state.lock().unwrap().running.get_mut(&name) {
            *count = count.saturating_sub(1);
        }
        result
    }

    fn answer(&self, writer: &mut TcpStream, id: &str) -> io::Result<()> {
        sleep_ms(PLAIN_MS);
        let headers = [("X-Request-Id", id.to_owned()), ("X-Server-Stamp", self.id())];
        respond(writer, 200, &headers, &format!("answer to {id}"))
    }

    fn stream(&self, writer: &mut TcpStream, id: &str) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\n\
             X-Server-Stamp: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id()
        );
        for number in 1..=EVENTS {
            sleep_ms(EVENT_MS);
            let event = format!("id: {number}\ndata: {id}\n\n");
            let head = if number == 1 { head.as_str() } else { "" };
            writer.write_all(format!("{head}{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

fn model_text(name: &str, adapters: &[&str]) -> String {
    let adapters: Vec<String> = adapters.iter().map(|name| format!("\"{name}\"")).collect();
    format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[{}]}}", adapters.join(","))
}

fn order_text(body: &Json) -> String {
    format!(
        "{} {} {} (precondition {:?}, holder {})",
        body.text("operation"),
        body.text("model"),
        body.text("adapter"),
        body.number("precondition"),
        body.text("holder")
    )
}

/// How a client's request has ended.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status; `None` if the connection ended without an answer.
    pub status: Option<u16>,
    pub stamp: Option<String>,
    pub body: String,
    /// Whether the whole body has arrived.
    pub is_whole: bool,
}

impl Answer {
    /// Returns whether a server's whole success has arrived.
    pub fn is_served(&self) -> bool {
        self.status == Some(200) && self.stamp.is_some() && self.is_whole
    }
}

/// A request of a client.
pub struct Call<'a> {
    pub id: String,
    pub method: &'a str,
    pub path: &'a str,
    pub model: Option<&'a str>,
    pub tokens: &'a str,
    pub deadline_ms: u64,
}

/// Host of all routes, and the key of the only tenant.
pub const HOST: &str = "review.example";
pub const KEY: &str = "k3y0fth3t3nant";

/// Sends a request on a new connection to a gateway and waits for its end.
pub fn send(gateway: SocketAddr, call: &Call<'_>, record: &Record) -> Answer {
    record.note(format!(
        "client sends {} to {gateway}: {} {} model={:?} tokens={}",
        call.id, call.method, call.path, call.model, call.tokens
    ));
    let mut answer = Answer { status: None, stamp: None, body: String::new(), is_whole: false };
    let result = exchange(gateway, call, &mut answer);
    let Answer { status, is_whole, stamp, body } = &answer;
    let body: String = body.chars().take(60).collect();
    record.note(format!(
        "client has {} status={status:?} whole={is_whole} stamp={stamp:?} {:?} {body:?}",
        call.id,
        result.err().map(|err| err.kind())
    ));
    answer
}

fn exchange(gateway: SocketAddr, call: &Call<'_>, answer: &mut Answer) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(call.deadline_ms + 1_000)))?;
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n\
         Authorization: Token {KEY}\r\n",
        call.method, call.path, call.id, call.deadline_ms
    );
    if let Some(model) = call.model {
        text += &format!("X-Model: {model}\r\nX-Token-Count: {}\r\n", call.tokens);
    }
    let body = if call.method == "POST" { "content" } else { "" };
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())?;
    let mut reader = Reader::new(stream);
    let (first, headers) = reader.head()?;
    answer.status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    answer.stamp = header(&headers, "x-server-stamp").map(str::to_owned);
    let body = reader.body(&headers)?;
    answer.body = String::from_utf8_lossy(&body).into_owned();
    answer.is_whole = true;
    Ok(())
}

/// Returns the operator's config: a service of engines with these models, and a plain one.
pub fn config(version: u64, models: &[(&str, u64)]) -> String {
    let models: Vec<String> = models
        .iter()
        .map(|(name, mb)| {
            format!(
                "{{\"name\":\"{name}\",\"weights_mb\":{mb},\"load_s\":{},\"warm_s\":0.38,\
                 \"disk_s\":{},\"adapters\":20,\"adapter_mb\":{ADAPTER_MB}}}",
                LOAD_MS as f64 / 1e3,
                DISK_MS as f64 / 1e3
            )
        })
        .collect();
    let route = |name: &str, kind: &str, service: &str, attempts: u32, timeout: u32, aim: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
             \"type\":\"{kind}\",\"timeout_ms\":{timeout},\"target_latency_ms\":{aim},\
             \"priority\":1,\"service\":\"{service}\",\"max_attempts\":{attempts},\
             \"public\":false,\"sticky\":false,\"resumable\":false}}"
        )
    };
    let routes = [
        route("chat", "streaming", "assist", 1, 10_000, 3_000),
        route("pay", "non_idempotent", "desk", 1, 2_000, 200),
        route("look", "idempotent", "desk", 2, 2_000, 200),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"assist\",\"health_path\":\"/healthz\",\"max_conns\":370,\
         \"cold_start_s\":0,\"cold_per_s\":0,\"engine\":{{\"slots\":64,\
         \"kv_capacity_tokens\":{KV_TOKENS},\"weights_mb\":{WEIGHTS_MB},\
         \"adapter_slots\":{ADAPTER_SLOTS},\"loads_per_s\":2.1,\"models\":[{}]}}}},\
         {{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":110,\
         \"cold_start_s\":0,\"cold_per_s\":0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-a\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"unit\":\"tokens\",\"plain_tokens\":200,\"rate_per_s\":165946,\"burst\":165946}}]}}",
        routes.join(","),
        models.join(",")
    )
}
