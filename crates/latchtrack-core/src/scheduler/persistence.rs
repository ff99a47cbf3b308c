//! What has to be written to the state service: jobs that are done, the machine set, results.

use std::collections::BTreeSet;

use super::log_events::{LogEvent, RejectedShard};
use super::messages::{
    BatchOutcome, Effect, RecordWrite, StoredMachine, StoredMachineSet, StoredResults,
};
use super::Scheduler;
use crate::bitmap::{all_chunks, is_large_chunk, small_chunks};
use crate::constants::{ENTRY_BYTES, MACHINE_SET_WRITE_INTERVAL_MS, RESULTS_WRITE_INTERVAL_MS};
use crate::job::JobId;
use crate::machine::Machine;
use crate::record_shards::{RecordShards, ShardOutcome, Urgency};
use crate::Millis;

/// Bytes of a stored value that a chunk of results of this many bytes takes, in base 64.
fn result_entry_bytes(chunk_bytes: usize) -> usize {
    chunk_bytes.div_ceil(3) * 4 + ENTRY_BYTES
}

/// A machine as it is stored.
fn stored_machine(machine: &Machine) -> StoredMachine {
    StoredMachine {
        name: machine.name.to_string(),
        machine_type: machine.machine_type.to_string(),
        zone: machine.zone.to_string(),
        spot: machine.spot,
        addr: machine.addr.clone().unwrap_or_default(),
    }
}

impl StoredMachine {
    /// Bytes of a stored value that it takes.
    pub fn bytes(&self) -> usize {
        let texts = [&self.name, &self.machine_type, &self.zone, &self.addr];
        texts.iter().map(|text| text.len()).sum::<usize>() + ENTRY_BYTES
    }
}

/// A value of the machine set that can't be read.
#[derive(Clone, Debug)]
struct UnreadableMachineSet {
    name: String,
    revision: u64,
}

/// What is to be written to the state service.
#[derive(Clone, Debug)]
pub(super) struct RecordPersistence {
    machine_sets: RecordShards<String>,
    /// Entries are jobs with their chunks.
    results: RecordShards<(JobId, u32)>,
    /// Jobs whose record does not say yet that they are done.
    completed_jobs: BTreeSet<JobId>,
    /// Most changes of the next batch for the state service.
    max_batch_changes: usize,
    /// Until every worker lease of before this term has expired, tasks may be on machines in these
    /// that this term does not know.
    unreadable_machine_sets: Vec<UnreadableMachineSet>,
}

