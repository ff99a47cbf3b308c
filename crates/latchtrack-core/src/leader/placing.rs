//! One round of placing: the queue, the rooms, the rentals.

use super::*;

/// What makes two jobs alike for placing: decided once, as a class, in each round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Shape {
    demand: [u64; 3],
    types: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
}

/// The shapes that this term has seen, by number.
#[derive(Clone, Debug, Default)]
pub(super) struct Shapes(HashMap<Shape, usize>);

impl Shapes {
    pub fn of(&mut self, spec: &JobSpec) -> usize {
        let d = &spec.demand;
        let shape = Shape {
            demand: [d.cpus.to_bits(), d.gpus.to_bits(), d.memory_gb.to_bits()],
            types: spec.types.clone(),
            zone: spec.zone.clone(),
            spot: spec.spot,
        };
        let next = self.0.len();
        *self.0.entry(shape).or_insert(next)
    }
}

/// Instead of a shape: held for a job that is to begin, and for no other.
const KEPT: usize = usize::MAX;

/// What one round found of a shape.
#[derive(Clone, Copy, Default)]
struct Found {
    /// No ready room, no promised room, nothing to rent; room is held for it.
    no_ready: bool,
    no_promise: bool,
    no_offer: bool,
    held: bool,
    /// Waiting tasks of the jobs not yet looked at.
    to_come: u32,
}

/// What one round of placing carries from job to job.
struct Round {
    rooms: Vec<Room>,
    total: Demand,
    shapes: Vec<Found>,
    /// CPUs and GPUs in use of teams that have a limit.
    used: BTreeMap<String, (f64, f64)>,
    /// A run of unknown size and team is somewhere.
    unknown_runs: bool,
}

impl Cluster {
    pub(super) fn plan_due(&self, now: Millis) -> bool {
        // Rounds are apart, so that many changes in a row cost one.
        self.last_plan
            .is_none_or(|t| now >= t + ROUND_MS && (self.replan || now >= t + ROUND_IDLE_MS))
    }

    /// The room of a machine, if it may be counted on; up ones take no more tasks when they get
    /// silent, and still count as running.
    fn room_of(&self, now: Millis, m: &Machine) -> Option<Room> {
        if m.leaving
            || m.unsettled()
            || m.is_slow()
            || m.notice_at.is_some()
            || now < m.probation_until
        {
            return None;
        }
        let t = self.type_of(&m.kind)?;
        let used = m.used()?;
        // One on its way in a zone that is not heard will not be of use soon.
        let late = || now.saturating_sub(m.rented_at) > self.boot_limit(&m.kind, BOOT_LATE);
        if !m.up() && (self.quiet.contains(&m.zone) || late()) {
            return None;
        }
        Some(Room {
            machine: Some(m.name.clone()),
            kind: m.kind.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            size: t.cpus,
            images: m.images.clone(),
            may_hold: m.inherited,
            free: Demand {
                cpus: t.cpus - used.cpus,
                gpus: t.gpus - used.gpus,
                memory_gb: t.memory_gb - used.memory_gb,
            },
            ready: m.up() && m.stored,
            held: None,
        })
    }

    fn rooms(&self, now: Millis) -> (Vec<Room>, Demand) {
        let mut rooms = Vec::with_capacity(self.machines.len());
        let mut total = Demand::default();
        for m in self.machines.values() {
            let Some(room) = self.room_of(now, m) else { continue };
            if let (true, Some(t)) = (m.up(), self.type_of(&m.kind)) {
                total.cpus += t.cpus;
                total.gpus += t.gpus;
                total.memory_gb += t.memory_gb;
                if m.silent_for(now, self.policy.probe_ms()) {
                    continue;
                }
            }
            rooms.push(room);
        }
        for h in self.hires.values() {
            if let Some(t) = self.type_of(&h.offer.kind) {
                rooms.extend((0..h.number).map(|_| promised(&h.offer, t)));
            }
        }
        (rooms, total)
    }

