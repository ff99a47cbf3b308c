//! Stand-ins for the cases of the second review: the state service, the cloud, the workers and a
//! user, as the pages of the users describe them, and a helper that starts the nodes. Only the
//! standard library is used.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// JSON.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// The text of the number, kept as it was sent.
    Num(String),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

pub fn text(value: &str) -> Json {
    Json::Str(value.to_string())
}

pub fn int(value: u64) -> Json {
    Json::Num(value.to_string())
}

pub fn num(value: f64) -> Json {
    Json::Num(format!("{value:?}"))
}

pub fn map(fields: Vec<(&str, Json)>) -> Json {
    Json::Map(fields.into_iter().map(|(name, value)| (name.to_string(), value)).collect())
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Map(fields) => fields.iter().find(|(field, _)| field == name).map(|(_, v)| v),
            _ => None,
        }
    }
    pub fn str(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Json::Str(value)) => value,
            _ => "",
        }
    }
    pub fn u64(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Num(value)) => value.parse().ok(),
            _ => None,
        }
    }
    pub fn f64(&self, name: &str) -> Option<f64> {
        match self.get(name) {
            Some(Json::Num(value)) => value.parse().ok(),
            _ => None,
        }
    }
    pub fn bool(&self, name: &str) -> bool {
        self.get(name) == Some(&Json::Bool(true))
    }
    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(items)) => items,
            _ => &[],
        }
    }
    pub fn parse(input: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = parse_value(input, &mut at)?;
        skip(input, &mut at);
        (at == input.len()).then_some(value)
    }
    pub fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Num(value) => out.push_str(value),
            Json::Str(value) => write_text(value, out),
            Json::List(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Map(fields) => {
                out.push('{');
                for (index, (name, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(name, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }
    pub fn to_text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }
}

fn write_text(value: &str, out: &mut String) {
    out.push('"');
    for c in value.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
}

fn skip(input: &[u8], at: &mut usize) {
    while *at < input.len() && input[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(input: &[u8], at: &mut usize) -> Option<Json> {
    skip(input, at);
    match *input.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(input, at);
                match *input.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = parse_text(input, at)?;
                        skip(input, at);
                        if *input.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, parse_value(input, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(input, at);
                match *input.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(input, at)?),
                }
            }
        }
        b'"' => parse_text(input, at).map(Json::Str),
        b't' => word(input, at, "true", Json::Bool(true)),
        b'f' => word(input, at, "false", Json::Bool(false)),
        b'n' => word(input, at, "null", Json::Null),
        _ => {
            let from = *at;
            while *at < input.len()
                && (input[*at].is_ascii_digit() || b"+-.eE".contains(&input[*at]))
            {
                *at += 1;
            }
            let number = std::str::from_utf8(&input[from..*at]).ok()?;
            number.parse::<f64>().ok()?;
            Some(Json::Num(number.to_string()))
        }
    }
}

fn word(input: &[u8], at: &mut usize, name: &str, value: Json) -> Option<Json> {
    if input[*at..].starts_with(name.as_bytes()) {
        *at += name.len();
        Some(value)
    } else {
        None
    }
}

fn parse_text(input: &[u8], at: &mut usize) -> Option<String> {
    if *input.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out: Vec<u8> = Vec::new();
    loop {
        let c = *input.get(*at)?;
        *at += 1;
        match c {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *input.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(input.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                        let mut buffer = [0; 4];
                        out.extend_from_slice(code.encode_utf8(&mut buffer).as_bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

// HTTP.

pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a parameter of the query.
    pub fn param(&self, name: &str) -> Option<&str> {
        let query = self.path.split_once('?')?.1;
        query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
    }
    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or("")
    }
}

/// Reads bytes up to the end of a head; returns the head and what follows it.
fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<String> {
    let mut buffer = [0; 16384];
    loop {
        if let Some(end) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            rest.drain(..end + 4);
            return Some(head);
        }
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => rest.extend_from_slice(&buffer[..n]),
            _ => return None,
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .skip(1)
        .filter_map(|l| l.split_once(':'))
        .find_map(|(n, v)| n.trim().eq_ignore_ascii_case(name).then(|| v.trim()))
}

fn read_exactly(stream: &mut TcpStream, rest: &mut Vec<u8>, n: usize) -> Option<Vec<u8>> {
    let mut buffer = [0; 16384];
    while rest.len() < n {
        match stream.read(&mut buffer) {
            Ok(got) if got > 0 => rest.extend_from_slice(&buffer[..got]),
            _ => return None,
        }
    }
    Some(rest.drain(..n).collect())
}

fn read_chunked(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = loop {
            if let Some(end) = rest.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&rest[..end]).into_owned();
                rest.drain(..end + 2);
                break line;
            }
            let mut buffer = [0; 16384];
            match stream.read(&mut buffer) {
                Ok(got) if got > 0 => rest.extend_from_slice(&buffer[..got]),
                _ => return None,
            }
        };
        let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
        let mut chunk = read_exactly(stream, rest, size + 2)?;
        chunk.truncate(size);
        if size == 0 {
            return Some(body);
        }
        body.append(&mut chunk);
    }
}

fn read_body(stream: &mut TcpStream, head: &str, rest: &mut Vec<u8>) -> Option<Vec<u8>> {
    if header(head, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        return read_chunked(stream, rest);
    }
    let length = header(head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    read_exactly(stream, rest, length)
}

pub fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Request> {
    let head = read_head(stream, rest)?;
    let mut first = head.lines().next()?.split(' ');
    let (method, path) = (first.next()?.to_string(), first.next()?.to_string());
    let body = read_body(stream, &head, rest)?;
    Some(Request { method, path, body })
}

/// What a stand-in does with a request.
pub enum Reply {
    Answer(u16, Json),
    /// Closes the connection without an answer.
    Close,
    /// Never answers; the connection stays open.
    Silent,
}

pub fn write_answer(stream: &mut TcpStream, status: u16, body: &Json) -> bool {
    let body = body.to_text();
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + &body).as_bytes()).is_ok()
}

/// Serves a listener with a thread for each connection, until the process ends.
pub fn serve(listener: TcpListener, handler: impl Fn(Request) -> Reply + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = handler.clone();
            let _ = thread::Builder::new().stack_size(256 * 1024).spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut rest = Vec::new();
                while let Some(request) = read_request(&mut stream, &mut rest) {
                    match handler(request) {
                        Reply::Answer(status, body) => {
                            if !write_answer(&mut stream, status, &body) {
                                return;
                            }
                        }
                        Reply::Close => return,
                        Reply::Silent => thread::sleep(Duration::from_secs(600)),
                    }
                }
            });
        }
    });
}

/// An answer of a server.
pub struct Answer {
    pub status: u16,
    pub body: Json,
    pub retry_after: f64,
}

/// Sends a request on a new connection; `None` if no answer comes within `limit`.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<Answer> {
    let deadline = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut rest = Vec::new();
    let head = read_head(&mut stream, &mut rest)?;
    let body = read_body(&mut stream, &head, &mut rest)?;
    if Instant::now() > deadline + Duration::from_millis(200) {
        return None;
    }
    let status = head.lines().next()?.split(' ').nth(1)?.parse().ok()?;
    let retry_after = header(&head, "retry-after").and_then(|v| v.parse().ok()).unwrap_or(0.0);
    Some(Answer { status, body: Json::parse(&body).unwrap_or(Json::Null), retry_after })
}

// The record.

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be created");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

// The state service.

#[derive(Clone)]
struct Item {
    data: Json,
    stamp: u64,
    charter: Option<u64>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct Store {
    epoch: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    log: VecDeque<(u64, String, Option<Json>)>,
    requests: VecDeque<Instant>,
    writes: VecDeque<Instant>,
}

impl Store {
    fn change(&mut self, key: &str, data: Option<(Json, Option<u64>)>) {
        let stamp = self.epoch;
        match data {
            Some((data, charter)) => {
                self.log.push_back((stamp, key.to_string(), Some(data.clone())));
                self.items.insert(key.to_string(), Item { data, stamp, charter });
            }
            None => {
                if self.items.remove(key).is_some() {
                    self.log.push_back((stamp, key.to_string(), None));
                }
            }
        }
        while self.log.len() > 10_000 {
            self.log.pop_front();
        }
    }
    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.charter == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.epoch += 1;
        }
        for key in keys {
            self.change(&key, None);
        }
        true
    }
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.ends <= now).map(|(id, _)| *id).collect();
        for lease in over {
            self.end_lease(lease);
        }
    }
    fn txn(&mut self, body: &Json, limits: &StateLimits) -> (u16, Json) {
        let mut failed = Vec::new();
        for condition in body.list("if") {
            let key = condition.str("k");
            let stamp = self.items.get(key).map_or(0, |item| item.stamp);
            if Some(stamp) != condition.u64("stamp") {
                failed.push(text(key));
            }
        }
        let apply = body.list("apply");
        let too_large = |change: &Json| {
            change.get("data").is_some_and(|d| d.to_text().len() as f64 > limits.value_kb * 1024.0)
        };
        if apply.len() > limits.txn_ops || apply.iter().any(too_large) {
            return (400, map(vec![("error", text("too large"))]));
        }
        for change in apply {
            if let Some(lease) = change.u64("charter") {
                if !self.leases.contains_key(&lease) {
                    return (400, map(vec![("error", text("no such lease"))]));
                }
            }
        }
        if !failed.is_empty() {
            return (409, map(vec![("failed", Json::List(failed)), ("epoch", int(self.epoch))]));
        }
        if !apply.is_empty() {
            self.epoch += 1;
        }
        for change in apply {
            match change.get("put") {
                Some(Json::Str(key)) => {
                    let data = change.get("data").cloned().unwrap_or(Json::Null);
                    self.change(key, Some((data, change.u64("charter"))));
                }
                _ => self.change(&change.str("drop").to_string(), None),
            }
        }
        (200, map(vec![("epoch", int(self.epoch))]))
    }
}

