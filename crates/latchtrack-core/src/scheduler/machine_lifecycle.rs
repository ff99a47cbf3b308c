//! Renting and returning machines, and giving up those that are silent, late or idle.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

use super::messages::{Effect, ListedMachine, ProvisionOutcome, StoredMachine};
use super::Scheduler;
use crate::constants::*;
use crate::machine::{ExitCause, Machine, StopRequest, TaskPhase, TaskRun};
use crate::placement::Offer;
use crate::Millis;

/// Judges by heartbeats and unanswered calls which machines and zones are unreachable.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureDetector {
    /// What was heard of each zone in this term.
    pub zones: BTreeMap<Arc<str>, ZoneReachability>,
    /// Zones of which nothing is heard, at the last tick.
    pub unreachable_zones: BTreeSet<Arc<str>>,
    /// Since when heartbeats have come by way of other nodes, and none to this one itself.
    pub relayed_since: Option<Millis>,
    pub last_tick_at: Millis,
    /// Since when this node has listened without a pause of its own.
    pub listening_since: Millis,
}

/// What is heard of a zone.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneReachability {
    /// When one of its machines was last heard holding our token.
    pub last_heartbeat_at: Option<Millis>,
    /// Direct calls into it without an answer since.
    pub unanswered_calls: u32,
    /// When it was last unreachable no more.
    pub back: Millis,
}

impl FailureDetector {
    pub fn new(now: Millis) -> Self {
        FailureDetector { last_tick_at: now, listening_since: now, ..FailureDetector::default() }
    }
}

impl Scheduler {
    pub(super) fn on_provision_finished(
        &mut self,
        now: Millis,
        request_id: &str,
        outcome: ProvisionOutcome,
    ) {
        let Some(h) = self.provisioning.pending.remove(request_id) else { return };
        match outcome {
            ProvisionOutcome::Provisioned(names) => {
                if (names.len() as u32) < h.number {
                    self.provisioning.exhausted.insert(h.offer.clone(), now + OFFER_EXHAUSTED_MS);
                }
                for name in names {
                    if self.inventory.was_terminated(&name) || self.inventory.contains(&name) {
                        continue;
                    }
                    let o = &h.offer;
                    self.inventory.insert(new_machine(&name, &o.kind, &o.zone, o.spot, now));
                }
            }
            ProvisionOutcome::NoCapacity => {
                self.provisioning.exhausted.insert(h.offer, now + OFFER_EXHAUSTED_MS);
            }
            ProvisionOutcome::NotExecuted => {}
            ProvisionOutcome::Unknown => {
                // The name must not be used for anything else, and may have rented machines:
                // asked again, it names them or rents them now.
                self.out.push(Effect::Provision {
                    request_id: request_id.to_string(),
                    offer: h.offer.clone(),
                    number: h.number,
                });
                self.provisioning.pending.insert(request_id.to_string(), h);
            }
        }
        self.cycle_timer.request();
    }

    pub(super) fn on_terminate_finished(&mut self, now: Millis, names: Vec<String>, ok: bool) {
        for name in names {
            if !ok {
                if let Some(m) = self.inventory.get_mut(&name) {
                    m.termination_sent = false;
                }
                continue;
            }
            if let Some(m) = self.inventory.remove(&name) {
                // What went back can be had again.
                let offer =
                    Offer { kind: m.kind.to_string(), zone: m.zone.to_string(), spot: m.spot };
                self.provisioning.exhausted.remove(&offer);
                for run in m.runs.values().filter(|r| r.is_live()) {
                    self.release_run(now, &name, run);
                }
                self.persistence.machine_sets.remove(&name);
                self.dispatcher.pending.remove(&name);
            }
            self.inventory.remember_terminated(name);
        }
        self.cycle_timer.request();
        if self.cycle_due(now) {
            self.run_cycle(now);
            self.dispatch(now, None);
        }
    }

