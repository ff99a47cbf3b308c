//! The text form of job and task ids.

use latchtrack_core::job::{JobId, ParseIdError, TaskId};

#[test]
fn ids_have_one_text_each() {
    assert_eq!("req-000412".parse(), Ok(JobId(412)));
    assert_eq!("req-1000412".parse::<JobId>().expect("a job id").to_string(), "req-1000412");
    for bad in ["req-412", "req-0000412", "job-000412", "req-00041x", "", "req-", "req-+00412"] {
        assert_eq!(bad.parse::<JobId>(), Err(ParseIdError), "{bad}");
    }
    let task: TaskId = "req-000412/3".parse().expect("a task id");
    assert_eq!((task.index, task.to_string().as_str()), (3, "req-000412/3"));
    assert!("req-000412/-1".parse::<TaskId>().is_err());
}