#[derive(Clone, Copy)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// How the state service treats the requests of one node.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum StateMode {
    Serve,
    /// 503 to everything.
    Refuse,
    /// Nothing arrives and nothing is answered: the node is cut off. Held requests are not carried
    /// out by this stand-in.
    Silent,
    /// Transactions that change something get no answer and are carried out after so many ms.
    LateWrites(u64),
    /// Transactions that change something are carried out, but their answers are lost.
    LostWriteAnswers,
    /// Everything is carried out at once and answered after so many ms.
    Slow(u64),
}

#[derive(Clone)]
pub struct State {
    store: Arc<Mutex<Store>>,
    modes: Arc<Mutex<HashMap<usize, StateMode>>>,
    limits: StateLimits,
    record: Record,
    /// Whether an outage has begun, so that its end gives every lease its full time.
    outage: Arc<AtomicBool>,
}

impl State {
    pub fn new(limits: StateLimits, record: &Record) -> State {
        let state = State {
            store: Arc::default(),
            modes: Arc::default(),
            limits,
            record: record.clone(),
            outage: Arc::default(),
        };
        state.store.lock().unwrap().epoch = 400;
        let (store, outage) = (state.store.clone(), state.outage.clone());
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(10));
            if !outage.load(Ordering::SeqCst) {
                store.lock().unwrap().expire();
            }
        });
        state
    }

    /// Sets how the requests of a node are treated.
    pub fn set(&self, node: usize, mode: StateMode) {
        self.record.line(&format!("state service: node {node} is treated as {mode:?}"));
        self.modes.lock().unwrap().insert(node, mode);
    }

    /// Begins or ends an outage for all nodes.
    pub fn outage(&self, on: bool) {
        self.record.line(if on {
            "state service: outage begins"
        } else {
            "state service: outage ends"
        });
        if !on {
            let mut store = self.store.lock().unwrap();
            for lease in store.leases.values_mut() {
                lease.ends = Instant::now() + lease.ttl;
            }
        }
        self.outage.store(on, Ordering::SeqCst);
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Json> {
        self.store.lock().unwrap().items.get(key).map(|item| item.data.clone())
    }

    /// The keys with a prefix and their values.
    pub fn values(&self, prefix: &str) -> Vec<(String, Json)> {
        let store = self.store.lock().unwrap();
        let items = store.items.iter().filter(|(key, _)| key.starts_with(prefix));
        items.map(|(key, item)| (key.clone(), item.data.clone())).collect()
    }

    /// The name of the node that holds the leader key.
    pub fn leader(&self) -> Option<String> {
        self.value("live/leader").map(|value| value.str("node").to_string())
    }

    /// Puts a value, as one change.
    pub fn put(&self, key: &str, data: Json) {
        let mut store = self.store.lock().unwrap();
        store.epoch += 1;
        store.change(key, Some((data, None)));
    }

    /// Serves one node on its own address, so that it can be treated by itself.
    pub fn listen(&self, node: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        let state = self.clone();
        serve(listener, move |request| state.answer(node, request));
        addr
    }

    fn answer(&self, node: usize, request: Request) -> Reply {
        let mode = self.modes.lock().unwrap().get(&node).copied().unwrap_or(StateMode::Serve);
        if mode == StateMode::Silent {
            return Reply::Silent;
        }
        if mode == StateMode::Refuse || self.outage.load(Ordering::SeqCst) {
            return Reply::Answer(503, map(vec![("error", text("trouble"))]));
        }
        let is_write = request.route() == "/txn"
            && Json::parse(&request.body).is_some_and(|b| !b.list("apply").is_empty());
        match mode {
            StateMode::LateWrites(ms) if is_write => {
                let state = self.clone();
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(ms));
                    state.execute(&request);
                });
                Reply::Silent
            }
            StateMode::LostWriteAnswers if is_write => {
                self.execute(&request);
                Reply::Silent
            }
            StateMode::Slow(ms) => {
                let reply = self.execute(&request);
                thread::sleep(Duration::from_millis(ms));
                reply
            }
            _ => self.execute(&request),
        }
    }

    fn execute(&self, request: &Request) -> Reply {
        let mut store = self.store.lock().unwrap();
        store.expire();
        let now = Instant::now();
        let second = Duration::from_secs(1);
        while store.requests.front().is_some_and(|at| now - *at > second) {
            store.requests.pop_front();
        }
        while store.writes.front().is_some_and(|at| now - *at > second) {
            store.writes.pop_front();
        }
        let over = map(vec![("error", text("over the limit"))]);
        if store.requests.len() as f64 >= 2.0 * self.limits.rps {
            return Reply::Answer(429, over);
        }
        store.requests.push_back(now);
        let route = request.route().to_string();
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let parts: Vec<&str> = route.trim_start_matches('/').split('/').collect();
        let (status, answer) = match (request.method.as_str(), parts.as_slice()) {
            ("POST", ["txn"]) => {
                let writes = body.list("apply").len();
                if (store.writes.len() + writes) as f64 > 2.0 * self.limits.write_rps {
                    return Reply::Answer(429, over);
                }
                for _ in 0..writes {
                    store.writes.push_back(now);
                }
                store.txn(&body, &self.limits)
            }
            ("POST", ["grants"]) => {
                store.last_lease += 1;
                let id = store.last_lease;
                let ttl = Duration::from_millis(body.u64("ttl_ms").unwrap_or(1000));
                store.leases.insert(id, Lease { ttl, ends: now + ttl });
                (200, map(vec![("charter", int(id))]))
            }
            ("POST", ["grants", id, "renew"]) => {
                match id.parse().ok().and_then(|id: u64| store.leases.get_mut(&id)) {
                    Some(lease) => {
                        lease.ends = now + lease.ttl;
                        (200, map(vec![]))
                    }
                    None => (404, map(vec![])),
                }
            }
            ("DELETE", ["grants", id]) => {
                let known = id.parse().is_ok_and(|id| store.end_lease(id));
                (if known { 200 } else { 404 }, map(vec![]))
            }
            ("GET", ["store"]) => {
                let prefix = request.param("prefix").unwrap_or("").to_string();
                let from = request.param("from").unwrap_or("").to_string();
                let most: usize =
                    request.param("most").and_then(|m| m.parse().ok()).unwrap_or(1000).min(1000);
                let mut rows = Vec::new();
                let mut bytes = 0;
                let mut truncated = false;
                for (key, item) in store.items.iter() {
                    if !key.starts_with(&prefix) || *key <= from {
                        continue;
                    }
                    let row = map(vec![
                        ("k", text(key)),
                        ("data", item.data.clone()),
                        ("stamp", int(item.stamp)),
                    ]);
                    let size = row.to_text().len();
                    if rows.len() >= most || bytes + size > 500 * 1024 {
                        truncated = true;
                        break;
                    }
                    bytes += size;
                    rows.push(row);
                }
                (
                    200,
                    map(vec![
                        ("rows", Json::List(rows)),
                        ("truncated", Json::Bool(truncated)),
                        ("epoch", int(store.epoch)),
                    ]),
                )
            }
            ("GET", ["store", ..]) => {
                let key = route.trim_start_matches("/store/");
                match store.items.get(key) {
                    Some(item) => (
                        200,
                        map(vec![
                            ("k", text(key)),
                            ("data", item.data.clone()),
                            ("stamp", int(item.stamp)),
                            ("charter", item.charter.map_or(Json::Null, int)),
                        ]),
                    ),
                    None => (404, map(vec![("epoch", int(store.epoch))])),
                }
            }
            ("GET", ["watch"]) => {
                let prefix = request.param("prefix").unwrap_or("");
                let from: u64 = request.param("from").and_then(|f| f.parse().ok()).unwrap_or(0);
                let oldest = store.log.front().map_or(0, |(stamp, ..)| *stamp);
                if store.log.len() >= 10_000 && from < oldest {
                    (410, map(vec![]))
                } else {
                    let events = store
                        .log
                        .iter()
                        .filter(|(stamp, key, _)| *stamp > from && key.starts_with(prefix))
                        .map(|(stamp, key, data)| match data {
                            Some(data) => map(vec![
                                ("put", text(key)),
                                ("data", data.clone()),
                                ("stamp", int(*stamp)),
                            ]),
                            None => map(vec![("drop", text(key)), ("stamp", int(*stamp))]),
                        })
                        .collect();
                    (200, map(vec![("epoch", int(store.epoch)), ("log", Json::List(events))]))
                }
            }
            _ => (400, map(vec![("error", text("malformed"))])),
        };
        Reply::Answer(status, answer)
    }
}

