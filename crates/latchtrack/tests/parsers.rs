//! Seeded fuzz tests of every parser: no panics, and accepted input is within bounds.

use latchtrack::settings::{parse_tuning, Platform, Settings, Tuning};
use latchtrack::wire::records::{parse_machine_set, parse_results, Record};
use latchtrack::wire::users::{parse_id, parse_job};
use latchtrack::wire::workers::parse_heartbeat;
use latchtrack_core::job::JobId;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Mutations to try of each input.
const ROUNDS: usize = 4_000;

/// Fragments that parsers often mishandle.
const EDGE_CASES: [&str; 14] = [
    "null",
    "-1",
    "1e308",
    "1e999",
    "NaN",
    "\"\"",
    "[]",
    "{}",
    "true",
    "18446744073709551616",
    "0",
    "\u{0}",
    "\"\\ud800\"",
    "[[[[[[[[[[[[[[[[",
];

/// Returns a text with some parts replaced, truncated or duplicated.
fn mutate(text: &str, rng: &mut StdRng) -> Vec<u8> {
    let mut out = text.as_bytes().to_vec();
    for _ in 0..rng.random_range(1..4) {
        let at = rng.random_range(0..out.len().max(1)).min(out.len());
        match rng.random_range(0..5) {
            0 => out.truncate(at),
            1 if at < out.len() => out[at] = rng.random(),
            2 => {
                let to = (at + rng.random_range(0..8)).min(out.len());
                let fragment = EDGE_CASES.choose(rng).unwrap();
                out.splice(at..to, fragment.bytes());
            }
            3 => {
                let part = out[at..(at + 9).min(out.len())].to_vec();
                out.splice(at..at, part);
            }
            _ => {
                // Replaces a whole value after a colon, which sometimes leaves valid JSON.
                let text = String::from_utf8_lossy(&out).into_owned();
                let colons: Vec<usize> = text.match_indices(':').map(|(i, _)| i).collect();
                if let Some(&colon) = colons.choose(rng) {
                    let rest = &text[colon + 1..];
                    let end = rest.find([',', '}']).unwrap_or(rest.len());
                    let fragment = EDGE_CASES.choose(rng).unwrap();
                    out = format!("{}{fragment}{}", &text[..=colon], &rest[end..]).into_bytes();
                }
            }
        }
    }
    out
}

/// Passes mutations of a text to `accepts`. Some must be accepted and some rejected, since the test
/// has no significance otherwise.
fn fuzz(text: &str, seed: u64, mut accepts: impl FnMut(&[u8]) -> bool) {
    assert!(accepts(text.as_bytes()), "the original text is rejected");
    let mut rng = StdRng::seed_from_u64(seed);
    let accepted = (0..ROUNDS).filter(|_| accepts(&mutate(text, &mut rng))).count();
    assert!(accepted > 10 && accepted < ROUNDS - 10, "{accepted} of {ROUNDS} accepted");
}

const JOB: &str = r#"{"name_id":"req-000412","lane":"l","crew":"c","shape":"batch","urgency":"high",
    "pieces":16,"cores":8.0,"cards":1.0,"memory_gb":64.0,"kit":"i","pull_gb":6.2,"builds":["g8"],
    "yard":null,"one_zone":true,"apart":false,"loaners":true,"expected_s":240.0,"snapshot_s":30.0,
    "stow_s":4.0,"due_s":900.0}"#;

#[test]
fn mutated_submissions() {
    fuzz(JOB, 1, |bytes| {
        let Ok(job) = parse_id(bytes).and_then(|(id, map)| parse_job(id, &map)) else {
            return false;
        };
        assert!((1..=100_000).contains(&job.tasks));
        let d = job.demand;
        let amounts = [d.cpus, d.gpus, d.memory_gb, job.image_gb, job.estimate_s, job.save_s];
        assert!(amounts.iter().all(|a| a.is_finite() && *a >= 0.0), "{job:?}");
        assert!(d.cpus > 0.0 && job.deadline_s.is_none_or(|d| d.is_finite() && d >= 0.0));
        // An accepted job can be stored and read back.
        let record = Record::Open { spec: job.clone().into(), at_ms: 1 };
        let json = record.to_json().unwrap();
        assert_eq!(Record::parse(job.id, json.get()).unwrap(), record);
        true
    });
}

