//! `latchtrack limit`: shows what cells share of a team, and changes its stored limit and guarantee.

use std::collections::BTreeMap;

use actix::prelude::*;
use latchtrack_quota::{Allotment, LedgerError, Limit, MilliResources, TeamLedger};
use serde::Serialize;
use serde_json::value::to_raw_value;

use crate::actors::store::{self, Class, Reply, Store, StoreError, StoreRequest};
use crate::constants::{LIMIT_TRIES, QUOTA_WAIT_MS};
use crate::settings::Settings;
use crate::wire::quota::team_key;
use crate::wire::status::{AccountView, AmountsView};
use crate::wire::store::{Change, Condition, Txn};

/// What is to be changed; None leaves it as it is, a limit of 0 is none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NewTerms {
    pub cpus_max: Option<f64>,
    pub gpus_max: Option<f64>,
    pub cpus: Option<f64>,
    pub gpus: Option<f64>,
}

/// What cells share of a team.
#[derive(Debug, Serialize)]
pub struct SharedTeam {
    pub team: String,
    pub limit: AmountsView,
    pub guarantee: AmountsView,
    pub cells: BTreeMap<String, AccountView>,
}

/// Why a limit was not shown or changed.
#[derive(Debug, thiserror::Error)]
pub enum LimitError {
    #[error("the operators' file names no quota.cell")]
    NotShared,
    #[error("the state service: {0}")]
    Store(#[from] StoreError),
    #[error("no cell has stored anything of team {0}")]
    Unknown(String),
    #[error("the value of team {0} {1}; it is left alone")]
    Unusable(String, LedgerError),
    #[error("{0} is {1}, must be a number of 0 or more")]
    Number(&'static str, f64),
    #[error("the limit is below the guarantee")]
    BelowGuarantee,
    #[error("the value was changed by others again and again; try once more")]
    Contended,
    #[error("the value can't be written: {0}")]
    Json(#[from] serde_json::Error),
}

impl NewTerms {
    fn is_empty(&self) -> bool {
        *self == NewTerms::default()
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
                return Err(LimitError::Number(name, number));
            }
        }
        Ok(())
    }

    /// Changes a value's limit and guarantee. What is allotted stays, and cells give back what is beyond; but for
    /// a resource that had no limit they enter first what they use of it.
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
        match counted.fits_in(ledger.limit.total()) {
            true => Ok(()),
            false => Err(LimitError::BelowGuarantee),
        }
    }
}

/// Shows a team, after the change if there is one.
pub async fn limit(
    settings: &Settings,
    team: &str,
    terms: NewTerms,
) -> Result<SharedTeam, LimitError> {
    if settings.tuning.quota.is_none() {
        return Err(LimitError::NotShared);
    }
    let store = Store::new(settings).start();
    for _ in 0..LIMIT_TRIES {
        let (revision, mut ledger) = read(&store, team).await?;
        terms.apply(&mut ledger)?;
        if terms.is_empty() || write(&store, team, revision, &ledger).await? {
            return Ok(shown(team, ledger));
        }
    }
    Err(LimitError::Contended)
}

async fn read(store: &Addr<Store>, team: &str) -> Result<(u64, TeamLedger), LimitError> {
    let request = StoreRequest::Get { key: team_key(team) };
    let item = match store::request(store, Class::Accept, request, QUOTA_WAIT_MS).await {
        Ok(store::Answered { reply: Reply::Item(item), .. }) => item,
        Err(StoreError::NotFound) => return Err(LimitError::Unknown(team.into())),
        Err(e) => return Err(e.into()),
        Ok(_) => return Err(StoreError::Unknown.into()),
    };
    let ledger = TeamLedger::parse(item.value.get());
    Ok((item.version, ledger.map_err(|e| LimitError::Unusable(team.into(), e))?))
}

/// Whether it was written; if not, somebody else has changed the value.
async fn write(
    store: &Addr<Store>,
    team: &str,
    revision: u64,
    ledger: &TeamLedger,
) -> Result<bool, LimitError> {
    let key = team_key(team);
    let value = to_raw_value(ledger)?;
    let txn = Txn {
        conditions: vec![Condition { key: key.clone(), version: revision }],
        changes: vec![Change::Put { key, value, lease: None }],
    };
    let request = StoreRequest::Txn(txn);
    match store::request(store, Class::Accept, request, QUOTA_WAIT_MS).await?.reply {
        Reply::Applied(_) => Ok(true),
        Reply::Failed(_) => Ok(false),
        _ => Err(StoreError::Unknown.into()),
    }
}

fn shown(team: &str, ledger: TeamLedger) -> SharedTeam {
    let view = |(cell, account): (String, Allotment)| (cell, account.into());
    SharedTeam {
        team: team.into(),
        limit: ledger.limit.total().into(),
        guarantee: ledger.guarantee.into(),
        cells: ledger.allotments.into_iter().map(view).collect(),
    }
}
