//! A worker that does nothing by itself: tests say when it reports.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use serde_json::{json, Value};

use crate::client::{post, Got};

/// A worker that executes what it is told and finishes every task at once.
pub struct Worker {
    pub name: String,
    pub addr: String,
    inner: Rc<RefCell<WorkerState>>,
}

#[derive(Default)]
struct WorkerState {
    seq: u64,
    token: u64,
    tasks: BTreeMap<(String, u64), &'static str>,
}

impl Worker {
    pub fn new(name: &str) -> Self {
        // Nobody listens there: only the answers to its reports reach it.
        let addr = "127.0.0.1:9".to_string();
        Worker { name: name.into(), addr, inner: Default::default() }
    }

    pub fn body(&self) -> Value {
        let mut w = self.inner.borrow_mut();
        w.seq += 1;
        let tasks: Vec<Value> = w
            .tasks
            .iter()
            .map(|((task, attempt), cause)| {
                json!({"piece": task, "try": attempt, "status": "ended", "cause": cause})
            })
            .collect();
        json!({"host": self.name, "addr": self.addr, "build": "t1", "yard": "a", "loaners": true,
            "shift": 1, "tally": w.seq, "baton": w.token, "recall_s": null, "pieces": tasks})
    }

    /// One report, and what the answer says is done; the commands.
    pub async fn report(&self, node: &str) -> Got {
        let got = post(&format!("{node}/v1/report"), &self.body()).await;
        if got.0 == 200 {
            let mut w = self.inner.borrow_mut();
            w.token = got.2["baton"].as_u64().unwrap();
            for o in got.2["orders"].as_array().unwrap() {
                let key = (o["piece"].as_str().unwrap().to_string(), o["try"].as_u64().unwrap());
                match o["verb"].as_str().unwrap() {
                    "launch" => {
                        w.tasks.entry(key).or_insert("done");
                    }
                    "stop" => {
                        w.tasks.insert(key, "halted");
                    }
                    "forget" => {
                        w.tasks.remove(&key);
                    }
                    other => panic!("{other}"),
                }
            }
        }
        got
    }
}
