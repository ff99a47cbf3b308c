//! Reads the stored state at the start of a term and starts the scheduler from it.

use std::collections::HashMap;
use std::time::Duration;

use actix::prelude::*;
use latchtrack_core::bitmap::Bitmap;
use latchtrack_core::job::JobId;
use latchtrack_core::scheduler::{Event, Scheduler, StoredResults, TermRevisions};

use super::state_read::StateRead;
use super::SchedulerDriver;
use crate::actors::messages::scheduler::JobChange;
use crate::actors::stored::{read_stored_state, StoredState};
use crate::clock::{self, now_ms};
use crate::constants::REFRESH_RETRY_MS;

/// Stored results by job: chunks of the bitmap of done tasks, with their numbers.
type ChunksByJob = HashMap<JobId, Vec<(u32, Vec<u8>)>>;

impl SchedulerDriver {
    /// Starts reading the stored state if the current term has no scheduler yet and the machine
    /// types are known.
    pub(super) fn read_state(&mut self, ctx: &mut Context<Self>) {
        let is_reading = matches!(self.state_read, StateRead::InProgress { .. });
        if is_reading || self.types.is_empty() || self.scheduler.is_some() {
            return;
        }
        let Some(term) = self.term.current() else { return };
        let token = term.token;
        self.state_read = StateRead::InProgress { changes: Vec::new() };
        let (store, cache) = (self.store.clone(), self.cache.clone());
        let read = async move { read_stored_state(&store, &cache).await };
        ctx.spawn(read.into_actor(self).map(move |stored, act, ctx| {
            let read = std::mem::replace(&mut act.state_read, StateRead::Idle);
            if act.term.token() != token {
                act.read_state(ctx);
                return;
            }
            let Some(stored) = stored else {
                let wait = Duration::from_millis(REFRESH_RETRY_MS);
                ctx.run_later(wait, |act, ctx| act.read_state(ctx));
                return;
            };
            let changes = match read {
                StateRead::InProgress { changes } => changes,
                StateRead::Idle => Vec::new(),
            };
            act.start_scheduler(token, stored, changes, ctx);
        }));
    }

    /// Starts the scheduler of a term from the stored state and the changes received during the
    /// read.
    fn start_scheduler(
        &mut self,
        token: u64,
        stored: StoredState,
        changes: Vec<JobChange>,
        ctx: &mut Context<Self>,
    ) {
        let now = now_ms();
        let machines: usize =
            stored.machine_sets.iter().flat_map(|set| &set.machines).map(Vec::len).sum();
        tracing::info!(
            token,
            open_jobs = stored.jobs.len(),
            unreconciled_machines = machines,
            "stored state loaded"
        );
        let mut chunks = chunks_by_job(&stored.results);
        // Without a known leaderless revision before this term, the term's own token is used.
        let leaderless_since =
            stored.leaderless_since.filter(|revision| *revision < token).unwrap_or(token);
        let mut scheduler = Scheduler::new(
            self.policy.clone(),
            TermRevisions { token, leaderless_since },
            self.types.clone(),
            stored.machine_sets,
            stored.results,
            now,
        );
        scheduler.set_decision_log(tracing::enabled!(tracing::Level::DEBUG));
        self.scheduler = Some(scheduler);
        for job in stored.jobs {
            let mut done = None;
            for (chunk, bytes) in chunks.remove(&job.spec.id).unwrap_or_default() {
                done.get_or_insert_with(|| Bitmap::new(job.spec.tasks)).merge_chunk(chunk, &bytes);
            }
            let submitted_at = clock::steady_from_wall(job.submitted_at_wall_ms);
            let (spec, revision) = (job.spec, job.revision);
            self.handle_event(Event::JobOpened { spec, submitted_at, revision, done }, ctx);
        }
        for change in changes {
            self.apply_job_change(change, ctx);
        }
        self.store_machine_types(ctx);
        self.handle_event(Event::Tick, ctx);
    }
}

fn chunks_by_job(results: &[StoredResults]) -> ChunksByJob {
    let mut by_job = ChunksByJob::new();
    for (job, chunk, bytes) in results.iter().flat_map(|stored| &stored.chunks) {
        by_job.entry(*job).or_default().push((*chunk, bytes.clone()));
    }
    by_job
}
