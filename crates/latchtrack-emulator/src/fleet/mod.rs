//! A fleet of emulated workers on real sockets. They send heartbeats, execute commands, run tasks
//! according to their jobs' profiles, checkpoint on request, and drop their tasks when their lease
//! expires. Tests inject faults (partitions, pauses, crashes, rejected launches); lost responses
//! are drawn from a seeded generator.

mod attempts;
mod faults;
mod heartbeats;
mod machine;
mod server;
mod settings;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;

use crate::cloud::CloudState;
use crate::history::{History, HistoryEntry, LoadSample, TaskEvent};
use crate::lifecycle::{AttemptKey, TaskPhase};
use crate::{lock, Shared};
use heartbeats::{HeartbeatResponse, OutgoingHeartbeat};
use machine::Machine;
pub use settings::{CallCopyFault, FleetSettings, JobProfile, NodeEndpoint};

/// CPUs of a machine in the emulated cloud.
pub const MACHINE_CPUS: f64 = 8.0;
/// Time between two steps of the fleet's main loop.
const STEP_INTERVAL: Duration = Duration::from_millis(20);
/// How long a worker waits for the response to a heartbeat.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between two load samples, ms.
const SAMPLE_INTERVAL_MS: u64 = 1_000;

/// The workers of a fleet and their recorded history.
pub struct FleetState {
    settings: FleetSettings,
    rng: StdRng,
    started_at: Instant,
    machines: BTreeMap<String, Machine>,
    /// Addresses that the server listens on and that no machine has yet.
    free_addrs: Vec<String>,
    profiles: BTreeMap<String, JobProfile>,
    /// Checkpointed progress by task id, ms.
    saved_ms: BTreeMap<String, u64>,
    /// Task events and load samples of the machines.
    pub history: History,
}

/// Starts a fleet on a cloud. A worker boots for each machine that the cloud provisions.
pub fn start(settings: FleetSettings, cloud: Shared<CloudState>) -> Shared<FleetState> {
    let fleet: Shared<FleetState> = Shared::new(std::sync::Mutex::new(FleetState {
        rng: StdRng::seed_from_u64(settings.seed),
        started_at: Instant::now(),
        machines: BTreeMap::new(),
        free_addrs: Vec::new(),
        profiles: BTreeMap::new(),
        saved_ms: BTreeMap::new(),
        history: History::default(),
        settings,
    }));
    server::listen(&fleet);
    actix_web::rt::spawn(run(fleet.clone(), cloud));
    fleet
}

/// The fleet's main loop: advances the machines and sends the heartbeats that are due.
async fn run(fleet: Shared<FleetState>, cloud: Shared<CloudState>) {
    let client = awc::Client::builder().timeout(RESPONSE_TIMEOUT).finish();
    loop {
        let due = {
            let mut fleet = lock(&fleet);
            fleet.sync_with_cloud(&lock(&cloud));
            fleet.advance();
            fleet.sample_loads();
            fleet.heartbeats_due()
        };
        for heartbeat in due {
            actix_web::rt::spawn(send_heartbeat(client.clone(), fleet.clone(), heartbeat));
        }
        actix_web::rt::time::sleep(STEP_INTERVAL).await;
    }
}

async fn send_heartbeat(
    client: awc::Client,
    fleet: Shared<FleetState>,
    heartbeat: OutgoingHeartbeat,
) {
    let OutgoingHeartbeat { machine, node_url, agent_epoch, body } = heartbeat;
    let response = match client.post(format!("{node_url}/v1/report")).send_json(&body).await {
        Ok(mut response) => {
            let bytes = response.body().await.unwrap_or_default();
            let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
            Some(HeartbeatResponse { status: response.status().as_u16(), body })
        }
        Err(_) => None,
    };
    lock(&fleet).on_response(&machine, agent_epoch, response);
}

impl FleetState {
    /// Returns when the fleet was started, which is the origin of its clock.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Returns the ms since the fleet was started.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Sets how the workers run the tasks of a job. To be called before the job is submitted.
    pub fn register_job(&mut self, id: &str, profile: JobProfile) {
        self.profiles.insert(id.into(), profile);
    }

