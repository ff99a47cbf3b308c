//! Stand-ins for the state service, the cloud, the workers and the platform, with the standard
//! library alone. They follow PROTOCOL-latchtrack.md and DEPLOY-latchtrack.md.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- JSON

/// A JSON value. Numbers keep their text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Obj(fields) => {
                fields.iter().find(|(name, _)| name == key).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }
    pub fn str(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }
    pub fn u64(&self) -> Option<u64> {
        match self {
            Json::Num(text) => text.parse().ok(),
            _ => None,
        }
    }
    pub fn f64(&self) -> Option<f64> {
        match self {
            Json::Num(text) => text.parse().ok(),
            _ => None,
        }
    }
    pub fn arr(&self) -> &[Json] {
        match self {
            Json::Arr(items) => items,
            _ => &[],
        }
    }
    pub fn text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }
    fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Num(text) => out.push_str(text),
            Json::Str(text) => write_str(text, out),
            Json::Arr(items) => {
                out.push('[');
                for (i, item) in items.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Obj(fields) => {
                out.push('{');
                for (i, (name, value)) in fields.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    write_str(name, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }
}

fn write_str(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
}

fn skip_space(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(b: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(b, at);
                if *b.get(*at)? == b'}' {
                    *at += 1;
                    return Some(Json::Obj(fields));
                }
                let Json::Str(name) = parse_value(b, at)? else { return None };
                skip_space(b, at);
                if *b.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                fields.push((name, parse_value(b, at)?));
                skip_space(b, at);
                if *b.get(*at)? == b',' {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(b, at);
                if *b.get(*at)? == b']' {
                    *at += 1;
                    return Some(Json::Arr(items));
                }
                items.push(parse_value(b, at)?);
                skip_space(b, at);
                if *b.get(*at)? == b',' {
                    *at += 1;
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut bytes = Vec::new();
            loop {
                let c = *b.get(*at)?;
                *at += 1;
                match c {
                    b'"' => return Some(Json::Str(String::from_utf8(bytes).ok()?)),
                    b'\\' => {
                        let e = *b.get(*at)?;
                        *at += 1;
                        match e {
                            b'n' => bytes.push(b'\n'),
                            b't' => bytes.push(b'\t'),
                            b'r' => bytes.push(b'\r'),
                            b'b' => bytes.push(8),
                            b'f' => bytes.push(12),
                            b'u' => {
                                let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                                *at += 4;
                                let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                                bytes.extend(c.to_string().as_bytes());
                            }
                            other => bytes.push(other),
                        }
                    }
                    other => bytes.push(other),
                }
            }
        }
        b't' => word(b, at, "true", Json::Bool(true)),
        b'f' => word(b, at, "false", Json::Bool(false)),
        b'n' => word(b, at, "null", Json::Null),
        _ => {
            let from = *at;
            while *at < b.len() && matches!(b[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&b[from..*at]).ok()?;
            (!text.is_empty()).then(|| Json::Num(text.to_string()))
        }
    }
}

fn word(b: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    let end = *at + word.len();
    (b.get(*at..end)? == word.as_bytes()).then(|| {
        *at = end;
        value
    })
}

pub fn s(text: &str) -> Json {
    Json::Str(text.to_string())
}
pub fn n(value: impl std::fmt::Display) -> Json {
    Json::Num(value.to_string())
}
pub fn obj(fields: Vec<(&str, Json)>) -> Json {
    Json::Obj(fields.into_iter().map(|(name, value)| (name.to_string(), value)).collect())
}

// ---------------------------------------------------------------- HTTP

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub body: String,
}

/// An answer; `None` from a handler closes the connection without one.
pub struct Answer {
    pub status: u16,
    pub body: String,
}

pub fn answer(status: u16, body: Json) -> Option<Answer> {
    Some(Answer { status, body: body.text() })
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, usize, bool)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let (mut length, mut close) = (0, false);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim();
        if line.is_empty() {
            return Some((first.trim().to_string(), length, close));
        }
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        close |= lower.starts_with("connection:") && lower.contains("close");
    }
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Option<Answer>) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, length, close) = read_head(&mut reader)?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let mut words = first.split(' ');
        let (method, url) = (words.next()?.to_string(), words.next()?.to_string());
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(a, b)| (a.to_string(), b.replace("%2F", "/"))).collect();
        let body = String::from_utf8_lossy(&body).into_owned();
        let answer = handler(Request { method, path: path.to_string(), query, body })?;
        let head = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            answer.status,
            answer.body.len()
        );
        writer.write_all((head + &answer.body).as_bytes()).ok()?;
        if close {
            return Some(());
        }
    }
}

/// Serves a handler on a free loopback port, one thread for each connection.
pub fn serve(handler: impl Fn(Request) -> Option<Answer> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound socket");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    addr
}

/// The longest line of an answer, and the largest body of a request, that PROTOCOL allows.
pub const MAX_LINE_BYTES: usize = 64 * 1024;
/// Stands for an answer with a line that is longer than PROTOCOL allows, which no client reads.
pub const LINE_TOO_LONG: u16 = 0;

/// Sends one request on a new connection; `None` if there is no complete answer in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Json>,
    timeout: Duration,
) -> Option<(u16, Json)> {
    let until = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let body = body.map(Json::text).unwrap_or_default();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    writer.write_all((head + &body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, length, _) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).ok()?;
    if Instant::now() > until {
        return None;
    }
    if bytes.split(|byte| *byte == b'\n').any(|line| line.len() > MAX_LINE_BYTES) {
        return Some((LINE_TOO_LONG, n(bytes.len())));
    }
    Some((status, Json::parse(&String::from_utf8_lossy(&bytes)).unwrap_or(Json::Null)))
}

