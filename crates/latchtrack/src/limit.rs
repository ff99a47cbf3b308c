//! `latchtrack limit`: shows the ledger that cells share of a team, and changes its limit and
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

/// A new limit and guarantee. What is None stays as it is; a limit of 0 is none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitChange {
    /// CPUs of the limit.
    pub cpus_max: Option<f64>,
    /// GPUs of the limit.
    pub gpus_max: Option<f64>,
    /// CPUs of the guarantee.
    pub cpus: Option<f64>,
    /// GPUs of the guarantee.
    pub gpus: Option<f64>,
}

/// The ledger of a team, as it is shown.
#[derive(Debug, Serialize)]
pub struct TeamLedgerView {
    /// Name of the team.
    pub team: String,
    /// What all cells together may use.
    pub limit: AmountsView,
    /// What the team gets in any case.
    pub guarantee: AmountsView,
    /// The allotment of each cell.
    pub cells: BTreeMap<String, AllotmentView>,
}

/// Why a limit was not shown or changed.
#[derive(Debug, thiserror::Error)]
pub enum LimitError {
    /// No cells share teams.
    #[error("the operators' file names no quota.cell")]
    NotShared,
    /// The state service can't be asked.
    #[error("the state service: {0}")]
    Store(#[from] StoreError),
    /// There is no ledger of this team.
    #[error("no cell has stored anything of team {0}")]
    UnknownTeam(String),
    /// The ledger of this team can't be used.
    #[error("the value of team {0} {1}; it is left alone")]
    Unusable(String, LedgerError),
    /// The option of this name has a number that makes no sense.
    #[error("{0} is {1}, must be a number of 0 or more")]
    InvalidNumber(&'static str, f64),
    /// The guarantee would not fit into the limit.
    #[error("the limit is below the guarantee")]
    BelowGuarantee,
    /// Cells have changed the ledger at each attempt.
    #[error("the value was changed by others again and again; try once more")]
    Contended,
    /// The ledger can't be serialized.
    #[error("the value can't be written: {0}")]
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

    /// Changes a ledger's limit and guarantee. Allotments stay, and cells give back what is beyond
    /// the limit; but for a resource that had no limit they first enter what they use of it.
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

/// Shows a team's ledger, after the change if there is one. A change is tried again while cells
/// write the ledger, [`LIMIT_CHANGE_ATTEMPTS`] times at most.
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

/// What became of a write.
enum LedgerWriteResult {
    Written,
    /// The ledger has another revision by now.
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
    let view = |(cell, account): (String, Allotment)| (cell, account.into());
    TeamLedgerView {
        team: team.into(),
        limit: ledger.limit.total().into(),
        guarantee: ledger.guarantee.into(),
        cells: ledger.allotments.into_iter().map(view).collect(),
    }
}
