//! `latchtrack limit`: shows the ledger of a team that cells share, and changes its limit and
//! guarantee.

use std::collections::BTreeMap;

use actix::prelude::*;
use latchtrack_quota::{Allotment, LedgerError, Limit, MilliResources, TeamLedger};
use serde::Serialize;
use serde_json::value::to_raw_value;

use crate::actors::messages::store::{Reply, RequestClass, StoreAnswer, StoreRequest};
use crate::actors::store::{self, Store, StoreError};
use crate::constants::{LEDGER_WRITE_WAIT_MS, LIMIT_CHANGE_ATTEMPTS};
use crate::settings::Settings;
use crate::wire::quota::team_key;
use crate::wire::status::{AllotmentView, AmountsView};
use crate::wire::store::{Change, Condition, Txn};

/// A change of a team's limit and guarantee. `None` leaves a value unchanged; a limit of 0 removes
/// the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitChange {
    /// New limit on CPUs.
    pub cpus_max: Option<f64>,
    /// New limit on GPUs.
    pub gpus_max: Option<f64>,
    /// New number of guaranteed CPUs.
    pub cpus: Option<f64>,
    /// New number of guaranteed GPUs.
    pub gpus: Option<f64>,
}

/// The ledger of a team, as printed by the command.
#[derive(Debug, Serialize)]
pub struct TeamLedgerView {
    /// Name of the team.
    pub team: String,
    /// Amounts that all cells together may use.
    pub limit: AmountsView,
    /// Amounts that are guaranteed to the team.
    pub guarantee: AmountsView,
    /// Allotments by cell name.
    pub cells: BTreeMap<String, AllotmentView>,
}

