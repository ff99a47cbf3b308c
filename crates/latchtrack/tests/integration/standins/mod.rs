//! Stand-ins for state service, cloud and workers, on loopback.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use actix_web::dev::Service;

use actix_web::{web, App, HttpResponse, HttpServer};
use latchtrack::node;
use latchtrack::settings::{Platform, Settings, Tuning};
use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Value};
use tokio::net::TcpListener;

/// The state service: keys, leases without end (unless ended), a log of changes.
#[derive(Default)]
pub struct State {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    log: Vec<Value>,
    epoch: u64,
    leases: u64,
    ended: BTreeSet<u64>,
    /// Answers 503 to everything.
    pub down: bool,
    /// Executes the next transaction on a job record but breaks off the answer.
    pub lose_next_txn: bool,
    pub trouble: Option<Trouble>,
}

/// Chance troubles: what is asked takes its time, before and after it is executed.
pub struct Trouble {
    pub rng: StdRng,
    /// ms at most before an answer goes out, which is then as old.
    pub slow_ms: u64,
    /// Chance that a transaction is carried out at once and only its answer is lost, and that it gets
    /// no answer and is carried out within so many ms, after newer ones.
    pub lost: f64,
    pub late: f64,
    pub late_ms: u64,
    /// How often these came about.
    pub met: [u32; 2],
}

/// What becomes of a transaction's answer, or of the transaction.
enum Fate {
    Answered,
    Lost,
    Late(u64),
}

impl Trouble {
    fn fate(&mut self) -> Fate {
        if self.rng.random_bool(self.lost) {
            self.met[0] += 1;
            return Fate::Lost;
        }
        if self.rng.random_bool(self.late) {
            self.met[1] += 1;
            return Fate::Late(self.rng.random_range(0..=self.late_ms));
        }
        Fate::Answered
    }
}

/// Waits for as long as an answer takes on its way.
async fn on_its_way(s: &Shared<State>) {
    let ms = match &mut s.lock().unwrap().trouble {
        Some(t) => t.rng.random_range(0..=t.slow_ms),
        None => return,
    };
    actix_web::rt::time::sleep(std::time::Duration::from_millis(ms)).await;
}

pub type Shared<T> = std::sync::Arc<std::sync::Mutex<T>>;

fn trouble() -> HttpResponse {
    HttpResponse::ServiceUnavailable().json(json!({"error": "trouble"}))
}

async fn list(
    s: web::Data<Shared<State>>,
    q: web::Query<BTreeMap<String, String>>,
) -> HttpResponse {
    let answer = list_now(&s, &q);
    on_its_way(&s).await;
    answer
}

fn list_now(s: &Shared<State>, q: &BTreeMap<String, String>) -> HttpResponse {
    let s = s.lock().unwrap();
    if s.down {
        return trouble();
    }
    let prefix = q.get("prefix").cloned().unwrap_or_default();
    let from = q.get("from").cloned().unwrap_or_default();
    let rows: Vec<Value> = s
        .keys
        .iter()
        .filter(|(k, _)| k.starts_with(&prefix) && **k > from)
        .map(|(k, (v, stamp, _))| json!({"k": k, "data": v, "stamp": stamp}))
        .collect();
    // Two to a page, so that reading on is exercised.
    let truncated = rows.len() > 2;
    let rows: Vec<Value> = rows.into_iter().take(2).collect();
    HttpResponse::Ok().json(json!({"rows": rows, "truncated": truncated, "epoch": s.epoch}))
}

async fn watch(
    s: web::Data<Shared<State>>,
    q: web::Query<BTreeMap<String, String>>,
) -> HttpResponse {
    let answer = watch_now(&s, &q);
    on_its_way(&s).await;
    answer
}

