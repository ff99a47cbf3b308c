//! One round of placing: the queue, the rooms, the rentals.

use std::collections::{HashMap, HashSet};

use super::*;

/// What makes two jobs alike for placing: decided once, as a class, in each round.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Shape {
    demand: [u64; 3],
    types: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
}

impl Shape {
    fn of(spec: &JobSpec) -> Self {
        let d = &spec.demand;
        Shape {
            demand: [d.cpus.to_bits(), d.gpus.to_bits(), d.memory_gb.to_bits()],
            types: spec.types.clone(),
            zone: spec.zone.clone(),
            spot: spec.spot,
        }
    }
}

/// What one round of placing carries from job to job.
struct Round {
    rooms: Vec<Room>,
    total: Demand,
    /// Shapes that found no ready room, no promised room, nothing to rent.
    no_ready: HashSet<Shape>,
    no_promise: HashSet<Shape>,
    no_offer: HashSet<Shape>,
    /// Waiting tasks of the jobs not yet looked at, by shape.
    to_come: HashMap<Shape, u32>,
    /// CPUs and GPUs in use of teams that have a limit.
    used: BTreeMap<String, (f64, f64)>,
    /// A run of unknown size and team is somewhere.
    unknown_runs: bool,
}

impl Cluster {
    pub(super) fn plan_due(&self, now: Millis) -> bool {
        // Rounds are apart, so that many reports in a row cost one.
        self.last_plan.is_none_or(|t| now >= t + 100)
            && (self.replan || self.last_plan.is_none_or(|t| now >= t + 1_000))
    }

    fn rooms(&self, now: Millis) -> (Vec<Room>, Demand) {
        let mut rooms = Vec::new();
        let mut total = Demand::default();
        for m in self.machines.values() {
            if m.leaving
                || m.unsettled
                || m.is_slow()
                || m.notice_at.is_some()
                || now < m.probation_until
            {
                continue;
            }
            let Some(t) = self.type_of(&m.kind) else { continue };
            let Some(used) = m.used() else { continue };
            if m.up() {
                total.cpus += t.cpus;
                total.gpus += t.gpus;
                total.memory_gb += t.memory_gb;
                if m.silent_for(now, self.policy.probe_ms()) {
                    continue;
                }
            } else if now.saturating_sub(m.rented_at) > self.boot_limit(&m.kind, BOOT_LATE) {
                continue;
            }
            rooms.push(Room {
                machine: Some(m.name.clone()),
                kind: m.kind.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                free: Demand {
                    cpus: t.cpus - used.cpus,
                    gpus: t.gpus - used.gpus,
                    memory_gb: t.memory_gb - used.memory_gb,
                },
                ready: m.up() && m.stored,
                held: false,
                score: 0.0,
            });
        }
        for h in self.hires.values() {
            if let Some(t) = self.type_of(&h.offer.kind) {
                for _ in 0..h.number {
                    rooms.push(promised(&h.offer, t));
                }
            }
        }
        (rooms, total)
    }

