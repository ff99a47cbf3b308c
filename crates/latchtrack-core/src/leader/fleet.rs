//! Renting and returning machines, and giving up those that are silent, late or idle.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

use super::messages::{Effect, HireOutcome, Listed};
use super::Cluster;
use crate::constants::*;
use crate::machine::{Cause, Machine, MachineType, Phase, Run, Stop};
use crate::placement::Offer;
use crate::Millis;

impl Cluster {
    pub(super) fn on_hired(&mut self, now: Millis, hire: &str, outcome: HireOutcome) {
        let Some(h) = self.hires.remove(hire) else { return };
        match outcome {
            HireOutcome::Machines(names) => {
                if (names.len() as u32) < h.number {
                    self.exhausted.insert(h.offer.clone(), now + EXHAUSTED_MS);
                }
                for name in names {
                    if self.gone.contains(&name) {
                        continue;
                    }
                    let o = &h.offer;
                    self.machines
                        .entry(name.clone())
                        .or_insert_with(|| new_machine(&name, &o.kind, &o.zone, o.spot, now));
                }
            }
            HireOutcome::NoCapacity => {
                self.exhausted.insert(h.offer, now + EXHAUSTED_MS);
            }
            HireOutcome::NotDone => {}
            HireOutcome::Lost => {
                // The name must not be used for anything else, and may have rented machines:
                // asked again, it names them or rents them now.
                self.out.push(Effect::Hire {
                    hire: hire.to_string(),
                    offer: h.offer.clone(),
                    number: h.number,
                });
                self.hires.insert(hire.to_string(), h);
            }
        }
        self.replan = true;
    }

    pub(super) fn on_returned(&mut self, now: Millis, names: Vec<String>, ok: bool) {
        for name in names {
            if !ok {
                if let Some(m) = self.machines.get_mut(&name) {
                    m.deleting = false;
                }
                continue;
            }
            if let Some(m) = self.machines.remove(&name) {
                // What went back can be had again.
                let offer =
                    Offer { kind: m.kind.to_string(), zone: m.zone.to_string(), spot: m.spot };
                self.exhausted.remove(&offer);
                for run in m.runs.values().filter(|r| r.live()) {
                    self.released(now, &name, run);
                }
                self.fleet.remove(&name);
                self.wake.remove(&name);
            }
            self.remember_gone(name);
        }
        self.replan = true;
        if self.plan_due(now) {
            self.plan(now);
            self.flush(now, None);
        }
    }

    pub(super) fn remember_gone(&mut self, name: String) {
        if self.gone.insert(name.clone()) {
            self.gone_order.push_back(name);
            if self.gone_order.len() > GONE_KEPT {
                if let Some(old) = self.gone_order.pop_front() {
                    self.gone.remove(&old);
                }
            }
        }
    }

    pub(super) fn on_listed(&mut self, now: Millis, listed: Vec<Listed>) {
        self.miss(now, &listed);
        for l in listed {
            if self.gone.contains(&l.name) {
                continue;
            }
            match self.machines.get_mut(&l.name) {
                Some(m) => {
                    m.booted |= l.running;
                    if l.failed && !m.leaving {
                        m.leaving = true;
                        self.out.push(Effect::Note(format!("machine {} failed", l.name)));
                    }
                }
                None => {
                    let mut m = new_machine(&l.name, &l.kind, &l.zone, l.spot, now);
                    // Not to be asked before it speaks: it may be booting.
                    m.rented_at = now.saturating_sub(l.age_ms);
                    m.leaving = l.failed;
                    m.booted = l.running;
                    self.machines.insert(l.name.clone(), m);
                    self.replan = true;
                    self.out
                        .push(Effect::Note(format!("machine {} adopted from the list", l.name)));
                }
            }
        }
    }