    fn any_limit(&self) -> bool {
        self.policy.teams.iter().any(has_limit)
    }

    /// What the teams use, which only limits ask for.
    fn used_by_teams(&self) -> (BTreeMap<String, (f64, f64)>, bool) {
        let mut used: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        let mut unknown_runs = false;
        if self.any_limit() {
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
        }
        (used, unknown_runs)
    }

    /// Whether a job whose tasks are to start promptly had rather wait for a machine that holds its
    /// image: while the fetch would miss the aim in any case, and some machine has it.
    fn waits_for_image(&self, now: Millis, job: &Job, kind: &str) -> bool {
        let spec = &job.spec;
        let Some(within) = self.prompt_ms(spec) else { return false };
        let until = job.submitted_at.saturating_add(within);
        let speed = self.type_of(kind).map_or(0.0, |t| t.fetch_gb_per_s);
        speed > 0.0
            && now < until
            && self.held_images.contains(&spec.image)
            && (spec.image_gb / speed * 1000.0) > (until - now) as f64
    }

    /// How many tasks of a job may go into this room, if that depends on nothing else.
    fn fits_here(&self, now: Millis, job: &Job, machine: &str, room: &Room) -> u32 {
        let spec = &job.spec;
        if job.pause_until > now
            || spec.one_zone
            || spec.spread
            || !placement::allowed(spec, &room.kind, &room.zone, room.spot)
            || job.avoids(machine)
            || self.policy.teams.iter().any(|t| t.name == spec.team && has_limit(t))
            || (!room.may_hold
                && !room.images.contains(&spec.image)
                && self.waits_for_image(now, job, &room.kind))
        {
            return 0;
        }
        room.holds(&spec.demand)
    }