// ---------------------------------------------------------------- The record

/// The record of a run: `record.txt` with the time in seconds.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {}", self.now(), text.as_ref());
    }
}

// ---------------------------------------------------------------- The state service

struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { rate, tokens: rate, at: Instant::now() }
    }
    fn take(&mut self, count: f64) -> bool {
        let passed = self.at.elapsed().as_secs_f64();
        self.at = Instant::now();
        self.tokens = (self.tokens + passed * self.rate).min(self.rate);
        let allowed = self.tokens >= count;
        if allowed {
            self.tokens -= count;
        }
        allowed
    }
}

struct Entry {
    data: Arc<str>,
    stamp: u64,
    charter: Option<u64>,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

pub struct StateInner {
    keys: BTreeMap<String, Entry>,
    log: VecDeque<(u64, String, Option<Arc<str>>)>,
    epoch: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    requests: Bucket,
    writes: Bucket,
    value_bytes: usize,
    txn_ops: usize,
}

/// The number of changes that the log keeps.
const LOG_CHANGES: usize = 10_000;

#[derive(Clone)]
pub struct State {
    inner: Arc<Mutex<StateInner>>,
    pub refuses: Arc<Mutex<HashMap<usize, bool>>>,
}

impl State {
    pub fn new(rps: f64, write_rps: f64, value_kb: f64, txn_ops: usize) -> State {
        let inner = StateInner {
            keys: BTreeMap::new(),
            log: VecDeque::new(),
            epoch: 0,
            leases: BTreeMap::new(),
            last_lease: 0,
            requests: Bucket::new(rps),
            writes: Bucket::new(write_rps),
            value_bytes: (value_kb * 1024.0) as usize,
            txn_ops,
        };
        let state =
            State { inner: Arc::new(Mutex::new(inner)), refuses: Arc::new(Mutex::default()) };
        let of_thread = state.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            of_thread.inner.lock().unwrap().expire();
        });
        state
    }

    /// Serves the node with this index on an address of its own.
    pub fn serve(&self, node: usize) -> SocketAddr {
        let state = self.clone();
        serve(move |request| {
            if state.refuses.lock().unwrap().get(&node).copied().unwrap_or(false) {
                return answer(503, obj(vec![("error", s("trouble"))]));
            }
            thread::sleep(Duration::from_millis(2));
            state.handle(&request)
        })
    }

    /// Writes a key, as another client of the service.
    pub fn put(&self, key: &str, data: &str) {
        let mut inner = self.inner.lock().unwrap();
        inner.epoch += 1;
        inner.put(key, data.into(), None);
    }

    pub fn count(&self, prefix: &str) -> usize {
        let inner = self.inner.lock().unwrap();
        inner.keys.range(prefix.to_string()..).take_while(|(k, _)| k.starts_with(prefix)).count()
    }

    pub fn value(&self, key: &str) -> Option<(String, u64)> {
        let inner = self.inner.lock().unwrap();
        inner.keys.get(key).map(|entry| (entry.data.to_string(), entry.stamp))
    }

    /// Returns the name of the leading node and the revision of its key.
    pub fn leader(&self) -> Option<(String, u64)> {
        let (data, stamp) = self.value("live/leader")?;
        Some((Json::parse(&data)?.get("node").str().to_string(), stamp))
    }

    fn handle(&self, request: &Request) -> Option<Answer> {
        let mut guard = self.inner.lock().unwrap();
        let inner = &mut *guard;
        inner.expire();
        if !inner.requests.take(1.0) {
            return answer(429, obj(vec![("error", s("rate"))]));
        }
        let path = request.path.as_str();
        let param = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET", "/store") => {
                let most: usize = param("most").parse().unwrap_or(1000).min(1000);
                Some(Answer { status: 200, body: inner.page(&param("prefix"), &param("from"), most) })
            }
            ("GET", "/watch") => {
                let from: u64 = param("from").parse().unwrap_or(0);
                inner.changes(&param("prefix"), from)
            }
            ("POST", "/txn") => inner.txn(&Json::parse(&request.body)?),
            ("POST", "/grants") => {
                let ttl = Json::parse(&request.body)?.get("ttl_ms").u64()?;
                let ttl = Duration::from_millis(ttl);
                inner.last_lease += 1;
                let id = inner.last_lease;
                inner.leases.insert(id, Lease { ttl, until: Instant::now() + ttl });
                answer(200, obj(vec![("charter", n(id))]))
            }
            ("GET", _) if path.starts_with("/store/") => {
                let key = &path["/store/".len()..];
                match inner.keys.get(key) {
                    Some(entry) => Some(Answer {
                        status: 200,
                        body: format!(
                            "{{\"k\":\"{key}\",\"data\":{},\"stamp\":{}}}",
                            entry.data, entry.stamp
                        ),
                    }),
                    None => answer(404, obj(vec![("epoch", n(inner.epoch))])),
                }
            }
            ("POST", _) if path.starts_with("/grants/") => {
                let id: u64 = path["/grants/".len()..].strip_suffix("/renew")?.parse().ok()?;
                match inner.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.until = Instant::now() + lease.ttl;
                        answer(200, obj(vec![]))
                    }
                    None => answer(404, obj(vec![("error", s("no such lease"))])),
                }
            }
            ("DELETE", _) if path.starts_with("/grants/") => {
                let id: u64 = path["/grants/".len()..].parse().ok()?;
                if inner.leases.contains_key(&id) {
                    inner.end_lease(id);
                    answer(200, obj(vec![]))
                } else {
                    answer(404, obj(vec![("error", s("no such lease"))]))
                }
            }
            _ => answer(400, obj(vec![("error", s("malformed"))])),
        }
    }
}