    pub(super) fn on_machines_listed(&mut self, now: Millis, listed: Vec<ListedMachine>) {
        self.detect_unlisted(now, &listed);
        for l in listed {
            if self.inventory.was_terminated(&l.name) {
                continue;
            }
            match self.inventory.get_mut(&l.name) {
                Some(m) => {
                    m.listed_as_running |= l.running;
                    if l.failed && !m.to_terminate {
                        m.to_terminate = true;
                        self.out.push(Effect::Log(format!("machine {} failed", l.name)));
                    }
                }
                None => {
                    let mut m = new_machine(&l.name, &l.kind, &l.zone, l.spot, now);
                    // Not to be asked before it speaks: it may be booting.
                    m.rented_at = now.saturating_sub(l.age_ms);
                    m.to_terminate = l.failed;
                    m.listed_as_running = l.running;
                    self.inventory.insert(m);
                    self.cycle_timer.request();
                    self.out.push(Effect::Log(format!("machine {} adopted from the list", l.name)));
                }
            }
        }
    }

    /// A silent machine that the list no longer has was most likely taken back. A list proves
    /// nothing; the delete that this leads to does, and costs nothing if the machine is gone.
    fn detect_unlisted(&mut self, now: Millis, listed: &[ListedMachine]) {
        let names: HashSet<&str> = listed.iter().map(|l| l.name.as_str()).collect();
        let (probe_ms, sure_ms) = (self.policy.probe_ms(), self.policy.list_complete_ms());
        for m in self.inventory.iter_mut().filter(|m| !m.to_terminate) {
            // A machine of the stored set was up before this term; one that does not answer a new
            // leader either is not younger than lists are late but for a moment's bad luck.
            let sure = m.is_unreconciled() || now >= m.rented_at.saturating_add(sure_ms);
            // One that is not up yet says nothing of its end either.
            let silent = m.presumed_lost(now, probe_ms) || (!m.is_up() && !m.is_unreconciled());
            if sure && silent && !names.contains(&*m.name) {
                m.to_terminate = true;
                self.out.push(Effect::Log(format!("machine {} taken back", m.name)));
            }
        }
    }

    fn request_machine_list(&mut self, now: Millis) {
        let probe_ms = self.policy.probe_ms();
        let silent =
            self.inventory.iter().any(|m| !m.to_terminate && m.presumed_lost(now, probe_ms));
        let every = if silent { LIST_INTERVAL_WHILE_SILENT_MS } else { LIST_INTERVAL_MS };
        if self.provisioning.listed_at.is_none_or(|t| now >= t + every) {
            self.provisioning.listed_at = Some(now);
            self.out.push(Effect::ListMachines);
        }
    }

    pub(super) fn on_tick(&mut self, now: Millis) {
        self.provisioning.exhausted.retain(|_, until| *until > now);
        // Not leading for a while, or standing still: the machines spoke, and nobody listened.
        if now > self.failure_detector.last_tick_at.saturating_add(MAX_TICK_GAP_MS) {
            self.failure_detector.listening_since = now;
        }
        self.failure_detector.last_tick_at = now;
        self.request_machine_list(now);
        self.detect_silent_machines(now);
        self.stop_preempted_tasks(now);
        self.end_broken_gang_attempts(now);
        self.track_boots(now);
        self.terminate_idle_machines(now);
        self.detect_ignored_launches(now);
        self.restore_healthy_jobs(now);
        self.balance_load(now);
        self.step_cell_quota(now);
        self.probe_silent_machines(now);
        self.dispatcher.pending.append(&mut self.dispatcher.next_tick);
        if self.cycle_due(now) {
            self.run_cycle(now);
        }
        self.dispatch(now, None);
    }

    /// For how long a machine that should speak has been silent while we listened and its zone was
    /// not quiet: when a cut ends, one machine is heard before the others.
    fn observed_silence(&self, now: Millis, m: &Machine) -> Option<Millis> {
        let back = self.failure_detector.zones.get(&m.zone).map_or(0, |sight| sight.back);
        let from = self.failure_detector.listening_since.max(back);
        m.heartbeat_age(now).map(|s| s.min(now.saturating_sub(from)))
    }

