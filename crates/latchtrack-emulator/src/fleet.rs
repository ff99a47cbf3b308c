//! A fleet of workers behind real sockets: they report, take commands, run tasks for as long as their jobs
//! say, save when told to, and lose what they run with their lease. Troubles come as a test says, and by
//! seed: cuts, pauses, crashes, lost answers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

use crate::cloud::CloudState;
use crate::history::{Entry, Happened, History, LoadSample};
use crate::Shared;

/// CPUs of a machine of the stand-in cloud.
pub const MACHINE_CPUS: f64 = 8.0;
/// ms between two looks at what is due.
const STEP: Duration = Duration::from_millis(20);
/// A worker waits so long for the answer to a report.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// ms until a worker tries the next node.
const NEXT_NODE_MS: u64 = 1_000;
/// ms between two samples of the loads.
const SAMPLE_MS: u64 = 1_000;

/// How the workers of a fleet behave.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    pub seed: u64,
    /// Machines that may be rented; later ones never come up.
    pub machines: usize,
    pub report_ms: u64,
    pub lease_ms: u64,
    pub boot_ms: u64,
    /// ms that the fetch of an image takes.
    pub fetch_ms: u64,
    /// Chance that the answer to a report or a direct call is lost.
    pub loss: f64,
    /// The nodes by name, with where workers find them.
    pub nodes: Vec<(String, String)>,
}

/// What workers know of a job: users upload its description.
#[derive(Clone, Debug, Default)]
pub struct JobShape {
    pub cpus: f64,
    pub image: String,
    pub run_ms: u64,
    /// ms that saving takes; None: its tasks never save.
    pub save_ms: Option<u64>,
}

#[derive(Clone, Debug)]
struct Task {
    status: &'static str,
    cause: Option<&'static str>,
    until_ms: u64,
    /// When it began to run.
    since_ms: u64,
}

#[derive(Debug, Default)]
struct Machine {
    addr: String,
    up_at_ms: u64,
    session: u64,
    seq: u64,
    token: u64,
    lease_from_ms: u64,
    next_report_ms: u64,
    is_reporting: bool,
    node: usize,
    tasks: BTreeMap<(String, u64), Task>,
    images: BTreeSet<String>,
    /// Nothing passes between it and the nodes, or it does not execute anything.
    cut_until_ms: u64,
    paused_until_ms: u64,
    crashed: bool,
    /// Refuses every launch for want of room until then.
    full_until_ms: u64,
}

/// The workers of a fleet and what they have recorded.
pub struct FleetState {
    settings: FleetSettings,
    rng: StdRng,
    began: Instant,
    machines: BTreeMap<String, Machine>,
    /// Addresses that are listened on, for machines to come.
    free_addrs: Vec<String>,
    jobs: BTreeMap<String, JobShape>,
    /// Progress of tasks that have saved, in ms.
    saved_ms: BTreeMap<String, u64>,
    pub history: History,
}

/// Starts a fleet for a cloud; its workers come up as machines are rented.
pub fn start(settings: FleetSettings, cloud: Shared<CloudState>) -> Shared<FleetState> {
    let fleet: Shared<FleetState> = Shared::new(std::sync::Mutex::new(FleetState {
        rng: StdRng::seed_from_u64(settings.seed),
        began: Instant::now(),
        machines: BTreeMap::new(),
        free_addrs: Vec::new(),
        jobs: BTreeMap::new(),
        saved_ms: BTreeMap::new(),
        history: History::default(),
        settings,
    }));
    listen(&fleet);
    actix_web::rt::spawn(work(fleet.clone(), cloud));
    fleet
}

/// One server listens on the addresses of all workers, and tells them apart by these.
fn listen(fleet: &Shared<FleetState>) {
    let data = fleet.clone();
    let mut server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(data.clone()))
            .route("/do", web::post().to(direct_call))
            .route("/status", web::get().to(status))
    })
    .workers(1);
    let machines = fleet.lock().unwrap().settings.machines;
    for _ in 0..machines {
        server = server.bind(("127.0.0.1", 0)).unwrap();
    }
    let mut addrs: Vec<String> = server.addrs().iter().map(|addr| addr.to_string()).collect();
    addrs.reverse();
    fleet.lock().unwrap().free_addrs = addrs;
    actix_web::rt::spawn(server.run());
}