fn watch_now(s: &Shared<State>, q: &BTreeMap<String, String>) -> HttpResponse {
    let s = s.lock().unwrap();
    if s.down {
        return trouble();
    }
    let prefix = q.get("prefix").cloned().unwrap_or_default();
    let from: u64 = q.get("from").and_then(|f| f.parse().ok()).unwrap_or(0);
    let log: Vec<&Value> = s
        .log
        .iter()
        .filter(|e| e["stamp"].as_u64() > Some(from))
        .filter(|e| {
            let key = e["put"].as_str().or(e["drop"].as_str()).unwrap_or_default();
            key.starts_with(&prefix)
        })
        .collect();
    HttpResponse::Ok().json(json!({"epoch": s.epoch, "log": log}))
}

async fn item(s: web::Data<Shared<State>>, key: web::Path<String>) -> HttpResponse {
    let s = s.lock().unwrap();
    if s.down {
        return trouble();
    }
    match s.keys.get(&*key) {
        Some((v, stamp, _)) => {
            HttpResponse::Ok().json(json!({"k": *key, "data": v, "stamp": stamp}))
        }
        None => HttpResponse::NotFound().json(json!({"epoch": s.epoch})),
    }
}

async fn txn(s: web::Data<Shared<State>>, body: web::Json<Value>) -> HttpResponse {
    let fate = s.lock().unwrap().trouble.as_mut().map_or(Fate::Answered, Trouble::fate);
    if let Fate::Late(ms) = fate {
        let s = s.clone();
        actix_web::rt::spawn(async move {
            actix_web::rt::time::sleep(std::time::Duration::from_millis(ms)).await;
            txn_now(&s, &body);
        });
        return HttpResponse::InternalServerError().force_close().finish();
    }
    let answer = txn_now(&s, &body);
    on_its_way(&s).await;
    match fate {
        Fate::Lost => HttpResponse::InternalServerError().force_close().finish(),
        _ => answer,
    }
}

fn txn_now(s: &Shared<State>, body: &Value) -> HttpResponse {
    let mut s = s.lock().unwrap();
    if s.down {
        return trouble();
    }
    let failed: Vec<String> = body["if"]
        .as_array()
        .unwrap()
        .iter()
        .filter(|c| {
            let have = s.keys.get(c["k"].as_str().unwrap()).map_or(0, |(_, stamp, _)| *stamp);
            c["stamp"].as_u64() != Some(have)
        })
        .map(|c| c["k"].as_str().unwrap().to_string())
        .collect();
    if !failed.is_empty() {
        return HttpResponse::Conflict().json(json!({"failed": failed, "epoch": s.epoch}));
    }
    s.epoch += 1;
    let epoch = s.epoch;
    for change in body["apply"].as_array().unwrap() {
        if let Some(key) = change["put"].as_str() {
            let data = change["data"].clone();
            s.log.push(json!({"put": key, "data": data, "stamp": epoch}));
            s.keys.insert(key.into(), (data, epoch, change["charter"].as_u64()));
        } else if let Some(key) = change["drop"].as_str() {
            s.log.push(json!({"drop": key, "stamp": epoch}));
            s.keys.remove(key);
        }
    }
    // The leader writes at times of its own.
    let of_job = body["apply"][0]["put"].as_str().is_some_and(|k| k.starts_with("live/job/"));
    if of_job && std::mem::take(&mut s.lose_next_txn) {
        // An answer that tells nothing: the outcome is unknown.
        return HttpResponse::InternalServerError().force_close().finish();
    }
    HttpResponse::Ok().json(json!({"epoch": epoch}))
}

async fn grant(s: web::Data<Shared<State>>) -> HttpResponse {
    let mut s = s.lock().unwrap();
    if s.down {
        return trouble();
    }
    s.leases += 1;
    HttpResponse::Ok().json(json!({"charter": s.leases}))
}

async fn renew(s: web::Data<Shared<State>>, id: web::Path<u64>) -> HttpResponse {
    let s = s.lock().unwrap();
    if s.down {
        return trouble();
    }
    if s.ended.contains(&id) {
        return HttpResponse::NotFound().json(json!({"error": "no such lease"}));
    }
    HttpResponse::Ok().json(json!({}))
}

