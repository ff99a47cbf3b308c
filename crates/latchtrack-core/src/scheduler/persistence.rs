//! Writes to the state service: completed jobs, the machine set, and results.

use std::collections::BTreeSet;

use super::log_events::{LogEvent, RejectedShard};
use super::messages::{
    BatchOutcome, Effect, RecordWrite, StoredMachine, StoredMachineSet, StoredResults,
};
use super::Scheduler;
use crate::bitmap::{all_chunks, is_large_chunk, small_chunks};
use crate::constants::{
    ENTRY_OVERHEAD_BYTES, MACHINE_SET_WRITE_INTERVAL_MS, RESULTS_WRITE_INTERVAL_MS,
};
use crate::job::JobId;
use crate::machine::Machine;
use crate::record_shards::{RecordShards, ShardOutcome, Urgency};
use crate::Millis;

/// Returns how many bytes of a stored value a chunk of `chunk_bytes` takes, encoded in base64.
fn result_entry_bytes(chunk_bytes: usize) -> usize {
    chunk_bytes.div_ceil(3) * 4 + ENTRY_OVERHEAD_BYTES
}

/// Converts a machine to its stored form; an unknown address becomes empty.
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
    /// Returns how many bytes of a stored value this machine takes.
    pub fn bytes(&self) -> usize {
        let texts = [&self.name, &self.machine_type, &self.zone, &self.addr];
        texts.iter().map(|text| text.len()).sum::<usize>() + ENTRY_OVERHEAD_BYTES
    }
}

/// A value of the machine set that could not be read.
#[derive(Clone, Debug)]
struct UnreadableMachineSet {
    name: String,
    revision: u64,
}

/// Pending writes to the state service.
#[derive(Clone, Debug)]
pub(super) struct RecordPersistence {
    machine_sets: RecordShards<String>,
    /// The entries are pairs of job and chunk index.
    results: RecordShards<(JobId, u32)>,
    /// Completed jobs whose records are not yet marked as done.
    completed_jobs: BTreeSet<JobId>,
    /// Maximum number of changes in the next batch for the state service.
    max_batch_changes: usize,
    /// Values that may list machines unknown to this term. Tasks may run on these machines until
    /// all worker leases from before this term have expired.
    unreadable_machine_sets: Vec<UnreadableMachineSet>,
}

impl RecordPersistence {
    /// Creates the persistence of a term; `token` is its fencing token, and stored values hold at
    /// most `max_bytes`.
    pub fn new(token: u64, max_bytes: usize) -> Self {
        RecordPersistence {
            machine_sets: RecordShards::new(token, max_bytes, MACHINE_SET_WRITE_INTERVAL_MS),
            results: RecordShards::new(token, max_bytes, RESULTS_WRITE_INTERVAL_MS),
            completed_jobs: BTreeSet::new(),
            max_batch_changes: usize::MAX,
            unreadable_machine_sets: Vec::new(),
        }
    }

    /// Loads the stored machine set and returns its machines.
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

    /// Loads a stored value of results. A value with chunks of the legacy size, each of which may
    /// exceed the state service's limit on its own, is replaced by values with small chunks.
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

    /// Whether the stored machine set is known completely: no value of it is unreadable.
    pub fn is_machine_set_known(&self) -> bool {
        self.unreadable_machine_sets.is_empty()
    }

    /// Schedules the deletion of the unreadable values of the machine set. Returns whether there
    /// were any.
    pub fn drop_unreadable_machine_sets(&mut self) -> bool {
        let dropped = std::mem::take(&mut self.unreadable_machine_sets);
        for set in &dropped {
            self.machine_sets.load(&set.name, set.revision, []);
        }
        !dropped.is_empty()
    }

    /// Schedules an urgent write of a machine, since no task is launched on it before it is stored.
    pub fn put_machine(&mut self, machine: &Machine) {
        let bytes = stored_machine(machine).bytes();
        self.machine_sets.put(machine.name.to_string(), bytes, Urgency::Urgent);
    }

