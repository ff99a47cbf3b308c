//! The state service.

use super::*;

/// Bytes of the value that a change puts.
fn value_size(write: &RecordWrite) -> usize {
    match write {
        RecordWrite::MachineSet { machines, .. } => machines.iter().map(StoredMachine::bytes).sum(),
        RecordWrite::Results { chunks, .. } => {
            chunks.iter().map(|(_, _, bytes)| bytes.len().div_ceil(3) * 4 + 24).sum()
        }
        RecordWrite::JobDone { .. } => 0,
    }
}

impl World {
    pub(super) fn step_store(&mut self) {
        if self.now < self.store_down_until {
            // After an outage every lease has its full time again.
            if let Some(l) = &mut self.leader {
                l.2 = self.store_down_until + TTL;
            }
        } else if self.leader.is_some_and(|(_, _, until)| until < self.now) {
            self.leader = None;
            self.epoch += 1;
            self.leaderless_since = self.epoch;
        }
    }

    pub(super) fn write(&mut self, token: u64, writes: &[RecordWrite]) -> BatchOutcome {
        if self.now < self.store_down_until {
            return BatchOutcome::NotExecuted;
        }
        let (bytes, changes) = self.taken;
        if writes.len() > changes || writes.iter().any(|w| value_size(w) > bytes) {
            self.meets("write refused");
            return BatchOutcome::Rejected;
        }
        if writes.iter().any(|w| value_size(w) > self.kept_to.0) {
            self.meets("value above what leaders keep to");
        }
        let none =
            || BatchOutcome::Conflict { jobs: vec![], machine_sets: vec![], results: vec![] };
        self.puts += writes.len() as u64;
        if self.broken != Broken::NoFence {
            if self.leader.map(|l| l.1) != Some(token) {
                return none();
            }
            let stale: Vec<JobId> = writes
                .iter()
                .filter_map(|w| match w {
                    RecordWrite::JobDone { job, revision, .. }
                        if self.jobs[job].revision != *revision =>
                    {
                        Some(*job)
                    }
                    _ => None,
                })
                .collect();
            let (mut machine_sets, mut results) = (Vec::new(), Vec::new());
            for w in writes {
                let strict = self.broken != Broken::NoPackStamp;
                let differs = |expect: Option<u64>, have: Option<u64>| {
                    strict && expect.is_some_and(|e| e != have.unwrap_or(0))
                };
                match w {
                    RecordWrite::MachineSet { shard, .. } => {
                        if differs(
                            shard.expect,
                            self.machine_sets.get(&shard.name).map(|f| f.revision),
                        ) {
                            machine_sets.push(shard.name.clone());
                        }
                    }
                    RecordWrite::Results { shard, .. } => {
                        if differs(shard.expect, self.results.get(&shard.name).map(|r| r.revision))
                        {
                            results.push(shard.name.clone());
                        }
                    }
                    RecordWrite::JobDone { .. } => {}
                }
            }
            let stale = if self.broken == Broken::DoneAnyway { Vec::new() } else { stale };
            if !(stale.is_empty() && machine_sets.is_empty() && results.is_empty()) {
                return BatchOutcome::Conflict { jobs: stale, machine_sets, results };
            }
        }
        self.epoch += 1;
        for w in writes {
            match w.clone() {
                RecordWrite::MachineSet { shard, machines } => {
                    if machines.is_empty() {
                        self.machine_sets.remove(&shard.name);
                    } else if self.broken != Broken::NotStored {
                        let (name, revision) = (shard.name, self.epoch);
                        let machines = Some(machines);
                        self.machine_sets
                            .insert(name.clone(), StoredMachineSet { name, revision, machines });
                    }
                }
                RecordWrite::Results { shard, chunks } => {
                    if chunks.is_empty() {
                        self.results.remove(&shard.name);
                    } else {
                        let (name, revision) = (shard.name, self.epoch);
                        self.results.insert(name.clone(), StoredResults { name, revision, chunks });
                    }
                }
                RecordWrite::JobDone { job, .. } => {
                    if let Some(j) = self.jobs.get_mut(&job) {
                        j.state = State::Done;
                        j.revision = self.epoch;
                    }
                }
            }
        }
        BatchOutcome::Committed(self.epoch)
    }
}