    pub(super) fn plan(&mut self, now: Millis) {
        self.last_plan = Some(now);
        self.replan = false;
        let (rooms, total) = self.rooms(now);
        let mut used: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        let mut unknown_runs = false;
        for run in self.machines.values().flat_map(|m| m.runs.values()).filter(|r| r.live()) {
            match &run.spec {
                Some(s) => {
                    let u = used.entry(s.team.clone()).or_default();
                    u.0 += s.demand.cpus;
                    u.1 += s.demand.gpus;
                }
                None => unknown_runs = true,
            }
        }
        let mut round = Round {
            rooms,
            total,
            no_ready: HashSet::new(),
            no_promise: HashSet::new(),
            no_offer: HashSet::new(),
            to_come: HashMap::new(),
            used,
            unknown_runs,
        };
        let unsettled = self.machines.values().any(|m| m.unsettled);
        let guaranteed = self.guaranteed_jobs();
        let mut order: Vec<(Rank, JobId)> = self
            .jobs
            .iter()
            .filter(|(_, j)| !(unsettled && self.waits_for_settling(j)) && j.pause_until <= now)
            .filter_map(|(id, j)| {
                let waiting = j.waiting();
                (waiting > 0).then(|| {
                    let d = &j.spec.demand;
                    let demand =
                        placement::job_demand(d, waiting, &round.total, &self.policy.weights);
                    let (tier, due) = self.due(now, j);
                    let rank = Rank {
                        guaranteed: u8::from(!guaranteed.contains(id)),
                        tier,
                        due,
                        minus_demand: -demand,
                    };
                    (rank, *id)
                })
            })
            .collect();
        let by_rank = |a: &(Rank, JobId), b: &(Rank, JobId)| {
            a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal)
        };
        order.sort_by(by_rank);
        self.step_back(now, &mut order, &round.total);
        order.sort_by(by_rank);
        for job in order.iter().filter_map(|(_, id)| self.jobs.get(id)) {
            *round.to_come.entry(Shape::of(&job.spec)).or_default() += job.waiting();
        }
        for (_, id) in order {
            self.place_job(now, id, &mut round);
        }
    }

    /// Whether a job may not start anything while a machine is unsettled: an earlier leader may
    /// have launched its tasks, or its team's limit depends on what runs there.
    fn waits_for_settling(&self, job: &Job) -> bool {
        job.inherited
            || self
                .policy
                .teams
                .iter()
                .any(|t| t.name == job.spec.team && (t.cpus_max > 0.0 || t.gpus_max > 0.0))
    }

    /// Jobs that fit into their team's guarantee together with the team's earlier ones.
    fn guaranteed_jobs(&self) -> HashSet<JobId> {
        let mut out = HashSet::new();
        for team in self.policy.teams.iter().filter(|t| t.cpus > 0.0 || t.gpus > 0.0) {
            let mut mine: Vec<&Job> =
                self.jobs.values().filter(|j| j.spec.team == team.name).collect();
            mine.sort_by_key(|j| (j.submitted_at, j.spec.id));
            let (mut cpus, mut gpus) = (0.0, 0.0);
            for job in mine {
                let n = f64::from(job.spec.tasks - job.done.ones());
                cpus += job.spec.demand.cpus * n;
                gpus += job.spec.demand.gpus * n;
                if cpus > team.cpus + 1e-6 || gpus > team.gpus + 1e-6 {
                    break;
                }
                out.insert(job.spec.id);
            }
        }
        out
    }

    /// How many more tasks the team's limit allows.
    fn limit_left(&self, spec: &JobSpec, round: &Round) -> u32 {
        let Some(team) = self.policy.teams.iter().find(|t| t.name == spec.team) else { return 0 };
        if team.cpus_max <= 0.0 && team.gpus_max <= 0.0 {
            return u32::MAX;
        }
        if round.unknown_runs {
            return 0;
        }
        let (cpus, gpus) = round.used.get(&spec.team).copied().unwrap_or_default();
        let left = |max: f64, used: f64| if max > 0.0 { max - used } else { f64::INFINITY };
        fits(&spec.demand, left(team.cpus_max, cpus), left(team.gpus_max, gpus), f64::INFINITY)
    }

    /// In which tier of the queue a job stands, and when it is due on the local clock: jobs with
    /// a deadline of their own first, then those whose class has an aim, each by the next that
    /// can still be met; then the others; last those that have missed theirs, which can no longer
    /// be late but would make others so.
    fn due(&self, now: Millis, job: &Job) -> (Tier, Millis) {
        let own = job.spec.deadline_s.map(|d| (d * 1000.0) as Millis);
        let aims = self.policy.aims.iter().filter(|a| a.class == job.spec.class);
        let mut dues: Vec<Millis> = aims
            .filter_map(|a| match a.due {
                Due::Within(ms) => Some(ms),
                Due::Times(t) => own.map(|d| (d as f64 * t) as Millis),
            })
            .chain(own)
            .collect();
        if dues.is_empty() {
            return (Tier::Regular, 0);
        }
        dues.retain(|ms| job.submitted_at.saturating_add(*ms) > now);
        match dues.iter().min() {
            Some(ms) if own.is_some() => (Tier::Deadline, job.submitted_at.saturating_add(*ms)),
            Some(ms) => (Tier::Aim, job.submitted_at.saturating_add(*ms)),
            None => (Tier::Missed, 0),
        }
    }

    /// The jobs that step back because not all can be in time: see [`placement::set_aside`].
    fn step_back(&self, now: Millis, order: &mut [(Rank, JobId)], total: &Demand) {
        let cpu_ms = |spec: &JobSpec, n: f64| spec.demand.cpus * n * spec.estimate_s * 1000.0;
        // What runs now takes its room for half its estimate more, on average.
        let running: f64 = self
            .machines
            .values()
            .flat_map(|m| m.runs.values())
            .filter(|r| r.live())
            .filter_map(|r| r.spec.as_ref().map(|s| cpu_ms(s, 0.5)))
            .sum();
        let deadlines: f64 = order
            .iter()
            .filter(|(rank, _)| rank.tier == Tier::Deadline)
            .filter_map(|(_, id)| self.jobs.get(id))
            .map(|job| cpu_ms(&job.spec, f64::from(job.waiting())))
            .sum();
        let aims = || order.iter().enumerate().filter(|(_, (rank, _))| rank.tier == Tier::Aim);
        let queue: Vec<placement::Asked> = aims()
            .filter_map(|(_, (rank, id))| {
                let job = self.jobs.get(id)?;
                Some(placement::Asked {
                    left_ms: rank.due.saturating_sub(now) as f64,
                    run_ms: job.spec.estimate_s * 1000.0,
                    work: cpu_ms(&job.spec, f64::from(job.waiting())),
                })
            })
            .collect();
        let places: Vec<usize> = aims().map(|(i, _)| i).collect();
        let aside = placement::set_aside(&queue, running + deadlines, total.cpus);
        for ((place, aside), asked) in places.into_iter().zip(aside).zip(queue) {
            if aside {
                let rank = &mut order[place].0;
                rank.tier = Tier::Aside;
                // Among themselves the least work first: that still brings the most in.
                rank.due = asked.work as Millis;
            }
        }
    }

    fn place_job(&mut self, now: Millis, id: JobId, round: &mut Round) {
        let Some(job) = self.jobs.get(&id) else { return };
        let spec = job.spec.clone();
        let shape = Shape::of(&spec);
        if let Some(n) = round.to_come.get_mut(&shape) {
            *n = n.saturating_sub(job.waiting());
        }
        let waiting = job.waiting().min(self.limit_left(&spec, round));
        if waiting == 0 {
            return;
        }
        let mut left = waiting;
        if !round.no_ready.contains(&shape) {
            left -= self.fill_ready(id, &spec, waiting, round);
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if left == 0 {
            job.passed_since = None;
            return;
        }
        if left < waiting {
            job.passed_since = Some(now);
        }
        let passed = now.saturating_sub(*job.passed_since.get_or_insert(now));
        let zoned = spec.one_zone || spec.spread;
        if !zoned && job.failed_on.is_empty() {
            round.no_ready.insert(shape.clone());
        }
        if !round.no_promise.contains(&shape) {
            left -= fill_promised(&spec, left, round);
            if left == 0 {
                return;
            }
            round.no_promise.insert(shape.clone());
        }
        if !round.no_offer.contains(&shape) {
            left -= self.rent(now, &spec, left, passed, round);
            if left == 0 {
                return;
            }
            round.no_offer.insert(shape);
        }
        if passed >= self.policy.pass_over_ms {
            self.hold(&spec, left, round);
        }
    }

    /// Places whole slices on machines that are up, by rising score; returns how many tasks.
    fn fill_ready(&mut self, id: JobId, spec: &Arc<JobSpec>, want: u32, round: &mut Round) -> u32 {
        let Some(job) = self.jobs.get(&id) else { return 0 };
        let live: Vec<String> = job
            .placed
            .values()
            .filter_map(|p| self.machines.get(&p.machine).map(|m| m.zone.clone()))
            .collect();
        let avoid = |room: &Room| {
            !job.suspect() && room.machine.as_ref().is_some_and(|m| job.failed_on.contains(m))
        };
        let mut candidates: Vec<usize> = (0..round.rooms.len())
            .filter(|i| {
                let r = &round.rooms[*i];
                r.ready
                    && !r.held
                    && r.holds(&spec.demand) > 0
                    && placement::allowed(spec, &r.kind, &r.zone, r.spot)
                    && !avoid(r)
            })
            .collect();
        let weights = self.policy.weights;
        for i in &candidates {
            let r = &mut round.rooms[*i];
            r.score = placement::score(&r.free, &round.total, &weights);
        }
        candidates.sort_by(|a, b| {
            let (a, b) = (&round.rooms[*a], &round.rooms[*b]);
            let key = |r: &Room| {
                let size = self.type_of(&r.kind).map_or(0.0, |t| t.cpus);
                (!self.is_warm(r, &spec.image), size, !r.spot, r.score)
            };
            key(a).partial_cmp(&key(b)).unwrap_or(std::cmp::Ordering::Equal)
        });
        if spec.one_zone {
            // Where its live tasks are, or else where most of them fit.
            let zone = live.first().cloned().or_else(|| {
                let mut by_zone: BTreeMap<&str, u64> = BTreeMap::new();
                for i in &candidates {
                    let r = &round.rooms[*i];
                    *by_zone.entry(&r.zone).or_default() += u64::from(r.holds(&spec.demand));
                }
                by_zone.iter().max_by_key(|(_, n)| **n).map(|(z, _)| z.to_string())
            });
            candidates.retain(|i| Some(&round.rooms[*i].zone) == zone.as_ref());
        }
        let mut zone_left: BTreeMap<String, u32> = BTreeMap::new();
        if spec.spread {
            for i in &candidates {
                let zone = &round.rooms[*i].zone;
                let here = live.iter().filter(|z| *z == zone).count() as u32;
                let left = rules::zone_share(spec.tasks).saturating_sub(here);
                zone_left.insert(zone.clone(), left);
            }
        }
        // How many on which machine, before anything is placed: a slice starts whole.
        let mut counts: Vec<(usize, u32)> = Vec::new();
        let mut left = want;
        for i in candidates {
            let r = &round.rooms[i];
            let mut n = r.holds(&spec.demand).min(left);
            if let Some(z) = zone_left.get_mut(&r.zone) {
                n = n.min(*z);
                *z -= n;
            }
            if n > 0 {
                counts.push((i, n));
                left -= n;
            }
            if left == 0 {
                break;
            }
        }
        let found = want - left;
        let slice = self.policy.slice.max(1);
        let mut n = if left == 0 { found } else { found / slice * slice };
        let placed = n;
        for (i, most) in counts {
            let here = most.min(n);
            if here == 0 {
                break;
            }
            n -= here;
            round.rooms[i].take(&spec.demand, here);
            if let Some(machine) = round.rooms[i].machine.clone() {
                self.assign(id, spec, &machine, here);
            }
        }
        let used = round.used.entry(spec.team.clone()).or_default();
        used.0 += spec.demand.cpus * f64::from(placed);
        used.1 += spec.demand.gpus * f64::from(placed);
        placed
    }

    /// Whether a machine has fetched an image.
    fn is_warm(&self, room: &Room, image: &str) -> bool {
        let machine = room.machine.as_ref().and_then(|name| self.machines.get(name));
        machine.is_some_and(|m| m.images.contains(image))
    }

    fn assign(&mut self, id: JobId, spec: &Arc<JobSpec>, machine: &str, n: u32) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(m) = self.machines.get_mut(machine) else { return };
        for index in job.take(n) {
            self.next_attempt += 1;
            let attempt = (self.token << ATTEMPT_BITS) | self.next_attempt;
            let task = TaskId { job: id, index };
            job.placed.insert(index, Place { machine: machine.to_string(), attempt });
            m.runs.insert(
                (task, attempt),
                Run {
                    task,
                    attempt,
                    spec: Some(spec.clone()),
                    phase: Phase::Assigned,
                    stop: None,
                    launch_sent: false,
                    lost_call: false,
                    running_since: None,
                },
            );
        }
        m.empty_since = None;
    }

    /// Rents the first choice that is not known to be exhausted; returns for how many tasks.
    fn rent(
        &mut self,
        now: Millis,
        spec: &JobSpec,
        left: u32,
        passed: Millis,
        round: &mut Round,
    ) -> u32 {
        if self.hires.len() >= OPEN_HIRES {
            return 0;
        }
        let offers = placement::offers(spec, &self.types, self.rotate);
        let policy = &self.policy;
        let Some(offer) = offers.into_iter().find(|o| {
            // A job that may not use spot machines has nothing to wait for.
            let cheapest = o.spot || !spec.spot;
            let wait = if cheapest { policy.spot_after_ms } else { policy.ordinary_after_ms };
            passed >= wait && self.exhausted.get(o).is_none_or(|until| *until <= now)
        }) else {
            return 0;
        };
        let Some(t) = self.type_of(&offer.kind).cloned() else { return 0 };
        let per_machine = t.holds(&spec.demand).max(1);
        // Like tasks are decided as a class: one call for all of this shape, not one a job. Team
        // limits are left to each job.
        let alike = match self.limit_left(spec, round) {
            u32::MAX => round.to_come.get(&Shape::of(spec)).copied().unwrap_or(0),
            _ => 0,
        };
        let number = left.saturating_add(alike).div_ceil(per_machine).min(HIRE_MOST);
        self.next_hire += 1;
        self.rotate = self.rotate.wrapping_add(1);
        let hire = format!("h-{}-{}", self.token, self.next_hire);
        for _ in 0..number {
            round.rooms.push(promised(&offer, &t));
        }
        self.hires.insert(hire.clone(), Hire { offer: offer.clone(), number });
        self.out.push(Effect::Hire { hire, offer, number });
        // What is left of the new machines is promised room for other shapes.
        round.no_promise.clear();
        fill_promised(spec, left, round)
    }

    /// Keeps the roomiest machines for a job that was passed over too long.
    fn hold(&self, spec: &JobSpec, left: u32, round: &mut Round) {
        let mut could: Vec<(usize, u32)> = round
            .rooms
            .iter()
            .enumerate()
            .filter(|(_, r)| {
                r.ready && !r.held && placement::allowed(spec, &r.kind, &r.zone, r.spot)
            })
            .filter_map(|(i, r)| {
                let per = self.type_of(&r.kind)?.holds(&spec.demand);
                (per > 0).then_some((i, per))
            })
            .collect();
        could.sort_by(|a, b| {
            let free = |i: usize| round.rooms[i].free.cpus;
            free(b.0).partial_cmp(&free(a.0)).unwrap_or(std::cmp::Ordering::Equal)
        });
        let mut left = left;
        for (i, per) in could {
            if left == 0 {
                break;
            }
            round.rooms[i].held = true;
            left = left.saturating_sub(per);
        }
    }
}

/// The room of a machine that is being rented.
fn promised(offer: &Offer, t: &MachineType) -> Room {
    Room {
        machine: None,
        kind: offer.kind.clone(),
        zone: offer.zone.clone(),
        spot: offer.spot,
        free: Demand { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb },
        ready: false,
        held: false,
        score: 0.0,
    }
}

/// Counts waiting tasks against machines that will be up; returns for how many there is room.
fn fill_promised(spec: &JobSpec, want: u32, round: &mut Round) -> u32 {
    let mut left = want;
    for room in round.rooms.iter_mut().filter(|r| !r.ready) {
        if left == 0 {
            break;
        }
        if placement::allowed(spec, &room.kind, &room.zone, room.spot) {
            let n = room.holds(&spec.demand).min(left);
            room.take(&spec.demand, n);
            left -= n;
        }
    }
    want - left
}
