//! One round of placing: the queue, the rooms, the rentals.

use super::renting::{fill_promised, promised};
use super::*;

/// What makes two jobs alike for placing: decided once, as a class, in each round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Shape {
    demand: [u64; 3],
    types: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
    gang: bool,
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
            gang: spec.gang,
        };
        let next = self.0.len();
        *self.0.entry(shape).or_insert(next)
    }
}

/// Instead of a shape: held for a job that is to begin, and for no other.
pub(super) const KEPT: usize = usize::MAX;

/// What one round found of a shape.
#[derive(Clone, Copy, Default)]
pub(super) struct Found {
    /// No ready room, no promised room, nothing to rent; room is held for it.
    pub no_ready: bool,
    pub no_promise: bool,
    pub no_offer: bool,
    pub held: bool,
    /// No room is left that is kept for others either.
    pub no_held: bool,
    /// Waiting tasks of the jobs not yet looked at.
    pub to_come: u32,
}

/// What one round of placing carries from job to job.
pub(super) struct Round {
    pub rooms: Vec<Room>,
    pub total: Demand,
    pub shapes: Vec<Found>,
    /// CPUs and GPUs in use of teams that have a limit.
    pub used: BTreeMap<String, (f64, f64)>,
    /// A run of unknown size and team is somewhere.
    pub unknown_runs: bool,
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
        let late = || self.is_late(now, m);
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