impl StateInner {
    fn put(&mut self, key: &str, data: Arc<str>, charter: Option<u64>) {
        let stamp = self.epoch;
        self.keys.insert(key.to_string(), Entry { data: data.clone(), stamp, charter });
        self.push_log(key, Some(data));
    }
    fn push_log(&mut self, key: &str, data: Option<Arc<str>>) {
        self.log.push_back((self.epoch, key.to_string(), data));
        if self.log.len() > LOG_CHANGES {
            self.log.pop_front();
        }
    }
    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held = self.keys.iter().filter(|(_, entry)| entry.charter == Some(id));
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if held.is_empty() {
            return;
        }
        self.epoch += 1;
        for key in held {
            self.keys.remove(&key);
            self.push_log(&key, None);
        }
    }
    fn expire(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, lease)| lease.until < now);
        for id in over.map(|(id, _)| *id).collect::<Vec<u64>>() {
            self.end_lease(id);
        }
    }
    fn page(&self, prefix: &str, from: &str, most: usize) -> String {
        let start = if from > prefix { from } else { prefix };
        let mut rows = String::new();
        let (mut count, mut truncated) = (0, false);
        for (key, entry) in self.keys.range(start.to_string()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if key.as_str() <= from {
                continue;
            }
            if count >= most || rows.len() + entry.data.len() + 300 > 512 * 1024 {
                truncated = true;
                break;
            }
            if count > 0 {
                rows.push(',');
            }
            let _ = write!(
                rows,
                "{{\"k\":\"{key}\",\"data\":{},\"stamp\":{}}}",
                entry.data, entry.stamp
            );
            count += 1;
        }
        format!("{{\"rows\":[{rows}],\"truncated\":{truncated},\"epoch\":{}}}", self.epoch)
    }
    fn changes(&self, prefix: &str, from: u64) -> Option<Answer> {
        let oldest = self.log.front().map_or(0, |(stamp, ..)| *stamp);
        if self.log.len() >= LOG_CHANGES && from + 1 < oldest {
            return answer(410, obj(vec![("error", s("too old"))]));
        }
        let mut rows = String::new();
        for (stamp, key, data) in self.log.iter().rev().take_while(|(stamp, ..)| *stamp > from) {
            if !key.starts_with(prefix) {
                continue;
            }
            let row = match data {
                Some(data) => format!("{{\"put\":\"{key}\",\"data\":{data},\"stamp\":{stamp}}}"),
                None => format!("{{\"drop\":\"{key}\",\"stamp\":{stamp}}}"),
            };
            // The newest comes first here; the order is restored below.
            if !rows.is_empty() {
                rows.push('\n');
            }
            rows.push_str(&row);
        }
        let mut lines: Vec<&str> = rows.lines().collect();
        lines.reverse();
        let body = format!("{{\"epoch\":{},\"log\":[{}]}}", self.epoch, lines.join(","));
        Some(Answer { status: 200, body })
    }
    fn txn(&mut self, body: &Json) -> Option<Answer> {
        let changes = body.get("apply").arr();
        if !self.writes.take(changes.len() as f64) {
            return answer(429, obj(vec![("error", s("rate"))]));
        }
        let is_large = |change: &Json| change.get("data").text().len() > self.value_bytes;
        if changes.len() > self.txn_ops || changes.iter().any(is_large) {
            return answer(400, obj(vec![("error", s("too large"))]));
        }
        for change in changes {
            if let Some(lease) = change.get("charter").u64() {
                if !self.leases.contains_key(&lease) {
                    return answer(400, obj(vec![("error", s("no such lease"))]));
                }
            }
        }
        let mut failed = Vec::new();
        for condition in body.get("if").arr() {
            let key = condition.get("k").str();
            let stamp = self.keys.get(key).map_or(0, |entry| entry.stamp);
            if condition.get("stamp").u64() != Some(stamp) {
                failed.push(s(key));
            }
        }
        if !failed.is_empty() {
            return answer(
                409,
                obj(vec![("failed", Json::Arr(failed)), ("epoch", n(self.epoch))]),
            );
        }
        if !changes.is_empty() {
            self.epoch += 1;
        }
        for change in changes {
            let key = change.get("put").str();
            if key.is_empty() {
                let key = change.get("drop").str().to_string();
                if self.keys.remove(&key).is_some() {
                    self.push_log(&key, None);
                }
            } else {
                let data: Arc<str> = change.get("data").text().into();
                self.put(key, data, change.get("charter").u64());
            }
        }
        answer(200, obj(vec![("epoch", n(self.epoch))]))
    }
}

// ---------------------------------------------------------------- The machines

/// After a call without an answer, the leader's next one to the same machine comes 3.5 s later.
const QUIET: Duration = Duration::from_millis(3_200);

/// What a submitted job's tasks do on a machine.
#[derive(Clone)]
pub struct JobProfile {
    pub pieces: u32,
    pub cores: f64,
    pub memory_gb: f64,
    pub run_s: f64,
    pub pull_s: f64,
    pub image: String,
}

