//! The keys of this deployment in the state service: its own under a prefix, those that cells
//! share as they are.

use crate::actors::messages::store::{Reply, StoreRequest};
use crate::wire::quota::SHARED_PREFIX;
use crate::wire::store::{Change, Txn};

/// Maps the keys of a deployment to those of the state service and back.
#[derive(Clone, Debug)]
pub struct Namespace {
    prefix: String,
}

impl Namespace {
    /// Own keys lie under this prefix, which may be empty.
    pub fn new(prefix: String) -> Namespace {
        Namespace { prefix }
    }

    /// A key as the state service has it.
    pub fn outer(&self, key: &str) -> String {
        if key.starts_with(SHARED_PREFIX) {
            key.to_string()
        } else {
            format!("{}{key}", self.prefix)
        }
    }

    /// A key of the state service as this deployment names it.
    fn inner(&self, key: String) -> String {
        match key.strip_prefix(&self.prefix) {
            Some(own) if !key.starts_with(SHARED_PREFIX) => own.to_string(),
            _ => key,
        }
    }

    /// A transaction as the state service takes it.
    pub fn outer_txn(&self, mut txn: Txn) -> Txn {
        for condition in &mut txn.conditions {
            condition.key = self.outer(&condition.key);
        }
        for change in &mut txn.changes {
            match change {
                Change::Put { key, .. } | Change::Delete { key } => *key = self.outer(key),
            }
        }
        txn
    }

    /// The key or prefix that a request names, as the state service has it.
    pub fn outer_of(&self, request: &StoreRequest) -> Option<String> {
        match request {
            StoreRequest::List { prefix, .. } | StoreRequest::Changes { prefix, .. } => {
                Some(self.outer(prefix))
            }
            StoreRequest::Get { key } => Some(self.outer(key)),
            _ => None,
        }
    }

    /// An answer with the keys as this deployment names them.
    pub fn inner_reply(&self, mut reply: Reply) -> Reply {
        match &mut reply {
            Reply::Page(page) => {
                for item in &mut page.items {
                    item.key = self.inner(std::mem::take(&mut item.key));
                }
            }
            Reply::Item(item) => item.key = self.inner(std::mem::take(&mut item.key)),
            Reply::Failed(keys) => {
                for key in keys {
                    *key = self.inner(std::mem::take(key));
                }
            }
            Reply::Changes(answer) => {
                for event in &mut answer.events {
                    event.put = event.put.take().map(|key| self.inner(key));
                    event.delete = event.delete.take().map(|key| self.inner(key));
                }
            }
            Reply::Applied(_) | Reply::Lease(_) | Reply::Done => {}
        }
        reply
    }
}