    /// Whether a limit of its team has a say in when a job's tasks start.
    pub(super) fn limited(&self, spec: &JobSpec) -> bool {
        self.policy.teams.iter().any(|t| t.name == spec.team && has_limit(t))
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

    /// The same for machines of any type: by the slowest, so that one answer does for all.
    fn waits_on_any_type(&self, now: Millis, job: &Job) -> bool {
        self.types.iter().any(|t| self.waits_for_image(now, job, &t.name))
    }

    /// Whether a job has waited long enough to take room that is kept for others.
    fn impatient(&self, now: Millis, job: &Job) -> bool {
        job.passed_since.is_some_and(|since| now >= since.saturating_add(HELD_MOST_MS))
    }

    /// How many of its tasks a job may put into this room, by size and by whom it is kept for.
    pub(super) fn open_here(&self, now: Millis, job: &Job, room: &Room) -> u32 {
        match &room.held {
            Some(h) if h.shape != KEPT && self.impatient(now, job) => room.holds(&job.spec.demand),
            _ => room.open_to(&job.spec.demand, job.shape),
        }
    }

    /// How many tasks of a job may go into this room, if that depends on nothing else.
    fn fits_here(&self, now: Millis, job: &Job, machine: &str, room: &Room) -> u32 {
        let spec = &job.spec;
        // A gang goes whole onto this machine or not at all, and so in one zone.
        let zones_matter = spec.spread || (spec.one_zone && !spec.gang);
        if job.pause_until > now
            || zones_matter
            || !placement::allowed(spec, &room.kind, &room.zone, room.spot)
            || self.avoids(now, job, machine)
            || self.limited(spec)
            || (!room.may_hold
                && !room.images.contains(&spec.image)
                && self.waits_for_image(now, job, &room.kind))
        {
            return 0;
        }
        self.open_here(now, job, room)
    }

    pub(super) fn plan(&mut self, now: Millis) {
        self.last_plan = Some(now);
        self.rounds += 1;
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
        let unsettled = !self.all_settled();
        self.gathering.clear();
        let mut order = self.order(now, &round.total, unsettled);
        for turn in &order {
            let Some(job) = self.jobs.get(&turn.job) else { continue };
            if !job.in_doubt {
                round.shapes[job.shape].to_come += job.wanted().min(turn.most);
            }
        }
        // The oldest first.
        let mut begin: Vec<(Millis, JobId)> = order
            .iter()
            .filter_map(|t| Some((self.jobs.get(&t.job)?.submitted_at, t.job)))
            .filter(|(_, id)| self.is_to_begin(now, &self.jobs[id]))
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
                continue;
            }
            if spec.gang {
                self.hold_for_gang(now, &spec, KEPT, true, &mut round);
            } else if now >= since {
                self.hold(now, &spec, KEPT, 1, &mut round);
            }
            // In its turn the limit may be gone, and nothing would ever be rented for it.
            self.place_job(now, &mut Turn { job: id, most: slice }, &mut round);
        }
        self.hold_reserves(now, &mut round);
        for turn in &mut order {
            self.place_job(now, turn, &mut round);
        }
        // What single reports free until the next round goes to these, in this order.
        order.retain(|t| t.most > 0 && self.jobs.get(&t.job).is_some_and(|j| j.wanted() > 0));
        self.queue = order;
        let held = round.rooms.into_iter().filter_map(|r| Some((r.machine?, r.held?)));
        let (kept, held): (Vec<_>, Vec<_>) = held.partition(|(_, h)| h.shape == KEPT);
        self.kept = kept.into_iter().map(|(machine, _)| machine).collect();
        self.held = held.into_iter().collect();
    }

    /// Tasks of a job that start together.
    pub(super) fn slice_of(&self, spec: &JobSpec) -> u32 {
        match spec.gang {
            true => spec.tasks,
            // A slice above what its team may ever use would never start.
            false => {
                self.policy.slice.min(self.within_limit(spec, (0.0, 0.0))).clamp(1, spec.tasks)
            }
        }
    }

    /// How many tasks its team's limit allows beside so many CPUs and GPUs in use.
    fn within_limit(&self, spec: &JobSpec, (cpus, gpus): (f64, f64)) -> u32 {
        let Some(team) = self.policy.teams.iter().find(|t| t.name == spec.team) else { return 0 };
        if !has_limit(team) {
            return u32::MAX;
        }
        let left = |max: f64, used: f64| if max > 0.0 { max - used } else { f64::INFINITY };
        fits(&spec.demand, left(team.cpus_max, cpus), left(team.gpus_max, gpus), f64::INFINITY)
    }

    /// Whether a job goes before all others, since nothing of it has begun for long.
    fn is_to_begin(&self, now: Millis, job: &Job) -> bool {
        // Nothing is kept for a job in doubt.
        if job.in_doubt {
            return false;
        }
        if job.spec.gang {
            return job.passed_since.is_some_and(|since| now >= since + GANG_BEGIN_MS);
        }
        now >= job.submitted_at.saturating_add(BEGIN_MS) && job.untouched()
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
            let Some(job) = self.jobs.get(&id).filter(|j| j.wanted() > 0) else { continue };
            if !job.spec.gang && !job.untouched() {
                continue;
            }
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
        if self.is_for_reserve(&room) {
            self.replan = true;
            return;
        }
        let mut empty = 0;
        while room.free.cpus > 0.0 {
            let next = self.next_here(now, machine, &room);
            empty = next.empty;
            self.replan |= next.is_gathered;
            let Some((i, n)) = next.turn else { break };
            let turn = &mut self.queue[i];
            turn.most -= n;
            let id = turn.job;
            let Some(job) = self.jobs.get(&id) else { break };
            let spec = job.spec.clone();
            room.take(&spec.demand, n);
            let shape = job.shape;
            if let Some(held) = self.held.get_mut(machine).filter(|h| h.shape != shape) {
                held.spare.take(&spec.demand, n);
            }
            self.assign(now, id, &spec, machine, n);
        }
        if empty * 2 > self.queue.len() {
            let jobs = &self.jobs;
            self.queue.retain(|t| t.most > 0 && jobs.get(&t.job).is_some_and(|j| j.wanted() > 0));
        }
    }

    /// The turn of the queue that takes this room next, with how many tasks: the first that fits, or
    /// one of the next few whose image the machine holds, unless that passes a job that is to start
    /// promptly. Also how many of the queue had nothing left.
    fn next_here(&self, now: Millis, machine: &str, room: &Room) -> NextHere {
        let mut empty = 0;
        let mut first = None;
        let mut looked = 0;
        // It is kept from those that come after the jobs for which it is held.
        let held = self.held.get(machine).copied();
        let kept = held.map(|h| (h.shape, Room { held, ..room.clone() }));
        // What is kept for gangs to come is kept from all.
        let mut room = match &kept {
            Some((shape, kept)) if self.reserves.contains_key(shape) => kept,
            _ => room,
        };
        for (i, turn) in self.queue.iter().enumerate() {
            let Some(job) = self.jobs.get(&turn.job).filter(|j| turn.most > 0 && j.wanted() > 0)
            else {
                empty += 1;
                continue;
            };
            if let Some((_, kept)) = kept.as_ref().filter(|(shape, _)| *shape == job.shape) {
                room = kept;
            }
            let slice = self.slice_of(&job.spec);
            let fits = self.fits_here(now, job, machine, room);
            let want = job.wanted().min(turn.most);
            let n = if fits < want { fits / slice * slice } else { want };
            if n == 0 {
                if self.gathering.contains(&turn.job) && self.is_of_use(now, job, machine, room) {
                    // The next round keeps it for that gang.
                    return NextHere { turn: first, empty, is_gathered: true };
                }
                continue;
            }
            if room.images.contains(&job.spec.image) {
                return NextHere { turn: Some((i, n)), empty, is_gathered: false };
            }
            first.get_or_insert((i, n));
            looked += 1;
            if looked >= WARM_LOOK || self.prompt_ms(&job.spec).is_some() {
                break;
            }
        }
        NextHere { turn: first, empty, is_gathered: false }
    }

    /// Whether a task of a gang that lacks room could be on this machine.
    fn is_of_use(&self, now: Millis, job: &Job, machine: &str, room: &Room) -> bool {
        placement::allowed(&job.spec, &room.kind, &room.zone, room.spot)
            && !self.avoids(now, job, machine)
            && room.open_to(&job.spec.demand, job.shape) > 0
    }

    /// Within how many ms the tasks of this job's class are to start, if that is an aim.
    pub(super) fn prompt_ms(&self, spec: &JobSpec) -> Option<Millis> {
        self.policy.prompt.iter().find(|(class, _)| *class == spec.class).map(|(_, ms)| *ms)
    }

    /// How many more tasks the team's limit allows.
    pub(super) fn limit_left(&self, spec: &JobSpec, round: &Round) -> u32 {
        if self.limited(spec) && round.unknown_runs {
            return 0;
        }
        let used = round.used.get(&spec.team).copied().unwrap_or_default();
        self.within_limit(spec, used)
    }

    fn place_job(&mut self, now: Millis, turn: &mut Turn, round: &mut Round) {
        let id = turn.job;
        let Some(job) = self.jobs.get(&id) else { return };
        let (spec, shape) = (job.spec.clone(), job.shape);
        let all = job.wanted().min(turn.most);
        let in_doubt = job.in_doubt;
        if !in_doubt {
            round.shapes[shape].to_come = round.shapes[shape].to_come.saturating_sub(all);
        }
        let waiting = all.min(self.limit_left(&spec, round));
        if spec.gang && waiting < all {
            // Whole or not at all: it waits for its team's limit.
            if let Some(job) = self.jobs.get_mut(&id).filter(|_| !in_doubt) {
                job.passed_since.get_or_insert(now);
            }
            return;
        }
        if waiting == 0 {
            return;
        }
        let mut left = waiting;
        let impatient = self.impatient(now, job);
        if !round.shapes[shape].no_ready || impatient && !round.shapes[shape].no_held {
            left -= self.fill_ready(now, id, &spec, waiting, round);
        }
        turn.most = turn.most.saturating_sub(waiting - left);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        // Nothing is rented or held for a job in doubt.
        if left == 0 || in_doubt {
            job.passed_since = None;
            return;
        }
        if left < waiting {
            job.passed_since = Some(now);
        }
        let passed = now.saturating_sub(*job.passed_since.get_or_insert(now));
        let job = &self.jobs[&id];
        if self.waits_on_any_type(now, job) {
            // It passed over room, which others of its shape may take; a second is soon over.
            return;
        }
        // What a job finds that is bound by where its other tasks are says nothing of its like, nor does
        // that a gang does not fit whole.
        let says_nothing = spec.zoned() || spec.gang;
        let live = self.live_zones(job).into_iter().next();
        let bound = live.is_some();
        let only = match spec.one_zone {
            // Where nothing runs yet, one zone all the same: rented in several, a slice fits in none.
            true => live.or_else(|| {
                let open = |r: &Room| placement::allowed(&spec, &r.kind, &r.zone, r.spot);
                let rooms = round.rooms.iter().enumerate().filter(|(_, r)| open(r));
                roomiest(rooms.map(|(i, _)| i), &spec, round)
            }),
            false => None,
        };
        if spec.gang && (self.prompt_ms(&spec).is_some() || passed >= self.policy.pass_over_ms) {
            self.hold_for_gang(now, &spec, shape, false, round);
        }
        let job = &self.jobs[&id];
        if !says_nothing && job.failed_on.is_empty() {
            round.shapes[shape].no_ready = true;
            round.shapes[shape].no_held |= impatient;
        }
        if !round.shapes[shape].no_promise {
            left -= fill_promised(&spec, only.as_deref(), left, round);
            if left == 0 {
                return;
            }
            round.shapes[shape].no_promise |= only.is_none();
        }
        if !round.shapes[shape].no_offer {
            let mut rented = self.rent(now, &spec, only.as_deref(), left, passed, round);
            if rented == 0 && !bound && only.is_some() {
                rented = self.rent(now, &spec, None, left, passed, round);
            }
            left -= rented;
            if left == 0 {
                return;
            }
            round.shapes[shape].no_offer |= only.is_none();
        }
        if !spec.gang && passed >= self.policy.pass_over_ms && !round.shapes[shape].held {
            // Once for all of the shape that wait.
            round.shapes[shape].held = true;
            let alike = round.shapes[shape].to_come;
            self.hold(now, &spec, shape, left.saturating_add(alike), round);
        }
    }

    /// The rooms in which a job may start tasks, with their places in the round.
    pub(super) fn open_to<'a>(
        &'a self,
        now: Millis,
        job: &'a Job,
        rooms: &'a [Room],
    ) -> impl Iterator<Item = (usize, &'a Room)> {
        let spec = &*job.spec;
        rooms.iter().enumerate().filter(move |(_, r)| {
            r.ready
                && placement::allowed(spec, &r.kind, &r.zone, r.spot)
                && !r.machine.as_ref().is_some_and(|m| self.avoids(now, job, m))
        })
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
        let live = self.live_zones(job);
        let mut candidates = self.by_score(now, job, want, round);
        if spec.one_zone {
            let zone =
                live.first().cloned().or_else(|| roomiest(candidates.iter().copied(), spec, round));
            candidates.retain(|i| Some(&round.rooms[*i].zone) == zone.as_ref());
        }
        // How many on which machine, before anything is placed: a slice starts whole.
        let mut in_zone: HashMap<Arc<str>, u32> = HashMap::new();
        for zone in live {
            *in_zone.entry(zone).or_default() += 1;
        }
        let mut counts: Vec<(usize, u32)> = Vec::new();
        let mut left = want;
        for i in candidates {
            let r = &round.rooms[i];
            let mut n = self.open_here(now, job, r).min(left);
            if spec.spread {
                let here = in_zone.entry(r.zone.clone()).or_default();
                n = n.min(rules::zone_share(spec.tasks).saturating_sub(*here));
                *here += n;
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
        let slice = self.slice_of(spec);
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

    /// The zones of a job's live tasks, one entry a task, if they have a say in where others may start.
    pub(super) fn live_zones(&self, job: &Job) -> Vec<Arc<str>> {
        if !job.spec.zoned() {
            return Vec::new();
        }
        let on = job.placed.values().filter_map(|p| self.machines.get(&*p.machine));
        on.map(|m| m.zone.clone()).collect()
    }

    /// Rooms that take a task of the job at least, the best first: with its image, the smallest types,
    /// spot machines, then by rising score. Without a say of the zones the first so many are enough.
    fn by_score(&self, now: Millis, job: &Job, want: u32, round: &Round) -> Vec<usize> {
        let spec = &job.spec;
        let cold = |r: &Room| !r.images.contains(&spec.image);
        let waits = self.waits_on_any_type(now, job);
        let weights = self.policy.weights;
        type Key = (bool, f64, bool, f64);
        let mut keyed: Vec<(Key, usize)> = self
            .open_to(now, job, &round.rooms)
            .filter(|(_, r)| self.open_here(now, job, r) > 0)
            .filter(|(_, r)| !(waits && !r.may_hold && cold(r)))
            .map(|(i, r)| {
                let score = placement::score(&r.free, &round.total, &weights);
                ((cold(r), r.size, !r.spot, score), i)
            })
            .collect();
        let by_key = |a: &(Key, usize), b: &(Key, usize)| {
            a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal)
        };
        if !spec.zoned() && keyed.len() > want as usize {
            keyed.select_nth_unstable_by(want as usize, by_key);
            keyed.truncate(want as usize);
        }
        keyed.sort_by(by_key);
        keyed.into_iter().map(|(_, i)| i).collect()
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
        // All tasks of a gang are in one attempt.
        let mut gang_attempt = job.placed.values().next().map(|p| p.attempt).filter(|_| spec.gang);
        job.attempt_ended_at = None;
        let age = now.saturating_sub(job.submitted_at);
        if age > BEGIN_MS && job.untouched() {
            self.out.push(Effect::Note(format!("job {id} begins after {age} ms")));
        }
        for index in job.take(n) {
            let attempt = gang_attempt.unwrap_or_else(|| {
                self.next_attempt += 1;
                (self.token << ATTEMPT_BITS) | self.next_attempt
            });
            gang_attempt = spec.gang.then_some(attempt);
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
}

/// Which turn of the queue takes a room next.
struct NextHere {
    /// Its place in the queue, and with how many tasks.
    turn: Option<(usize, u32)>,
    /// How many turns of the queue had nothing left.
    empty: usize,
    /// A gang that lacks room comes before the rest of the queue.
    is_gathered: bool,
}

/// The zone in which most tasks of a job fit.
pub(super) fn roomiest(
    rooms: impl Iterator<Item = usize>,
    spec: &JobSpec,
    round: &Round,
) -> Option<Arc<str>> {
    let mut by_zone: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
    for r in rooms.map(|i| &round.rooms[i]) {
        *by_zone.entry(&r.zone).or_default() += u64::from(r.holds(&spec.demand));
    }
    let most = by_zone.into_iter().max_by_key(|(_, n)| *n).filter(|(_, n)| *n > 0);
    most.map(|(zone, _)| zone.clone())
}

pub(super) fn has_limit(team: &Team) -> bool {
    team.cpus_max > 0.0 || team.gpus_max > 0.0
}
