//! A worker without a timer of its own: tests decide when it sends a heartbeat.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use serde_json::{json, Value};

use crate::client::{post, Response};
use crate::lifecycle::{AttemptKey, ExitCause};

/// An address without a listener: commands reach the worker only in heartbeat responses.
const UNREACHABLE_ADDR: &str = "127.0.0.1:9";

/// A worker that executes commands and completes every launched task immediately.
pub struct Worker {
    /// The name of its machine, as in the protocol's `host`.
    pub name: String,
    /// The address that it reports for direct calls.
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
            other => panic!("unknown command `{other}`"),
        }
    }
}

impl Worker {
    /// Creates a worker on the named machine, with an address that does not accept connections.
    pub fn new(name: &str) -> Self {
        Worker { name: name.into(), addr: UNREACHABLE_ADDR.into(), state: Default::default() }
    }

    /// Builds the body of the next heartbeat and increments its sequence number.
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

    /// Sends one heartbeat to a node, executes the commands in a 200 response, and returns the
    /// response.
    pub async fn send_heartbeat(&self, node: &str) -> Response {
        let response = post(&format!("{node}/v1/report"), &self.next_heartbeat()).await;
        if response.0 == 200 {
            let mut state = self.state.borrow_mut();
            state.fencing_token = response.2["baton"].as_u64().expect("`baton` is a number");
            for command in response.2["orders"].as_array().expect("`orders` is a list") {
                state.execute(command);
            }
        }
        response
    }
}
