//! The state service: the lease of the leader key, and write transactions.

use latchtrack_core::job::JobId;
use latchtrack_core::scheduler::{
    BatchOutcome, RecordWrite, StoredMachine, StoredMachineSet, StoredResults,
};

use super::guards::DisabledGuard;
use super::state::JobState;
use super::{World, LEADER_LEASE_MS};

/// Bytes of a stored chunk of results beside its base64-encoded bits.
const CHUNK_OVERHEAD_BYTES: usize = 24;

/// Bytes of the value that a change stores.
fn value_bytes(write: &RecordWrite) -> usize {
    match write {
        RecordWrite::MachineSet { machines, .. } => machines.iter().map(StoredMachine::bytes).sum(),
        RecordWrite::Results { chunks, .. } => chunks
            .iter()
            .map(|(_, _, bytes)| bytes.len().div_ceil(3) * 4 + CHUNK_OVERHEAD_BYTES)
            .sum(),
        RecordWrite::JobDone { .. } => 0,
    }
}

/// The records whose revisions differ from those that a transaction expects.
#[derive(Default)]
struct Conflicts {
    jobs: Vec<JobId>,
    machine_sets: Vec<String>,
    results: Vec<String>,
}

impl Conflicts {
    fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.machine_sets.is_empty() && self.results.is_empty()
    }
}

impl From<Conflicts> for BatchOutcome {
    fn from(conflicts: Conflicts) -> BatchOutcome {
        let Conflicts { jobs, machine_sets, results } = conflicts;
        BatchOutcome::Conflict { jobs, machine_sets, results }
    }
}

impl World {
    /// Deletes the leader key when its lease expires.
    pub(super) fn step_store(&mut self) {
        let down_until = self.faults.store_down_until;
        if self.now < down_until {
            // After an outage every lease has its full duration again.
            if let Some(leader) = &mut self.leader {
                leader.expires_at = down_until + LEADER_LEASE_MS;
            }
        } else if self.leader.is_some_and(|leader| leader.expires_at < self.now) {
            self.leader = None;
            self.revision += 1;
            self.leaderless_since = self.revision;
        }
    }

    /// Commits the writes of the leader with this token in one transaction if its conditions hold.
    pub(super) fn write(&mut self, token: u64, writes: &[RecordWrite]) -> BatchOutcome {
        if self.now < self.faults.store_down_until {
            return BatchOutcome::NotExecuted;
        }
        let max_bytes = writes.iter().map(value_bytes).max().unwrap_or(0);
        let limits = self.store_write_limits;
        if writes.len() > limits.changes || max_bytes > limits.value_bytes {
            self.record_occurrence("write refused");
            return BatchOutcome::Rejected;
        }
        if max_bytes > self.leader_write_limits.value_bytes {
            self.record_occurrence("value above the leader's limit");
        }
        self.stats.puts += writes.len() as u64;
        if self.disabled_guard != DisabledGuard::WriteFence {
            if self.leader.map(|leader| leader.token) != Some(token) {
                return Conflicts::default().into();
            }
            let conflicts = self.conflicts(writes);
            if !conflicts.is_empty() {
                return conflicts.into();
            }
        }
        self.revision += 1;
        for write in writes {
            self.apply(write.clone());
        }
        BatchOutcome::Committed(self.revision)
    }

    fn conflicts(&self, writes: &[RecordWrite]) -> Conflicts {
        let checks_shards = self.disabled_guard != DisabledGuard::ShardRevision;
        let checks_jobs = self.disabled_guard != DisabledGuard::JobRevision;
        let differs = |expected: Option<u64>, stored: Option<u64>| {
            checks_shards && expected.is_some_and(|expected| expected != stored.unwrap_or(0))
        };
        let mut conflicts = Conflicts::default();
        for write in writes {
            match write {
                RecordWrite::MachineSet { shard, .. } => {
                    let stored = self.machine_sets.get(&shard.name).map(|set| set.revision);
                    if differs(shard.expect, stored) {
                        conflicts.machine_sets.push(shard.name.clone());
                    }
                }
                RecordWrite::Results { shard, .. } => {
                    let stored = self.results.get(&shard.name).map(|results| results.revision);
                    if differs(shard.expect, stored) {
                        conflicts.results.push(shard.name.clone());
                    }
                }
                RecordWrite::JobDone { job, revision, .. } => {
                    if checks_jobs && self.jobs[job].revision != *revision {
                        conflicts.jobs.push(*job);
                    }
                }
            }
        }
        conflicts
    }

    fn apply(&mut self, write: RecordWrite) {
        let revision = self.revision;
        match write {
            RecordWrite::MachineSet { shard, machines } => {
                let name = shard.name;
                if machines.is_empty() {
                    self.machine_sets.remove(&name);
                } else if self.disabled_guard != DisabledGuard::MachineRecords {
                    let machines = Some(machines);
                    let set = StoredMachineSet { name: name.clone(), revision, machines };
                    self.machine_sets.insert(name, set);
                }
            }
            RecordWrite::Results { shard, chunks } => {
                let name = shard.name;
                if chunks.is_empty() {
                    self.results.remove(&name);
                } else {
                    let results = StoredResults { name: name.clone(), revision, chunks };
                    self.results.insert(name, results);
                }
            }
            RecordWrite::JobDone { job, .. } => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    (job.state, job.revision) = (JobState::Done, revision);
                }
            }
        }
    }
}