// Jobs, as their users describe them.

#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub class: String,
    pub team: String,
    pub shape: String,
    pub urgency: String,
    pub pieces: u64,
    pub cores: f64,
    pub memory_gb: f64,
    pub image: String,
    pub pull_gb: f64,
    pub builds: Option<Vec<String>>,
    pub yard: Option<String>,
    pub one_zone: bool,
    pub apart: bool,
    pub loaners: bool,
    pub run_s: f64,
    pub expected_s: f64,
    pub snapshot_s: f64,
    pub stow_s: f64,
    pub due_s: Option<f64>,
}

impl Job {
    pub fn new(number: u64, pieces: u64, cores: f64, run_s: f64) -> Job {
        Job {
            id: format!("req-{number:06}"),
            class: "blade-strain-sweep".into(),
            team: "field-crews".into(),
            shape: "batch".into(),
            urgency: "standard".into(),
            pieces,
            cores,
            memory_gb: 2.0,
            image: "img-01".into(),
            pull_gb: 0.5,
            builds: None,
            yard: None,
            one_zone: false,
            apart: false,
            loaners: true,
            run_s,
            expected_s: run_s,
            snapshot_s: 0.0,
            stow_s: 0.0,
            due_s: None,
        }
    }
    pub fn body(&self) -> String {
        let names = |list: &Vec<String>| Json::List(list.iter().map(|n| text(n)).collect());
        map(vec![
            ("name_id", text(&self.id)),
            ("lane", text(&self.class)),
            ("crew", text(&self.team)),
            ("shape", text(&self.shape)),
            ("urgency", text(&self.urgency)),
            ("pieces", int(self.pieces)),
            ("cores", num(self.cores)),
            ("cards", num(0.0)),
            ("memory_gb", num(self.memory_gb)),
            ("kit", text(&self.image)),
            ("pull_gb", num(self.pull_gb)),
            ("builds", self.builds.as_ref().map_or(Json::Null, names)),
            ("yard", self.yard.as_ref().map_or(Json::Null, |y| text(y))),
            ("one_zone", Json::Bool(self.one_zone)),
            ("apart", Json::Bool(self.apart)),
            ("loaners", Json::Bool(self.loaners)),
            ("expected_s", num(self.expected_s)),
            ("snapshot_s", num(self.snapshot_s)),
            ("stow_s", num(self.stow_s)),
            ("due_s", self.due_s.map_or(Json::Null, num)),
        ])
        .to_text()
    }
}

// The cloud and its machines.

#[derive(Clone)]
pub struct Build {
    pub name: String,
    pub cores: f64,
    pub memory_gb: f64,
    pub ready_s: f64,
    pub pull_gb_per_s: f64,
    pub yards: Vec<String>,
}

#[derive(Clone, Copy)]
pub struct WorkerTimes {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

/// s for which a task of a gang waits for the others, as on the deployment with gangs (kolkata).
const GANG_WAIT_S: f64 = 45.0;

/// What a machine's network and processor do.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Trouble {
    None,
    /// The machine stands still; its tasks do not advance.
    Hang,
    /// Nothing passes in either direction. Commands that arrive meanwhile are held.
    Cut,
    /// It hears nothing: answers and commands are lost; its reports arrive.
    Deaf,
    /// It reaches no controller; commands reach it.
    Mute,
    /// Without power.
    Dead,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Phase {
    Pulling,
    /// A task of a gang that waits for the others of its attempt.
    Waiting,
    Running,
    Flushing,
    Ended(&'static str, bool),
}

#[derive(Clone, Debug)]
struct Run {
    piece: String,
    attempt: u64,
    phase: Phase,
    /// s left until the phase ends.
    left: f64,
    advanced: Instant,
}

impl Run {
    fn on_machine(&self) -> bool {
        matches!(self.phase, Phase::Waiting | Phase::Running | Phase::Flushing)
    }
    fn live(&self) -> bool {
        !matches!(self.phase, Phase::Ended(..))
    }
}

struct Machine {
    build: Build,
    yard: String,
    loaners: bool,
    rented: Instant,
    up_at: Instant,
    addr: Option<SocketAddr>,
    gone: bool,
    trouble: Trouble,
    shift: u64,
    tally: u64,
    baton: u64,
    /// When the last answered report was sent, or the session began.
    leased_from: Instant,
    runs: Vec<Run>,
    /// Images, with the time from which the machine has them.
    images: HashMap<String, Instant>,
    /// Names of nodes, to report to.
    target: usize,
    changed: bool,
    /// When the cloud takes it away, if a notice was given.
    taken_at: Option<Instant>,
    /// Whether it fails every task that it starts.
    sick: bool,
    /// How many times longer its tasks run.
    slow: f64,
}

#[derive(Default)]
struct WorldState {
    machines: BTreeMap<String, Machine>,
    next_machine: u64,
    hires: HashMap<String, Vec<String>>,
    jobs: HashMap<String, Job>,
    results: BTreeSet<String>,
    cancelled_at: HashMap<String, Instant>,
    broken: Vec<String>,
    starts: u64,
    fail_calls: bool,
    capacity: usize,
    /// Share of the commands that are held up on their way, unanswered and carried out late.
    late_commands: f64,
    /// Share of the commands of which a copy is carried out again later.
    command_copies: f64,
    /// Share of the reports of which a copy arrives again later.
    report_copies: f64,
    /// Share of the commands that are carried out at once and answered seconds later.
    slow_answers: f64,
    /// Share of the cloud's calls that get no answer and are carried out late.
    late_cloud: f64,
    dice: u64,
}

impl WorldState {
    /// A number from 0 to 1.
    fn roll(&mut self) -> f64 {
        self.dice = self.dice.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        ((self.dice >> 33) % 100_000) as f64 / 100_000.0
    }
}

/// The cloud, its machines and their workers, with a referee that checks the rules.
#[derive(Clone)]
pub struct World {
    inner: Arc<Mutex<WorldState>>,
    pub record: Record,
    builds: Vec<Build>,
    times: WorkerTimes,
    nodes: Arc<Mutex<Vec<(String, SocketAddr)>>>,
    limits: Arc<Mutex<HashMap<String, f64>>>,
    list_lag: Duration,
}

impl World {
    pub fn new(builds: Vec<Build>, times: WorkerTimes, capacity: usize, record: &Record) -> World {
        let world = World {
            inner: Arc::default(),
            record: record.clone(),
            builds,
            times,
            nodes: Arc::default(),
            limits: Arc::default(),
            list_lag: Duration::from_secs(3),
        };
        world.inner.lock().unwrap().capacity = capacity;
        let ticker = world.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            ticker.advance();
        });
        world
    }