    /// Finds the zones of which nothing is heard any more, with enough questions unanswered: rather
    /// a cut between us and them than that many dead machines at once.
    fn detect_unreachable_zones(&mut self, now: Millis) {
        let mut known: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        for m in self.inventory.iter().filter(|m| m.heartbeat_age(now).is_some()) {
            *known.entry(m.zone.clone()).or_default() += 1;
        }
        let quiet = |(zone, n): (Arc<str>, u32)| {
            let sight = self.failure_detector.zones.get(&zone)?;
            let since = sight
                .last_heartbeat_at
                .unwrap_or(self.term_started_at)
                .max(self.failure_detector.listening_since);
            let asked =
                sight.unanswered_calls >= ZONE_UNANSWERED_CALLS.min(MIN_UNANSWERED_CALLS * n);
            let is = n as usize >= MIN_MACHINES_TO_JUDGE
                && asked
                && now >= since + ZONE_UNREACHABLE_AFTER_MS;
            is.then_some(zone)
        };
        let zones = known.len();
        let quiet: BTreeSet<Arc<str>> = known.into_iter().filter_map(quiet).collect();
        for zone in quiet.difference(&self.failure_detector.unreachable_zones) {
            self.out.push(Effect::Log(format!("nothing is heard of zone {zone}")));
        }
        for zone in self.failure_detector.unreachable_zones.difference(&quiet) {
            self.failure_detector.zones.entry(zone.clone()).or_default().back = now;
            self.out.push(Effect::Log(format!("zone {zone} is not quiet any more")));
        }
        self.failure_detector.unreachable_zones = quiet;
        // A machine heard in this term shows that we were heard once. A new leader that hears none
        // must not resign: the next would do the same for ever, with nobody to settle them.
        if zones > 0
            && self.failure_detector.unreachable_zones.len() == zones
            && self.inventory.iter().any(Machine::is_up)
        {
            self.out.push(Effect::Resign("no machine is heard any more"));
        }
        // Starts would wait for the next report of each machine; another node can call them.
        let since = self
            .failure_detector
            .relayed_since
            .map(|at| at.max(self.failure_detector.listening_since));
        if since.is_some_and(|at| now >= at.saturating_add(self.policy.probe_ms())) {
            self.out.push(Effect::Resign("machines are heard by way of other nodes only"));
        }
    }

    pub(super) fn detect_silent_machines(&mut self, now: Millis) {
        self.detect_unreachable_zones(now);
        let past_lease = self.policy.worker_lease_expiry_ms();
        let probe_ms = self.policy.probe_ms();
        // They fall silent within a report's time of each other, so all that are overdue count.
        let (mut known, mut overdue) = (0usize, 0usize);
        for m in self
            .inventory
            .iter()
            .filter(|m| !self.failure_detector.unreachable_zones.contains(&m.zone))
        {
            let Some(s) = self.observed_silence(now, m) else { continue };
            known += 1;
            overdue += usize::from(s >= probe_ms);
        }
        let ours =
            known >= MIN_MACHINES_TO_JUDGE && overdue as f64 > known as f64 * MAX_SILENT_SHARE;
        // Other zones are heard, so that it is not us.
        let last_heartbeat_at = self.failure_detector.zones.iter().any(|(z, s)| {
            s.last_heartbeat_at.is_some() && !self.failure_detector.unreachable_zones.contains(z)
        });
        let mut given_up = Vec::new();
        for m in self.inventory.iter().filter(|m| !m.to_terminate) {
            let Some(s) = self.observed_silence(now, m) else { continue };
            let give_up = if !self.failure_detector.unreachable_zones.contains(&m.zone) {
                let limit = if m.is_up() {
                    self.policy.heartbeat_timeout_ms
                } else {
                    self.policy.reconcile_timeout_ms
                };
                // Silence is the machine's only if it was asked and did not answer: a node that is
                // late hears late. Past its lease it has no task left in any case.
                let asked = m.unanswered_calls >= MIN_UNANSWERED_CALLS || m.addr.is_none();
                s >= limit && (asked && !ours || s >= past_lease)
            } else if m.is_unreconciled() && last_heartbeat_at {
                // All older jobs wait for it, in the zones that are heard too.
                s >= self.policy.reconcile_timeout_ms
            } else {
                // Its work goes on until its lease has run out, and it is there when the cut ends.
                s >= past_lease + UNREACHABLE_ZONE_GRACE_MS
            };
            if give_up {
                given_up.push((m.name.to_string(), s));
            }
        }
        for (name, s) in given_up {
            if let Some(m) = self.inventory.get_mut(&name) {
                m.to_terminate = true;
                self.out.push(Effect::Log(format!("machine {name} silent for {s} ms, given up")));
            }
        }
        self.expire_worker_leases(now);
        if now.saturating_sub(self.term_started_at) >= past_lease {
            self.expire_unreconciled(now);
        }
    }

