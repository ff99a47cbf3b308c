//! What a manager has to tell: lines for the log.

use std::fmt;

use crate::ledger::LedgerError;
use crate::resources::MilliResources;

/// Something for the log, once each.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Notice {
    /// The cell's allotment has changed.
    Allotted {
        /// The team.
        team: String,
        /// From this.
        from: MilliResources,
        /// To this.
        to: MilliResources,
    },
    /// A dead cell's allotment was reclaimed.
    Reclaimed {
        /// The team.
        team: String,
        /// The dead cells.
        cells: Vec<String>,
    },
    /// The value can't be used; nothing of the team is launched beyond what runs.
    Unusable {
        /// The team.
        team: String,
        /// Why.
        why: LedgerError,
    },
    /// The value is missing; it is made anew from what the cells run.
    Missing {
        /// The team.
        team: String,
    },
    /// More is allotted than the limit.
    Overallotted {
        /// The team.
        team: String,
    },
    /// The value's limit or guarantee is not that of the settings; the value's counts.
    Differs {
        /// The team.
        team: String,
    },
}

fn cpus_and_gpus(f: &mut fmt::Formatter<'_>, amounts: &MilliResources) -> fmt::Result {
    let (cpus, gpus) = amounts.decimal();
    write!(f, "{cpus} CPUs and {gpus} GPUs")
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Allotted { team, from, to } => {
                write!(f, "quota: allotment of team {team} changes from ")?;
                cpus_and_gpus(f, from)?;
                write!(f, " to ")?;
                cpus_and_gpus(f, to)
            }
            Notice::Reclaimed { team, cells } => {
                write!(f, "quota: allotments of team {team} reclaimed from {}", cells.join(", "))
            }
            Notice::Unusable { team, why } => {
                write!(f, "quota: quota/team/{team} {why}; nothing of the team is launched")
            }
            Notice::Missing { team } => {
                write!(f, "quota: quota/team/{team} is missing; made from what the cells run")
            }
            Notice::Overallotted { team } => {
                write!(f, "quota: quota/team/{team} allots more than its limit; nothing is launched")
            }
            Notice::Differs { team } => write!(
                f,
                "quota: limit or guarantee of team {team} differ from quota/team/{team}, which counts"
            ),
        }
    }
}