/// Error of `latchtrack limit`.
#[derive(Debug, thiserror::Error)]
pub enum LimitError {
    /// The settings configure no cells that share teams.
    #[error("quota.cell is not set in the operators' file")]
    NotShared,
    /// A request to the state service failed.
    #[error("state service: {0}")]
    Store(#[from] StoreError),
    /// The team has no ledger. Contains the name of the team.
    #[error("there is no ledger of team {0}")]
    UnknownTeam(String),
    /// The ledger can't be parsed. Contains the name of the team and the cause.
    #[error("the ledger of team {0} {1}; it was not changed")]
    Unusable(String, LedgerError),
    /// An option has an invalid value. Contains the name of the option and the value.
    #[error("--{0} is {1}, must be finite and not negative")]
    InvalidNumber(&'static str, f64),
    /// The guarantee would exceed the limit.
    #[error("the limit would be below the guarantee")]
    BelowGuarantee,
    /// Every attempt conflicted with a change by a cell.
    #[error("the ledger was changed concurrently during each attempt; try again")]
    Contended,
    /// The ledger can't be serialized.
    #[error("the ledger can't be serialized: {0}")]
    Json(#[from] serde_json::Error),
}

impl LimitChange {
    fn is_empty(&self) -> bool {
        *self == LimitChange::default()
    }

    fn check(&self) -> Result<(), LimitError> {
        let numbers = [
            ("cpus-max", self.cpus_max),
            ("gpus-max", self.gpus_max),
            ("cpus", self.cpus),
            ("gpus", self.gpus),
        ];
        for (name, number) in numbers {
            if let Some(number) = number.filter(|number| !number.is_finite() || *number < 0.0) {
                return Err(LimitError::InvalidNumber(name, number));
            }
        }
        Ok(())
    }

    /// Applies the change to a ledger. Allotments are kept, and cells release what exceeds the
    /// limit. The first limit on a resource discards the allotments, which don't cover the use of
    /// that resource yet; cells then enter what they use.
    pub fn apply(&self, ledger: &mut TeamLedger) -> Result<(), LimitError> {
        self.check()?;
        let before = ledger.limit;
        let new = Limit::of(self.cpus_max.unwrap_or(0.0), self.gpus_max.unwrap_or(0.0));
        if self.cpus_max.is_some() {
            ledger.limit.millicpus = new.millicpus;
        }
        if self.gpus_max.is_some() {
            ledger.limit.milligpus = new.milligpus;
        }
        let is_new = |before: Option<u64>, now: Option<u64>| before.is_none() && now.is_some();
        if is_new(before.millicpus, ledger.limit.millicpus)
            || is_new(before.milligpus, ledger.limit.milligpus)
        {
            ledger.restart_rebuild();
        }
        let new = MilliResources::covering(self.cpus.unwrap_or(0.0), self.gpus.unwrap_or(0.0));
        if self.cpus.is_some() {
            ledger.guarantee.millicpus = new.millicpus;
        }
        if self.gpus.is_some() {
            ledger.guarantee.milligpus = new.milligpus;
        }
        let counted = ledger.limit.counted(ledger.guarantee);
        if counted.fits_in(ledger.limit.total()) {
            Ok(())
        } else {
            Err(LimitError::BelowGuarantee)
        }
    }
}

/// Applies a change to a team's ledger and returns the ledger; an empty change writes nothing. A
/// write that conflicts with one by a cell is retried, up to [`LIMIT_CHANGE_ATTEMPTS`] attempts.
pub async fn run(
    settings: &Settings,
    team: &str,
    change: LimitChange,
) -> Result<TeamLedgerView, LimitError> {
    if settings.tuning.quota.is_none() {
        return Err(LimitError::NotShared);
    }
    let store = Store::new(settings).start();
    for _ in 0..LIMIT_CHANGE_ATTEMPTS {
        let (revision, mut ledger) = read_ledger(&store, team).await?;
        change.apply(&mut ledger)?;
        if change.is_empty() {
            return Ok(ledger_view(team, ledger));
        }
        match write_ledger(&store, team, revision, &ledger).await? {
            LedgerWriteResult::Written => return Ok(ledger_view(team, ledger)),
            LedgerWriteResult::Conflict => {}
        }
    }
    Err(LimitError::Contended)
}

async fn read_ledger(store: &Addr<Store>, team: &str) -> Result<(u64, TeamLedger), LimitError> {
    let get = StoreRequest::Get { key: team_key(team) };
    let answer = store::request(store, RequestClass::Admission, get, LEDGER_WRITE_WAIT_MS).await;
    let item = match answer {
        Ok(StoreAnswer { reply: Reply::Item(item), .. }) => item,
        Err(StoreError::NotFound) => return Err(LimitError::UnknownTeam(team.into())),
        Err(error) => return Err(error.into()),
        Ok(_) => return Err(StoreError::OutcomeUnknown.into()),
    };
    let ledger = TeamLedger::parse(item.value.get())
        .map_err(|error| LimitError::Unusable(team.into(), error))?;
    Ok((item.revision, ledger))
}

/// Outcome of a ledger write.
enum LedgerWriteResult {
    Written,
    /// The ledger's revision has changed since it was read.
    Conflict,
}

async fn write_ledger(
    store: &Addr<Store>,
    team: &str,
    revision: u64,
    ledger: &TeamLedger,
) -> Result<LedgerWriteResult, LimitError> {
    let key = team_key(team);
    let value = to_raw_value(ledger)?;
    let request = StoreRequest::Txn(Txn {
        conditions: vec![Condition { key: key.clone(), revision }],
        changes: vec![Change::Put { key, value, lease: None }],
    });
    let answer = store::request(store, RequestClass::Admission, request, LEDGER_WRITE_WAIT_MS);
    match answer.await?.reply {
        Reply::Applied(_) => Ok(LedgerWriteResult::Written),
        Reply::Conflict(_) => Ok(LedgerWriteResult::Conflict),
        _ => Err(StoreError::OutcomeUnknown.into()),
    }
}

fn ledger_view(team: &str, ledger: TeamLedger) -> TeamLedgerView {
    let view = |(cell, allotment): (String, Allotment)| (cell, allotment.into());
    TeamLedgerView {
        team: team.into(),
        limit: ledger.limit.total().into(),
        guarantee: ledger.guarantee.into(),
        cells: ledger.allotments.into_iter().map(view).collect(),
    }
}