    pub(super) fn plan(&mut self, now: Millis) {
        self.last_plan = Some(now);
        self.replan = false;
        if self.images_at.is_none_or(|at| now >= at + ROUND_IDLE_MS) {
            self.images_at = Some(now);
            let up = self.machines.values().filter(|m| m.up() && !m.leaving);
            self.held_images = up.flat_map(|m| m.images.names().map(str::to_string)).collect();
        }
        let (rooms, total) = self.rooms(now);
        let (used, unknown_runs) = self.used_by_teams();
        let shapes = vec![Found::default(); self.shapes.0.len()];
        let mut round = Round { rooms, total, shapes, used, unknown_runs };
        let unsettled = !self.garbled.is_empty() || self.machines.values().any(Machine::unsettled);
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
            round.shapes[job.shape].to_come += job.waiting();
        }
        // The oldest first.
        let mut begin: Vec<(Millis, JobId)> = order
            .iter()
            .filter_map(|(_, id)| Some((self.jobs.get(id)?.submitted_at, *id)))
            .filter(|(at, id)| now >= at.saturating_add(BEGIN_MS) && self.jobs[id].untouched())
            .collect();
        begin.sort();
        self.begin = begin.into_iter().map(|(_, id)| id).collect();
        for id in self.begin.clone() {
            let spec = self.jobs[&id].spec.clone();
            let slice = self.slice_of(&spec);
            let most = slice.min(self.limit_left(&spec, &round));
            if self.fill_ready(now, id, &spec, most, &mut round) > 0 {
                continue;
            }
            // What is missing is kept for it: of its team's limit from the team's other jobs, or a
            // machine from all others.
            let since = self.jobs[&id].submitted_at.saturating_add(BEGIN_MS + BEGIN_KEEP_MS);
            if most < slice {
                self.count_use(&spec, slice, &mut round);
            } else if now >= since {
                self.hold(&spec, KEPT, 1, &mut round);
            }
        }
        for (_, id) in &order {
            self.place_job(now, *id, &mut round);
        }
        // What single reports free until the next round goes to these, in this order.
        self.queue = order
            .into_iter()
            .map(|(_, id)| id)
            .filter(|id| self.jobs.get(id).is_some_and(|j| j.waiting() > 0))
            .collect();
        let held = round.rooms.into_iter().filter_map(|r| Some((r.machine?, r.held?)));
        let (kept, held): (Vec<_>, Vec<_>) = held.partition(|(_, shape)| *shape == KEPT);
        self.kept = kept.into_iter().map(|(machine, _)| machine).collect();
        self.held = held.into_iter().collect();
    }

    /// Tasks of a job that start together.
    fn slice_of(&self, spec: &JobSpec) -> u32 {
        self.policy.slice.max(1).min(spec.tasks)
    }

    /// Fills what a machine's own report has freed, by the order of the last round: as that round
    /// would have done, had it come now. Jobs whose room depends on more than this machine wait for
    /// the next round.
    pub(super) fn fill(&mut self, now: Millis, machine: &str) {
        if self.queue.is_empty() {
            return;
        }
        let Some(mut room) = self.machines.get(machine).and_then(|m| self.room_of(now, m)) else {
            return;
        };
        if !room.ready {
            return;
        }
        for id in std::mem::take(&mut self.begin) {
            let Some(job) = self.jobs.get(&id).filter(|j| j.untouched()) else { continue };
            let (spec, slice) = (job.spec.clone(), self.slice_of(&job.spec));
            if self.fits_here(now, job, machine, &room) < slice {
                self.begin.push(id);
                continue;
            }
            room.take(&spec.demand, slice);
            self.assign(now, id, &spec, machine, slice);
        }
        if self.kept.contains(machine) {
            return;
        }
        let mut empty = 0;
        while room.free.cpus > 0.0 {
            let (next, gone) = self.next_here(now, machine, &room);
            empty = gone;
            let Some((id, n)) = next else { break };
            let Some(job) = self.jobs.get(&id) else { break };
            let spec = job.spec.clone();
            room.take(&spec.demand, n);
            self.assign(now, id, &spec, machine, n);
        }
        if empty * 2 > self.queue.len() {
            let jobs = &self.jobs;
            self.queue.retain(|id| jobs.get(id).is_some_and(|j| j.waiting() > 0));
        }
    }

    /// The job of the queue that takes this room next, with how many tasks: the first that fits, or
    /// one of the next few whose image the machine holds, unless that passes a job that is to start
    /// promptly. Also how many jobs of the queue had nothing left.
    fn next_here(&self, now: Millis, machine: &str, room: &Room) -> (Option<(JobId, u32)>, usize) {
        let mut empty = 0;
        let mut first = None;
        let mut looked = 0;
        // Held room is for the jobs of a shape and those before them.
        let held = self.held.get(machine).copied();
        let mut reached = false;
        for id in &self.queue {
            let Some(job) = self.jobs.get(id).filter(|j| j.waiting() > 0) else {
                empty += 1;
                continue;
            };
            reached |= held == Some(job.shape);
            if reached && held != Some(job.shape) {
                continue;
            }
            let slice = self.slice_of(&job.spec);
            let fits = self.fits_here(now, job, machine, room);
            let n = if fits < job.waiting() { fits / slice * slice } else { job.waiting() };
            if n == 0 {
                continue;
            }
            if room.images.contains(&job.spec.image) {
                return (Some((*id, n)), empty);
            }
            first.get_or_insert((*id, n));
            looked += 1;
            if looked >= WARM_LOOK || self.prompt_ms(&job.spec).is_some() {
                break;
            }
        }
        (first, empty)
    }

    /// Within how many ms the tasks of this job's class are to start, if that is an aim.
    fn prompt_ms(&self, spec: &JobSpec) -> Option<Millis> {
        self.policy.prompt.iter().find(|(class, _)| *class == spec.class).map(|(_, ms)| *ms)
    }

    /// Whether a job may not start anything while a machine is unsettled: an earlier leader may
    /// have launched its tasks, or its team's limit depends on what runs there.
    fn waits_for_settling(&self, job: &Job) -> bool {
        job.inherited || self.policy.teams.iter().any(|t| t.name == job.spec.team && has_limit(t))
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
        if !has_limit(team) {
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
        let (spec, shape) = (job.spec.clone(), job.shape);
        let all = job.waiting();
        round.shapes[shape].to_come = round.shapes[shape].to_come.saturating_sub(all);
        let waiting = all.min(self.limit_left(&spec, round));
        if waiting == 0 {
            return;
        }
        let mut left = waiting;
        if !round.shapes[shape].no_ready {
            left -= self.fill_ready(now, id, &spec, waiting, round);
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
        let job = &self.jobs[&id];
        if self.types.iter().any(|t| self.waits_for_image(now, job, &t.name)) {
            // It passed over room, which others of its shape may take; a second is soon over.
            return;
        }
        let zoned = spec.one_zone || spec.spread;
        if !zoned && job.failed_on.is_empty() {
            round.shapes[shape].no_ready = true;
        }
        if !round.shapes[shape].no_promise {
            left -= fill_promised(&spec, left, round);
            if left == 0 {
                return;
            }
            round.shapes[shape].no_promise = true;
        }
        if !round.shapes[shape].no_offer {
            left -= self.rent(now, &spec, shape, left, passed, round);
            if left == 0 {
                return;
            }
            round.shapes[shape].no_offer = true;
        }
        if passed >= self.policy.pass_over_ms && !round.shapes[shape].held {
            // Once for all of the shape that wait.
            round.shapes[shape].held = true;
            let alike = round.shapes[shape].to_come;
            self.hold(&spec, shape, left.saturating_add(alike), round);
        }
    }

    /// Places whole slices on machines that are up, by rising score; returns how many tasks.
    fn fill_ready(
        &mut self,
        now: Millis,
        id: JobId,
        spec: &Arc<JobSpec>,
        want: u32,
        round: &mut Round,
    ) -> u32 {
        let Some(job) = self.jobs.get(&id) else { return 0 };
        let zoned = spec.one_zone || spec.spread;
        let live: Vec<Arc<str>> = match zoned {
            true => {
                let on = job.placed.values().filter_map(|p| self.machines.get(&*p.machine));
                on.map(|m| m.zone.clone()).collect()
            }
            false => Vec::new(),
        };
        let avoid = |room: &Room| room.machine.as_ref().is_some_and(|m| job.avoids(m));
        // By the slowest of its machines, so that one answer does for all.
        let cold = |r: &Room| !r.images.contains(&spec.image);
        let waits = self.types.iter().any(|t| self.waits_for_image(now, job, &t.name));
        let weights = self.policy.weights;
        let mut keyed: Vec<((bool, f64, bool, f64), usize)> = round
            .rooms
            .iter()
            .enumerate()
            .filter(|(_, r)| {
                r.ready
                    && r.held.is_none()
                    && r.holds(&spec.demand) > 0
                    && placement::allowed(spec, &r.kind, &r.zone, r.spot)
                    && !avoid(r)
                    && !(waits && !r.may_hold && cold(r))
            })
            .map(|(i, r)| {
                let score = placement::score(&r.free, &round.total, &weights);
                ((cold(r), r.size, !r.spot, score), i)
            })
            .collect();
        let by_key = |a: &((bool, f64, bool, f64), usize), b: &((bool, f64, bool, f64), usize)| {
            a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal)
        };
        // Each takes one task at least; without a say of the zones the first so many are enough.
        if !zoned && keyed.len() > want as usize {
            keyed.select_nth_unstable_by(want as usize, by_key);
            keyed.truncate(want as usize);
        }
        keyed.sort_by(by_key);
        let mut candidates: Vec<usize> = keyed.into_iter().map(|(_, i)| i).collect();
        if spec.one_zone {
            // Where its live tasks are, or else where most of them fit.
            let zone = live.first().cloned().or_else(|| {
                let mut by_zone: BTreeMap<&str, u64> = BTreeMap::new();
                for i in &candidates {
                    let r = &round.rooms[*i];
                    *by_zone.entry(&r.zone).or_default() += u64::from(r.holds(&spec.demand));
                }
                by_zone.iter().max_by_key(|(_, n)| **n).map(|(z, _)| Arc::from(*z))
            });
            candidates.retain(|i| Some(&round.rooms[*i].zone) == zone.as_ref());
        }
        let mut zone_left: BTreeMap<Arc<str>, u32> = BTreeMap::new();
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
                self.assign(now, id, spec, &machine, here);
            }
        }
        self.count_use(spec, placed, round);
        placed
    }

    /// Counts tasks against their team's limit.
    fn count_use(&self, spec: &JobSpec, tasks: u32, round: &mut Round) {
        if self.any_limit() {
            let used = round.used.entry(spec.team.clone()).or_default();
            used.0 += spec.demand.cpus * f64::from(tasks);
            used.1 += spec.demand.gpus * f64::from(tasks);
        }
    }

    fn assign(&mut self, now: Millis, id: JobId, spec: &Arc<JobSpec>, machine: &str, n: u32) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(m) = self.machines.get_mut(machine) else { return };
        let age = now.saturating_sub(job.submitted_at);
        if age > BEGIN_MS && job.untouched() {
            self.out.push(Effect::Note(format!("job {id} begins after {age} ms")));
        }
        for index in job.take(n) {
            self.next_attempt += 1;
            let attempt = (self.token << ATTEMPT_BITS) | self.next_attempt;
            let task = TaskId { job: id, index };
            job.place(index, Place { machine: m.name.clone(), attempt });
            m.runs.insert(
                (task, attempt),
                Run {
                    task,
                    attempt,
                    spec: Some(spec.clone()),
                    phase: Phase::Assigned,
                    stop: None,
                    sends: 0,
                    first_sent: 0,
                    lost_call: false,
                    running_since: None,
                },
            );
        }
        m.empty_since = None;
        self.wake.insert(machine.to_string());
    }

    /// Rents the first choice that is not known to be exhausted; returns for how many tasks.
    fn rent(
        &mut self,
        now: Millis,
        spec: &JobSpec,
        shape: usize,
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
            passed >= wait
                && self.exhausted.get(o).is_none_or(|until| *until <= now)
                && !self.quiet.contains(o.zone.as_str())
        }) else {
            return 0;
        };
        let Some(t) = self.type_of(&offer.kind).cloned() else { return 0 };
        let per_machine = t.holds(&spec.demand).max(1);
        // Like tasks are decided as a class: one call for all of this shape, not one a job. Team
        // limits are left to each job.
        let alike = match self.limit_left(spec, round) {
            u32::MAX => round.shapes[shape].to_come,
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
        for found in &mut round.shapes {
            found.no_promise = false;
        }
        fill_promised(spec, left, round)
    }

    /// Keeps the roomiest machines for a job that was passed over too long.
    fn hold(&self, spec: &JobSpec, shape: usize, left: u32, round: &mut Round) {
        let job = self.jobs.get(&spec.id);
        let avoid = |r: &Room| r.machine.as_ref().is_some_and(|m| job.is_some_and(|j| j.avoids(m)));
        let mut could: Vec<(usize, u32)> = round
            .rooms
            .iter()
            .enumerate()
            .filter(|(_, r)| {
                r.ready
                    && r.held.is_none()
                    && placement::allowed(spec, &r.kind, &r.zone, r.spot)
                    && !avoid(r)
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
            round.rooms[i].held = Some(shape);
            left = left.saturating_sub(per);
        }
    }
}

/// The room of a machine that is being rented.
fn promised(offer: &Offer, t: &MachineType) -> Room {
    Room {
        machine: None,
        kind: offer.kind.as_str().into(),
        zone: offer.zone.as_str().into(),
        spot: offer.spot,
        size: t.cpus,
        images: Arc::default(),
        may_hold: false,
        free: Demand { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb },
        ready: false,
        held: None,
    }
}

fn has_limit(team: &Team) -> bool {
    team.cpus_max > 0.0 || team.gpus_max > 0.0
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
