//! A worker that does nothing by itself: tests say when it heartbeats.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use serde_json::{json, Value};

use crate::client::{post, Response};
use crate::lifecycle::{AttemptKey, ExitCause};

/// An address on which nobody listens: only the responses to its heartbeats reach the worker.
const UNREACHABLE_ADDR: &str = "127.0.0.1:9";

/// A worker that executes its commands and completes every task at once.
pub struct Worker {
    /// The machine's name.
    pub name: String,
    /// The address that it claims to listen on.
    pub addr: String,
    state: Rc<RefCell<WorkerState>>,
}

#[derive(Default)]
struct WorkerState {
    sequence: u64,
    fencing_token: u64,
    ended: BTreeMap<AttemptKey, ExitCause>,
}

impl WorkerState {
    fn execute(&mut self, command: &Value) {
        let task = command["piece"].as_str().expect("`piece` is a string").to_string();
        let key = AttemptKey { task, attempt: command["try"].as_u64().expect("`try` is a number") };
        match command["verb"].as_str().expect("`verb` is a string") {
            "launch" => {
                self.ended.entry(key).or_insert(ExitCause::Done);
            }
            "stop" => {
                self.ended.insert(key, ExitCause::Stopped);
            }
            "forget" => {
                self.ended.remove(&key);
            }
            other => panic!("expected a command of the protocol, not `{other}`"),
        }
    }
}

impl Worker {
    /// A worker on the machine of this name.
    pub fn new(name: &str) -> Self {
        Worker { name: name.into(), addr: UNREACHABLE_ADDR.into(), state: Default::default() }
    }

    /// The body of its next heartbeat.
    pub fn next_heartbeat(&self) -> Value {
        let mut state = self.state.borrow_mut();
        state.sequence += 1;
        let row = |(key, cause): (&AttemptKey, &ExitCause)| {
            let cause = cause.protocol_name();
            json!({"piece": key.task, "try": key.attempt, "status": "ended", "cause": cause})
        };
        let tasks: Vec<Value> = state.ended.iter().map(row).collect();
        json!({"host": self.name, "addr": self.addr, "build": "t1", "yard": "a", "loaners": true,
            "shift": 1, "tally": state.sequence, "baton": state.fencing_token, "recall_s": null,
            "pieces": tasks})
    }

    /// Sends one heartbeat to a node and executes the commands of the response, which it returns.
    pub async fn send_heartbeat(&self, node: &str) -> Response {
        let got = post(&format!("{node}/v1/report"), &self.next_heartbeat()).await;
        if got.0 == 200 {
            let mut state = self.state.borrow_mut();
            state.fencing_token = got.2["baton"].as_u64().expect("`baton` is a number");
            for command in got.2["orders"].as_array().expect("`orders` is a list") {
                state.execute(command);
            }
        }
        got
    }
}