    /// A silent machine that the list no longer has was most likely taken back. A list proves
    /// nothing; the delete that this leads to does, and costs nothing if the machine is gone.
    fn miss(&mut self, now: Millis, listed: &[Listed]) {
        let names: HashSet<&str> = listed.iter().map(|l| l.name.as_str()).collect();
        let (probe_ms, sure_ms) = (self.policy.probe_ms(), self.policy.list_sure_ms());
        for m in self.machines.values_mut().filter(|m| !m.leaving) {
            // A machine of the stored set was up before this term; one that does not answer a new
            // leader either is not younger than lists are late but for a moment's bad luck.
            let sure = m.unsettled() || now >= m.rented_at.saturating_add(sure_ms);
            // One that is not up yet says nothing of its end either.
            let silent = m.seems_gone(now, probe_ms) || (!m.up() && !m.unsettled());
            if sure && silent && !names.contains(&*m.name) {
                m.leaving = true;
                self.out.push(Effect::Note(format!("machine {} taken back", m.name)));
            }
        }
    }

    fn watch_list(&mut self, now: Millis) {
        let probe_ms = self.policy.probe_ms();
        let silent = self.machines.values().any(|m| !m.leaving && m.seems_gone(now, probe_ms));
        let every = if silent { LIST_SILENT_MS } else { LIST_MS };
        if self.listed_at.is_none_or(|t| now >= t + every) {
            self.listed_at = Some(now);
            self.out.push(Effect::List);
        }
    }

    pub(super) fn on_tick(&mut self, now: Millis) {
        self.exhausted.retain(|_, until| *until > now);
        // Not leading for a while, or standing still: the machines spoke, and nobody listened.
        if now > self.last_tick.saturating_add(AWAY_MS) {
            self.listening_since = now;
        }
        self.last_tick = now;
        self.watch_list(now);
        self.watch_silence(now);
        self.watch_notices(now);
        self.watch_gangs(now);
        self.watch_boots(now);
        self.watch_idle(now);
        self.watch_deaf(now);
        self.watch_suspects(now);
        self.watch_balance(now);
        self.watch_quota(now);
        self.probe(now);
        self.wake.append(&mut self.wake_later);
        if self.plan_due(now) {
            self.plan(now);
        }
        self.flush(now, None);
    }

    pub(super) fn type_of(&self, kind: &str) -> Option<&MachineType> {
        type_named(&self.types, kind)
    }

    /// For how long a machine that should speak has been silent while we listened and its zone was
    /// not quiet: when a cut ends, one machine is heard before the others.
    fn silence(&self, now: Millis, m: &Machine) -> Option<Millis> {
        let back = self.zones.get(&m.zone).map_or(0, |sight| sight.back);
        let from = self.listening_since.max(back);
        m.silence(now).map(|s| s.min(now.saturating_sub(from)))
    }