impl RecordPersistence {
    /// For the term of this fencing token, with values of at most `max_bytes`.
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
        for StoredMachineSet { name, revision, machines: stored } in sets {
            let Some(stored) = stored else {
                self.unreadable_machine_sets.push(UnreadableMachineSet { name, revision });
                continue;
            };
            let entries = stored.iter().map(|machine| (machine.name.clone(), machine.bytes()));
            self.machine_sets.load(&name, revision, entries);
            machines.extend(stored);
        }
        machines
    }

    /// Takes in a stored value of results. One with chunks of the earlier size, which may be above
    /// the state service's limit by themselves, is replaced by others with small ones.
    pub fn load_results(&mut self, stored: &StoredResults) {
        let has_large_chunk = stored.chunks.iter().any(|(_, _, bytes)| is_large_chunk(bytes));
        let mut entries = Vec::new();
        for (job, chunk, bytes) in &stored.chunks {
            if is_large_chunk(bytes) {
                entries.extend(
                    small_chunks(*chunk, bytes)
                        .map(|(small, len)| ((*job, small), result_entry_bytes(len))),
                );
            } else {
                entries.push(((*job, *chunk), result_entry_bytes(bytes.len())));
            }
        }
        if has_large_chunk {
            self.results.load_to_replace(&stored.name, entries);
        } else {
            self.results.load(&stored.name, stored.revision, entries);
        }
    }

    /// Whether every value of the machine set could be read, or can't matter any more.
    pub fn is_machine_set_known(&self) -> bool {
        self.unreadable_machine_sets.is_empty()
    }

    /// Has the unreadable values of the machine set dropped; true if there are any.
    pub fn drop_unreadable_machine_sets(&mut self) -> bool {
        let dropped = std::mem::take(&mut self.unreadable_machine_sets);
        for set in &dropped {
            self.machine_sets.load(&set.name, set.revision, []);
        }
        !dropped.is_empty()
    }

    /// Has a machine stored; tasks wait for that.
    pub fn put_machine(&mut self, machine: &Machine) {
        let bytes = stored_machine(machine).bytes();
        self.machine_sets.put(machine.name.to_string(), bytes, Urgency::Urgent);
    }

    /// Has a machine that is gone taken out of the stored set.
    pub fn remove_machine(&mut self, name: &str) {
        self.machine_sets.remove(&name.to_string());
    }

    /// Has a job's record written that says it is done.
    pub fn put_completed_job(&mut self, id: JobId) {
        self.completed_jobs.insert(id);
    }

    /// A job was closed by somebody else: nothing of it is to be written.
    pub fn remove_job(&mut self, id: JobId) {
        self.completed_jobs.remove(&id);
        self.remove_results(id);
    }

    /// How many jobs are done of which the record does not say so yet.
    pub fn unpersisted_jobs(&self) -> usize {
        self.completed_jobs.len()
    }

    /// Has a changed chunk of a job's results written, of this many bytes.
    pub fn put_result(&mut self, id: JobId, chunk: u32, chunk_bytes: usize) {
        self.results.put((id, chunk), result_entry_bytes(chunk_bytes), Urgency::Deferred);
    }

    /// A job is closed: what is stored of its results is of no use any more.
    fn remove_results(&mut self, id: JobId) {
        for chunk in all_chunks() {
            self.results.remove(&(id, chunk));
        }
    }

    /// Whether something is to be written now.
    pub fn has_due_write(&self, now: Millis) -> bool {
        !self.completed_jobs.is_empty()
            || self.machine_sets.has_due_write(now)
            || self.results.has_due_write(now)
    }

    /// Adapts the size of batches. Smaller ones show which value is rejected, or keep to a lower
    /// limit on the number of changes.
    fn adapt_batch_size(&mut self, written: usize, outcome: &BatchOutcome) {
        match outcome {
            BatchOutcome::Rejected => self.max_batch_changes = (written / 2).max(1),
            BatchOutcome::Committed(_) => {
                self.max_batch_changes = self.max_batch_changes.saturating_mul(2);
            }
            BatchOutcome::NotExecuted | BatchOutcome::Unknown | BatchOutcome::Conflict { .. } => {}
        }
    }

    /// A value was rejected by itself: it is stored in smaller ones, or not at all. Returns its
    /// name; `None` if the write was that of a job's record.
    fn split_rejected_shard(&mut self, write: &RecordWrite) -> Option<(String, RejectedShard)> {
        match write {
            RecordWrite::MachineSet { shard, .. } => {
                Some((shard.name.clone(), self.machine_sets.write_rejected(shard)))
            }
            RecordWrite::Results { shard, .. } => {
                Some((shard.name.clone(), self.results.write_rejected(shard)))
            }
            RecordWrite::JobDone { .. } => None,
        }
    }
}

impl BatchOutcome {
    fn is_committed(&self) -> bool {
        matches!(self, BatchOutcome::Committed(_))
    }

    /// How the write of a value of the machine set ended. An earlier write of it that came late
    /// leaves its revision in doubt, as one without an answer does.
    fn of_machine_set(&self, name: &str) -> ShardOutcome {
        let is_late = |names: &[String]| names.iter().any(|late| late == name);
        match self {
            BatchOutcome::Conflict { machine_sets, .. } if is_late(machine_sets) => {
                ShardOutcome::Unknown
            }
            _ => self.of_shard(),
        }
    }

    /// The same of a value of results.
    fn of_results(&self, name: &str) -> ShardOutcome {
        let is_late = |names: &[String]| names.iter().any(|late| late == name);
        match self {
            BatchOutcome::Conflict { results, .. } if is_late(results) => ShardOutcome::Unknown,
            _ => self.of_shard(),
        }
    }

    fn of_shard(&self) -> ShardOutcome {
        match self {
            BatchOutcome::Committed(revision) => ShardOutcome::Committed(*revision),
            BatchOutcome::Unknown => ShardOutcome::Unknown,
            BatchOutcome::NotExecuted | BatchOutcome::Rejected | BatchOutcome::Conflict { .. } => {
                ShardOutcome::NotExecuted
            }
        }
    }
}

