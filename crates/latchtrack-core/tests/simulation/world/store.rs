//! The state service.

use super::*;

/// Bytes of the value that a change puts.
fn value_size(write: &Write) -> usize {
    match write {
        Write::Fleet { machines, .. } => machines.iter().map(StoredMachine::bytes).sum(),
        Write::Results { chunks, .. } => {
            chunks.iter().map(|(_, _, bytes)| bytes.len().div_ceil(3) * 4 + 24).sum()
        }
        Write::Done { .. } => 0,
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
            self.vacant = self.epoch;
        }
    }

    pub(super) fn write(&mut self, token: u64, writes: &[Write]) -> SaveOutcome {
        if self.now < self.store_down_until {
            return SaveOutcome::NotDone;
        }
        let (bytes, changes) = self.taken;
        if writes.len() > changes || writes.iter().any(|w| value_size(w) > bytes) {
            self.meets("write refused");
            return SaveOutcome::Refused;
        }
        if writes.iter().any(|w| value_size(w) > self.kept_to.0) {
            self.meets("value above what leaders keep to");
        }
        let none = || SaveOutcome::Conflict { jobs: vec![], fleet: vec![], results: vec![] };
        self.puts += writes.len() as u64;
        if self.broken != Broken::NoFence {
            if self.leader.map(|l| l.1) != Some(token) {
                return none();
            }
            let stale: Vec<JobId> = writes
                .iter()
                .filter_map(|w| match w {
                    Write::Done { job, stamp, .. } if self.jobs[job].stamp != *stamp => Some(*job),
                    _ => None,
                })
                .collect();
            let (mut fleet, mut results) = (Vec::new(), Vec::new());
            for w in writes {
                let strict = self.broken != Broken::NoPackStamp;
                let differs = |expect: Option<u64>, have: Option<u64>| {
                    strict && expect.is_some_and(|e| e != have.unwrap_or(0))
                };
                match w {
                    Write::Fleet { pack, .. } => {
                        if differs(pack.expect, self.fleet.get(&pack.name).map(|f| f.stamp)) {
                            fleet.push(pack.name.clone());
                        }
                    }
                    Write::Results { pack, .. } => {
                        if differs(pack.expect, self.results.get(&pack.name).map(|r| r.stamp)) {
                            results.push(pack.name.clone());
                        }
                    }
                    Write::Done { .. } => {}
                }
            }
            let stale = if self.broken == Broken::DoneAnyway { Vec::new() } else { stale };
            if !(stale.is_empty() && fleet.is_empty() && results.is_empty()) {
                return SaveOutcome::Conflict { jobs: stale, fleet, results };
            }
        }
        self.epoch += 1;
        for w in writes {
            match w.clone() {
                Write::Fleet { pack, machines } => {
                    if machines.is_empty() {
                        self.fleet.remove(&pack.name);
                    } else if self.broken != Broken::NotStored {
                        let (name, stamp) = (pack.name, self.epoch);
                        let machines = Some(machines);
                        self.fleet.insert(name.clone(), StoredFleet { name, stamp, machines });
                    }
                }
                Write::Results { pack, chunks } => {
                    if chunks.is_empty() {
                        self.results.remove(&pack.name);
                    } else {
                        let (name, stamp) = (pack.name, self.epoch);
                        self.results.insert(name.clone(), StoredResults { name, stamp, chunks });
                    }
                }
                Write::Done { job, .. } => {
                    if let Some(j) = self.jobs.get_mut(&job) {
                        j.state = State::Done;
                        j.stamp = self.epoch;
                    }
                }
            }
        }
        SaveOutcome::Ok(self.epoch)
    }
}