    /// Returns the names of machines that have booted and not crashed.
    pub fn running_machines(&self) -> Vec<String> {
        let now = self.now_ms();
        let running = self.machines.iter().filter(|(_, machine)| machine.is_up(now));
        running.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the CPUs of the live attempts on a machine; 0 if it does not exist.
    pub fn cpus_in_use(&self, name: &str) -> f64 {
        let attempts = self.machines.get(name).into_iter().flat_map(|machine| &machine.attempts);
        let live = attempts.filter(|(_, attempt)| attempt.is_live());
        live.map(|(key, _)| self.profile_of(&key.task).cpus).sum()
    }

    /// Returns the names of machines on which a stopped task is checkpointing.
    pub fn checkpointing_machines(&self) -> Vec<String> {
        let checkpoints = |machine: &Machine| {
            machine.attempts.values().any(|attempt| attempt.phase == TaskPhase::Checkpointing)
        };
        let machines = self.machines.iter().filter(|(_, machine)| checkpoints(machine));
        machines.map(|(name, _)| name.clone()).collect()
    }

    fn with_machine(&mut self, name: &str, change: impl FnOnce(&mut Machine)) {
        if let Some(machine) = self.machines.get_mut(name) {
            change(machine);
        }
    }

    /// Draws whether to drop a response.
    fn loses_response(&mut self) -> bool {
        let probability = self.settings.response_loss;
        self.rng.random_bool(probability)
    }

    /// Draws the ms until a copy of an executed call arrives; `None` if there is no copy.
    fn copy_delay_ms(&mut self) -> Option<u64> {
        let CallCopyFault { probability, max_delay_ms } = self.settings.call_copies;
        let has_copy = self.rng.random_bool(probability);
        has_copy.then(|| self.rng.random_range(1..max_delay_ms))
    }

    fn profile_of(&self, task: &str) -> JobProfile {
        self.profiles.get(AttemptKey::job_of(task)).cloned().unwrap_or_default()
    }

    fn record(&mut self, machine: &str, key: &AttemptKey, event: TaskEvent) {
        let at_ms = self.now_ms();
        let AttemptKey { task, attempt } = key.clone();
        let machine = machine.to_string();
        self.history.entries.push(HistoryEntry { at_ms, machine, task, attempt, event });
    }

    fn machine_at(&self, addr: &str) -> Option<String> {
        let mut machines = self.machines.iter();
        machines.find(|(_, machine)| machine.addr == addr).map(|(name, _)| name.clone())
    }

    /// Returns the ms until a message to an address is delivered; `None` if it never is.
    fn delivery_delay_ms(&self, addr: &str) -> Option<u64> {
        let machine = &self.machines[&self.machine_at(addr)?];
        let until = machine.partitioned_until_ms.max(machine.paused_until_ms);
        (!machine.has_crashed).then(|| until.saturating_sub(self.now_ms()))
    }

    /// Boots newly provisioned machines and stops terminated ones.
    fn sync_with_cloud(&mut self, cloud: &CloudState) {
        let now = self.now_ms();
        for name in &cloud.provisioned {
            if self.machines.contains_key(name) {
                continue;
            }
            let Some(addr) = self.free_addrs.pop() else { break };
            let machine = Machine::booting(addr, now + self.settings.boot_ms);
            self.machines.insert(name.clone(), machine);
        }
        for name in &cloud.terminated {
            if self.machines.get(name).is_some_and(|machine| !machine.has_crashed) {
                self.crash(name);
            }
        }
    }

    fn sample_loads(&mut self) {
        let now = self.now_ms();
        let last = self.history.loads.last().map(|sample| sample.at_ms);
        if last.is_some_and(|at_ms| now < at_ms + SAMPLE_INTERVAL_MS) {
            return;
        }
        let running = self.running_machines();
        let loads: Vec<f64> =
            running.iter().map(|name| self.cpus_in_use(name) / MACHINE_CPUS).collect();
        let max = loads.iter().copied().fold(0.0, f64::max);
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let sample = LoadSample { at_ms: now, max, mean, machines: loads.len() };
        self.history.loads.push(sample);
    }
}
