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
                l.2 = self.store_down_until + LEADER_LEASE_MS;
            }
        } else if self.leader.is_some_and(|(_, _, until)| until < self.now) {
            self.leader = None;
            self.revision += 1;
            self.leaderless_since = self.revision;
        }
    }

    pub(super) fn write(&mut self, token: u64, writes: &[RecordWrite]) -> BatchOutcome {
        if self.now < self.store_down_until {
            return BatchOutcome::NotExecuted;
        }
        let (bytes, changes) = self.store_write_limits;
        if writes.len() > changes || writes.iter().any(|w| value_size(w) > bytes) {
            self.record("write refused");
            return BatchOutcome::Rejected;
        }
        if writes.iter().any(|w| value_size(w) > self.leader_write_limits.0) {
            self.record("value above what leaders keep to");
        }
        let none = || BatchOutcome::Conflict { jobs: vec![], fleet: vec![], results: vec![] };
        self.puts += writes.len() as u64;
        if self.disabled_guard != DisabledGuard::WriteFence {
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
            let (mut fleet, mut results) = (Vec::new(), Vec::new());
            for w in writes {
                let strict = self.disabled_guard != DisabledGuard::ShardRevision;
                let differs = |expect: Option<u64>, have: Option<u64>| {
                    strict && expect.is_some_and(|e| e != have.unwrap_or(0))
                };
                match w {
                    RecordWrite::MachineSet { pack, .. } => {
                        if differs(
                            pack.expect,
                            self.machine_sets.get(&pack.name).map(|f| f.revision),
                        ) {
                            fleet.push(pack.name.clone());
                        }
                    }
                    RecordWrite::Results { pack, .. } => {
                        if differs(pack.expect, self.results.get(&pack.name).map(|r| r.revision)) {
                            results.push(pack.name.clone());
                        }
                    }
                    RecordWrite::JobDone { .. } => {}
                }
            }
            let stale =
                if self.disabled_guard == DisabledGuard::JobRevision { Vec::new() } else { stale };
            if !(stale.is_empty() && fleet.is_empty() && results.is_empty()) {
                return BatchOutcome::Conflict { jobs: stale, fleet, results };
            }
        }
        self.revision += 1;
        for w in writes {
            match w.clone() {
                RecordWrite::MachineSet { pack, machines } => {
                    if machines.is_empty() {
                        self.machine_sets.remove(&pack.name);
                    } else if self.disabled_guard != DisabledGuard::MachineRecords {
                        let (name, revision) = (pack.name, self.revision);
                        let machines = Some(machines);
                        self.machine_sets
                            .insert(name.clone(), StoredMachineSet { name, revision, machines });
                    }
                }
                RecordWrite::Results { pack, chunks } => {
                    if chunks.is_empty() {
                        self.results.remove(&pack.name);
                    } else {
                        let (name, revision) = (pack.name, self.revision);
                        self.results.insert(name.clone(), StoredResults { name, revision, chunks });
                    }
                }
                RecordWrite::JobDone { job, .. } => {
                    if let Some(j) = self.jobs.get_mut(&job) {
                        j.state = JobState::Done;
                        j.revision = self.revision;
                    }
                }
            }
        }
        BatchOutcome::Committed(self.revision)
    }
}