#[test]
fn mutated_heartbeats() {
    let text = r#"{"host":"n-1","addr":"1.2.3.4:9","build":"g","yard":"a","loaners":true,"shift":1,
        "tally":88,"baton":41,"recall_s":12.5,
        "pieces":[{"piece":"req-000412/3","try":2,"status":"ended","cause":"done"}]}"#;
    fuzz(text, 2, |bytes| match parse_heartbeat(bytes) {
        Ok(r) => {
            assert!(r.agent_epoch > 0 && r.notice_s.is_none_or(f64::is_finite));
            true
        }
        Err(_) => false,
    });
}

#[test]
fn mutated_stored_records() {
    let text = r#"{"state":"open","at_ms":1700000000000,"class":"c","team":"t","priority":1,"tasks":16,
        "cpus":4.0,"memory_gb":3.6,"spot":true,"image":"i","image_gb":1.5,"estimate_s":20.0}"#;
    fuzz(text, 3, |bytes| match Record::parse(JobId(1), &String::from_utf8_lossy(bytes)) {
        Ok(Record::Open { spec, .. }) => {
            assert!((1..=100_000).contains(&spec.tasks) && spec.demand.cpus >= 0.0);
            true
        }
        Ok(_) => true,
        Err(_) => false,
    });
    fuzz("\"AQID\"", 4, |bytes| {
        let text = String::from_utf8_lossy(bytes);
        parse_results("req-000007/0", &text).is_some()
    });
    fuzz(r#"{"req-000007/0":"AQID","req-000012/1":"AA"}"#, 7, |bytes| {
        parse_results("41-1", &String::from_utf8_lossy(bytes)).is_some()
    });
    fuzz(r#"[["n-1","g","a",true,"1.2.3.4:9"],["n-2","g","a",false,"1.2.3.4:8"]]"#, 8, |bytes| {
        parse_machine_set("41-1", &String::from_utf8_lossy(bytes)).is_ok()
    });
}

const PLATFORM: &str = r#"{"node_name":"one","domain":"a","bind":"127.0.0.1:0",
    "peer_bind":"127.0.0.1:0","others":[],"external":{"cloud":"127.0.0.1:1","state":"127.0.0.1:2"},
    "params":{"zones":["a"],"teams":[{"name":"t"}],"objectives":[{"kind":"finished","class":"c",
    "within_s":120.0,"share":0.9}],"workers":{"report_s":3.0,"lease_s":30.0,"cancel_s":60.0},
    "state":{"rps":100.0,"write_rps":30.0,"value_kb":4.0,"txn_ops":8},
    "cloud":{"rps":4.0,"list_lag_s":3.0},
    "machine_limits":{"cpu":0.1,"mem_mb":64.0,"max_sockets":900}}}"#;

#[test]
fn mutated_platform_settings() {
    fuzz(PLATFORM, 5, |bytes| {
        let Ok(platform) = serde_json::from_slice::<Platform>(bytes) else { return false };
        let settings = Settings { platform, tuning: Tuning::default() };
        if settings.check().is_err() {
            return false;
        }
        // Settings that pass the check must be usable.
        let policy = settings.policy();
        assert!(policy.worker_lease_ms >= 1_000 && settings.leader_lease_ms() >= 1_000);
        true
    });
}

#[test]
fn mutated_operator_settings() {
    let text = "alpha: 0.7\nslice: 2\nidle_wait_s: 15\nsilence_s: 20\nleader_lease_s: 4\n";
    let platform: Platform = serde_json::from_str(PLATFORM).unwrap();
    fuzz(text, 6, |bytes| {
        let Ok(tuning) = parse_tuning(&String::from_utf8_lossy(bytes)) else { return false };
        let settings = Settings { platform: platform.clone(), tuning };
        if settings.check().is_err() {
            return false;
        }
        let w = settings.policy().weights;
        assert!((w.alpha + w.beta - 1.0).abs() < 1e-9 && w.alpha >= 0.0 && w.beta >= 0.0);
        true
    });
}