    /// Schedules a write of a machine, unless a write of a machine set is pending, for the sake of
    /// its revision. It is not urgent.
    pub fn request_revision(&mut self, machine: &Machine) {
        if !self.machine_sets.has_changes() {
            let bytes = stored_machine(machine).bytes();
            self.machine_sets.put(machine.name.to_string(), bytes, Urgency::Deferred);
        }
    }

    /// Schedules the removal of a terminated machine from the stored set.
    pub fn remove_machine(&mut self, name: &str) {
        self.machine_sets.remove(&name.to_string());
    }

    /// Schedules the write that marks a job's record as done.
    pub fn put_completed_job(&mut self, id: JobId) {
        self.completed_jobs.insert(id);
    }

    /// Cancels the pending writes of a job that was closed by another node or a user, and removes
    /// its stored results.
    pub fn remove_job(&mut self, id: JobId) {
        self.completed_jobs.remove(&id);
        self.remove_results(id);
    }

    /// Returns the number of completed jobs whose records are not yet marked as done.
    pub fn unpersisted_jobs(&self) -> usize {
        self.completed_jobs.len()
    }

    /// Schedules the write of a changed chunk of a job's results, of `chunk_bytes` bytes.
    pub fn put_result(&mut self, id: JobId, chunk: u32, chunk_bytes: usize) {
        self.results.put((id, chunk), result_entry_bytes(chunk_bytes), Urgency::Deferred);
    }

    /// Schedules the removal of a closed job's stored results, which are no longer needed.
    fn remove_results(&mut self, id: JobId) {
        for chunk in all_chunks() {
            self.results.remove(&(id, chunk));
        }
    }

    /// Whether a write is due.
    pub fn has_due_write(&self, now: Millis) -> bool {
        !self.completed_jobs.is_empty()
            || self.machine_sets.has_due_write(now)
            || self.results.has_due_write(now)
    }

    /// Adapts the batch size: halves it after a rejection and doubles it after a commit. Smaller
    /// batches isolate the rejected value, or meet a lower limit on the number of changes.
    fn adapt_batch_size(&mut self, written: usize, outcome: &BatchOutcome) {
        match outcome {
            BatchOutcome::Rejected => self.max_batch_changes = (written / 2).max(1),
            BatchOutcome::Committed(_) => {
                self.max_batch_changes = self.max_batch_changes.saturating_mul(2);
            }
            BatchOutcome::NotExecuted | BatchOutcome::Unknown | BatchOutcome::Conflict { .. } => {}
        }
    }

    /// Handles a value that was rejected in a batch of its own: splits it, or abandons it if it has
    /// a single entry. Returns its name and what was done, or `None` for the write of a job record.
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

    /// Returns the outcome for one value of the machine set. A conflict due to an earlier write
    /// that was applied late leaves the value's revision unknown, as an unanswered write does.
    fn of_machine_set(&self, name: &str) -> ShardOutcome {
        let is_late = |names: &[String]| names.iter().any(|late| late == name);
        match self {
            BatchOutcome::Conflict { machine_sets, .. } if is_late(machine_sets) => {
                ShardOutcome::Unknown
            }
            _ => self.of_shard(),
        }
    }

    /// Returns the outcome for one value of results, as [`Self::of_machine_set`] does.
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
    /// Returns the next batch for the state service, with at most `max_changes` changes: first
    /// completed jobs, then due values of the machine set, then due values of results.
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

    /// Handles the outcome of a batch of writes.
    pub(super) fn on_writes_finished(
        &mut self,
        now: Millis,
        writes: Vec<RecordWrite>,
        outcome: BatchOutcome,
    ) {
        match &outcome {
            BatchOutcome::Conflict { jobs, .. } => self.mark_closed_elsewhere(jobs),
            BatchOutcome::Committed(revision) => self.fencing.write_committed(*revision),
            BatchOutcome::NotExecuted | BatchOutcome::Unknown | BatchOutcome::Rejected => {}
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

    /// Marks jobs closed by another node or a user. The job cache will report them as closed.
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

    /// Marks machines as stored, which allows launches on them.
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
