//! What a worker's report must say, and what is made of words that are new.

use latchtrack::wire::workers::parse_heartbeat;
use latchtrack_core::machine::{ExitCause, TaskPhase};

const GOOD: &str = r#"{"host":"n-1","addr":"1.2.3.4:9","build":"g","yard":"a","loaners":true,
    "shift":1,"tally":88,"baton":41,"recall_s":null,"extra":{},
    "pieces":[{"piece":"req-000412/3","try":2,"status":"ended","cause":"done"},
              {"piece":"req-000412/4","try":2,"status":"running"}]}"#;

#[test]
fn reads_a_heartbeat_and_refuses_invalid_ones() {
    let r = parse_heartbeat(GOOD.as_bytes()).unwrap();
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
        let text = GOOD.replace(from, to);
        assert_ne!(text, GOOD);
        assert!(parse_heartbeat(text.as_bytes()).is_err(), "{from} -> {to}");
    }
}

/// A word that a later protocol adds says that the run is on the machine, or that it is over
/// without a result; the rest of the report counts as ever.
#[test]
fn unknown_words_lose_neither_the_heartbeat_nor_a_result() {
    for (from, to, phase) in [
        ("\"ended\"", "\"frozen\"", TaskPhase::Unrecognised),
        ("\"cause\":\"done\"", "\"cause\":\"moved\"", TaskPhase::Ended(ExitCause::Unrecognised)),
        (",\"cause\":\"done\"", "", TaskPhase::Ended(ExitCause::Unrecognised)),
    ] {
        let r = parse_heartbeat(GOOD.replace(from, to).as_bytes()).unwrap();
        assert_eq!(r.tasks[0].phase, phase, "{from} -> {to}");
        assert_eq!((r.tasks[1].phase, r.tasks.len()), (TaskPhase::Running, 2));
    }
}