async fn direct_call(
    fleet: web::Data<Shared<FleetState>>,
    request: HttpRequest,
    body: web::Json<Value>,
) -> HttpResponse {
    let addr = request.app_config().local_addr().to_string();
    // What is sent into a cut, or to a machine that pauses, arrives when that is over.
    let Some(wait_ms) = fleet.lock().unwrap().unreachable_ms(&addr) else {
        return HttpResponse::InternalServerError().force_close().finish();
    };
    actix_web::rt::time::sleep(Duration::from_millis(wait_ms)).await;
    let mut fleet = fleet.lock().unwrap();
    let answer = fleet.on_call(&addr, &body);
    match answer {
        Some((status, report)) if wait_ms == 0 && !fleet.loses() => {
            let status = actix_web::http::StatusCode::from_u16(status).unwrap();
            HttpResponse::build(status).json(report)
        }
        _ => HttpResponse::InternalServerError().force_close().finish(),
    }
}

async fn status(fleet: web::Data<Shared<FleetState>>, request: HttpRequest) -> HttpResponse {
    let addr = request.app_config().local_addr().to_string();
    let mut fleet = fleet.lock().unwrap();
    let name = fleet.named(&addr).filter(|_| fleet.unreachable_ms(&addr) == Some(0));
    match name.and_then(|name| fleet.report(&name)) {
        Some(report) => HttpResponse::Ok().json(report),
        None => HttpResponse::InternalServerError().force_close().finish(),
    }
}

/// Runs the fleet: what is due on each machine, and their reports.
async fn work(fleet: Shared<FleetState>, cloud: Shared<CloudState>) {
    let client = awc::Client::builder().timeout(ANSWER_TIMEOUT).finish();
    loop {
        let due = {
            let mut fleet = fleet.lock().unwrap();
            fleet.follow(&cloud.lock().unwrap());
            fleet.advance();
            fleet.sample();
            fleet.reports_due()
        };
        for (name, url, session, body) in due {
            let request = client.post(format!("{url}/v1/report")).send_json(&body);
            let fleet = fleet.clone();
            actix_web::rt::spawn(async move {
                let answer = match request.await {
                    Ok(mut answer) => {
                        let body = answer.body().await.unwrap_or_default();
                        let value = serde_json::from_slice(&body).unwrap_or(Value::Null);
                        Some((answer.status().as_u16(), value))
                    }
                    Err(_) => None,
                };
                fleet.lock().unwrap().on_answer(&name, session, answer);
            });
        }
        actix_web::rt::time::sleep(STEP).await;
    }
}

impl FleetState {
    /// When the fleet began.
    pub fn began(&self) -> Instant {
        self.began
    }

    /// ms since the fleet began.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Tells the workers of a job.
    pub fn upload(&mut self, id: &str, shape: JobShape) {
        self.jobs.insert(id.into(), shape);
    }

    /// Machines that are up.
    pub fn up(&self) -> Vec<String> {
        let now = self.now_ms();
        let up = self.machines.iter().filter(|(_, m)| !m.crashed && now >= m.up_at_ms);
        up.map(|(name, _)| name.clone()).collect()
    }

    /// CPUs in use on a machine.
    pub fn used(&self, name: &str) -> f64 {
        let tasks = self.machines.get(name).into_iter().flat_map(|m| &m.tasks);
        let live = tasks.filter(|(_, task)| task.status != "ended");
        live.map(|((task, _), _)| self.shape_of(task).cpus).sum()
    }

    /// Machines on which tasks are told to save and stop just now.
    pub fn saving(&self) -> Vec<String> {
        let saves = |m: &Machine| m.tasks.values().any(|task| task.status == "flushing");
        self.machines.iter().filter(|(_, m)| saves(m)).map(|(name, _)| name.clone()).collect()
    }