    pub fn set_nodes(&self, nodes: Vec<(String, SocketAddr)>) {
        *self.nodes.lock().unwrap() = nodes;
    }
    pub fn set_limit(&self, team: &str, cores: f64) {
        self.limits.lock().unwrap().insert(team.to_string(), cores);
    }
    pub fn add_job(&self, job: &Job) {
        self.inner.lock().unwrap().jobs.insert(job.id.clone(), job.clone());
    }
    pub fn cancelled(&self, id: &str) {
        let mut world = self.inner.lock().unwrap();
        world.cancelled_at.entry(id.to_string()).or_insert_with(Instant::now);
    }
    pub fn broken(&self) -> Vec<String> {
        self.inner.lock().unwrap().broken.clone()
    }
    pub fn starts(&self) -> u64 {
        self.inner.lock().unwrap().starts
    }
    pub fn fail_calls(&self, on: bool) {
        self.record.line(&format!("cloud: interface down: {on}"));
        self.inner.lock().unwrap().fail_calls = on;
    }
    /// Sets the trouble of the machines that are up and for which `choose` holds.
    pub fn trouble(&self, trouble: Trouble, choose: impl Fn(&str) -> bool) -> Vec<String> {
        let mut world = self.inner.lock().unwrap();
        let mut names = Vec::new();
        for (name, machine) in world.machines.iter_mut() {
            if machine.addr.is_some() && !machine.gone && choose(name) {
                if machine.trouble == Trouble::Hang {
                    let now = Instant::now();
                    machine.runs.iter_mut().for_each(|run| run.advanced = now);
                }
                machine.trouble = trouble;
                names.push(name.clone());
            }
        }
        self.record.line(&format!("machines {names:?}: {trouble:?}"));
        names
    }
    /// Gives notice that the cloud takes a machine away in so many s.
    pub fn take(&self, name: &str, notice_s: f64) {
        self.record.line(&format!("{name}: is taken in {notice_s} s"));
        if let Some(machine) = self.inner.lock().unwrap().machines.get_mut(name) {
            machine.taken_at = Some(Instant::now() + Duration::from_secs_f64(notice_s));
            machine.changed = true;
        }
    }
    /// Makes a machine fail all tasks that it starts, or ends that.
    pub fn sick(&self, name: &str, on: bool) {
        self.record.line(&format!("{name}: fails its tasks: {on}"));
        if let Some(machine) = self.inner.lock().unwrap().machines.get_mut(name) {
            machine.sick = on;
        }
    }
    /// Makes the tasks of a machine run so many times longer; 1 ends that.
    pub fn slow(&self, name: &str, factor: f64) {
        self.record.line(&format!("{name}: its tasks run {factor} times as long"));
        if let Some(machine) = self.inner.lock().unwrap().machines.get_mut(name) {
            machine.slow = factor;
        }
    }
    /// Share of the cloud's calls that get no answer and are carried out seconds later.
    pub fn late_cloud(&self, share: f64) {
        self.inner.lock().unwrap().late_cloud = share;
    }
    /// The machines on which tasks of a job are.
    pub fn machines_of(&self, id: &str) -> Vec<String> {
        let prefix = format!("{id}/");
        let world = self.inner.lock().unwrap();
        let has = |m: &Machine| {
            !m.gone && m.runs.iter().any(|r| r.on_machine() && r.piece.starts_with(&prefix))
        };
        world.machines.iter().filter(|(_, m)| has(m)).map(|(n, _)| n.clone()).collect()
    }
    /// Number of tasks of a job that are on machines.
    pub fn running(&self, id: &str) -> usize {
        let prefix = format!("{id}/");
        let world = self.inner.lock().unwrap();
        let runs = world.machines.values().filter(|m| !m.gone).flat_map(|m| m.runs.iter());
        runs.filter(|r| r.on_machine() && r.piece.starts_with(&prefix)).count()
    }
    pub fn results_of(&self, id: &str) -> usize {
        let prefix = format!("{id}/");
        self.inner.lock().unwrap().results.iter().filter(|p| p.starts_with(&prefix)).count()
    }
    pub fn machines_up(&self) -> Vec<String> {
        let world = self.inner.lock().unwrap();
        let up = world.machines.iter().filter(|(_, m)| m.addr.is_some() && !m.gone);
        up.map(|(name, _)| name.clone()).collect()
    }

    fn breaks(world: &mut WorldState, record: &Record, text: String) {
        record.line(&format!("BROKEN {text}"));
        world.broken.push(text);
    }

    /// Advances machines and tasks, and checks the rules.
    fn advance(&self) {
        let now = Instant::now();
        let mut boots = Vec::new();
        let mut guard = self.inner.lock().unwrap();
        let world = &mut *guard;
        let names: Vec<String> = world.machines.keys().cloned().collect();
        for name in &names {
            let machine = world.machines.get_mut(name).unwrap();
            if machine.gone || machine.trouble == Trouble::Dead {
                continue;
            }
            if machine.taken_at.is_some_and(|at| now >= at) {
                self.record.line(&format!("{name}: taken by the cloud"));
                machine.gone = true;
                machine.runs.clear();
                continue;
            }
            if machine.addr.is_none() {
                if now >= machine.up_at {
                    boots.push(name.clone());
                }
                continue;
            }
            // A machine that hangs may resume within its lease only, so its tasks are over with it.
            if now - machine.leased_from > Duration::from_secs_f64(self.times.lease_s) {
                self.record.line(&format!(
                    "{name}: lease of session {} ends, {} tasks killed",
                    machine.shift,
                    machine.runs.iter().filter(|r| r.live()).count()
                ));
                machine.runs.clear();
                machine.shift += 1;
                machine.tally = 0;
                machine.leased_from = now;
                machine.changed = true;
            }
            if machine.trouble == Trouble::Hang {
                continue;
            }
            let mut started = Vec::new();
            for index in 0..machine.runs.len() {
                let run = &mut machine.runs[index];
                if !run.live() {
                    continue;
                }
                let slow = if run.phase == Phase::Running { machine.slow } else { 1.0 };
                run.left -= (now - run.advanced).as_secs_f64() / slow;
                run.advanced = now;
                if run.left > 0.0 {
                    continue;
                }
                machine.changed = true;
                match run.phase {
                    Phase::Waiting => run.phase = Phase::Ended("alone", false),
                    Phase::Pulling => {
                        let job = run.piece.split('/').next().unwrap_or("");
                        let gang = world.jobs.get(job).is_some_and(|job| job.shape == "gang");
                        if gang && !world.results.contains(&run.piece) {
                            run.phase = Phase::Waiting;
                            run.left = GANG_WAIT_S;
                            started.push((run.piece.clone(), run.attempt));
                            continue;
                        }
                        run.phase = Phase::Running;
                        let run_s = world.jobs.get(job).map_or(1.0, |job| job.run_s);
                        run.left = if world.results.contains(&run.piece) { 0.0 } else { run_s };
                        if machine.sick {
                            run.left = run.left.min(0.3);
                        }
                        started.push((run.piece.clone(), run.attempt));
                    }
                    Phase::Running if machine.sick => run.phase = Phase::Ended("error", false),
                    Phase::Running => {
                        run.phase = Phase::Ended("done", false);
                        world.results.insert(run.piece.clone());
                        self.record
                            .line(&format!("{name}: {} try {} done", run.piece, run.attempt));
                    }
                    Phase::Flushing => run.phase = Phase::Ended("halted", true),
                    Phase::Ended(..) => {}
                }
            }
            for (piece, attempt) in started {
                self.check_start(world, name, &piece, attempt);
            }
        }
        self.advance_gangs(world);
        self.check_cancelled(world);
        drop(guard);
        for name in boots {
            self.boot(&name);
        }
    }

    /// Starts the gangs of which every task waits, and ends those that lost a task while they ran.
    /// A gang that is stopped saves nothing here.
    fn advance_gangs(&self, world: &mut WorldState) {
        let now = Instant::now();
        let mut attempts: HashMap<(String, u64), (usize, usize)> = HashMap::new();
        for machine in world.machines.values().filter(|m| !m.gone && m.trouble == Trouble::None) {
            for run in &machine.runs {
                let job = run.piece.split('/').next().unwrap_or("").to_string();
                if world.jobs.get(&job).is_some_and(|job| job.shape == "gang") {
                    let counts = attempts.entry((job, run.attempt)).or_default();
                    counts.0 += usize::from(run.phase == Phase::Waiting);
                    counts.1 += usize::from(run.phase == Phase::Running);
                }
            }
        }
        for ((id, attempt), (waiting, running)) in attempts {
            let (pieces, run_s) = (world.jobs[&id].pieces as usize, world.jobs[&id].run_s);
            let prefix = format!("{id}/");
            let starts = waiting == pieces;
            let broken = running > 0 && running < pieces;
            if !starts && !broken {
                continue;
            }
            for machine in world.machines.values_mut().filter(|m| !m.gone) {
                for run in machine.runs.iter_mut() {
                    if run.attempt != attempt || !run.piece.starts_with(&prefix) {
                        continue;
                    }
                    if starts {
                        (run.phase, run.left, run.advanced) = (Phase::Running, run_s, now);
                        machine.changed = true;
                    } else if run.phase == Phase::Running && run.left > 0.5 {
                        run.phase = Phase::Ended("peers", false);
                        machine.changed = true;
                    }
                }
            }
        }
    }

    /// The machines that are up, with the cores and the memory that no task takes. Machines on
    /// which a task fetches its image count that task.
    pub fn free(&self) -> Vec<(String, f64, f64)> {
        let world = self.inner.lock().unwrap();
        let up = world.machines.iter().filter(|(_, m)| {
            m.addr.is_some() && !m.gone && m.trouble == Trouble::None && m.taken_at.is_none()
        });
        up.map(|(name, machine)| {
            let mut free = (machine.build.cores, machine.build.memory_gb);
            for run in machine.runs.iter().filter(|run| run.live()) {
                if let Some(job) = world.jobs.get(run.piece.split('/').next().unwrap_or("")) {
                    free = (free.0 - job.cores, free.1 - job.memory_gb);
                }
            }
            (name.clone(), free.0, free.1)
        })
        .collect()
    }
    /// The cores that the tasks of a team take, those that fetch their images included.
    pub fn used_by(&self, team: &str) -> f64 {
        let world = self.inner.lock().unwrap();
        let runs = world.machines.values().filter(|m| !m.gone).flat_map(|m| m.runs.iter());
        let jobs = runs
            .filter(|run| run.live())
            .filter_map(|run| world.jobs.get(run.piece.split('/').next().unwrap_or("")));
        jobs.filter(|job| job.team == team).map(|job| job.cores).sum()
    }
    /// Whether any task of a job was ever launched on a machine.
    pub fn launched(&self, id: &str) -> bool {
        let prefix = format!("{id}/");
        let world = self.inner.lock().unwrap();
        world.machines.values().any(|m| m.runs.iter().any(|r| r.piece.starts_with(&prefix)))
            || world.results.iter().any(|piece| piece.starts_with(&prefix))
    }

