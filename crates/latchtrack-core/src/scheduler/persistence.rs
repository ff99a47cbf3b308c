//! What has to be written to the state service.

use std::collections::BTreeSet;

use super::messages::{
    BatchOutcome, Effect, RecordWrite, StoredMachine, StoredMachineSet, StoredResults,
};
use super::Scheduler;
use crate::bitmap::{all_chunks, is_large_chunk, small_chunks};
use crate::constants::*;
use crate::job::JobId;
use crate::machine::Machine;
use crate::record_shards::{RecordShards, ShardOutcome};
use crate::Millis;

/// Bytes of a stored value that some bytes of results take.
pub(super) fn result_entry_bytes(bits: usize) -> usize {
    bits.div_ceil(3) * 4 + ENTRY_BYTES
}

/// Takes in a stored value of results. One with chunks of the earlier size, which may be above the state
/// service's limit by themselves, is replaced by others with small ones.
pub(super) fn load_result_shards(packs: &mut RecordShards<(JobId, u32)>, stored: &StoredResults) {
    if !stored.chunks.iter().any(|(_, _, bytes)| is_large_chunk(bytes)) {
        let entries = stored.chunks.iter();
        let entries = entries.map(|(job, chunk, b)| ((*job, *chunk), result_entry_bytes(b.len())));
        packs.load(&stored.name, stored.revision, entries);
        return;
    }
    let mut entries = Vec::new();
    for (job, chunk, bytes) in &stored.chunks {
        if is_large_chunk(bytes) {
            let small = small_chunks(*chunk, bytes);
            entries.extend(small.map(|(c, len)| ((*job, c), result_entry_bytes(len))));
        } else {
            entries.push(((*job, *chunk), result_entry_bytes(bytes.len())));
        }
    }
    packs.load_to_replace(&stored.name, entries);
}

/// A machine as it is stored.
pub(super) fn stored_machine(m: &Machine) -> StoredMachine {
    StoredMachine {
        name: m.name.to_string(),
        kind: m.kind.to_string(),
        zone: m.zone.to_string(),
        spot: m.spot,
        addr: m.addr.clone().unwrap_or_default(),
    }
}

impl StoredMachine {
    /// Bytes of a stored value that it takes.
    pub fn bytes(&self) -> usize {
        let texts = [&self.name, &self.kind, &self.zone, &self.addr];
        texts.iter().map(|t| t.len()).sum::<usize>() + ENTRY_BYTES
    }
}

/// What is to be written to the state service.
#[derive(Clone, Debug)]
pub(super) struct RecordPersistence {
    pub machine_sets: RecordShards<String>,
    pub results: RecordShards<(JobId, u32)>,
    /// Jobs whose record does not say yet that they are done.
    pub completed_jobs: BTreeSet<JobId>,
    /// Most changes of the next batch for the state service.
    pub max_batch_changes: usize,
    /// Values of the machine set that can't be read: until every lease of before this term has run
    /// out, tasks may be on machines that we do not know.
    pub unreadable_machine_sets: Vec<(String, u64)>,
}

impl RecordPersistence {
    pub fn new(token: u64, max_bytes: usize) -> Self {
        RecordPersistence {
            machine_sets: RecordShards::new(token, max_bytes, MACHINE_SET_WRITE_INTERVAL_MS),
            results: RecordShards::new(token, max_bytes, RESULTS_WRITE_INTERVAL_MS),
            completed_jobs: BTreeSet::new(),
            max_batch_changes: usize::MAX,
            unreadable_machine_sets: Vec::new(),
        }
    }

    /// Takes in the stored machine set; returns the machines in it.
    pub fn load_machine_sets(&mut self, sets: Vec<StoredMachineSet>) -> Vec<StoredMachine> {
        let mut machines = Vec::new();
        for set in sets {
            let Some(stored) = set.machines else {
                self.unreadable_machine_sets.push((set.name, set.revision));
                continue;
            };
            let entries = stored.iter().map(|machine| (machine.name.clone(), machine.bytes()));
            self.machine_sets.load(&set.name, set.revision, entries);
            machines.extend(stored);
        }
        machines
    }

    /// Takes in a stored value of results.
    pub fn load_results(&mut self, stored: &StoredResults) {
        load_result_shards(&mut self.results, stored);
    }
}

