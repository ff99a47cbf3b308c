//! Messages to and from the cloud client.

use actix::prelude::*;
use latchtrack_core::machine::MachineType;
use latchtrack_core::placement::Offer;
use latchtrack_core::scheduler::ListedMachine;

use super::scheduler::SchedulerEvent;

/// A request to the cloud. All but [`CloudRequest::ReadMachineTypes`] are declined once the term of
/// their fencing token has ended.
#[derive(Message, Debug)]
#[rtype(result = "()")]
pub enum CloudRequest {
    /// Provisions machines.
    Provision {
        /// Fencing token of the term.
        token: u64,
        /// Idempotency key: the cloud treats repeated requests with this id as one.
        request_id: String,
        /// Machine type, zone, and whether to use spot machines.
        offer: Offer,
        /// Number of machines.
        number: u32,
    },
    /// Terminates machines.
    Terminate {
        /// Fencing token of the term.
        token: u64,
        /// Names of the machines to terminate.
        names: Vec<String>,
    },
    /// Lists all machines.
    ListMachines {
        /// Fencing token of the term.
        token: u64,
    },
    /// Reads the next page of a list.
    ListNextPage {
        /// Fencing token of the term.
        token: u64,
        /// The machines of the previous pages.
        listed: Vec<ListedMachine>,
    },
    /// Reads the machine types and prices, also on nodes that do not lead.
    ReadMachineTypes,
}

/// The machine types and prices, as read from the cloud or from the state service.
#[derive(Message, Clone)]
#[rtype(result = "()")]
pub struct MachineTypesUpdate(pub Vec<MachineType>);

/// Sets the recipients of request outcomes and machine types.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConnectCloud {
    /// The admission actor, which checks submissions against the machine types.
    pub admission_types: Recipient<MachineTypesUpdate>,
    /// The scheduler driver, which can't start a term without the machine types.
    pub scheduler_types: Recipient<MachineTypesUpdate>,
    /// The scheduler driver, for outcomes of requests.
    pub scheduler_events: Recipient<SchedulerEvent>,
}
