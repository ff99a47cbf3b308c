//! Case 3: the leader ends while two of three machines have no network; they have it back for a
//! moment and lose it again. See claim.txt.

#[path = "../standins/kit.rs"]
mod kit;

use kit::*;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// `params` of kit/sites/windward-turbine-watch.toml.
const PARAMS: &str = r#"{"count": 3, "zones": ["leeward-zone", "windward-zone"],
"teams": [{"name": "field-crews", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0},
{"name": "analytics-desk", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0},
{"name": "grid-liaison", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
"objectives": [{"kind": "finished", "class": "blade-strain-sweep", "within_s": 120.0, "share": 0.93}],
"workers": {"report_s": 3.0, "lease_s": 45.0, "gang_wait_s": 30.0, "gang_peer_s": 6.0, "cancel_s": 75.0},
"state": {"rps": 120.0, "write_rps": 35.0, "value_kb": 4.0, "txn_ops": 8},
"cloud": {"rps": 8.0, "list_lag_s": 3.0},
"machine_limits": {"cpu": 0.24, "mem_mb": 200.0, "max_sockets": 4000}, "clock_off_ms": 1000.0}"#;
/// The workers' lease, as in `PARAMS`.
const LEASE_S: f64 = 45.0;
/// How long the first cut lasts at least; then a report of the worker gets through, at a moment when
/// no call of the leader is due.
const FIRST_CUT_S: f64 = 21.3;
/// The time from the end of the leader to the first cut. No node leads yet: its lease lasts 3 s.
const CUT_AFTER_S: f64 = 2.0;
/// How long the network is back after the first answer; the worker's next report comes half a second
/// after the one before at the earliest.
const BACK_S: f64 = 0.25;
/// `restart_delay_s` of the site.
const RESTART_DELAY_S: f64 = 6.0;

fn main() {
    let folder = std::env::args().nth(1).expect("a folder");
    let root = std::env::args().nth(2).expect("the repository");
    let record_path = std::env::args().nth(3).expect("the path of the record");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(&record_path);
    record.line(format!("trouble: {trouble}"));
    let result = run(&folder, &root, &record, trouble);
    record.line(format!("exit {result}"));
    std::process::exit(result);
}

fn run(folder: &str, root: &str, record: &Record, trouble: bool) -> i32 {
    let state = State::new(120.0, 35.0, 4.0, 8);
    let addrs: Vec<_> = (0..3).map(|i| state.serve(i)).collect();
    let zones = ["leeward-zone", "windward-zone", "leeward-zone"];
    let ports = free_ports(6);
    let https = &ports[..3];
    let names = (0..3).map(|i| (format!("berth-{i}"), ports[i])).collect();
    let fleet = Fleet::new(record.clone(), names, 3.0, LEASE_S);
    let nacelle = MachineType {
        name: "nacelle-crunch-16",
        cores: 16.0,
        memory_gb: 64.0,
        price: 0.97,
        spot_price: 0.35,
        ready_s: 50.0,
        zones: vec!["leeward-zone", "windward-zone"],
    };
    let cloud = Cloud::new(&fleet, vec![nacelle], 3, 1.5);
    let mut nodes = nodes(root, folder, &zones, &ports, &addrs, cloud.serve(), PARAMS);
    for node in &mut nodes {
        node.start();
    }
    let is_ready = |addr: &SocketAddr| {
        call(*addr, "GET", "/ready", None, Duration::from_secs(1)).is_some_and(|a| a.0 == 200)
    };
    if !wait_for(15.0, || https.iter().all(is_ready) && state.leader().is_some()) {
        record.line("the nodes did not become ready");
        return 2;
    }
    // Seven long tasks on three machines, three to a machine: the third has room for two more.
    let profile = JobProfile {
        pieces: 7,
        cores: 5.0,
        memory_gb: 14.0,
        run_s: 200.0,
        pull_s: 1.0,
        image: "img-01".into(),
    };
    fleet.jobs.lock().unwrap().insert("req-000412".into(), profile);
    let job = Json::parse(
        r#"{"name_id":"req-000412","lane":"blade-strain-sweep","crew":"field-crews",
        "shape":"batch","urgency":"standard","pieces":7,"cores":5.0,"cards":0.0,"memory_gb":14.0,
        "kit":"img-01","pull_gb":3.5,"builds":null,"yard":"leeward-zone","one_zone":false,
        "apart":false,"loaners":true,"expected_s":200.0,"snapshot_s":0.0,"stow_s":0.0,"due_s":null}"#,
    )
    .expect("valid JSON");
    let mut is_accepted = false;
    for attempt in 0..10 {
        let addr = https[attempt % 3];
        let result = call(addr, "POST", "/api/jobs", Some(&job), Duration::from_secs(5));
        record.line(format!("submission of req-000412: {:?}", result.as_ref().map(|r| r.0)));
        if result.is_some_and(|(status, _)| status == 201 || status == 200) {
            is_accepted = true;
            break;
        }
        thread::sleep(Duration::from_secs(1));
    }
    if !is_accepted || !wait_for(25.0, || fleet.spans.lock().unwrap().len() == 7) {
        record.line("the job did not start");
        return 2;
    }
    // Let every machine report its tasks.
    thread::sleep(Duration::from_secs(4));
    let machines: Vec<String> = fleet.machines.lock().unwrap().keys().cloned().collect();
    let full: Vec<String> =
        machines.into_iter().filter(|name| fleet.running_on(name).len() == 3).collect();
    let Some((leader, token)) = state.leader() else { return 2 };
    if full.len() != 2 {
        record.line("the tasks are not spread as this case needs it");
        return 2;
    }
    let begun = Instant::now();
    if trouble {
        for node in nodes.iter_mut().filter(|node| node.name == leader) {
            record.line(format!("{leader}, which leads with token {token}, is killed"));
            node.kill();
        }
        thread::sleep(Duration::from_secs_f64(CUT_AFTER_S));
        record.line(format!("{full:?} lose the network"));
        for name in &full {
            let Some(machine) = fleet.machine(name) else { return 2 };
            let mut machine = machine.lock().unwrap();
            machine.net = Net::Cut;
            machine.back_from = Some(Instant::now() + Duration::from_secs_f64(FIRST_CUT_S));
            machine.cut_after_new_token = Some(Duration::from_secs_f64(BACK_S));
        }
    }
    let mut is_back = !trouble;
    let until = begun + Duration::from_secs(64);
    while Instant::now() < until && fleet.ran_twice().is_empty() {
        thread::sleep(Duration::from_millis(100));
        if !is_back && begun.elapsed().as_secs_f64() >= RESTART_DELAY_S {
            is_back = true;
            for node in nodes.iter_mut().filter(|node| node.name == leader) {
                record.line(format!("{leader} is started again; leader: {:?}", state.leader()));
                node.start();
            }
        }
    }
    thread::sleep(Duration::from_secs(1));
    let twice = fleet.ran_twice();
    for (earlier, later) in &twice {
        let end = earlier.to.map_or("is still there".to_string(), |to| format!("left it at {to:.3}"));
        record.line(format!(
            "ran_twice: {} started on {} at {:.3} while it was on {} since {:.3} ({end})",
            later.task, later.machine, later.from, earlier.machine, earlier.from
        ));
    }
    i32::from(!twice.is_empty())
}