    fn check_start(&self, world: &mut WorldState, name: &str, piece: &str, attempt: u64) {
        world.starts += 1;
        self.record.line(&format!("{name}: {piece} try {attempt} starts"));
        let id = piece.split('/').next().unwrap_or("").to_string();
        let Some(job) = world.jobs.get(&id).cloned() else {
            Self::breaks(world, &self.record, format!("{piece}: nobody submitted its job"));
            return;
        };
        let mut elsewhere = Vec::new();
        let mut cores = 0.0;
        let mut zones: Vec<String> = Vec::new();
        for (other, machine) in
            world.machines.iter().filter(|(_, m)| !m.gone && m.trouble != Trouble::Dead)
        {
            for run in machine.runs.iter().filter(|run| run.on_machine()) {
                if run.piece == piece && other != name {
                    elsewhere.push(other.clone());
                }
                let other_id = run.piece.split('/').next().unwrap_or("");
                if let Some(other_job) = world.jobs.get(other_id) {
                    if other_job.team == job.team {
                        cores += other_job.cores;
                    }
                }
                if other_id == id && run.piece != piece {
                    zones.push(machine.yard.clone());
                }
            }
        }
        let machine = &world.machines[name];
        let (build, yard, loaners) =
            (machine.build.name.clone(), machine.yard.clone(), machine.loaners);
        if !elsewhere.is_empty() {
            let text = format!("ran_twice: {piece} starts on {name} while it is on {elsewhere:?}");
            Self::breaks(world, &self.record, text);
        }
        if let Some(limit) = self.limits.lock().unwrap().get(&job.team).copied() {
            if cores > limit + 1e-6 {
                let text = format!("quota: {} uses {cores} of {limit} cores", job.team);
                Self::breaks(world, &self.record, text);
            }
        }
        let here = zones.iter().filter(|zone| **zone == yard).count() as u64;
        let wrong = (loaners && !job.loaners)
            || job.yard.as_ref().is_some_and(|only| *only != yard)
            || job.builds.as_ref().is_some_and(|builds| !builds.contains(&build))
            || (job.one_zone && zones.iter().any(|zone| *zone != yard))
            || (job.apart && here >= job.pieces.div_ceil(2));
        if wrong {
            let text = format!("wrong_place: {piece} starts on {name} ({build}, {yard})");
            Self::breaks(world, &self.record, text);
        }
    }

    fn check_cancelled(&self, world: &mut WorldState) {
        let limit = Duration::from_secs_f64(self.times.cancel_s);
        let mut late = Vec::new();
        for (name, machine) in
            world.machines.iter().filter(|(_, m)| !m.gone && m.trouble != Trouble::Dead)
        {
            for run in machine.runs.iter().filter(|run| run.on_machine()) {
                let id = run.piece.split('/').next().unwrap_or("");
                let Some(at) = world.cancelled_at.get(id) else { continue };
                if at.elapsed() > limit {
                    late.push(format!("ran_cancelled: {} is on {name}", run.piece));
                }
            }
        }
        for text in late {
            if !world.broken.contains(&text) {
                Self::breaks(world, &self.record, text);
            }
        }
    }

