//! Reads of everything under a prefix, and of what has changed there.

use actix::Addr;

use super::client::{request, Store};
use super::error::StoreError;
use crate::actors::messages::store::{Reply, RequestClass, StoreRequest};
use crate::clock::now_ms;
use crate::constants::{LIST_PAGE_WAIT_MS, READ_TIMEOUT};
use crate::wire::store::{Item, WatchAnswer};

/// What a read under a prefix has brought.
pub enum Snapshot {
    /// All items, at this revision at least.
    All {
        /// The items.
        items: Vec<Item>,
        /// Changes after this revision may be missing.
        revision: u64,
    },
    /// The changes since the revision that was known.
    Changes(WatchAnswer),
}

/// A read, and when it was sent in ms of the steady clock: everything older is in it.
pub struct Observation {
    /// What it has brought.
    pub snapshot: Snapshot,
    /// When it was sent.
    pub sent_at: u64,
}

/// Reads every item under a prefix, with a revision from which changes can be followed.
pub async fn read_all(
    store: &Addr<Store>,
    prefix: &'static str,
) -> Result<(Vec<Item>, u64), StoreError> {
    let mut items = Vec::new();
    let mut first = None;
    loop {
        let from = items.last().map(|item: &Item| item.key.clone());
        let list = StoreRequest::List { prefix, from };
        let answer = request(store, RequestClass::Read, list, LIST_PAGE_WAIT_MS).await?;
        let Reply::Page(page) = answer.reply else { return Err(StoreError::OutcomeUnknown) };
        // Changes after the first page are seen again by a watch from its revision.
        let revision = *first.get_or_insert(page.revision);
        let has_more = page.truncated.unwrap_or(false) && !page.items.is_empty();
        items.extend(page.items);
        if !has_more {
            return Ok((items, revision));
        }
    }
}

/// Reads the changes since a revision, or everything if none is known. [`StoreError::TooOld`] says
/// that the changes are not kept any more, and everything must be read.
pub async fn observe(
    store: &Addr<Store>,
    prefix: &'static str,
    known_revision: Option<u64>,
) -> Result<Observation, StoreError> {
    let Some(from) = known_revision else {
        let sent_at = now_ms();
        let (items, revision) = read_all(store, prefix).await?;
        return Ok(Observation { snapshot: Snapshot::All { items, revision }, sent_at });
    };
    let wait_ms = READ_TIMEOUT.as_millis() as u64;
    let changes = StoreRequest::Changes { prefix, from };
    let answer = request(store, RequestClass::Read, changes, wait_ms).await?;
    let Reply::Changes(changes) = answer.reply else { return Err(StoreError::OutcomeUnknown) };
    Ok(Observation { snapshot: Snapshot::Changes(changes), sent_at: answer.sent_at })
}