    /// A machine that nobody has answered for its lease and a margin has killed its tasks and moved
    /// on to the next session, and commands that are still on their way belong to the ended one. The
    /// tasks may go elsewhere; the machine stays, it may only be cut off.
    fn expire_worker_leases(&mut self, now: Millis) {
        let past_lease = self.policy.worker_lease_expiry_ms();
        let expired: Vec<String> = self
            .inventory
            .iter()
            .filter(|m| !m.runs.is_empty() && m.heartbeat_older_than(now, past_lease))
            .map(|m| m.name.to_string())
            .collect();
        for name in expired {
            let Some(m) = self.inventory.get_mut(&name) else { continue };
            // What comes of the ended session from now on is old news.
            m.latest_message = (m.latest_message.0 + 1, 0);
            m.idle_since = None;
            let runs = std::mem::take(&mut m.runs);
            let n = runs.len();
            self.out.push(Effect::Log(format!("machine {name}: the lease of {n} runs is over")));
            for run in runs.values() {
                self.release_run(now, &name, run);
            }
        }
    }

    /// Past its lease since the take-over a machine of an earlier leader that never showed our
    /// token holds none of its tasks any more: nobody else can have answered it, and a command that
    /// is still on its way belongs to a session that has ended. It goes back, and holds up nobody.
    fn expire_unreconciled(&mut self, now: Millis) {
        for (name, revision) in std::mem::take(&mut self.persistence.unreadable_machine_sets) {
            self.persistence.machine_sets.load(&name, revision, []);
            self.cycle_timer.request();
        }
        for m in self.inventory.iter_mut().filter(|m| m.is_unreconciled()) {
            m.inherited = false;
            m.to_terminate = true;
            self.cycle_timer.request();
            let ms = now.saturating_sub(self.term_started_at);
            self.out.push(Effect::Log(format!("machine {} outlasted its lease, {ms} ms", m.name)));
        }
    }

    /// A machine whose reports arrive while launches don't reach it is judged by what it was seen
    /// to take. Given tasks again and again, it would keep them from running elsewhere.
    fn detect_ignored_launches(&mut self, now: Millis) {
        for m in self.inventory.iter_mut().filter(|m| !m.to_terminate) {
            let deaf = m.runs.values().any(|r| {
                r.phase == TaskPhase::Assigned
                    && r.launch_sends >= MAX_IGNORED_LAUNCHES
                    && now.saturating_sub(r.first_launch_at) >= IGNORED_LAUNCHES_MS
            });
            if deaf {
                m.to_terminate = true;
                let name = &m.name;
                self.out.push(Effect::Log(format!("machine {name} takes no commands, given up")));
            }
        }
    }