async fn end(s: web::Data<Shared<State>>, id: web::Path<u64>) -> HttpResponse {
    s.lock().unwrap().end(*id);
    HttpResponse::Ok().json(json!({}))
}

impl State {
    /// A lease ends, and its keys go.
    pub fn end(&mut self, id: u64) {
        self.ended.insert(id);
        self.epoch += 1;
        let epoch = self.epoch;
        let gone: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, (_, _, lease))| *lease == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        for key in gone {
            self.keys.remove(&key);
            self.log.push(json!({"drop": key, "stamp": epoch}));
        }
    }

    /// A transaction of somebody else is applied.
    pub fn put(&mut self, key: &str, data: Value, lease: Option<u64>) {
        self.epoch += 1;
        let epoch = self.epoch;
        self.log.push(json!({"put": key, "data": data, "stamp": epoch}));
        self.keys.insert(key.into(), (data, epoch, lease));
    }

    /// The node that leads, and its key's stamp and lease.
    pub fn leader(&self) -> Option<(String, u64, Option<u64>)> {
        let (record, stamp, lease) = self.keys.get("live/leader")?;
        Some((record["node"].as_str()?.to_string(), *stamp, *lease))
    }
}

/// The cloud: one type, machines without number.
#[derive(Default)]
pub struct Sky {
    pub rented: Vec<String>,
    pub deleted: Vec<String>,
    /// Answers 503 to who asks for the types.
    pub down: bool,
    hires: BTreeMap<String, Vec<String>>,
}

async fn types(s: web::Data<Shared<Sky>>) -> HttpResponse {
    if s.lock().unwrap().down {
        return trouble();
    }
    HttpResponse::Ok().json(json!({"builds": [{"sku": "t1", "cores": 8, "cards": 0,
        "memory_gb": 32, "local_gb": 20, "pull_gb_per_s": 1.0, "price": 1.0, "spot_price": 0.3,
        "ready_s": 1, "yards": ["a"], "new": {}}]}))
}

async fn rentals(s: web::Data<Shared<Sky>>, body: web::Json<Value>) -> HttpResponse {
    let mut s = s.lock().unwrap();
    let hire = body["hire"].as_str().unwrap().to_string();
    let number = body["number"].as_u64().unwrap() as usize;
    let names = match s.hires.get(&hire) {
        Some(names) => names.clone(),
        None => {
            let first = s.rented.len();
            let names: Vec<String> = (first..first + number).map(|i| format!("n-{i:06}")).collect();
            s.rented.extend(names.clone());
            s.hires.insert(hire, names.clone());
            names
        }
    };
    HttpResponse::Ok().json(json!({"hosts": names}))
}

async fn delete(s: web::Data<Shared<Sky>>, body: web::Json<Value>) -> HttpResponse {
    let names = body["hosts"].as_array().unwrap().iter().map(|n| n.as_str().unwrap().to_string());
    s.lock().unwrap().deleted.extend(names);
    HttpResponse::Ok().json(json!({"hosts": []}))
}

async fn no_list() -> HttpResponse {
    HttpResponse::Ok().json(json!({"hosts": [], "truncated": false}))
}

pub struct Site {
    pub state: Shared<State>,
    pub sky: Shared<Sky>,
    /// Refuses the nodes behind each door.
    pub refused: [Arc<AtomicBool>; 3],
    doors: [u16; 3],
    cloud: u16,
}

/// Starts state service and cloud.
pub fn site() -> Site {
    let state: Shared<State> = Default::default();
    let sky: Shared<Sky> = Default::default();
    let refused: [Arc<AtomicBool>; 3] = Default::default();
    let doors = [0, 1, 2].map(|i| door(state.clone(), refused[i].clone()));
    let s = sky.clone();
    let cloud = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(s.clone()))
            .route("/machine_types", web::get().to(types))
            .route("/rentals", web::post().to(rentals))
            .route("/rentals", web::get().to(no_list))
            .route("/rentals/delete", web::post().to(delete))
    })
    .workers(1)
    .bind(("127.0.0.1", 0))
    .unwrap();
    let cloud_port = cloud.addrs()[0].port();
    actix_web::rt::spawn(cloud.run());
    Site { state, sky, refused, doors, cloud: cloud_port }
}

