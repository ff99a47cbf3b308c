//! A stand-in for the state service: keys, leases, transactions, a log of changes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::dev::Service;
use actix_web::{web, App, HttpResponse, HttpServer};
use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Value};

use crate::{trouble, Shared};

/// The state service: keys, leases without end (unless ended), a log of changes.
#[derive(Default)]
pub struct State {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    log: Vec<Value>,
    epoch: u64,
    leases: u64,
    ended: BTreeSet<u64>,
    /// Leases that end unless they are renewed, each with its time and the moment at which it ends.
    ends: BTreeMap<u64, (Duration, Instant)>,
    /// Whether leases end by themselves; set it before the first is granted.
    pub expires: bool,
    /// Puts of teams' values that cells share.
    pub shared_puts: u64,
    /// Answers 503 to everything.
    pub down: bool,
    /// Executes the next transaction on a job record but breaks off the answer.
    pub lose_next_txn: bool,
    pub trouble: Option<Trouble>,
    /// Items of a page.
    pub page: Option<usize>,
}

/// Items of a page unless a test says otherwise: few, so that reading on is exercised.
const SHORT_PAGE: usize = 2;

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

async fn list(
    s: web::Data<Shared<State>>,
    q: web::Query<BTreeMap<String, String>>,
) -> HttpResponse {
    let answer = list_now(&s, &q);
    on_its_way(&s).await;
    answer
}

fn list_now(s: &Shared<State>, q: &BTreeMap<String, String>) -> HttpResponse {
    let mut s = s.lock().unwrap();
    if s.down {
        return trouble();
    }
    s.expire();
    let prefix = q.get("prefix").cloned().unwrap_or_default();
    let from = q.get("from").cloned().unwrap_or_default();
    let rows: Vec<Value> = s
        .keys
        .iter()
        .filter(|(k, _)| k.starts_with(&prefix) && **k > from)
        .map(|(k, (v, stamp, _))| json!({"k": k, "data": v, "stamp": stamp}))
        .collect();
    let page = s.page.unwrap_or(SHORT_PAGE);
    let truncated = rows.len() > page;
    let rows: Vec<Value> = rows.into_iter().take(page).collect();
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
    let mut s = s.lock().unwrap();
    if s.down {
        return trouble();
    }
    s.expire();
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
    s.expire();
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
            s.shared_puts += u64::from(key.starts_with("quota/team/"));
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

async fn grant(s: web::Data<Shared<State>>, body: web::Json<Value>) -> HttpResponse {
    let mut s = s.lock().unwrap();
    if s.down {
        return trouble();
    }
    s.leases += 1;
    if s.expires {
        let time = Duration::from_millis(body["ttl_ms"].as_u64().unwrap());
        let lease = s.leases;
        s.ends.insert(lease, (time, Instant::now() + time));
    }
    HttpResponse::Ok().json(json!({"charter": s.leases}))
}

async fn renew(s: web::Data<Shared<State>>, id: web::Path<u64>) -> HttpResponse {
    let mut s = s.lock().unwrap();
    if s.down {
        return trouble();
    }
    s.expire();
    if s.ended.contains(&id) {
        return HttpResponse::NotFound().json(json!({"error": "no such lease"}));
    }
    if let Some((time, ends)) = s.ends.get_mut(&id) {
        *ends = Instant::now() + *time;
    }
    HttpResponse::Ok().json(json!({}))
}

async fn end(s: web::Data<Shared<State>>, id: web::Path<u64>) -> HttpResponse {
    s.lock().unwrap().end(*id);
    HttpResponse::Ok().json(json!({}))
}

impl State {
    /// Ends the leases that were not renewed in time.
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.ends.iter().filter(|(_, (_, ends))| *ends < now).map(|(id, _)| *id).collect();
        for id in over {
            self.ends.remove(&id);
            self.end(id);
        }
    }

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

/// Serves the state service on a port of its own, which can be refused by itself.
pub fn serve_state(state: Shared<State>, refused: Arc<AtomicBool>) -> u16 {
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