    /// Finds the zones of which nothing is heard any more, with enough questions unanswered: rather
    /// a cut between us and them than that many dead machines at once.
    fn watch_zones(&mut self, now: Millis) {
        let mut known: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.silence(now).is_some()) {
            *known.entry(m.zone.clone()).or_default() += 1;
        }
        let quiet = |(zone, n): (Arc<str>, u32)| {
            let sight = self.zones.get(&zone)?;
            let since = sight.heard.unwrap_or(self.took_over).max(self.listening_since);
            let asked = sight.in_vain >= ZONE_IN_VAIN.min(UNANSWERED * n);
            let is = n as usize >= SILENT_LEAST && asked && now >= since + ZONE_QUIET_MS;
            is.then_some(zone)
        };
        let zones = known.len();
        let quiet: BTreeSet<Arc<str>> = known.into_iter().filter_map(quiet).collect();
        for zone in quiet.difference(&self.quiet) {
            self.out.push(Effect::Note(format!("nothing is heard of zone {zone}")));
        }
        for zone in self.quiet.difference(&quiet) {
            self.zones.entry(zone.clone()).or_default().back = now;
            self.out.push(Effect::Note(format!("zone {zone} is not quiet any more")));
        }
        self.quiet = quiet;
        // A machine heard in this term shows that we were heard once. A new leader that hears none
        // must not resign: the next would do the same for ever, with nobody to settle them.
        if zones > 0 && self.quiet.len() == zones && self.machines.values().any(Machine::up) {
            self.out.push(Effect::Resign("no machine is heard any more"));
        }
        // Starts would wait for the next report of each machine; another node can call them.
        let since = self.relayed_since.map(|at| at.max(self.listening_since));
        if since.is_some_and(|at| now >= at.saturating_add(self.policy.probe_ms())) {
            self.out.push(Effect::Resign("machines are heard by way of other nodes only"));
        }
    }

    pub(super) fn watch_silence(&mut self, now: Millis) {
        self.watch_zones(now);
        let past_lease = self.policy.past_lease_ms();
        let probe_ms = self.policy.probe_ms();
        // They fall silent within a report's time of each other, so all that are overdue count.
        let (mut known, mut overdue) = (0usize, 0usize);
        for m in self.machines.values().filter(|m| !self.quiet.contains(&m.zone)) {
            let Some(s) = self.silence(now, m) else { continue };
            known += 1;
            overdue += usize::from(s >= probe_ms);
        }
        let ours = known >= SILENT_LEAST && overdue as f64 > known as f64 * SILENT_SHARE;
        // Other zones are heard, so that it is not us.
        let heard = self.zones.iter().any(|(z, s)| s.heard.is_some() && !self.quiet.contains(z));
        let mut given_up = Vec::new();
        for m in self.machines.values().filter(|m| !m.leaving) {
            let Some(s) = self.silence(now, m) else { continue };
            let give_up = if !self.quiet.contains(&m.zone) {
                let limit = if m.up() { self.policy.silence_ms } else { self.policy.settle_ms };
                // Silence is the machine's only if it was asked and did not answer: a node that is
                // late hears late. Past its lease it has no task left in any case.
                let asked = m.unanswered >= UNANSWERED || m.addr.is_none();
                s >= limit && (asked && !ours || s >= past_lease)
            } else if m.unsettled() && heard {
                // All older jobs wait for it, in the zones that are heard too.
                s >= self.policy.settle_ms
            } else {
                // Its work goes on until its lease has run out, and it is there when the cut ends.
                s >= past_lease + CUT_KEPT_MS
            };
            if give_up {
                given_up.push((m.name.to_string(), s));
            }
        }
        for (name, s) in given_up {
            if let Some(m) = self.machines.get_mut(&name) {
                m.leaving = true;
                self.out.push(Effect::Note(format!("machine {name} silent for {s} ms, given up")));
            }
        }
        self.expire(now);
        if now.saturating_sub(self.took_over) >= past_lease {
            self.outlast(now);
        }
    }

    /// A machine that nobody has answered for its lease and a margin has killed its tasks and moved
    /// on to the next session, and commands that are still on their way belong to the ended one. The
    /// tasks may go elsewhere; the machine stays, it may only be cut off.
    fn expire(&mut self, now: Millis) {
        let past_lease = self.policy.past_lease_ms();
        let expired: Vec<String> = self
            .machines
            .values()
            .filter(|m| !m.runs.is_empty() && m.silent_for(now, past_lease))
            .map(|m| m.name.to_string())
            .collect();
        for name in expired {
            let Some(m) = self.machines.get_mut(&name) else { continue };
            // What comes of the ended session from now on is old news.
            m.newest = (m.newest.0 + 1, 0);
            m.empty_since = None;
            let runs = std::mem::take(&mut m.runs);
            let n = runs.len();
            self.out.push(Effect::Note(format!("machine {name}: the lease of {n} runs is over")));
            for run in runs.values() {
                self.released(now, &name, run);
            }
        }
    }

    /// Past its lease since the take-over a machine of an earlier leader that never showed our
    /// token holds none of its tasks any more: nobody else can have answered it, and a command that
    /// is still on its way belongs to a session that has ended. It goes back, and holds up nobody.
    fn outlast(&mut self, now: Millis) {
        for (name, stamp) in std::mem::take(&mut self.garbled) {
            self.fleet.load(&name, stamp, []);
            self.replan = true;
        }
        for m in self.machines.values_mut().filter(|m| m.unsettled()) {
            m.inherited = false;
            m.leaving = true;
            self.replan = true;
            let ms = now.saturating_sub(self.took_over);
            self.out.push(Effect::Note(format!("machine {} outlasted its lease, {ms} ms", m.name)));
        }
    }

    /// A machine whose reports arrive while launches don't reach it is judged by what it was seen
    /// to take. Given tasks again and again, it would keep them from running elsewhere.
    fn watch_deaf(&mut self, now: Millis) {
        for m in self.machines.values_mut().filter(|m| !m.leaving) {
            let deaf = m.runs.values().any(|r| {
                r.phase == Phase::Assigned
                    && r.sends >= DEAF_SENDS
                    && now.saturating_sub(r.first_sent) >= DEAF_MS
            });
            if deaf {
                m.leaving = true;
                let name = &m.name;
                self.out.push(Effect::Note(format!("machine {name} takes no commands, given up")));
            }
        }
    }

    /// A machine that is to be taken: tasks that can save do so now, the others finish if they can.
    pub(super) fn watch_notices(&mut self, now: Millis) {
        let mut gangs = BTreeSet::new();
        for m in self.machines.values_mut().filter(|m| m.notice_at.is_some()) {
            for run in m.runs.values_mut().filter(|r| r.phase == Phase::Running) {
                let Some(spec) = &run.spec else { continue };
                if spec.checkpoint_s > 0.0 && run.stop.is_none() {
                    if spec.gang {
                        gangs.insert(spec.id);
                        continue;
                    }
                    run.stop = Some(Stop { grace_s: spec.save_s + STOP_GRACE_S, sent_at: None });
                    self.wake.insert(m.name.to_string());
                }
            }
        }
        for id in gangs {
            self.stop_gang(now, id);
        }
    }

    pub(super) fn watch_idle(&mut self, now: Millis) {
        let mut back = Vec::new();
        let probe_ms = self.policy.probe_ms();
        for m in self.machines.values_mut().filter(|m| !m.deleting) {
            let no_runs = !m.runs.values().any(Run::live);
            // A result that is not stored is lost with its machine.
            let owes = m.runs.values().any(|r| {
                r.phase == Phase::Ended(Cause::Done)
                    && self.jobs.get(&r.task.job).is_some_and(|j| !j.stored.get(r.task.index))
            });
            // A silent one is not idle: it may be working, or cut off, and is judged by its silence.
            let quiet = m.silent_for(now, probe_ms);
            if m.up() && no_runs && !m.leaving && !quiet {
                let since = *m.empty_since.get_or_insert(now);
                let wait = if m.spot {
                    self.policy.idle_wait_ms
                } else {
                    self.policy.ordinary_idle_wait_ms
                };
                // Kept for tasks to come, for instance until the last machine of a gang is up.
                let is_kept = self.held.contains_key(&m.name)
                    || self.kept.contains(&m.name)
                    || self.balancer.is_reserved(&m.name);
                let is_idle = now.saturating_sub(since) >= wait && !is_kept;
                if m.notice_at.is_some() || m.is_slow() || is_idle {
                    m.leaving = true;
                }
            }
            let hears_us = m.heard.is_some_and(|h| now.saturating_sub(h) < self.policy.silence_ms);
            if m.leaving && !(owes && hears_us) {
                m.deleting = true;
                back.push(m.name.to_string());
            }
        }
        if !back.is_empty() {
            self.out.push(Effect::Return(back));
        }
    }
}

pub(super) fn type_named<'a>(types: &'a [MachineType], kind: &str) -> Option<&'a MachineType> {
    types.iter().find(|t| t.name == kind)
}

pub(super) fn new_machine(name: &str, kind: &str, zone: &str, spot: bool, now: Millis) -> Machine {
    Machine {
        name: name.into(),
        kind: kind.into(),
        zone: zone.into(),
        spot,
        addr: None,
        rented_at: now,
        booted: false,
        stored: false,
        inherited: false,
        newest: (0, 0),
        heard: None,
        expected_since: None,
        unanswered: 0,
        notice_at: None,
        runs: BTreeMap::new(),
        call: None,
        call_after: 0,
        slow: 0,
        leaving: false,
        deleting: false,
        empty_since: None,
        failed_jobs: BTreeSet::new(),
        probation_until: 0,
        proved: false,
        images: Arc::default(),
    }
}