    /// Nothing passes between a machine and the nodes for so long.
    pub fn cut(&mut self, name: &str, ms: u64) {
        let until = self.now_ms() + ms;
        self.change(name, |m| m.cut_until_ms = until);
    }

    /// A machine executes nothing for so long.
    pub fn pause(&mut self, name: &str, ms: u64) {
        let until = self.now_ms() + ms;
        self.change(name, |m| {
            m.paused_until_ms = until;
            for task in m.tasks.values_mut() {
                task.until_ms = task.until_ms.saturating_add(ms);
            }
        });
    }

    /// A machine stops with all that is on it.
    pub fn crash(&mut self, name: &str) {
        self.end_all(name);
        self.change(name, |m| m.crashed = true);
    }

    /// A machine says of every launch that it has no room, for so long.
    pub fn refuse(&mut self, name: &str, ms: u64) {
        let until = self.now_ms() + ms;
        self.change(name, |m| m.full_until_ms = until);
    }

    fn change(&mut self, name: &str, what: impl FnOnce(&mut Machine)) {
        if let Some(m) = self.machines.get_mut(name) {
            what(m);
        }
    }

    fn loses(&mut self) -> bool {
        let loss = self.settings.loss;
        self.rng.random_bool(loss)
    }

    fn shape_of(&self, task: &str) -> JobShape {
        let id = task.split('/').next().unwrap_or_default();
        self.jobs.get(id).cloned().unwrap_or_default()
    }

    fn record(&mut self, machine: &str, key: &(String, u64), happened: Happened) {
        let at_ms = self.now_ms();
        let (task, attempt) = key.clone();
        let machine = machine.to_string();
        self.history.entries.push(Entry { at_ms, machine, task, attempt, happened });
    }

    fn named(&self, addr: &str) -> Option<String> {
        self.machines.iter().find(|(_, m)| m.addr == addr).map(|(name, _)| name.clone())
    }

    /// ms until what is sent to a machine arrives; None: never.
    fn unreachable_ms(&self, addr: &str) -> Option<u64> {
        let m = &self.machines[&self.named(addr)?];
        let until = m.cut_until_ms.max(m.paused_until_ms);
        (!m.crashed).then(|| until.saturating_sub(self.now_ms()))
    }

    /// Boots machines that were rented, ends those that were deleted.
    fn follow(&mut self, cloud: &CloudState) {
        let now = self.now_ms();
        for name in &cloud.rented {
            if self.machines.contains_key(name) {
                continue;
            }
            let Some(addr) = self.free_addrs.pop() else { break };
            let up_at_ms = now + self.settings.boot_ms;
            let m = Machine { addr, up_at_ms, next_report_ms: up_at_ms, ..Machine::default() };
            self.machines.insert(name.clone(), m);
        }
        for name in &cloud.deleted {
            if self.machines.get(name).is_some_and(|m| !m.crashed) {
                self.crash(name);
            }
        }
    }

    /// What is due on each machine.
    fn advance(&mut self) {
        let now = self.now_ms();
        for name in self.machines.keys().cloned().collect::<Vec<_>>() {
            let Some(m) = self.machines.get_mut(&name) else { continue };
            if m.crashed || now < m.up_at_ms || now < m.paused_until_ms {
                continue;
            }
            if m.session == 0 {
                (m.session, m.lease_from_ms) = (1, now);
            }
            if now > m.lease_from_ms + self.settings.lease_ms {
                (m.session, m.lease_from_ms) = (m.session + 1, now);
                self.end_all(&name);
            }
            self.advance_tasks(&name, now);
        }
    }