#[derive(Clone, PartialEq, Debug)]
enum Phase {
    Pulling(Instant),
    Running(Instant),
    Ended(&'static str),
}

struct Attempt {
    phase: Phase,
    profile: JobProfile,
}

/// The kind of cut between a machine and everything else.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Net {
    Up,
    /// Nothing passes in either direction, and nothing is delivered later.
    Cut,
}

pub struct MachineInner {
    name: String,
    build: String,
    zone: String,
    spot: bool,
    addr: String,
    cores: f64,
    memory_gb: f64,
    shift: u64,
    tally: u64,
    baton: u64,
    /// When the last answered report was sent, or the session began.
    lease_from: Instant,
    attempts: BTreeMap<(String, u64), Attempt>,
    images: Vec<String>,
    report_due: Instant,
    token_change_at: Option<Instant>,
    last_report: Option<Instant>,
    pub net: Net,
    /// The network is back from this time on, when the worker next sends a report and the last
    /// direct call was lost less than `QUIET` ago.
    pub back_from: Option<Instant>,
    last_lost_call: Option<Instant>,
    /// The network is lost again this long after a report was answered with a higher token.
    pub cut_after_new_token: Option<Duration>,
    cut_at: Option<Instant>,
    pub gone: bool,
    /// Answered reports: time sent, token of the report, token of the answer.
    pub answered: Vec<(Instant, u64, u64)>,
    pub do_calls: u64,
}

/// The settings and the shared state of all machines.
#[derive(Clone)]
pub struct Fleet {
    pub record: Record,
    pub machines: Arc<Mutex<BTreeMap<String, Arc<Mutex<MachineInner>>>>>,
    pub jobs: Arc<Mutex<HashMap<String, JobProfile>>>,
    pub nodes: Arc<Vec<(String, SocketAddr)>>,
    pub report_s: f64,
    pub lease_s: f64,
    /// Tasks on machines: task, machine, attempt, start and end in seconds of the record.
    pub spans: Arc<Mutex<Vec<Span>>>,
    random: Arc<AtomicU64>,
    /// Messages that were longer than PROTOCOL allows.
    pub too_long: Arc<AtomicU64>,
}

#[derive(Clone, Debug)]
pub struct Span {
    pub task: String,
    pub machine: String,
    pub attempt: u64,
    pub from: f64,
    pub to: Option<f64>,
}

impl Fleet {
    pub fn new(record: Record, nodes: Vec<(String, SocketAddr)>, report_s: f64, lease_s: f64) -> Fleet {
        Fleet {
            record,
            machines: Arc::default(),
            jobs: Arc::default(),
            nodes: Arc::new(nodes),
            report_s,
            lease_s,
            spans: Arc::default(),
            random: Arc::new(AtomicU64::new(0x9e37_79b9_7f4a_7c15)),
            too_long: Arc::default(),
        }
    }

