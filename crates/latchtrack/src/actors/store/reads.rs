//! Reads of all items under a prefix, and of the changes since a revision.

use actix::Addr;

use super::client::{request, Store};
use super::error::StoreError;
use crate::actors::messages::store::{Reply, RequestClass, StoreRequest};
use crate::clock::now_ms;
use crate::constants::{LIST_PAGE_WAIT_MS, READ_TIMEOUT};
use crate::wire::store::{Item, WatchAnswer};

/// The result of a read under a prefix.
pub enum ReadResult {
    /// All items, each at `revision` or newer.
    All {
        /// The items of all pages.
        items: Vec<Item>,
        /// Revision of the first page. Later changes may be missing.
        revision: u64,
    },
    /// The changes since the known revision.
    Changes(WatchAnswer),
}

/// A read with the time when it was sent. It includes all changes before that time.
pub struct TimedRead {
    /// The items or changes read.
    pub result: ReadResult,
    /// When the read was sent, in ms of the steady clock.
    pub sent_at: u64,
}

/// Reads all items under a prefix, and returns the revision from which to read the changes.
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
        // Reading the changes since the first page covers any change during the listing.
        let revision = *first.get_or_insert(page.revision);
        let has_more = page.truncated.unwrap_or(false) && !page.items.is_empty();
        items.extend(page.items);
        if !has_more {
            return Ok((items, revision));
        }
    }
}

/// Reads the changes since a known revision, or all items if `None`. [`StoreError::TooOld`] means
/// that the service no longer has these changes, and all items must be read.
pub async fn read_since(
    store: &Addr<Store>,
    prefix: &'static str,
    known_revision: Option<u64>,
) -> Result<TimedRead, StoreError> {
    let Some(from) = known_revision else {
        let sent_at = now_ms();
        let (items, revision) = read_all(store, prefix).await?;
        return Ok(TimedRead { result: ReadResult::All { items, revision }, sent_at });
    };
    let wait_ms = READ_TIMEOUT.as_millis() as u64;
    let changes = StoreRequest::Changes { prefix, from };
    let answer = request(store, RequestClass::Read, changes, wait_ms).await?;
    let Reply::Changes(changes) = answer.reply else { return Err(StoreError::OutcomeUnknown) };
    Ok(TimedRead { result: ReadResult::Changes(changes), sent_at: answer.sent_at })
}