impl Scheduler {
    /// The next batch for the state service, of at most `max_changes` changes: first jobs that are
    /// done, then machines on which tasks wait, then results and machines that are gone.
    pub fn next_writes(&mut self, now: Millis, max_changes: usize) -> Vec<RecordWrite> {
        let mut writes: Vec<RecordWrite> = Vec::new();
        let max_changes = max_changes.min(self.persistence.max_batch_changes);
        while writes.len() < max_changes {
            let Some(id) = self.persistence.completed_jobs.pop_first() else { break };
            if let Some(job) = self.jobs.get(&id).filter(|job| !job.closed_elsewhere) {
                let (revision, tasks) = (job.revision, job.spec.tasks);
                writes.push(RecordWrite::JobDone { job: id, revision, tasks });
            }
        }
        while writes.len() < max_changes {
            let Some(shard) = self.persistence.machine_sets.next_write(now) else { break };
            let machines = shard.entries.iter().filter_map(|name| self.inventory.get(name));
            let machines = machines.map(stored_machine).collect();
            writes.push(RecordWrite::MachineSet { shard, machines });
        }
        while writes.len() < max_changes {
            let Some(shard) = self.persistence.results.next_write(now) else { break };
            let chunks = shard.entries.iter().filter_map(|(id, chunk)| {
                let job = self.jobs.get(id)?;
                Some((*id, *chunk, job.done.chunk(*chunk).to_vec()))
            });
            let chunks = chunks.collect();
            writes.push(RecordWrite::Results { shard, chunks });
        }
        writes
    }

    /// Takes in how a batch of writes ended.
    pub(super) fn on_writes_finished(
        &mut self,
        now: Millis,
        writes: Vec<RecordWrite>,
        outcome: BatchOutcome,
    ) {
        if let BatchOutcome::Conflict { jobs, .. } = &outcome {
            self.mark_closed_elsewhere(jobs);
        }
        self.persistence.adapt_batch_size(writes.len(), &outcome);
        match writes.as_slice() {
            [RecordWrite::MachineSet { .. } | RecordWrite::Results { .. }]
                if outcome == BatchOutcome::Rejected =>
            {
                self.on_shard_rejected(&writes[0]);
            }
            _ => {
                for write in writes {
                    self.on_write_finished(now, write, &outcome);
                }
            }
        }
        self.dispatch(now, None);
    }

    /// Somebody else has closed these jobs; the job cache will tell how.
    fn mark_closed_elsewhere(&mut self, jobs: &[JobId]) {
        for id in jobs {
            if let Some(job) = self.jobs.get_mut(id) {
                job.closed_elsewhere = true;
            }
        }
    }

    fn on_shard_rejected(&mut self, write: &RecordWrite) {
        if let Some((shard, action)) = self.persistence.split_rejected_shard(write) {
            self.effects.push(Effect::Log(LogEvent::RecordShardRejected { shard, action }));
        }
    }

    fn on_write_finished(&mut self, now: Millis, write: RecordWrite, outcome: &BatchOutcome) {
        let is_committed = outcome.is_committed();
        match write {
            RecordWrite::MachineSet { shard, machines } => {
                let shard_outcome = outcome.of_machine_set(&shard.name);
                self.persistence.machine_sets.write_finished(&shard, shard_outcome);
                if is_committed {
                    self.on_machines_persisted(now, &machines);
                }
            }
            RecordWrite::Results { shard, chunks } => {
                let shard_outcome = outcome.of_results(&shard.name);
                self.persistence.results.write_finished(&shard, shard_outcome);
                for (id, chunk, bytes) in chunks.iter().filter(|_| is_committed) {
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.persisted.merge_chunk(*chunk, bytes);
                    }
                }
            }
            RecordWrite::JobDone { job: id, .. } => {
                if is_committed {
                    self.jobs.remove(&id);
                    self.persistence.remove_results(id);
                } else if self.jobs.get(&id).is_some_and(|job| !job.closed_elsewhere) {
                    self.persistence.put_completed_job(id);
                }
            }
        }
    }

    /// These machines are stored: tasks may be launched on them.
    fn on_machines_persisted(&mut self, now: Millis, stored: &[StoredMachine]) {
        for StoredMachine { name, .. } in stored {
            let Some(machine) = self.inventory.get_mut(name) else { continue };
            if !machine.persisted {
                machine.persisted = true;
                self.backfill(now, name);
            }
        }
        self.cycle_timer.request();
    }
}
