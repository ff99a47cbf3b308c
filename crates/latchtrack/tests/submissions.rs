//! Validation of submissions, field by field.

use latchtrack::wire::users::SubmissionError::{Invalid, Missing};
use latchtrack::wire::users::{parse_id, parse_job, SubmissionError};
use latchtrack_core::job::JobSpec;
use serde_json::{json, Value};

fn valid_submission() -> Value {
    json!({"name_id":"req-000412","lane":"l","crew":"c","shape":"batch","urgency":"high",
        "pieces":16,"cores":8.0,"cards":0.0,"memory_gb":64.0,"kit":"i","pull_gb":6.2,
        "builds":["g8"],"yard":null,"one_zone":true,"apart":false,"loaners":true,
        "expected_s":240.0,"snapshot_s":30.0,"stow_s":4.0,"due_s":900.0,"unheard":[1]})
}

fn parse(v: &Value) -> Result<JobSpec, SubmissionError> {
    let (id, map) = parse_id(v.to_string().as_bytes())?;
    parse_job(id, &map)
}

#[test]
fn a_valid_submission_is_parsed() {
    let spec = parse(&valid_submission()).unwrap();
    assert_eq!((spec.tasks, spec.demand.cpus, spec.spot), (16, 8.0, true));
    assert_eq!((spec.zone, spec.deadline_s), (None, Some(900.0)));
}

#[test]
fn errors_name_the_invalid_field() {
    for (field, value) in [
        ("name_id", json!("412")),
        ("pieces", json!(0)),
        ("pieces", json!(100_001)),
        ("pieces", json!(1.5)),
        ("cores", json!(-1.0)),
        ("cores", json!(0)),
        ("memory_gb", json!("64")),
        ("urgency", json!("now")),
        ("shape", json!("daemon")),
        ("shape", json!("Gang")),
        ("shape", json!(1)),
        ("builds", json!([1])),
        ("loaners", json!(1)),
        ("due_s", json!(-5)),
        ("crew", json!("")),
    ] {
        let mut v = valid_submission();
        v[field] = value.clone();
        match parse(&v) {
            Err(Invalid(name, _)) => assert_eq!(name, field, "{value}"),
            other => panic!("{field} = {value}: {other:?}"),
        }
    }
    // Null counts as absent, and is accepted only for optional fields.
    let fields: Vec<String> = valid_submission().as_object().unwrap().keys().cloned().collect();
    for field in fields {
        let mut without = valid_submission();
        without.as_object_mut().unwrap().remove(&field);
        let mut null = valid_submission();
        null[&field] = Value::Null;
        for v in [without, null] {
            match (parse(&v), field.as_str()) {
                (Ok(_), "builds" | "yard" | "due_s" | "unheard") => {}
                (Err(Missing(name)), _) => assert_eq!(name, field),
                (other, _) => panic!("without {field}: {other:?}"),
            }
        }
    }
    assert_eq!(parse_id(b"[1]").unwrap_err(), SubmissionError::NotObject);
    assert_eq!(parse_id(b"{\"name_id\":NaN}").unwrap_err(), SubmissionError::NotJson);
}