impl Scheduler {
    /// The next batch for the state service, of at most `most` changes: first jobs that are done,
    /// then machines that wait to be used, then results and machines that went.
    pub fn next_writes(&mut self, now: Millis, most: usize) -> Vec<RecordWrite> {
        let mut out: Vec<RecordWrite> = Vec::new();
        let most = most.min(self.persistence.max_batch_changes);
        while out.len() < most {
            let Some(id) = self.persistence.completed_jobs.pop_first() else { break };
            if let Some(job) = self.jobs.get(&id).filter(|j| !j.closed_elsewhere) {
                out.push(RecordWrite::JobDone {
                    job: id,
                    revision: job.revision,
                    tasks: job.spec.tasks,
                });
            }
        }
        while out.len() < most {
            let Some(pack) = self.persistence.machine_sets.next(now) else { break };
            let machines = pack.entries.iter().filter_map(|n| self.inventory.get(n));
            let machines = machines.map(stored_machine).collect();
            out.push(RecordWrite::MachineSet { pack, machines });
        }
        while out.len() < most {
            let Some(pack) = self.persistence.results.next(now) else { break };
            let chunks = pack.entries.iter().filter_map(|(id, chunk)| {
                let job = self.jobs.get(id)?;
                Some((*id, *chunk, job.done.chunk(*chunk).to_vec()))
            });
            let chunks = chunks.collect();
            out.push(RecordWrite::Results { pack, chunks });
        }
        out
    }

    /// A job is closed: what is stored of its results is of no use any more.
    pub(super) fn forget_job_results(&mut self, id: JobId) {
        for chunk in all_chunks() {
            self.persistence.results.remove(&(id, chunk));
        }
    }

    /// A value was refused by itself: it is stored in smaller ones, or given up.
    fn split_rejected_shard(&mut self, write: &RecordWrite) {
        let (name, given_up) = match write {
            RecordWrite::MachineSet { pack, .. } => {
                (&pack.name, self.persistence.machine_sets.refused(pack))
            }
            RecordWrite::Results { pack, .. } => {
                (&pack.name, self.persistence.results.refused(pack))
            }
            RecordWrite::JobDone { .. } => return,
        };
        let what = if given_up { "given up, it can't be smaller" } else { "split" };
        self.out.push(Effect::Log(format!("the value {name} was refused and is {what}")));
    }

    pub(super) fn on_writes_finished(
        &mut self,
        now: Millis,
        writes: Vec<RecordWrite>,
        outcome: BatchOutcome,
    ) {
        let (mut late_fleet, mut late_results) = (Vec::new(), Vec::new());
        if let BatchOutcome::Conflict { jobs, fleet, results } = &outcome {
            for id in jobs {
                // The cache will say who closed it.
                if let Some(job) = self.jobs.get_mut(id) {
                    job.closed_elsewhere = true;
                }
            }
            (late_fleet, late_results) = (fleet.clone(), results.clone());
        }
        let ok = matches!(outcome, BatchOutcome::Committed(_));
        if outcome == BatchOutcome::Rejected {
            if let [write] = writes.as_slice() {
                self.split_rejected_shard(write);
            }
            // Smaller batches show which value it is, or keep to a lower number of changes.
            self.persistence.max_batch_changes = (writes.len() / 2).max(1);
        } else if ok {
            self.persistence.max_batch_changes =
                self.persistence.max_batch_changes.saturating_mul(2);
        }
        let refused_alone = outcome == BatchOutcome::Rejected && writes.len() == 1;
        // An earlier write of a value that came late leaves its stamp in doubt, as one without an
        // answer does.
        let wrote = |late: &[String], name: &String| match outcome {
            BatchOutcome::Committed(revision) => ShardOutcome::Committed(revision),
            BatchOutcome::Unknown => ShardOutcome::Unknown,
            _ if late.contains(name) => ShardOutcome::Unknown,
            _ => ShardOutcome::NotExecuted,
        };
        for write in writes {
            match write {
                RecordWrite::MachineSet { .. } | RecordWrite::Results { .. } if refused_alone => {}
                RecordWrite::MachineSet { pack, machines } => {
                    self.persistence.machine_sets.wrote(&pack, wrote(&late_fleet, &pack.name));
                    for s in machines.iter().filter(|_| ok) {
                        let Some(m) = self.inventory.get_mut(&s.name) else { continue };
                        if !m.persisted {
                            m.persisted = true;
                            self.backfill(now, &s.name);
                        }
                    }
                    if ok {
                        self.cycle_timer.request();
                    }
                }
                RecordWrite::Results { pack, chunks } => {
                    self.persistence.results.wrote(&pack, wrote(&late_results, &pack.name));
                    for (id, chunk, bytes) in chunks.iter().filter(|_| ok) {
                        if let Some(job) = self.jobs.get_mut(id) {
                            job.persisted.merge_chunk(*chunk, bytes);
                        }
                    }
                }
                RecordWrite::JobDone { job: id, .. } => {
                    if ok {
                        self.jobs.remove(&id);
                        self.forget_job_results(id);
                    } else if self.jobs.get(&id).is_some_and(|j| !j.closed_elsewhere) {
                        self.persistence.completed_jobs.insert(id);
                    }
                }
            }
        }
        self.dispatch(now, None);
    }
}