    pub fn random(&self) -> f64 {
        let x = self.random.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Starts the worker of a machine.
    #[allow(clippy::too_many_arguments)]
    pub fn boot(&self, name: &str, build: &str, zone: &str, spot: bool, cores: f64, memory_gb: f64) {
        let now = Instant::now();
        let inner = Arc::new(Mutex::new(MachineInner {
            name: name.to_string(),
            build: build.to_string(),
            zone: zone.to_string(),
            spot,
            addr: String::new(),
            cores,
            memory_gb,
            shift: 1,
            tally: 0,
            baton: 0,
            lease_from: now,
            attempts: BTreeMap::new(),
            images: Vec::new(),
            report_due: now,
            token_change_at: None,
            last_report: None,
            net: Net::Up,
            back_from: None,
            last_lost_call: None,
            cut_after_new_token: None,
            cut_at: None,
            gone: false,
            answered: Vec::new(),
            do_calls: 0,
        }));
        let (fleet, machine) = (self.clone(), inner.clone());
        let addr = serve(move |request| fleet.direct_call(&machine, &request));
        inner.lock().unwrap().addr = addr.to_string();
        self.machines.lock().unwrap().insert(name.to_string(), inner.clone());
        self.record.line(format!("{name} is up"));
        let (fleet, machine) = (self.clone(), inner.clone());
        thread::spawn(move || fleet.run_tasks(&machine));
        let fleet = self.clone();
        thread::spawn(move || fleet.run_reports(&inner));
    }

    /// Returns whether some machine that is up has room for a task of this size.
    pub fn any_machine_has_room(&self, cores: f64, memory_gb: f64) -> bool {
        self.machines.lock().unwrap().values().any(|machine| {
            let m = machine.lock().unwrap();
            let live = m.attempts.values().filter(|run| !matches!(run.phase, Phase::Ended(_)));
            let used = live.fold((0.0, 0.0), |sum, run| {
                (sum.0 + run.profile.cores, sum.1 + run.profile.memory_gb)
            });
            let fits = used.0 + cores <= m.cores && used.1 + memory_gb <= m.memory_gb;
            !m.gone && m.net == Net::Up && fits
        })
    }

    /// Returns the tasks that are on a machine, running.
    pub fn running_on(&self, name: &str) -> Vec<String> {
        let spans = self.spans.lock().unwrap();
        let here = spans.iter().filter(|span| span.to.is_none() && span.machine == name);
        here.map(|span| span.task.clone()).collect()
    }

    pub fn machine(&self, name: &str) -> Option<Arc<Mutex<MachineInner>>> {
        self.machines.lock().unwrap().get(name).cloned()
    }

    /// The machine and all that is on it are gone.
    pub fn delete(&self, name: &str) {
        let Some(machine) = self.machine(name) else { return };
        let mut machine = machine.lock().unwrap();
        if !machine.gone {
            machine.gone = true;
            self.drop_tasks(&mut machine);
            self.record.line(format!("{name} is deleted"));
        }
    }

    fn drop_tasks(&self, machine: &mut MachineInner) {
        for ((task, attempt), _) in std::mem::take(&mut machine.attempts) {
            self.end_span(&task, &machine.name, attempt, "killed");
        }
    }

    fn start_span(&self, task: &str, machine: &str, attempt: u64) {
        self.record.line(format!("{machine} starts {task} try {attempt}"));
        let from = self.record.now();
        let (task, machine) = (task.to_string(), machine.to_string());
        self.spans.lock().unwrap().push(Span { task, machine, attempt, from, to: None });
    }

    fn end_span(&self, task: &str, machine: &str, attempt: u64, how: &str) {
        let now = self.record.now();
        let mut spans = self.spans.lock().unwrap();
        let open = spans.iter_mut().find(|span| {
            span.to.is_none() && span.task == task && span.machine == machine && span.attempt == attempt
        });
        if let Some(span) = open {
            span.to = Some(now);
            drop(spans);
            self.record.line(format!("{machine} ends {task} try {attempt}: {how}"));
        }
    }

    /// Returns the pairs of spans that break `ran_twice`: the later one starts while the earlier one
    /// is on another machine.
    pub fn ran_twice(&self) -> Vec<(Span, Span)> {
        let spans = self.spans.lock().unwrap();
        let mut found = Vec::new();
        for a in spans.iter() {
            for b in spans.iter() {
                let is_other = a.task == b.task && a.machine != b.machine;
                if is_other && b.from > a.from && a.to.is_none_or(|to| b.from < to) {
                    found.push((a.clone(), b.clone()));
                }
            }
        }
        found
    }

    /// The tasks: image fetches, runs, and the end of the lease.
    fn run_tasks(&self, machine: &Mutex<MachineInner>) {
        loop {
            thread::sleep(Duration::from_millis(20));
            let mut m = machine.lock().unwrap();
            if m.gone {
                return;
            }
            let now = Instant::now();
            if m.cut_at.is_some_and(|at| now >= at) {
                m.cut_at = None;
                m.net = Net::Cut;
                self.record.line(format!("{} loses the network again", m.name));
            }
            if now.duration_since(m.lease_from).as_secs_f64() > self.lease_s {
                self.drop_tasks(&mut m);
                m.shift += 1;
                m.lease_from = now;
                m.report_due = now;
                self.record.line(format!("{} lease over, session {}", m.name, m.shift));
            }
            let name = m.name.clone();
            let mut changed = false;
            let mut fetched = Vec::new();
            for ((task, attempt), run) in m.attempts.iter_mut() {
                match run.phase {
                    Phase::Pulling(until) if now >= until => {
                        fetched.push(run.profile.image.clone());
                        let run_s = run.profile.run_s;
                        run.phase = Phase::Running(now + Duration::from_secs_f64(run_s));
                        self.start_span(task, &name, *attempt);
                        changed = true;
                    }
                    Phase::Running(until) if now >= until => {
                        run.phase = Phase::Ended("done");
                        self.end_span(task, &name, *attempt, "done");
                        changed = true;
                    }
                    _ => {}
                }
            }
            m.images.extend(fetched);
            if changed {
                self.note_change(&mut m);
            }
        }
    }

    /// A change is reported at once, though never more often than every half second.
    fn note_change(&self, m: &mut MachineInner) {
        let earliest = m.last_report.map_or(Instant::now(), |at| at + Duration::from_millis(500));
        m.report_due = m.report_due.min(earliest.max(Instant::now()));
    }

    fn note_token(&self, m: &mut MachineInner, token: u64) {
        if token > m.baton {
            m.baton = token;
            let half = Duration::from_secs_f64(self.lease_s / 2.0);
            if m.token_change_at.is_none_or(|at| at.elapsed() >= half) {
                m.token_change_at = Some(Instant::now());
                self.note_change(m);
            }
        }
    }

    fn report_body(&self, m: &mut MachineInner) -> Json {
        m.tally += 1;
        let pieces = m.attempts.iter().map(|((task, attempt), run)| {
            let (status, cause) = match &run.phase {
                Phase::Pulling(_) => ("pulling", None),
                Phase::Running(_) => ("running", None),
                Phase::Ended(cause) => ("ended", Some(*cause)),
            };
            let mut fields = vec![("piece", s(task)), ("try", n(attempt)), ("status", s(status))];
            if let Some(cause) = cause {
                fields.push(("cause", s(cause)));
            }
            obj(fields)
        });
        let pieces = pieces.collect();
        obj(vec![
            ("host", s(&m.name)),
            ("addr", s(&m.addr)),
            ("build", s(&m.build)),
            ("yard", s(&m.zone)),
            ("loaners", Json::Bool(m.spot)),
            ("shift", n(m.shift)),
            ("tally", n(m.tally)),
            ("baton", n(m.baton)),
            ("recall_s", Json::Null),
            ("pieces", Json::Arr(pieces)),
        ])
    }

    fn execute(&self, m: &mut MachineInner, orders: &[Json]) {
        let mut changed = false;
        for order in orders {
            let task = order.get("piece").str().to_string();
            let attempt = order.get("try").u64().unwrap_or(0);
            let key = (task.clone(), attempt);
            match order.get("verb").str() {
                "launch" if !m.attempts.contains_key(&key) => {
                    changed = true;
                    let job = task.split('/').next().unwrap_or_default().to_string();
                    let index: u32 = task.split('/').nth(1).and_then(|i| i.parse().ok()).unwrap_or(0);
                    let profile = self.jobs.lock().unwrap().get(&job).cloned();
                    let live = |run: &Attempt| !matches!(run.phase, Phase::Ended(_));
                    let used: (f64, f64) =
                        m.attempts.values().filter(|run| live(run)).fold((0.0, 0.0), |sum, run| {
                            (sum.0 + run.profile.cores, sum.1 + run.profile.memory_gb)
                        });
                    let is_here = m.attempts.iter().any(|((other, _), run)| *other == task && live(run));
                    let Some(profile) = profile.filter(|profile| index < profile.pieces) else {
                        let profile = JobProfile { pieces: 0, cores: 0.0, memory_gb: 0.0, run_s: 0.0, pull_s: 0.0, image: String::new() };
                        m.attempts.insert(key, Attempt { phase: Phase::Ended("unknown"), profile });
                        continue;
                    };
                    let phase = if is_here {
                        Phase::Ended("busy")
                    } else if used.0 + profile.cores > m.cores + 1e-6 || used.1 + profile.memory_gb > m.memory_gb + 1e-6 {
                        Phase::Ended("no_room")
                    } else if m.images.contains(&profile.image) {
                        Phase::Pulling(Instant::now())
                    } else {
                        Phase::Pulling(Instant::now() + Duration::from_secs_f64(profile.pull_s))
                    };
                    m.attempts.insert(key, Attempt { phase, profile });
                }
                "stop" => {
                    let name = m.name.clone();
                    if let Some(run) = m.attempts.get_mut(&key) {
                        if !matches!(run.phase, Phase::Ended(_)) {
                            run.phase = Phase::Ended("halted");
                            self.end_span(&task, &name, attempt, "halted");
                            changed = true;
                        }
                    }
                }
                "forget" => {
                    if m.attempts.get(&key).is_some_and(|run| matches!(run.phase, Phase::Ended(_))) {
                        m.attempts.remove(&key);
                        changed = true;
                    }
                }
                _ => {}
            }
        }
        if changed {
            self.note_change(m);
        }
    }

    fn direct_call(&self, machine: &Mutex<MachineInner>, request: &Request) -> Option<Answer> {
        let is_cut = {
            let mut m = machine.lock().unwrap();
            if m.net == Net::Cut {
                m.last_lost_call = Some(Instant::now());
            }
            m.net == Net::Cut
        };
        if is_cut {
            // The packets are lost: the caller hears nothing.
            thread::sleep(Duration::from_secs(10));
            return None;
        }
        let mut m = machine.lock().unwrap();
        if m.gone {
            thread::sleep(Duration::from_millis(1));
            return None;
        }
        if request.body.len() > MAX_LINE_BYTES {
            let (name, bytes) = (m.name.clone(), request.body.len());
            self.record.line(format!("{name} refuses a request body of {bytes} bytes with 413"));
            self.too_long.fetch_add(1, Ordering::Relaxed);
            return answer(413, obj(vec![("error", s("the body is over 64 KiB"))]));
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        if request.path == "/status" {
            let report = self.report_body(&mut m);
            return answer(200, report);
        }
        m.do_calls += 1;
        let (Some(token), Some(shift)) = (body.get("baton").u64(), body.get("shift").u64()) else {
            return answer(400, obj(vec![]));
        };
        if token < m.baton || shift != m.shift {
            let report = self.report_body(&mut m);
            return answer(409, report);
        }
        self.note_token(&mut m, token);
        self.execute(&mut m, body.get("orders").arr());
        let report = self.report_body(&mut m);
        answer(200, report)
    }

    fn run_reports(&self, machine: &Mutex<MachineInner>) {
        let mut node = 0;
        loop {
            thread::sleep(Duration::from_millis(10));
            let (body, shift, sent, token) = {
                let mut m = machine.lock().unwrap();
                if m.gone {
                    return;
                }
                let now = Instant::now();
                if now < m.report_due {
                    continue;
                }
                let is_quiet = m.last_lost_call.is_some_and(|at| at.elapsed() < QUIET);
                if is_quiet && m.back_from.is_some_and(|from| now >= from) {
                    m.back_from = None;
                    m.net = Net::Up;
                    self.record.line(format!("{} has its network back", m.name));
                }
                let jitter = 0.75 + 0.5 * self.random();
                m.report_due = now + Duration::from_secs_f64(self.report_s * jitter);
                m.last_report = Some(now);
                let body = self.report_body(&mut m);
                (body, m.shift, now, m.baton)
            };
            let (node_name, addr) = self.nodes[node % self.nodes.len()].clone();
            let is_cut = || machine.lock().unwrap().net == Net::Cut;
            let timeout = Duration::from_secs(4);
            let result = if is_cut() {
                thread::sleep(timeout);
                None
            } else {
                // What is on its way when a cut begins is lost.
                let result = call(addr, "POST", "/v1/report", Some(&body), timeout);
                if is_cut() {
                    thread::sleep(timeout.saturating_sub(sent.elapsed()));
                    None
                } else {
                    result
                }
            };
            let mut m = machine.lock().unwrap();
            let now = Instant::now();
            match result {
                Some((200, body)) => {
                    let answer_token = body.get("baton").u64().unwrap_or(0);
                    if m.shift == shift && answer_token >= m.baton && answer_token > 0 {
                        m.lease_from = sent;
                        self.note_token(&mut m, answer_token);
                        self.execute(&mut m, body.get("orders").arr());
                        m.answered.push((sent, token, answer_token));
                        if token != answer_token {
                            self.record.line(format!(
                                "{} report with token {token} answered 200 by {node_name} with token {answer_token}",
                                m.name
                            ));
                        }
                        if let (Some(after), true) = (m.cut_after_new_token, token != answer_token) {
                            m.cut_after_new_token = None;
                            m.cut_at = Some(now + after);
                        }
                    }
                }
                Some((421, body)) => {
                    let leader = body.get("foreman").str();
                    match self.nodes.iter().position(|(name, _)| name == leader) {
                        Some(other) if other != node % self.nodes.len() => {
                            node = other;
                            m.report_due = now + Duration::from_secs_f64(0.5 * self.random());
                        }
                        _ => {
                            node += 1;
                            m.report_due = now + Duration::from_secs(1);
                        }
                    }
                }
                other => {
                    if let Some((LINE_TOO_LONG, bytes)) = other {
                        self.too_long.fetch_add(1, Ordering::Relaxed);
                        self.record.line(format!(
                            "{} can't read an answer of {} bytes in one line from {node_name}",
                            m.name,
                            bytes.text()
                        ));
                    }
                    node += 1;
                    m.report_due = now + Duration::from_secs(1);
                }
            }
        }
    }
}

// ---------------------------------------------------------------- The cloud

#[derive(Clone)]
pub struct MachineType {
    pub name: &'static str,
    pub cores: f64,
    pub memory_gb: f64,
    pub price: f64,
    pub spot_price: f64,
    pub ready_s: f64,
    pub zones: Vec<&'static str>,
}

struct Hired {
    build: String,
    zone: String,
    spot: bool,
    at: Instant,
    up: Arc<AtomicBool>,
}

#[derive(Clone)]
pub struct Cloud {
    fleet: Fleet,
    types: Arc<Vec<MachineType>>,
    hired: Arc<Mutex<BTreeMap<String, Hired>>>,
    hires: Arc<Mutex<HashMap<String, Vec<String>>>>,
    last: Arc<AtomicU64>,
    /// The most machines at a time.
    pub most: usize,
    pub boot_s: f64,
    pub down: Arc<AtomicBool>,
}

impl Cloud {
    pub fn new(fleet: &Fleet, types: Vec<MachineType>, most: usize, boot_s: f64) -> Cloud {
        Cloud {
            fleet: fleet.clone(),
            types: Arc::new(types),
            hired: Arc::default(),
            hires: Arc::default(),
            last: Arc::new(AtomicU64::new(100)),
            most,
            boot_s,
            down: Arc::default(),
        }
    }

    pub fn serve(&self) -> SocketAddr {
        let cloud = self.clone();
        serve(move |request| cloud.handle(&request))
    }

    fn handle(&self, request: &Request) -> Option<Answer> {
        thread::sleep(Duration::from_millis(80));
        if self.down.load(Ordering::Relaxed) {
            return answer(503, obj(vec![("error", s("trouble"))]));
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machine_types") => {
                let types = self.types.iter().map(|t| {
                    obj(vec![
                        ("sku", s(t.name)),
                        ("cores", n(t.cores)),
                        ("cards", n(0)),
                        ("memory_gb", n(t.memory_gb)),
                        ("local_gb", n(60)),
                        ("pull_gb_per_s", n(1.0)),
                        ("price", n(t.price)),
                        ("spot_price", n(t.spot_price)),
                        ("ready_s", n(t.ready_s)),
                        ("yards", Json::Arr(t.zones.iter().map(|zone| s(zone)).collect())),
                    ])
                });
                answer(200, obj(vec![("builds", Json::Arr(types.collect()))]))
            }
            ("POST", "/rentals") => {
                let hire = body.get("hire").str().to_string();
                let mut hires = self.hires.lock().unwrap();
                if let Some(names) = hires.get(&hire) {
                    let names = names.iter().map(|name| s(name)).collect();
                    return answer(200, obj(vec![("hosts", Json::Arr(names))]));
                }
                let wanted = body.get("number").u64().unwrap_or(0) as usize;
                let mut hired = self.hired.lock().unwrap();
                let count = wanted.min(self.most.saturating_sub(hired.len()));
                if count == 0 {
                    return answer(503, obj(vec![("error", s("no capacity"))]));
                }
                let build = body.get("build").str().to_string();
                let zone = body.get("yard").str().to_string();
                let spot = *body.get("loaners") == Json::Bool(true);
                let mut names = Vec::new();
                for _ in 0..count {
                    let name = format!("n-{:06}", self.last.fetch_add(1, Ordering::Relaxed));
                    let up = Arc::new(AtomicBool::new(false));
                    let (build, zone) = (build.clone(), zone.clone());
                    let entry = Hired { build, zone, spot, at: Instant::now(), up };
                    self.boot(&name, &entry);
                    hired.insert(name.clone(), entry);
                    names.push(name);
                }
                self.fleet.record.line(format!("cloud rents {names:?} for {hire}"));
                hires.insert(hire, names.clone());
                answer(200, obj(vec![("hosts", Json::Arr(names.iter().map(|name| s(name)).collect()))]))
            }
            ("GET", "/rentals") => {
                let from = request.query.get("from").cloned().unwrap_or_default();
                let hired = self.hired.lock().unwrap();
                let rows = hired.iter().filter(|(name, _)| **name > from).map(|(name, hired)| {
                    let up = hired.up.load(Ordering::Relaxed);
                    obj(vec![
                        ("name_id", s(name)),
                        ("addr", s("")),
                        ("build", s(&hired.build)),
                        ("yard", s(&hired.zone)),
                        ("loaners", Json::Bool(hired.spot)),
                        ("status", s(if up { "running" } else { "starting" })),
                        ("held_s", n(hired.at.elapsed().as_secs_f64())),
                    ])
                });
                answer(200, obj(vec![("hosts", Json::Arr(rows.collect())), ("truncated", Json::Bool(false))]))
            }
            ("POST", "/rentals/delete") => {
                for name in body.get("hosts").arr() {
                    self.fleet.record.line(format!("cloud is asked to delete {}", name.str()));
                    self.hired.lock().unwrap().remove(name.str());
                    self.fleet.delete(name.str());
                }
                answer(200, obj(vec![]))
            }
            _ => answer(400, obj(vec![("error", s("malformed"))])),
        }
    }

    fn boot(&self, name: &str, hired: &Hired) {
        let Some(t) = self.types.iter().find(|t| t.name == hired.build).cloned() else { return };
        let (cloud, name, up) = (self.clone(), name.to_string(), hired.up.clone());
        let (zone, spot) = (hired.zone.clone(), hired.spot);
        thread::spawn(move || {
            thread::sleep(Duration::from_secs_f64(cloud.boot_s));
            if cloud.hired.lock().unwrap().contains_key(&name) {
                up.store(true, Ordering::Relaxed);
                cloud.fleet.boot(&name, t.name, &zone, spot, t.cores, t.memory_gb);
            }
        });
    }
}

// ---------------------------------------------------------------- The nodes

/// Returns free loopback ports below those that the system gives to outgoing connections, so that
/// none is taken before a node binds it, or while a node is down.
pub fn free_ports(count: usize) -> Vec<SocketAddr> {
    let spread = std::process::id() as u64 * 7_919 + Instant::now().elapsed().as_nanos() as u64;
    let mut port = 10_000 + (spread % 20_000) as u16;
    let mut found: Vec<TcpListener> = Vec::new();
    for _ in 0..20_000 {
        if found.len() == count {
            break;
        }
        port = if port >= 30_000 { 10_000 } else { port + 1 };
        found.extend(TcpListener::bind(("127.0.0.1", port)).ok());
    }
    assert_eq!(found.len(), count, "free ports");
    found.iter().map(|listener| listener.local_addr().expect("a bound socket")).collect()
}

pub struct Node {
    pub name: String,
    pub http: SocketAddr,
    config: String,
    root: String,
    log: String,
    pids: String,
    child: Option<Child>,
}

impl Node {
    pub fn start(&mut self) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        // The command of deploy/service.toml, with the settings file appended.
        let child = Command::new("target/release/latchtrack")
            .args(["serve", "--operator", "deploy/run.yaml", "--config", &self.config])
            .current_dir(&self.root)
            .env("LOG_LEVEL", std::env::var("NODE_LOG").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.map(Stdio::from).unwrap_or(Stdio::null()))
            .spawn();
        self.child = child.ok();
        // For run.sh, which ends what is left if this program ends early.
        let pids = std::fs::OpenOptions::new().create(true).append(true).open(&self.pids);
        if let (Ok(mut file), Some(pid)) = (pids, self.pid()) {
            let _ = writeln!(file, "{pid}");
        }
    }
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }
    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
    /// Returns the memory that the process holds in MB: its own pages, without the program's file.
    pub fn held_mb(&self) -> Option<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        let kb: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1024.0)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Prepares nodes `berth-0`, `berth-1`, ... with these zones. `params` is the `params` object of the