    fn advance_tasks(&mut self, name: &str, now: u64) {
        let due = |task: &&Task| task.status != "ended" && task.until_ms <= now;
        let keys: Vec<(String, u64)> = self.machines[name]
            .tasks
            .iter()
            .filter(|(_, task)| due(task))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            let shape = self.shape_of(&key.0);
            let saved = self.saved_ms.get(&key.0).copied().unwrap_or(0);
            let Some(m) = self.machines.get_mut(name) else { return };
            let Some(task) = m.tasks.get_mut(&key) else { continue };
            m.next_report_ms = m.next_report_ms.min(now + 100);
            let happened = match task.status {
                "pulling" => {
                    let left = shape.run_ms.saturating_sub(saved);
                    (task.status, task.since_ms, task.until_ms) = ("running", now, now + left);
                    m.images.insert(shape.image);
                    Happened::Started
                }
                "running" => {
                    (task.status, task.cause) = ("ended", Some("done"));
                    Happened::Done
                }
                _ => {
                    (task.status, task.cause) = ("ended", Some("halted"));
                    let ran = now.saturating_sub(task.since_ms);
                    let kept = self.saved_ms.entry(key.0.clone()).or_default();
                    *kept += ran.saturating_sub(shape.save_ms.unwrap_or(0));
                    Happened::Gone
                }
            };
            self.record(name, &key, happened);
        }
    }

    /// All that is on a machine is gone.
    fn end_all(&mut self, name: &str) {
        let Some(m) = self.machines.get_mut(name) else { return };
        let tasks = std::mem::take(&mut m.tasks);
        for (key, task) in tasks {
            if matches!(task.status, "running" | "flushing") {
                self.record(name, &key, Happened::Gone);
            }
        }
    }

    fn sample(&mut self) {
        let now = self.now_ms();
        let last = self.history.loads.last().map(|sample| sample.at_ms);
        if last.is_some_and(|at| now < at + SAMPLE_MS) {
            return;
        }
        let up = self.up();
        let loads: Vec<f64> = up.iter().map(|name| self.used(name) / MACHINE_CPUS).collect();
        let greatest = loads.iter().copied().fold(0.0, f64::max);
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let sample = LoadSample { at_ms: now, greatest, mean, machines: loads.len() };
        self.history.loads.push(sample);
    }

    /// The reports that are to be sent now: of which machine, where to, in which session.
    fn reports_due(&mut self) -> Vec<(String, String, u64, Value)> {
        let now = self.now_ms();
        let mut due = Vec::new();
        for name in self.up() {
            let m = &self.machines[&name];
            if m.is_reporting || now < m.next_report_ms || now < m.paused_until_ms {
                continue;
            }
            let lost = now < m.cut_until_ms;
            let url = self.settings.nodes[m.node % self.settings.nodes.len()].1.clone();
            let every = self.settings.report_ms;
            let varied = self.rng.random_range(every * 3 / 4..=every * 5 / 4);
            let Some(body) = self.report(&name) else { continue };
            let Some(m) = self.machines.get_mut(&name) else { continue };
            m.next_report_ms = now + varied;
            if lost {
                // No answer within its time; then the next node.
                m.next_report_ms = now + ANSWER_TIMEOUT.as_millis() as u64;
                m.node += 1;
                continue;
            }
            m.is_reporting = true;
            due.push((name, url, m.session, body));
        }
        due
    }

    /// What a machine says of itself.
    fn report(&mut self, name: &str) -> Option<Value> {
        let m = self.machines.get_mut(name)?;
        m.seq += 1;
        let tasks: Vec<Value> = m
            .tasks
            .iter()
            .map(|((task, attempt), state)| {
                let mut row = json!({"piece": task, "try": attempt, "status": state.status});
                if let Some(cause) = state.cause {
                    row["cause"] = json!(cause);
                    row["stored"] = json!(cause == "halted");
                }
                row
            })
            .collect();
        Some(json!({"host": name, "addr": m.addr, "build": "t1", "yard": "a", "loaners": true,
            "shift": m.session.max(1), "tally": m.seq, "baton": m.token, "recall_s": null,
            "pieces": tasks}))
    }

    /// A direct call: its status and the report after it.
    fn on_call(&mut self, addr: &str, body: &Value) -> Option<(u16, Value)> {
        let name = self.named(addr)?;
        let m = &self.machines[&name];
        if m.crashed || self.now_ms() < m.up_at_ms {
            return None;
        }
        let (token, session) = (body["baton"].as_u64()?, body["shift"].as_u64()?);
        if token < m.token || session != m.session.max(1) {
            return Some((409, self.report(&name)?));
        }
        self.execute(&name, token, &body["orders"]);
        Some((200, self.report(&name)?))
    }

    /// The answer to a report, if there was one.
    fn on_answer(&mut self, name: &str, session: u64, answer: Option<(u16, Value)>) {
        let (now, lost) = (self.now_ms(), self.loses());
        let nodes = self.settings.nodes.clone();
        let Some(m) = self.machines.get_mut(name) else { return };
        m.is_reporting = false;
        if m.crashed || now < m.paused_until_ms {
            return;
        }
        match answer.filter(|_| !lost && now >= m.cut_until_ms) {
            Some((200, body)) if m.session == session => {
                let token = body["baton"].as_u64().unwrap_or(0);
                if token >= m.token {
                    // Counted from the sending, which was at most the timeout ago; within this the lease
                    // of a stand-in may end a little late, as a slow clock would have it.
                    m.lease_from_ms = now;
                    self.execute(name, token, &body["orders"]);
                }
            }
            Some((421, body)) => {
                let leader = body["foreman"].as_str().unwrap_or_default();
                m.node = nodes.iter().position(|(n, _)| n == leader).unwrap_or(m.node + 1);
                m.next_report_ms = now + if leader.is_empty() { NEXT_NODE_MS } else { 50 };
            }
            _ => {
                m.node += 1;
                m.next_report_ms = now + NEXT_NODE_MS;
            }
        }
    }

    fn execute(&mut self, name: &str, token: u64, orders: &Value) {
        let now = self.now_ms();
        self.change(name, |m| {
            if token > m.token {
                m.next_report_ms = m.next_report_ms.min(now + 300);
            }
            m.token = m.token.max(token);
        });
        for order in orders.as_array().into_iter().flatten() {
            let task = order["piece"].as_str().unwrap_or_default().to_string();
            let key = (task, order["try"].as_u64().unwrap_or(0));
            match order["verb"].as_str().unwrap_or_default() {
                "launch" => self.launch(name, key),
                "stop" => self.stop(name, key, order["wind_down_s"].as_f64().unwrap_or(0.0)),
                _ => self.change(name, |m| m.tasks.retain(|k, t| *k != key || t.status != "ended")),
            }
            self.change(name, |m| m.next_report_ms = m.next_report_ms.min(now + 100));
        }
    }

    fn launch(&mut self, name: &str, key: (String, u64)) {
        let now = self.now_ms();
        let shape = self.shape_of(&key.0);
        let is_full = self.used(name) + shape.cpus > MACHINE_CPUS + 1e-6;
        let fetch_ms = self.settings.fetch_ms;
        let Some(m) = self.machines.get_mut(name) else { return };
        if m.tasks.contains_key(&key) {
            return;
        }
        let is_busy = m.tasks.iter().any(|((t, _), s)| *t == key.0 && s.status != "ended");
        let cause = match (is_busy, is_full || now < m.full_until_ms) {
            (true, _) => Some("busy"),
            (false, true) => Some("no_room"),
            (false, false) => None,
        };
        let status = if cause.is_some() { "ended" } else { "pulling" };
        let fetch_ms = if m.images.contains(&shape.image) { 0 } else { fetch_ms };
        m.tasks.insert(key, Task { status, cause, until_ms: now + fetch_ms, since_ms: now });
    }

    fn stop(&mut self, name: &str, key: (String, u64), grace_s: f64) {
        let now = self.now_ms();
        let save_ms = self.shape_of(&key.0).save_ms;
        let saves = save_ms.filter(|ms| grace_s * 1000.0 >= *ms as f64);
        let Some(task) = self.machines.get_mut(name).and_then(|m| m.tasks.get_mut(&key)) else {
            return;
        };
        match (task.status, saves) {
            ("ended", _) => {}
            ("flushing", _) if grace_s > 0.0 => {}
            ("running", Some(ms)) => (task.status, task.until_ms) = ("flushing", now + ms),
            (status, _) => {
                (task.status, task.cause) = ("ended", Some("halted"));
                if matches!(status, "running" | "flushing") {
                    self.record(name, &key, Happened::Gone);
                }
            }
        }
    }
}
