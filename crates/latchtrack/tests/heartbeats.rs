//! Validation of heartbeats, and how unrecognised values are handled.

use latchtrack::wire::workers::parse_heartbeat;
use latchtrack_core::machine::{ExitCause, TaskPhase};

const VALID: &str = r#"{"host":"n-1","addr":"1.2.3.4:9","build":"g","yard":"a","loaners":true,
    "shift":1,"tally":88,"baton":41,"recall_s":null,"extra":{},
    "pieces":[{"piece":"req-000412/3","try":2,"status":"ended","cause":"done"},
              {"piece":"req-000412/4","try":2,"status":"running"}]}"#;

#[test]
fn valid_heartbeats_are_parsed_and_invalid_ones_rejected() {
    let r = parse_heartbeat(VALID.as_bytes()).unwrap();
    assert_eq!((r.agent_epoch, r.sequence, r.token, r.tasks.len()), (1, 88, 41, 2));
    assert_eq!(r.tasks[0].phase, TaskPhase::Ended(ExitCause::Done));
    for (from, to) in [
        ("\"shift\":1", "\"shift\":-1"),
        ("\"shift\":1", "\"shift\":0"),
        ("req-000412/3", "req-000412"),
        ("\"status\":\"ended\"", "\"status\":7"),
        ("\"status\":\"ended\",", ""),
        ("\"host\":\"n-1\",", ""),
    ] {
        let text = VALID.replace(from, to);
        assert_ne!(text, VALID);
        assert!(parse_heartbeat(text.as_bytes()).is_err(), "{from} -> {to}");
    }
}

/// An unrecognised status means that the task is on the machine, and an unrecognised cause that it
/// ended without a result. The rest of the heartbeat is used.
#[test]
fn unrecognised_values_do_not_invalidate_a_heartbeat() {
    for (from, to, phase) in [
        ("\"ended\"", "\"frozen\"", TaskPhase::Unrecognised),
        ("\"cause\":\"done\"", "\"cause\":\"moved\"", TaskPhase::Ended(ExitCause::Unrecognised)),
        (",\"cause\":\"done\"", "", TaskPhase::Ended(ExitCause::Unrecognised)),
    ] {
        let r = parse_heartbeat(VALID.replace(from, to).as_bytes()).unwrap();
        assert_eq!(r.tasks[0].phase, phase, "{from} -> {to}");
        assert_eq!((r.tasks[1].phase, r.tasks.len()), (TaskPhase::Running, 2));
    }
}