/// settings. `ports` has an address for users and workers for each node, then one for the other nodes
/// each. Node `i` reaches the state service at `state[i]`.
#[allow(clippy::too_many_arguments)]
pub fn nodes(
    root: &str,
    folder: &str,
    zones: &[&str],
    ports: &[SocketAddr],
    state: &[SocketAddr],
    cloud: SocketAddr,
    params: &str,
) -> Vec<Node> {
    let name = |i: usize| format!("berth-{i}");
    let mut nodes = Vec::new();
    for i in 0..zones.len() {
        let others: Vec<Json> = (0..zones.len())
            .filter(|other| *other != i)
            .map(|other| {
                obj(vec![
                    ("node_name", s(&name(other))),
                    ("domain", s(zones[other])),
                    ("endpoint", s(&ports[zones.len() + other].to_string())),
                ])
            })
            .collect();
        let settings = obj(vec![
            ("node_name", s(&name(i))),
            ("domain", s(zones[i])),
            ("bind", s(&ports[i].to_string())),
            ("peer_bind", s(&ports[zones.len() + i].to_string())),
            ("others", Json::Arr(others)),
            (
                "external",
                obj(vec![("cloud", s(&cloud.to_string())), ("state", s(&state[i].to_string()))]),
            ),
            ("params", Json::parse(params).expect("valid params")),
        ]);
        let config = format!("{folder}/node-{i}.json");
        std::fs::write(&config, settings.text()).expect("the folder can be written");
        nodes.push(Node {
            name: name(i),
            http: ports[i],
            config,
            root: root.to_string(),
            log: format!("{folder}/node-{i}.log"),
            pids: format!("{folder}/pids"),
            child: None,
        });
    }
    nodes
}

/// Waits until a condition holds, for `seconds` at most.
pub fn wait_for(seconds: f64, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