/// A way to the state service, which can be refused by itself.
fn door(state: Shared<State>, refused: Arc<AtomicBool>) -> u16 {
    let server = HttpServer::new(move || {
        let refused = refused.clone();
        App::new()
            .wrap_fn(move |req, service| {
                let refused = refused.load(Ordering::Relaxed);
                let answer = (!refused).then(|| service.call(req));
                async move {
                    match answer {
                        Some(answer) => answer.await,
                        None => Err(actix_web::error::ErrorServiceUnavailable("refused")),
                    }
                }
            })
            .app_data(web::Data::new(state.clone()))
            .route("/store", web::get().to(list))
            .route("/store/{key:.*}", web::get().to(item))
            .route("/watch", web::get().to(watch))
            .route("/txn", web::post().to(txn))
            .route("/grants", web::post().to(grant))
            .route("/grants/{id}/renew", web::post().to(renew))
            .route("/grants/{id}", web::delete().to(end))
    })
    .workers(1)
    .bind(("127.0.0.1", 0))
    .unwrap();
    let port = server.addrs()[0].port();
    actix_web::rt::spawn(server.run());
    port
}

impl Site {
    /// Starts a node; returns where users and workers find it.
    pub async fn node(&self, name: &str) -> String {
        let peers = TcpListener::bind("127.0.0.1:0").await.unwrap();
        self.start(name, 0, peers, &[]).await
    }

    /// Starts two nodes that know each other, each behind a door of its own.
    pub async fn pair(&self) -> [String; 2] {
        let one = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let two = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = |l: &TcpListener| l.local_addr().unwrap().to_string();
        let (a, b) = (at(&one), at(&two));
        [
            self.start("one", 0, one, &[("two", &b)]).await,
            self.start("two", 1, two, &[("one", &a)]).await,
        ]
    }

