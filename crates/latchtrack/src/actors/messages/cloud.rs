//! Messages to and from the client of the cloud.

use actix::prelude::*;
use latchtrack_core::machine::MachineType;
use latchtrack_core::placement::Offer;
use latchtrack_core::scheduler::ListedMachine;

use super::scheduler::SchedulerEvent;

/// Something to do at the cloud, in the term of a fencing token.
#[derive(Message, Debug)]
#[rtype(result = "()")]
pub enum CloudRequest {
    /// Provision machines.
    Provision {
        /// Fencing token of the term.
        token: u64,
        /// Makes a repeated request the same request to the cloud.
        request_id: String,
        /// Machine type, zone, and whether spot.
        offer: Offer,
        /// How many machines.
        number: u32,
    },
    /// Terminate machines.
    Terminate {
        /// Fencing token of the term.
        token: u64,
        /// Names of the machines.
        names: Vec<String>,
    },
    /// List all machines.
    ListMachines {
        /// Fencing token of the term.
        token: u64,
    },
    /// Read the next page of a list.
    ListNextPage {
        /// Fencing token of the term.
        token: u64,
        /// What the pages before have brought.
        listed: Vec<ListedMachine>,
    },
    /// Read the machine types and prices, which every node needs.
    ReadMachineTypes,
}

/// The machine types and prices, as read from the cloud or from the state service.
#[derive(Message, Clone)]
#[rtype(result = "()")]
pub struct MachineTypesUpdate(pub Vec<MachineType>);

/// Tells the cloud client who is to hear of outcomes and of machine types.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConnectCloud {
    /// Admission, which judges submissions by the machine types.
    pub admission_types: Recipient<MachineTypesUpdate>,
    /// The scheduler driver, which starts no term without the machine types.
    pub scheduler_types: Recipient<MachineTypesUpdate>,
    /// The scheduler driver, for outcomes of requests.
    pub scheduler_events: Recipient<SchedulerEvent>,
}