    /// A machine that is to be taken: tasks that can save do so now, the others finish if they can.
    pub(super) fn stop_preempted_tasks(&mut self, now: Millis) {
        let mut gangs = BTreeSet::new();
        for m in self.inventory.iter_mut().filter(|m| m.preempt_at.is_some()) {
            for run in m.runs.values_mut().filter(|r| r.phase == TaskPhase::Running) {
                let Some(spec) = &run.spec else { continue };
                if spec.checkpoint_s > 0.0 && run.stop.is_none() {
                    if spec.gang {
                        gangs.insert(spec.id);
                        continue;
                    }
                    run.stop =
                        Some(StopRequest { grace_s: spec.save_s + STOP_GRACE_S, sent_at: None });
                    self.dispatcher.pending.insert(m.name.to_string());
                }
            }
        }
        for id in gangs {
            self.stop_gang(now, id);
        }
    }

    pub(super) fn terminate_idle_machines(&mut self, now: Millis) {
        let mut back = Vec::new();
        let probe_ms = self.policy.probe_ms();
        for m in self.inventory.iter_mut().filter(|m| !m.termination_sent) {
            let no_runs = !m.runs.values().any(TaskRun::is_live);
            // A result that is not stored is lost with its machine.
            let owes = m.runs.values().any(|r| {
                r.phase == TaskPhase::Ended(ExitCause::Done)
                    && self.jobs.get(&r.task.job).is_some_and(|j| !j.persisted.get(r.task.index))
            });
            // A silent one is not idle: it may be working, or cut off, and is judged by its silence.
            let quiet = m.heartbeat_older_than(now, probe_ms);
            if m.is_up() && no_runs && !m.to_terminate && !quiet {
                let since = *m.idle_since.get_or_insert(now);
                let wait = if m.spot {
                    self.policy.spot_idle_timeout_ms
                } else {
                    self.policy.on_demand_idle_timeout_ms
                };
                // Kept for tasks to come, for instance until the last machine of a gang is up.
                let is_kept = self.reservations.is_reserved(&m.name)
                    || self.load_balancing.balancer.is_reserved(&m.name);
                let is_idle = now.saturating_sub(since) >= wait && !is_kept;
                if m.preempt_at.is_some() || m.is_slow() || is_idle {
                    m.to_terminate = true;
                }
            }
            let hears_us = m
                .last_heartbeat_at
                .is_some_and(|h| now.saturating_sub(h) < self.policy.heartbeat_timeout_ms);
            if m.to_terminate && !(owes && hears_us) {
                m.termination_sent = true;
                back.push(m.name.to_string());
            }
        }
        if !back.is_empty() {
            self.out.push(Effect::Terminate(back));
        }
    }
}

/// A machine of the stored set, as a new leader finds it.
pub(super) fn inherited_machine(stored: StoredMachine, now: Millis) -> Machine {
    let mut machine = new_machine(&stored.name, &stored.kind, &stored.zone, stored.spot, now);
    machine.addr = Some(stored.addr);
    machine.persisted = true;
    machine.inherited = true;
    machine.heartbeat_expected_since = Some(now);
    machine
}

pub(super) fn new_machine(name: &str, kind: &str, zone: &str, spot: bool, now: Millis) -> Machine {
    Machine {
        name: name.into(),
        kind: kind.into(),
        zone: zone.into(),
        spot,
        addr: None,
        rented_at: now,
        listed_as_running: false,
        persisted: false,
        inherited: false,
        latest_message: (0, 0),
        last_heartbeat_at: None,
        heartbeat_expected_since: None,
        unanswered_calls: 0,
        preempt_at: None,
        runs: BTreeMap::new(),
        open_call: None,
        next_call_at: 0,
        slow_votes: 0,
        to_terminate: false,
        termination_sent: false,
        idle_since: None,
        failed_jobs: BTreeSet::new(),
        quarantined_until: 0,
        proven: false,
        images: Arc::default(),
    }
}