    /// Starts three nodes that know each other, each behind a door of its own.
    pub async fn trio(&self) -> [String; 3] {
        let names = ["one", "two", "three"];
        let mut peers = Vec::new();
        for _ in names {
            peers.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let at: Vec<String> = peers.iter().map(|l| l.local_addr().unwrap().to_string()).collect();
        let mut nodes = Vec::new();
        for (i, listener) in peers.into_iter().enumerate() {
            let others: Vec<(&str, &String)> =
                (0..names.len()).filter(|o| *o != i).map(|o| (names[o], &at[o])).collect();
            nodes.push(self.start(names[i], i, listener, &others).await);
        }
        nodes.try_into().unwrap()
    }

    async fn start(
        &self,
        name: &str,
        door: usize,
        peers: TcpListener,
        others: &[(&str, &String)],
    ) -> String {
        let users = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = format!("http://{}", users.local_addr().unwrap());
        let settings = self.settings(name, door, &users, &peers, others);
        actix_web::rt::spawn(node::serve(settings, users, peers));
        at
    }

    /// The settings of a node that listens there.
    pub fn settings(
        &self,
        name: &str,
        door: usize,
        users: &TcpListener,
        peers: &TcpListener,
        others: &[(&str, &String)],
    ) -> Settings {
        let others: Vec<Value> = others
            .iter()
            .map(|(name, at)| json!({"node_name": name, "domain": "a", "endpoint": at}))
            .collect();
        let platform: Platform = serde_json::from_value(json!({
            "node_name": name, "domain": "a",
            "bind": users.local_addr().unwrap().to_string(),
            "peer_bind": peers.local_addr().unwrap().to_string(),
            "others": others,
            "external": {"state": format!("127.0.0.1:{}", self.doors[door]),
                         "cloud": format!("127.0.0.1:{}", self.cloud)},
            "params": {"zones": ["a"],
                "teams": [{"name": "team"}, {"name": "small", "cpus_max": 2.0}],
                "workers": {"report_s": 1.0, "lease_s": 10.0, "cancel_s": 20.0,
                    "gang_wait_s": 5.0, "gang_peer_s": 2.0},
                "state": {"rps": 1000.0, "write_rps": 1000.0, "value_kb": 4.0, "txn_ops": 8,
                    "next": {"value_kb": 2.0, "txn_ops": 4}},
                "cloud": {"rps": 100.0, "list_lag_s": 1.0},
                "machine_limits": {"cpu": 1.0, "mem_mb": 100.0, "max_sockets": 200}}
        }))
        .unwrap();
        let settings = Settings { platform, tuning: Tuning::default() };
        settings.check().unwrap();
        settings
    }
}

/// An answer: status, `Retry-After`, body.
pub type Got = (u16, Option<String>, Value);

pub async fn call(method: &str, url: &str, body: Option<&[u8]>) -> Got {
    let client = awc::Client::builder().timeout(std::time::Duration::from_secs(20)).finish();
    let request = client.request(method.parse().unwrap(), url);
    let sent = match body {
        Some(b) => request.send_body(b.to_vec()),
        None => request.send(),
    };
    let mut answer = sent.await.unwrap();
    let after = answer.headers().get("retry-after").map(|v| v.to_str().unwrap().to_string());
    let body = answer.body().await.unwrap();
    (answer.status().as_u16(), after, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

pub async fn post(url: &str, body: &Value) -> Got {
    call("POST", url, Some(body.to_string().as_bytes())).await
}

pub async fn get(url: &str) -> Got {
    call("GET", url, None).await
}

/// Asks again until the answer is as wanted; gives up after many tries.
pub async fn until(what: &str, url: &str, good: impl Fn(&Got) -> bool) -> Got {
    let mut last = None;
    for _ in 0..600 {
        let got = get(url).await;
        if good(&got) {
            return got;
        }
        last = Some(got);
        actix_web::rt::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("{what}: {last:?}");
}

/// A worker that executes what it is told and finishes every task at once.
pub struct Worker {
    pub name: String,
    pub addr: String,
    inner: Rc<RefCell<WorkerState>>,
}

#[derive(Default)]
struct WorkerState {
    seq: u64,
    token: u64,
    tasks: BTreeMap<(String, u64), &'static str>,
}

impl Worker {
    pub fn new(name: &str) -> Self {
        // Nobody listens there: only the answers to its reports reach it.
        let addr = "127.0.0.1:9".to_string();
        Worker { name: name.into(), addr, inner: Default::default() }
    }

    pub fn body(&self) -> Value {
        let mut w = self.inner.borrow_mut();
        w.seq += 1;
        let tasks: Vec<Value> = w
            .tasks
            .iter()
            .map(|((task, attempt), cause)| {
                json!({"piece": task, "try": attempt, "status": "ended", "cause": cause})
            })
            .collect();
        json!({"host": self.name, "addr": self.addr, "build": "t1", "yard": "a", "loaners": true,
            "shift": 1, "tally": w.seq, "baton": w.token, "recall_s": null, "pieces": tasks})
    }

    /// One report, and what the answer says is done; the commands.
    pub async fn report(&self, node: &str) -> Got {
        let got = post(&format!("{node}/v1/report"), &self.body()).await;
        if got.0 == 200 {
            let mut w = self.inner.borrow_mut();
            w.token = got.2["baton"].as_u64().unwrap();
            for o in got.2["orders"].as_array().unwrap() {
                let key = (o["piece"].as_str().unwrap().to_string(), o["try"].as_u64().unwrap());
                match o["verb"].as_str().unwrap() {
                    "launch" => {
                        w.tasks.entry(key).or_insert("done");
                    }
                    "stop" => {
                        w.tasks.insert(key, "halted");
                    }
                    "forget" => {
                        w.tasks.remove(&key);
                    }
                    other => panic!("{other}"),
                }
            }
        }
        got
    }
}