    /// Starts the worker of a machine.
    fn boot(&self, name: &str) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        {
            let mut world = self.inner.lock().unwrap();
            let Some(machine) = world.machines.get_mut(name) else { return };
            machine.addr = Some(addr);
            machine.leased_from = Instant::now();
        }
        self.record.line(&format!("{name}: up"));
        let (world, machine) = (self.clone(), name.to_string());
        serve(listener, move |request| world.worker_request(&machine, &request));
        let (world, machine) = (self.clone(), name.to_string());
        let _ = thread::Builder::new()
            .stack_size(256 * 1024)
            .spawn(move || world.report_loop(&machine));
    }

    fn report_of(name: &str, machine: &mut Machine) -> Json {
        machine.tally += 1;
        let pieces = machine
            .runs
            .iter()
            .map(|run| {
                let mut fields = vec![("piece", text(&run.piece)), ("try", int(run.attempt))];
                match run.phase {
                    Phase::Pulling => fields.push(("status", text("pulling"))),
                    Phase::Waiting => fields.push(("status", text("waiting"))),
                    Phase::Running => fields.push(("status", text("running"))),
                    Phase::Flushing => fields.push(("status", text("flushing"))),
                    Phase::Ended(cause, stored) => {
                        fields.push(("status", text("ended")));
                        fields.push(("cause", text(cause)));
                        if stored {
                            fields.push(("stored", Json::Bool(true)));
                        }
                    }
                }
                map(fields)
            })
            .collect();
        map(vec![
            ("host", text(name)),
            ("addr", text(&machine.addr.map(|a| a.to_string()).unwrap_or_default())),
            ("build", text(&machine.build.name)),
            ("yard", text(&machine.yard)),
            ("loaners", Json::Bool(machine.loaners)),
            ("shift", int(machine.shift)),
            ("tally", int(machine.tally)),
            ("baton", int(machine.baton)),
            (
                "recall_s",
                machine.taken_at.map_or(Json::Null, |at| {
                    num(at.saturating_duration_since(Instant::now()).as_secs_f64())
                }),
            ),
            ("pieces", Json::List(pieces)),
        ])
    }

    /// Executes commands in their order.
    fn execute(&self, world: &mut WorldState, name: &str, orders: &[Json]) {
        let now = Instant::now();
        for order in orders {
            let (verb, piece) = (order.str("verb"), order.str("piece").to_string());
            let attempt = order.u64("try").unwrap_or(0);
            self.record.line(&format!("{name}: {verb} {piece} try {attempt}"));
            let job = world.jobs.get(piece.split('/').next().unwrap_or("")).cloned();
            let Some(machine) = world.machines.get_mut(name) else { return };
            let known = machine.runs.iter().position(|r| r.piece == piece && r.attempt == attempt);
            match verb {
                "launch" if known.is_none() => {
                    let mut free = (machine.build.cores, machine.build.memory_gb);
                    let mut busy = false;
                    for run in machine.runs.iter().filter(|run| run.live()) {
                        busy |= run.piece == piece;
                        let id = run.piece.split('/').next().unwrap_or("");
                        if let Some(job) = world.jobs.get(id) {
                            free = (free.0 - job.cores, free.1 - job.memory_gb);
                        }
                    }
                    let phase = match &job {
                        None => Phase::Ended("unknown", false),
                        Some(_) if busy => Phase::Ended("busy", false),
                        Some(job) if job.cores > free.0 + 1e-6 || job.memory_gb > free.1 + 1e-6 => {
                            Phase::Ended("no_room", false)
                        }
                        Some(_) => Phase::Pulling,
                    };
                    let left = job.map_or(0.0, |job| {
                        let fetch =
                            Duration::from_secs_f64(job.pull_gb / machine.build.pull_gb_per_s);
                        let at = *machine.images.entry(job.image.clone()).or_insert(now + fetch);
                        at.saturating_duration_since(now).as_secs_f64()
                    });
                    machine.runs.push(Run { piece, attempt, phase, left, advanced: now });
                    machine.changed = true;
                }
                "stop" => {
                    let Some(run) = known.map(|i| &mut machine.runs[i]) else { continue };
                    let grace = order.f64("wind_down_s").unwrap_or(0.0);
                    let saves = job
                        .filter(|job| job.snapshot_s > 0.0 && grace >= job.stow_s)
                        .map(|job| job.stow_s);
                    match (run.phase, saves) {
                        (Phase::Running, Some(stow_s)) => {
                            run.phase = Phase::Flushing;
                            (run.left, run.advanced) = (stow_s, now);
                        }
                        (Phase::Ended(..), _) => {}
                        (Phase::Flushing, _) if grace > 0.0 => {}
                        _ => run.phase = Phase::Ended("halted", false),
                    }
                    machine.changed = true;
                }
                "forget" => {
                    if let Some(index) = known {
                        if !machine.runs[index].live() {
                            machine.runs.remove(index);
                            machine.changed = true;
                        }
                    }
                }
                _ => {}
            }
        }
    }

    /// Sets the shares of late commands, copied commands and copied reports.
    pub fn shares(&self, late_commands: f64, command_copies: f64, report_copies: f64) {
        let mut world = self.inner.lock().unwrap();
        world.late_commands = late_commands;
        world.command_copies = command_copies;
        world.report_copies = report_copies;
    }

    /// Sets the share of commands that are answered late.
    pub fn slow_answers(&self, share: f64) {
        self.inner.lock().unwrap().slow_answers = share;
    }

    fn worker_request(&self, name: &str, request: &Request) -> Reply {
        let slow = {
            let mut world = self.inner.lock().unwrap();
            (world.roll() < world.slow_answers).then(|| 0.5 + 4.0 * world.roll())
        };
        let reply = self.worker_answer(name, request);
        if let Some(slow_s) = slow {
            thread::sleep(Duration::from_secs_f64(slow_s));
        }
        reply
    }

    fn worker_answer(&self, name: &str, request: &Request) -> Reply {
        let (late, copy) = {
            let mut world = self.inner.lock().unwrap();
            let late = (world.roll() < world.late_commands).then(|| 2.0 + 14.0 * world.roll());
            let copy = (world.roll() < world.command_copies).then(|| 40.0 * world.roll());
            (late, copy)
        };
        if request.route() == "/do" {
            for after_s in late.into_iter().chain(copy) {
                let (world, name) = (self.clone(), name.to_string());
                let request = Request {
                    method: request.method.clone(),
                    path: request.path.clone(),
                    body: request.body.clone(),
                };
                thread::spawn(move || {
                    thread::sleep(Duration::from_secs_f64(after_s));
                    world.carry_out(&name, &request);
                });
            }
            if late.is_some() {
                return Reply::Silent;
            }
        }
        self.carry_out(name, request)
    }

    fn carry_out(&self, name: &str, request: &Request) -> Reply {
        // A command that arrives while the machine is cut off or hangs is held; so it comes late.
        let arrived = Instant::now();
        loop {
            let (trouble, gone) = {
                let world = self.inner.lock().unwrap();
                world.machines.get(name).map_or((Trouble::None, true), |m| (m.trouble, m.gone))
            };
            if gone || matches!(trouble, Trouble::Dead | Trouble::Deaf) {
                return Reply::Silent;
            }
            if !matches!(trouble, Trouble::Cut | Trouble::Hang) {
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
        let held = arrived.elapsed();
        let mut guard = self.inner.lock().unwrap();
        let world = &mut *guard;
        let Some(machine) = world.machines.get_mut(name) else { return Reply::Silent };
        match (request.method.as_str(), request.route()) {
            ("GET", "/status") => Reply::Answer(200, Self::report_of(name, machine)),
            ("POST", "/do") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let (Some(baton), Some(shift)) = (body.u64("baton"), body.u64("shift")) else {
                    return Reply::Answer(400, map(vec![]));
                };
                if now_expired(machine, self.times.lease_s)
                    || baton < machine.baton
                    || shift != machine.shift
                {
                    self.record.line(&format!(
                        "{name}: refuses {} commands (baton {baton}, shift {shift})",
                        body.list("orders").len()
                    ));
                    return Reply::Answer(409, Self::report_of(name, machine));
                }
                if held > Duration::from_millis(100) {
                    self.record.line(&format!("{name}: executes commands held for {held:?}"));
                }
                if baton > machine.baton {
                    machine.baton = baton;
                    machine.changed = true;
                }
                self.execute(world, name, body.list("orders"));
                let machine = world.machines.get_mut(name).unwrap();
                Reply::Answer(200, Self::report_of(name, machine))
            }
            _ => Reply::Answer(404, map(vec![])),
        }
    }

    fn report_loop(&self, name: &str) {
        let mut jitter = name.bytes().map(u64::from).sum::<u64>();
        let mut stream: Option<(usize, TcpStream)> = None;
        self.report_once(name, &mut stream);
        loop {
            // Wait until a report is due.
            jitter = jitter.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let share = 0.75 + 0.5 * ((jitter >> 33) % 1000) as f64 / 1000.0;
            let due = Instant::now() + Duration::from_secs_f64(self.times.report_s * share);
            let soonest = Instant::now() + Duration::from_millis(500);
            loop {
                {
                    let world = self.inner.lock().unwrap();
                    let Some(machine) = world.machines.get(name) else { return };
                    if machine.gone || machine.trouble == Trouble::Dead {
                        return;
                    }
                    let now = Instant::now();
                    if now >= due || (machine.changed && now >= soonest) {
                        break;
                    }
                }
                thread::sleep(Duration::from_millis(20));
            }
            self.report_once(name, &mut stream);
        }
    }

    /// Sends a report, to further nodes if the first refuses.
    fn report_once(&self, name: &str, stream: &mut Option<(usize, TcpStream)>) {
        for _ in 0..8 {
            let nodes = self.nodes.lock().unwrap().clone();
            let (body, target, trouble, shift) = {
                let mut world = self.inner.lock().unwrap();
                let Some(machine) = world.machines.get_mut(name) else { return };
                if machine.gone {
                    return;
                }
                machine.changed = false;
                let target = machine.target % nodes.len();
                let trouble = machine.trouble;
                if trouble == Trouble::Hang {
                    drop(world);
                    thread::sleep(Duration::from_millis(50));
                    continue;
                }
                (Self::report_of(name, machine).to_text(), target, trouble, machine.shift)
            };
            if matches!(trouble, Trouble::Cut | Trouble::Mute) {
                *stream = None;
                thread::sleep(Duration::from_millis(1000));
                continue;
            }
            let sent = Instant::now();
            let copy = {
                let mut world = self.inner.lock().unwrap();
                (world.roll() < world.report_copies).then(|| 60.0 * world.roll() * world.roll())
            };
            if let Some(after_s) = copy {
                let (body, nodes) = (body.clone(), nodes.clone());
                thread::spawn(move || {
                    thread::sleep(Duration::from_secs_f64(after_s));
                    for (_, to) in nodes {
                        call(to, "POST", "/v1/report", &body, Duration::from_secs(1));
                    }
                });
            }
            let answer = exchange(stream, target, nodes[target].1, &body, trouble == Trouble::Deaf);
            let mut world = self.inner.lock().unwrap();
            let Some(machine) = world.machines.get_mut(name) else { return };
            let lost = matches!(machine.trouble, Trouble::Cut | Trouble::Deaf | Trouble::Dead);
            match answer.filter(|_| !lost && sent.elapsed() < Duration::from_secs(4)) {
                Some((200, answer)) => {
                    let baton = answer.u64("baton").unwrap_or(0);
                    if machine.shift == shift && baton >= machine.baton && baton > 0 {
                        if baton > machine.baton {
                            machine.baton = baton;
                            machine.changed = true;
                        }
                        machine.leased_from = machine.leased_from.max(sent);
                        self.execute(&mut world, name, answer.list("orders"));
                    }
                    return;
                }
                Some((421, answer)) => {
                    *stream = None;
                    let foreman = answer.str("foreman");
                    let named = nodes.iter().position(|(node, _)| node == foreman);
                    if let Some(index) = named.filter(|index| *index != target) {
                        machine.target = index;
                        continue;
                    }
                    machine.target = target + 1;
                }
                _ => {
                    *stream = None;
                    machine.target = target + 1;
                }
            }
            drop(world);
            thread::sleep(Duration::from_millis(1000));
        }
    }

    /// Serves the cloud's interface.
    pub fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        let world = self.clone();
        serve(listener, move |request| world.cloud_request(&request));
        addr
    }

    fn cloud_request(&self, request: &Request) -> Reply {
        let late = {
            let mut world = self.inner.lock().unwrap();
            (world.roll() < world.late_cloud).then(|| 0.5 + 15.0 * world.roll())
        };
        if let Some(late_s) = late {
            let world = self.clone();
            let request = Request {
                method: request.method.clone(),
                path: request.path.clone(),
                body: request.body.clone(),
            };
            thread::spawn(move || {
                thread::sleep(Duration::from_secs_f64(late_s));
                world.cloud_answer(&request);
            });
            return Reply::Silent;
        }
        self.cloud_answer(request)
    }

    fn cloud_answer(&self, request: &Request) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut world = self.inner.lock().unwrap();
        if world.fail_calls {
            return Reply::Answer(503, map(vec![("error", text("trouble"))]));
        }
        match (request.method.as_str(), request.route()) {
            ("GET", "/machine_types") => {
                let builds = self
                    .builds
                    .iter()
                    .map(|b| {
                        map(vec![
                            ("sku", text(&b.name)),
                            ("cores", num(b.cores)),
                            ("cards", num(0.0)),
                            ("memory_gb", num(b.memory_gb)),
                            ("local_gb", num(60.0)),
                            ("pull_gb_per_s", num(b.pull_gb_per_s)),
                            ("price", num(1.0)),
                            ("spot_price", num(0.4)),
                            ("ready_s", num(b.ready_s)),
                            ("yards", Json::List(b.yards.iter().map(|y| text(y)).collect())),
                        ])
                    })
                    .collect();
                Reply::Answer(200, map(vec![("builds", Json::List(builds))]))
            }
            ("POST", "/rentals") => {
                let hire = body.str("hire").to_string();
                if let Some(names) = world.hires.get(&hire) {
                    let names = names.iter().map(|n| text(n)).collect();
                    return Reply::Answer(200, map(vec![("hosts", Json::List(names))]));
                }
                let Some(build) = self.builds.iter().find(|b| b.name == body.str("build")) else {
                    return Reply::Answer(400, map(vec![]));
                };
                let used = world.machines.values().filter(|m| !m.gone).count();
                let number = body.u64("number").unwrap_or(0).min(50) as usize;
                let number = number.min(world.capacity.saturating_sub(used));
                if number == 0 {
                    return Reply::Answer(503, map(vec![("error", text("no capacity"))]));
                }
                let mut names = Vec::new();
                let now = Instant::now();
                for _ in 0..number {
                    world.next_machine += 1;
                    let name = format!("n-{:06}", world.next_machine);
                    let target = world.next_machine as usize;
                    world.machines.insert(
                        name.clone(),
                        Machine {
                            build: build.clone(),
                            yard: body.str("yard").to_string(),
                            loaners: body.bool("loaners"),
                            rented: now,
                            up_at: now + Duration::from_secs_f64(build.ready_s),
                            addr: None,
                            gone: false,
                            trouble: Trouble::None,
                            shift: 1,
                            tally: 0,
                            baton: 0,
                            leased_from: now,
                            runs: Vec::new(),
                            images: HashMap::new(),
                            target,
                            changed: true,
                            taken_at: None,
                            sick: false,
                            slow: 1.0,
                        },
                    );
                    names.push(name);
                }
                self.record.line(&format!("cloud: {hire} rents {names:?} in {}", body.str("yard")));
                world.hires.insert(hire, names.clone());
                let names = names.iter().map(|n| text(n)).collect();
                Reply::Answer(200, map(vec![("hosts", Json::List(names))]))
            }
            ("POST", "/rentals/delete") => {
                for host in body.list("hosts") {
                    let Json::Str(name) = host else { continue };
                    if let Some(machine) = world.machines.get_mut(name) {
                        if !machine.gone {
                            machine.gone = true;
                            machine.runs.clear();
                            self.record.line(&format!("cloud: {name} is deleted"));
                        }
                    }
                }
                Reply::Answer(200, map(vec![]))
            }
            ("GET", "/rentals") => {
                let from = request.param("from").unwrap_or("").to_string();
                let now = Instant::now();
                let hosts = world
                    .machines
                    .iter()
                    .filter(|(name, m)| **name > from && !m.gone && now - m.rented > self.list_lag)
                    .take(500)
                    .map(|(name, m)| {
                        map(vec![
                            ("name_id", text(name)),
                            ("addr", text(&m.addr.map(|a| a.to_string()).unwrap_or_default())),
                            ("build", text(&m.build.name)),
                            ("yard", text(&m.yard)),
                            ("loaners", Json::Bool(m.loaners)),
                            ("status", text(if m.addr.is_some() { "running" } else { "starting" })),
                            ("held_s", num((now - m.rented).as_secs_f64())),
                        ])
                    })
                    .collect();
                Reply::Answer(
                    200,
                    map(vec![("hosts", Json::List(hosts)), ("truncated", Json::Bool(false))]),
                )
            }
            _ => Reply::Answer(400, map(vec![])),
        }
    }
}

