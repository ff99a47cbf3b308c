//! Provisioning: which machines are requested and when, and the capacity of booting machines.

mod common;

use std::sync::Arc;

use common::*;
use latchtrack_core::job::{JobId, JobSpec};
use latchtrack_core::machine::*;
use latchtrack_core::scheduler::*;

/// A job that may not use spot machines waited out the delay before on-demand machines are
/// provisioned, which is meant for jobs that may get a spot machine instead.
#[test]
fn a_job_that_may_not_use_spot_provisions_at_once() {
    let mut scheduler = Scheduler::new(policy(), TERM, types(), Vec::new(), Vec::new(), 1_000);
    let on_demand = Arc::new(JobSpec { spot: false, ..(*spec(1, 2)).clone() });
    let job = Event::JobOpened { spec: on_demand, submitted_at: 0, revision: 8, done: None };
    scheduler.handle(1_000, job);
    let effects = scheduler.handle(1_000, Event::Tick);
    let provisions = effects
        .iter()
        .any(|effect| matches!(effect, Effect::Provision { offer, .. } if !offer.spot));
    assert!(provisions, "{effects:?}");
}

/// Duration of a boot in ms; the type's nominal boot time is 10 s.
const SLOW_BOOT_MS: u64 = 65_000;
/// Time in ms between two ticks.
const TICK_MS: u64 = 200;

/// A machine that was provisioned.
struct Boot {
    number: u64,
    /// When it was provisioned, in ms.
    at: u64,
}

/// A cloud whose machines boot slowly.
#[derive(Default)]
struct SlowCloud {
    boots: Vec<Boot>,
    /// Number of machines provisioned so far.
    provisioned: u32,
    /// Number of machines terminated so far.
    terminated: usize,
}

impl SlowCloud {
    /// Ticks the scheduler from `from` until before `to`, carries out its effects, and sends the
    /// first heartbeat of each machine that has booted.
    fn run(&mut self, scheduler: &mut Scheduler, from: u64, to: u64) {
        for now in (from..to).step_by(TICK_MS as usize) {
            for effect in scheduler.handle(now, Event::Tick) {
                self.carry_out(scheduler, now, effect);
            }
            for Boot { number, at } in &self.boots {
                if now >= at + SLOW_BOOT_MS && now < at + SLOW_BOOT_MS + TICK_MS {
                    scheduler.handle(now, Event::Heartbeat(heartbeat(*number, 1, 7, Vec::new())));
                }
            }
        }
    }

    fn carry_out(&mut self, scheduler: &mut Scheduler, now: u64, effect: Effect) {
        match effect {
            Effect::Provision { request_id, number, .. } => {
                let first = u64::from(self.provisioned);
                let numbers = first..first + u64::from(number);
                let names: Vec<String> = numbers.clone().map(machine_name).collect();
                self.boots.extend(numbers.map(|number| Boot { number, at: now }));
                self.provisioned += number;
                let outcome = ProvisionOutcome::Provisioned(names);
                scheduler.handle(now, Event::ProvisionFinished { request_id, outcome });
            }
            Effect::Terminate(names) => {
                self.terminated += names.len();
                self.boots.retain(|boot| !names.contains(&machine_name(boot.number)));
                scheduler.handle(
                    now,
                    Event::TerminateFinished { names, outcome: TerminateOutcome::Terminated },
                );
            }
            _ => {}
        }
    }
}

/// When boots took five times as long as usual, all booting machines were terminated at four times
/// the usual time and provisioned again, which restarted their boots: 1,695 on-demand machines were
/// provisioned where 700 are enough.
#[test]
fn late_boots_of_a_whole_machine_type_are_awaited() {
    let mut scheduler =
        Scheduler::new(long_idle_timeout(), TERM, types(), Vec::new(), Vec::new(), 1_000);
    scheduler.handle(1_000, job_opened(1, 60, 8));
    let mut cloud = SlowCloud::default();
    cloud.run(&mut scheduler, 1_200, 63_000);
    // Thirty machines are needed, and thirty more are provisioned when some boots are late but most
    // are not yet. After that, a few are provisioned periodically as trials, and as many
    // terminated.
    let SlowCloud { provisioned, terminated, .. } = cloud;
    assert!((30..=70).contains(&provisioned), "{provisioned} provisioned");
    assert!(terminated <= 8, "{terminated} terminated");
    cloud.run(&mut scheduler, 63_000, 90_000);
    let up = scheduler.machines().values().filter(|machine| machine.is_up()).count();
    assert!(up >= 24, "{up} up");
}

