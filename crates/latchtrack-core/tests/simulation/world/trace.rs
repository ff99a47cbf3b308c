//! A digest of all decisions of the leaders in a run, to compare two versions of the sources.
//!
//! Values are hashed as plain text, so that the digest does not depend on names of types and
//! fields. Texts of log lines and reasons of resignations are left out because their wording may
//! change.

use std::fmt::Write as _;

use latchtrack_core::machine::Command;
use latchtrack_core::scheduler::{Effect, RecordWrite};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Counts and a digest of the decisions so far.
#[derive(Clone, Debug)]
pub struct DecisionTrace {
    pub effects: u64,
    pub writes: u64,
    digest: u64,
}

impl Default for DecisionTrace {
    fn default() -> Self {
        DecisionTrace { effects: 0, writes: 0, digest: FNV_OFFSET }
    }
}

impl DecisionTrace {
    /// The 64-bit FNV-1a hash of all recorded lines, in order.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Records the effects that a node's scheduler returned at `now` ms.
    pub fn record_effects(&mut self, now: u64, node: usize, effects: &[Effect]) {
        for effect in effects {
            self.effects += 1;
            self.add(&format!("{now} {node} {}\n", describe_effect(effect)));
        }
    }

    /// Records the writes that a node's scheduler issued at `now` ms.
    pub fn record_writes(&mut self, now: u64, node: usize, writes: &[RecordWrite]) {
        for write in writes {
            self.writes += 1;
            self.add(&format!("{now} {node} {}\n", describe_write(write)));
        }
    }

    fn add(&mut self, line: &str) {
        for byte in line.bytes() {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
}

fn describe_commands(commands: &[Command]) -> String {
    let mut out = String::new();
    for command in commands {
        let _ = match command {
            Command::Launch { task, attempt } => write!(out, " launch {task} {attempt}"),
            Command::Stop { task, attempt, grace_s } => {
                write!(out, " stop {task} {attempt} {grace_s}")
            }
            Command::Forget { task, attempt } => write!(out, " forget {task} {attempt}"),
        };
    }
    out
}

fn describe_effect(effect: &Effect) -> String {
    match effect {
        Effect::Respond { token, commands } => {
            format!("answer {token}{}", describe_commands(commands))
        }
        Effect::CallWorker { machine, addr, token, agent_epoch, call, commands } => {
            let commands = describe_commands(commands);
            format!("call {machine} {addr} {token} {agent_epoch} {call}{commands}")
        }
        Effect::Provision { request_id, offer, number } => {
            format!(
                "rent {request_id} {} {} {} {number}",
                offer.machine_type, offer.zone, offer.spot
            )
        }
        Effect::Terminate(names) => format!("return {}", names.join(" ")),
        Effect::ListMachines => "list".into(),
        Effect::WritesReady => "save".into(),
        Effect::Resign(_) => "resign".into(),
        Effect::Log(_) => "note".into(),
        Effect::WriteLedger(write) => {
            let dead: Vec<String> = write
                .dead
                .iter()
                .map(|cell| format!("{}@{}", cell.cell, cell.term_revision))
                .collect();
            let ledger = serde_json::to_string(&write.ledger).expect("a ledger is plain JSON");
            format!("quota {} {} {ledger} {}", write.team, write.expected_revision, dead.join(" "))
        }
    }
}

fn describe_write(write: &RecordWrite) -> String {
    match write {
        RecordWrite::MachineSet { shard, machines } => {
            let mut out = format!("machines {} {:?}", shard.name, shard.expect);
            for entry in &shard.entries {
                let _ = write!(out, " {entry}");
            }
            for m in machines {
                let _ =
                    write!(out, " {} {} {} {} {}", m.name, m.machine_type, m.zone, m.spot, m.addr);
            }
            out
        }
        RecordWrite::Results { shard, chunks } => {
            let mut out = format!("results {} {:?}", shard.name, shard.expect);
            for (job, chunk) in &shard.entries {
                let _ = write!(out, " {job} {chunk}");
            }
            for (job, chunk, bytes) in chunks {
                let _ = write!(out, " {job} {chunk} {bytes:?}");
            }
            out
        }
        RecordWrite::JobDone { job, revision, tasks } => format!("done {job} {revision} {tasks}"),
    }
}
