//! What has to be written to the state service.

use super::*;

impl Cluster {
    /// The next batch for the state service, of at most `most` changes.
    pub fn next_writes(&mut self, most: usize) -> Vec<Write> {
        let mut out: Vec<Write> = Vec::new();
        let mut left = most;
        let mut taken = Vec::new();
        for id in &self.finished {
            let Some(job) = self.jobs.get(id).filter(|j| !j.conflict) else {
                taken.push(*id);
                continue;
            };
            let mut drop_chunks: Vec<u32> = (0..job.spec.tasks.div_ceil(CHUNK_TASKS))
                .filter(|c| job.stored.chunk(*c).iter().any(|b| *b != 0))
                .collect();
            if 1 + drop_chunks.len() > most {
                drop_chunks.clear();
            }
            let write =
                Write::Done { job: *id, stamp: job.stamp, tasks: job.spec.tasks, drop_chunks };
            if write.ops() > left {
                break;
            }
            left -= write.ops();
            taken.push(*id);
            out.push(write);
        }
        for id in &taken {
            self.finished.remove(id);
            self.dirty_jobs.remove(id);
        }
        while left > 0 {
            let Some(name) = self.dirty_machines.pop_first() else { break };
            if let Some(m) = self.machines.get_mut(&name) {
                m.storing = true;
                out.push(Write::Machine(StoredMachine {
                    name,
                    kind: m.kind.clone(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                    addr: m.addr.clone().unwrap_or_default(),
                }));
                left -= 1;
            }
        }
        while left > 0 {
            let Some(id) = self.dirty_jobs.first().copied() else { break };
            let next = self.jobs.get_mut(&id).and_then(|job| {
                // A job about to be called done needs no more chunks.
                let chunk = if job.done.full() { None } else { job.dirty.pop_first() }?;
                Some(Write::Progress { job: id, chunk, bytes: job.done.chunk(chunk).to_vec() })
            });
            match next {
                Some(write) => {
                    out.push(write);
                    left -= 1;
                }
                None => {
                    self.dirty_jobs.remove(&id);
                }
            }
        }
        while left > 0 {
            let Some(name) = self.dropped_machines.pop_first() else { break };
            out.push(Write::DropMachine(name));
            left -= 1;
        }
        out
    }

    pub(super) fn on_saved(&mut self, writes: Vec<Write>, outcome: SaveOutcome) {
        if let SaveOutcome::Conflict(jobs) = &outcome {
            for id in jobs {
                // The mirror will say who closed it.
                if let Some(job) = self.jobs.get_mut(id) {
                    job.conflict = true;
                }
            }
        }
        let ok = outcome == SaveOutcome::Ok;
        for write in writes {
            match write {
                Write::Machine(s) => match self.machines.get_mut(&s.name) {
                    Some(m) => {
                        m.storing = false;
                        m.stored = ok;
                        if !ok {
                            self.dirty_machines.insert(s.name);
                        }
                        self.replan = true;
                    }
                    // Went away meanwhile, and may have been stored all the same.
                    None => {
                        self.dropped_machines.insert(s.name);
                    }
                },
                Write::DropMachine(name) => {
                    if !ok {
                        self.dropped_machines.insert(name);
                    }
                }
                Write::Progress { job: id, chunk, bytes } => {
                    if let Some(job) = self.jobs.get_mut(&id) {
                        if ok {
                            job.stored.merge_chunk(chunk, &bytes);
                        } else {
                            job.dirty.insert(chunk);
                            self.dirty_jobs.insert(id);
                        }
                    }
                }
                Write::Done { job: id, .. } => {
                    if ok {
                        self.jobs.remove(&id);
                        self.dirty_jobs.remove(&id);
                    } else if self.jobs.get(&id).is_some_and(|j| !j.conflict) {
                        self.finished.insert(id);
                    }
                }
            }
        }
    }
}