/// A machine may boot within a second and send a heartbeat before the provision request is
/// answered. It is used immediately, and neither terminated as unknown nor counted twice.
#[test]
fn a_machine_up_before_its_provision_answer_is_used_at_once() {
    let mut scheduler =
        Scheduler::new(long_idle_timeout(), TERM, types(), Vec::new(), Vec::new(), 1_000);
    scheduler.handle(1_000, job_opened(1, 2, 8));
    let effects = scheduler.handle(1_200, Event::Tick);
    let request_id = effects.iter().find_map(|effect| match effect {
        Effect::Provision { request_id, .. } => Some(request_id.clone()),
        _ => None,
    });
    scheduler.handle(1_300, Event::Heartbeat(heartbeat(0, 1, 7, Vec::new())));
    let writes = scheduler.next_writes(1_310, 8);
    assert!(!writes.is_empty(), "a machine is stored before tasks start on it");
    let effects = scheduler
        .handle(1_320, Event::WritesFinished { writes, outcome: BatchOutcome::Committed(20) });
    assert_eq!(launches(&effects), 2);
    let outcome = ProvisionOutcome::Provisioned(vec![machine_name(0)]);
    scheduler.handle(
        1_400,
        Event::ProvisionFinished { request_id: request_id.expect("a request"), outcome },
    );
    let effects = scheduler.handle(1_600, Event::Tick);
    let more = effects
        .iter()
        .any(|effect| matches!(effect, Effect::Provision { .. } | Effect::Terminate(_)));
    assert!(!more && scheduler.machines().len() == 1, "{effects:?}");
}

/// A one-zone job had tasks in one zone, but machines for its other tasks were provisioned in one
/// zone after the other, and terminated unused.
#[test]
fn a_one_zone_job_provisions_only_in_its_zone() {
    let zones = vec!["a".to_string(), "b".into(), "c".into()];
    let types = vec![MachineType { zones, ..types().remove(0) }];
    let mut scheduler =
        Scheduler::new(long_idle_timeout(), TERM, types, stored_set(0..1), Vec::new(), 1_000);
    let spec = JobSpec { one_zone: true, ..(*spec(1, 8)).clone() };
    scheduler.handle(
        1_000,
        Event::JobOpened { spec: Arc::new(spec), submitted_at: 0, revision: 8, done: None },
    );
    let mut effects = scheduler.handle(1_000, Event::Heartbeat(heartbeat(0, 1, 7, Vec::new())));
    for now in (1_200..30_000).step_by(200) {
        for effect in std::mem::replace(&mut effects, scheduler.handle(now, Event::Tick)) {
            let Effect::Provision { request_id, offer, .. } = effect else { continue };
            assert_eq!(offer.zone, "a", "at {now}");
            effects.extend(scheduler.handle(
                now,
                Event::ProvisionFinished { request_id, outcome: ProvisionOutcome::NoCapacity },
            ));
        }
    }
    assert_eq!(scheduler.jobs()[&JobId(1)].placed.len(), 2);
}

/// Each job of a team provisioned as many machines as the team's limit left for all its jobs
/// together. Several times the machines needed were provisioned, booted, and terminated unused.
#[test]
fn no_machine_is_provisioned_beyond_a_team_limit() {
    let mut policy = long_idle_timeout();
    // The limit allows two tasks, which fit on one machine.
    policy.teams[0].cpus_max = 2.0 * spec(1, 1).demand.cpus;
    let mut scheduler = Scheduler::new(policy, TERM, types(), Vec::new(), Vec::new(), 1_000);
    for id in 1..=5 {
        scheduler.handle(1_000, job_opened(id, 10, 8));
    }
    let mut provisioned = 0;
    for now in (1_200..5_000).step_by(200) {
        for effect in scheduler.handle(now, Event::Tick) {
            if let Effect::Provision { number, .. } = effect {
                provisioned += number;
            }
        }
    }
    assert_eq!(provisioned, 1);
}