/// Whether the lease of a machine that has just resumed is over.
fn now_expired(machine: &Machine, lease_s: f64) -> bool {
    machine.leased_from.elapsed() > Duration::from_secs_f64(lease_s)
}

/// Sends a report on the worker's connection, and waits up to 4 s for the answer. `deaf` drops it.
fn exchange(
    stream: &mut Option<(usize, TcpStream)>,
    target: usize,
    to: SocketAddr,
    body: &str,
    deaf: bool,
) -> Option<(u16, Json)> {
    if stream.as_ref().is_some_and(|(index, _)| *index != target) {
        *stream = None;
    }
    if stream.is_none() {
        let new = TcpStream::connect_timeout(&to, Duration::from_secs(4)).ok()?;
        let _ = new.set_nodelay(true);
        let _ = new.set_read_timeout(Some(Duration::from_secs(4)));
        *stream = Some((target, new));
    }
    let (_, connection) = stream.as_mut()?;
    let head = format!(
        "POST /v1/report HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    connection.write_all((head + body).as_bytes()).ok()?;
    if deaf {
        thread::sleep(Duration::from_secs(4));
        return None;
    }
    let mut rest = Vec::new();
    let head = read_head(connection, &mut rest)?;
    let body = read_body(connection, &head, &mut rest)?;
    let status: u16 = head.lines().next()?.split(' ').nth(1)?.parse().ok()?;
    if header(&head, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
        *stream = None;
    }
    Some((status, Json::parse(&body).unwrap_or(Json::Null)))
}

// The nodes.

/// The folder of a case for its settings and logs; nodes that were started are listed there.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Runs a case and exits with its code, or with 2 if it panics. The arguments are a temporary
/// folder, the repository's root and the record's path. `TROUBLE=0` leaves the disruption out.
pub fn run_case(case: impl FnOnce(&Path, &Path, &Record, bool) -> i32) {
    let argument = |n| PathBuf::from(std::env::args().nth(n).expect("three arguments"));
    let (folder, root) = (argument(1), argument(2));
    *FOLDER.lock().unwrap() = Some(folder.clone());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(&argument(3));
    let run = std::panic::AssertUnwindSafe(|| case(&root, &folder, &record, trouble));
    let code = std::panic::catch_unwind(run).unwrap_or(2);
    record.line(&format!("exit code {code}"));
    std::process::exit(code);
}

/// Lists a process, so that the script can end it if the case does not.
fn note_process(pid: u32) {
    if let Some(folder) = FOLDER.lock().unwrap().as_ref() {
        let list = File::options().create(true).append(true).open(folder.join("pids"));
        if let Ok(mut list) = list {
            let _ = writeln!(list, "{pid}");
        }
    }
}

pub struct Team {
    pub name: &'static str,
    pub cpus: f64,
    pub cpus_max: f64,
}

pub struct Deployment {
    pub count: usize,
    pub zones: Vec<&'static str>,
    pub teams: Vec<Team>,
    pub times: WorkerTimes,
    pub limits: StateLimits,
    pub cloud_rps: f64,
    pub mem_mb: f64,
    pub max_sockets: usize,
    /// Classes whose tasks are to start within so many s, with the share of the tasks.
    pub start_within: Vec<(&'static str, f64, f64)>,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub clock_off_ms: f64,
    pub cpu: f64,
}

pub struct Nodes {
    pub names: Vec<String>,
    pub http: Vec<SocketAddr>,
    pub peer: Vec<SocketAddr>,
    configs: Vec<PathBuf>,
    children: Vec<Option<Child>>,
    root: PathBuf,
    folder: PathBuf,
    record: Record,
}

impl Nodes {
    /// Writes the settings of the nodes; none is started. `state` has the address of the state
    /// service for each node.
    pub fn new(
        root: &Path,
        folder: &Path,
        deployment: &Deployment,
        state: &[SocketAddr],
        cloud: SocketAddr,
        record: &Record,
    ) -> Nodes {
        let count = deployment.count;
        let names: Vec<String> = (0..count).map(|n| format!("berth-{n}")).collect();
        // All listeners are held until the last port is chosen, so that the ports differ.
        let held: Vec<TcpListener> = (0..2 * count)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
            .collect();
        let addrs: Vec<SocketAddr> = held.iter().map(|l| l.local_addr().unwrap()).collect();
        drop(held);
        let (http, peer) = (addrs[..count].to_vec(), addrs[count..].to_vec());
        let zone = |n: usize| deployment.zones[n % deployment.zones.len()];
        let mut configs = Vec::new();
        for n in 0..count {
            let others = (0..count)
                .filter(|other| *other != n)
                .map(|other| {
                    map(vec![
                        ("node_name", text(&names[other])),
                        ("domain", text(zone(other))),
                        ("endpoint", text(&peer[other].to_string())),
                    ])
                })
                .collect();
            let teams = deployment
                .teams
                .iter()
                .map(|team| {
                    map(vec![
                        ("name", text(team.name)),
                        ("cpus", num(team.cpus)),
                        ("cpus_max", num(team.cpus_max)),
                        ("gpus", num(0.0)),
                        ("gpus_max", num(0.0)),
                    ])
                })
                .collect();
            let objectives = deployment
                .start_within
                .iter()
                .map(|(class, within_s, share)| {
                    map(vec![
                        ("kind", text("wait")),
                        ("class", text(class)),
                        ("within_s", num(*within_s)),
                        ("share", num(*share)),
                    ])
                })
                .collect();
            let config = map(vec![
                ("node_name", text(&names[n])),
                ("domain", text(zone(n))),
                ("bind", text(&http[n].to_string())),
                ("peer_bind", text(&peer[n].to_string())),
                ("others", Json::List(others)),
                (
                    "external",
                    map(vec![
                        ("cloud", text(&cloud.to_string())),
                        ("state", text(&state[n].to_string())),
                    ]),
                ),
                (
                    "params",
                    map(vec![
                        ("count", int(count as u64)),
                        ("zones", Json::List(deployment.zones.iter().map(|z| text(z)).collect())),
                        ("teams", Json::List(teams)),
                        ("objectives", Json::List(objectives)),
                        (
                            "workers",
                            map(vec![
                                ("report_s", num(deployment.times.report_s)),
                                ("lease_s", num(deployment.times.lease_s)),
                                ("gang_wait_s", num(deployment.gang_wait_s)),
                                ("gang_peer_s", num(deployment.gang_peer_s)),
                                ("cancel_s", num(deployment.times.cancel_s)),
                            ]),
                        ),
                        (
                            "state",
                            map(vec![
                                ("rps", num(deployment.limits.rps)),
                                ("write_rps", num(deployment.limits.write_rps)),
                                ("value_kb", num(deployment.limits.value_kb)),
                                ("txn_ops", int(deployment.limits.txn_ops as u64)),
                            ]),
                        ),
                        (
                            "cloud",
                            map(vec![("rps", num(deployment.cloud_rps)), ("list_lag_s", num(3.0))]),
                        ),
                        (
                            "machine_limits",
                            map(vec![
                                ("cpu", num(deployment.cpu)),
                                ("mem_mb", num(deployment.mem_mb)),
                                ("max_sockets", int(deployment.max_sockets as u64)),
                            ]),
                        ),
                        ("clock_off_ms", num(deployment.clock_off_ms)),
                    ]),
                ),
            ]);
            let path = folder.join(format!("node-{n}.json"));
            std::fs::write(&path, config.to_text()).expect("settings can be written");
            configs.push(path);
        }
        Nodes {
            names,
            http,
            peer,
            configs,
            children: (0..count).map(|_| None).collect(),
            root: root.to_path_buf(),
            folder: folder.to_path_buf(),
            record: record.clone(),
        }
    }

    pub fn listen_addrs(&self) -> Vec<(String, SocketAddr)> {
        self.names.iter().cloned().zip(self.http.iter().copied()).collect()
    }

    /// Starts a node with the command of the deploy file.
    pub fn start(&mut self, n: usize) {
        let deploy = std::fs::read_to_string(self.root.join("deploy/service.toml"))
            .expect("the deploy file can be read");
        let line = deploy.lines().find(|l| l.starts_with("run")).expect("it has a run command");
        let command = line.split('"').nth(1).expect("the command is quoted");
        let mut words = command.split_whitespace();
        let program = self.root.join(words.next().expect("it names a program"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("node-{n}.log")))
            .expect("a log can be opened");
        let child = Command::new(program)
            .args(words)
            .arg(&self.configs[n])
            .current_dir(&self.root)
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the node can be started");
        self.record.line(&format!("node {n}: started"));
        note_process(child.id());
        self.children[n] = Some(child);
    }

    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.children[n].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("node {n}: killed"));
        }
    }

    /// The memory that a node holds, in KiB; 0 if it does not run.
    pub fn memory_kib(&self, n: usize) -> u64 {
        let Some(pid) = self.pid(n) else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        line.and_then(|l| l.split_whitespace().nth(1)).and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    /// Whether the process of a node has ended by itself.
    pub fn has_ended(&mut self, n: usize) -> bool {
        self.children[n].as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn pid(&self, n: usize) -> Option<u32> {
        self.children[n].as_ref().map(Child::id)
    }

    /// Sends a signal (`STOP` or `CONT`) to a node.
    pub fn signal(&self, n: usize, name: &str) {
        if let Some(pid) = self.pid(n) {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
            self.record.line(&format!("node {n}: signal {name}"));
        }
    }

    pub fn ready(&self, n: usize) -> bool {
        call(self.http[n], "GET", "/ready", "", Duration::from_secs(1))
            .is_some_and(|answer| answer.status == 200)
    }

    /// Waits until all nodes are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if (0..self.names.len()).all(|n| self.ready(n)) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for n in 0..self.children.len() {
            self.signal(n, "CONT");
            self.kill(n);
        }
    }
}

// A user.

#[derive(Clone)]
pub struct User {
    pub world: World,
    pub record: Record,
}

impl User {
    /// Submits a job to one node, once.
    pub fn submit_once(&self, to: SocketAddr, job: &Job) -> Option<u16> {
        self.world.add_job(job);
        let answer = call(to, "POST", "/api/jobs", &job.body(), Duration::from_secs(5));
        let status = answer.as_ref().map(|a| a.status);
        self.record.line(&format!("user: submit {} -> {status:?}", job.id));
        status
    }
    /// Submits a job as the pages say, with retries at the nodes in turn, for up to 60 s.
    pub fn submit(&self, nodes: &[SocketAddr], job: &Job) -> bool {
        let until = Instant::now() + Duration::from_secs(60);
        for attempt in 0.. {
            match self.submit_once(nodes[attempt % nodes.len()], job) {
                Some(200 | 201) => return true,
                Some(400 | 422) => return false,
                _ => {}
            }
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_secs(1));
        }
        false
    }
    /// Asks for a job; returns the status and the job's state.
    pub fn poll(&self, to: SocketAddr, id: &str) -> Option<(u16, String)> {
        let answer = call(to, "GET", &format!("/api/jobs/{id}"), "", Duration::from_secs(2));
        let answer = answer.map(|a| (a.status, a.body.str("status").to_string()));
        self.record.line(&format!("user: poll {id} at {to} -> {answer:?}"));
        answer
    }
    /// Cancels a job, with retries at the nodes in turn; returns the state that was answered.
    pub fn cancel(&self, nodes: &[SocketAddr], id: &str, limit: Duration) -> Option<String> {
        let until = Instant::now() + limit;
        for attempt in 0.. {
            let to = nodes[attempt % nodes.len()];
            let path = format!("/api/jobs/{id}/withdraw");
            let answer = call(to, "POST", &path, "", Duration::from_secs(5));
            let status = answer.as_ref().map(|a| (a.status, a.body.str("status").to_string()));
            self.record.line(&format!("user: withdraw {id} at {to} -> {status:?}"));
            if let Some((200, state)) = status {
                if state == "aborted" {
                    self.world.cancelled(id);
                }
                return Some(state);
            }
            if Instant::now() > until {
                return None;
            }
            thread::sleep(Duration::from_secs(1));
        }
        None
    }
}

/// Waits until a condition holds.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// The settings of the small deployment at Windward Ridge.
pub fn windward() -> Deployment {
    Deployment {
        count: 3,
        zones: vec!["leeward-zone", "windward-zone"],
        teams: vec![
            Team { name: "field-crews", cpus: 0.0, cpus_max: 0.0 },
            Team { name: "analytics-desk", cpus: 0.0, cpus_max: 0.0 },
        ],
        times: WorkerTimes { report_s: 3.0, lease_s: 45.0, cancel_s: 75.0 },
        limits: StateLimits { rps: 120.0, write_rps: 35.0, value_kb: 4.0, txn_ops: 8 },
        cloud_rps: 8.0,
        mem_mb: 200.0,
        max_sockets: 4000,
        start_within: Vec::new(),
        gang_wait_s: 30.0,
        gang_peer_s: 6.0,
        clock_off_ms: 1000.0,
        cpu: 0.24,
    }
}

pub fn nacelle(zones: &[&str], ready_s: f64) -> Build {
    Build {
        name: "nacelle-crunch-16".into(),
        cores: 16.0,
        memory_gb: 64.0,
        ready_s,
        pull_gb_per_s: 1.0,
        yards: zones.iter().map(|z| z.to_string()).collect(),
    }
}

/// The settings of the small deployment of the catalogue team.
pub fn kolkata() -> Deployment {
    Deployment {
        count: 3,
        zones: vec!["saltlake-zone", "durgapur-zone", "howrah-zone"],
        teams: vec![Team { name: "catalogue-team", cpus: 0.0, cpus_max: 0.0 }],
        times: WorkerTimes { report_s: 3.0, lease_s: 24.0, cancel_s: 44.0 },
        limits: StateLimits { rps: 80.0, write_rps: 15.0, value_kb: 8.0, txn_ops: 8 },
        cloud_rps: 2.0,
        mem_mb: 56.0,
        max_sockets: 900,
        start_within: Vec::new(),
        gang_wait_s: 45.0,
        gang_peer_s: 4.0,
        clock_off_ms: 250.0,
        cpu: 0.08,
    }
}
