//! The client of the cloud. It keeps within the cloud's rate limit, and sends a request only while
//! the leader term that issued it is valid.

mod budget;
mod requests;

use std::collections::VecDeque;
use std::time::Duration;

use actix::prelude::*;
use latchtrack_core::machine::MachineType;
use latchtrack_core::placement::Offer;
use latchtrack_core::scheduler::{Event, ListedMachine, ProvisionOutcome, TerminateOutcome};

use self::budget::CallBudget;
use self::requests::{CloudApi, Listing};
use super::messages::cloud::{CloudRequest, ConnectCloud, MachineTypesUpdate};
use super::messages::scheduler::{LeaderTerm, Leadership, SchedulerEvent};
use super::messages::store::{Reply, RequestClass, StoreAnswer, StoreRequest};
use super::store::{self, Store};
use crate::clock::now_ms;
use crate::constants::{
    CLOUD_RETRY_MS, CLOUD_TIMEOUT, MACHINE_TYPES_INTERVAL_MS, MAILBOX_CAPACITY, TERMINATE_BATCH,
    USABLE_LIMIT_FRACTION,
};
use crate::settings::Settings;
use crate::wire::records::{parse_machine_types, MACHINE_TYPES_KEY};

/// The actor that sends all of this node's requests to the cloud.
pub struct Cloud {
    store: Addr<Store>,
    api: CloudApi,
    budget: CallBudget,
    queue: VecDeque<CloudRequest>,
    is_wakeup_set: bool,
    listeners: Option<ConnectCloud>,
    /// Whether the machine types were read from the cloud, not only from the state service.
    has_types: bool,
    /// The leader term last received from the scheduler driver.
    term: Option<LeaderTerm>,
}

impl Cloud {
    /// Creates a client that sends nothing until it receives [`ConnectCloud`].
    pub fn new(store: Addr<Store>, settings: &Settings) -> Self {
        let platform = &settings.platform;
        Cloud {
            store,
            api: CloudApi::new(platform.services.cloud),
            budget: CallBudget::new(platform.params.cloud.rps * USABLE_LIMIT_FRACTION, now_ms()),
            queue: VecDeque::new(),
            is_wakeup_set: false,
            listeners: None,
            has_types: false,
            term: None,
        }
    }

    /// Sends as many queued requests as the budget allows.
    fn send_ready(&mut self, ctx: &mut Context<Self>) {
        let now = now_ms();
        self.budget.refill(now);
        while self.budget.allows_call() {
            let Some(request) = self.queue.pop_front() else { return };
            let Some(request) = self.check_term(request, now, ctx) else { continue };
            self.budget.take_call();
            self.send(request, ctx);
        }
        if !self.queue.is_empty() && !self.is_wakeup_set {
            self.is_wakeup_set = true;
            let wait = Duration::from_millis(self.budget.wait_ms());
            ctx.run_later(wait, |act, ctx| {
                act.is_wakeup_set = false;
                act.send_ready(ctx);
            });
        }
    }

    /// Returns the request if the term that issued it is still valid. Otherwise declines it, and
    /// reports that to a scheduler waiting for the outcome. Without this check, a node that
    /// resumes after a pause could terminate machines that its successor uses.
    fn check_term(
        &self,
        request: CloudRequest,
        now: u64,
        ctx: &mut Context<Self>,
    ) -> Option<CloudRequest> {
        let token_of_request = match &request {
            CloudRequest::ReadMachineTypes => return Some(request),
            CloudRequest::Provision { token, .. }
            | CloudRequest::Terminate { token, .. }
            | CloudRequest::ListMachines { token }
            | CloudRequest::ListNextPage { token, .. } => *token,
        };
        let is_current =
            |term: LeaderTerm| term.token == token_of_request && now < term.valid_until;
        if self.term.is_some_and(is_current) {
            return Some(request);
        }
        match request {
            CloudRequest::Provision { token, request_id, .. } => {
                let outcome = ProvisionOutcome::NotExecuted;
                let event = Event::ProvisionFinished { request_id, outcome };
                self.report(token, event, CLOUD_RETRY_MS, ctx);
            }
            CloudRequest::Terminate { token, names } => {
                let event = Event::TerminateFinished { names, outcome: TerminateOutcome::Failed };
                self.report(token, event, CLOUD_RETRY_MS, ctx);
            }
            // These need no report: the scheduler requests the list again anyway.
            CloudRequest::ReadMachineTypes
            | CloudRequest::ListMachines { .. }
            | CloudRequest::ListNextPage { .. } => {}
        }
        None
    }

    /// Sends a request and reports its outcome to the scheduler.
    fn send(&mut self, request: CloudRequest, ctx: &mut Context<Self>) {
        match request {
            CloudRequest::ReadMachineTypes => self.read_machine_types(ctx),
            CloudRequest::Provision { token, request_id, offer, number } => {
                self.provision(token, request_id, offer, number, ctx);
            }
            CloudRequest::Terminate { token, names } => self.terminate(token, names, ctx),
            CloudRequest::ListMachines { token } => self.list_page(token, Vec::new(), ctx),
            CloudRequest::ListNextPage { token, listed } => self.list_page(token, listed, ctx),
        }
    }

    fn read_machine_types(&mut self, ctx: &mut Context<Self>) {
        let types = self.api.machine_types();
        ctx.spawn(types.into_actor(self).map(|types, act, ctx| {
            let wait_ms = match types {
                Some(types) => {
                    act.apply_machine_types(types);
                    MACHINE_TYPES_INTERVAL_MS
                }
                None if act.has_types => MACHINE_TYPES_INTERVAL_MS,
                None => CLOUD_RETRY_MS,
            };
            ctx.run_later(Duration::from_millis(wait_ms), |act, ctx| {
                act.queue.push_back(CloudRequest::ReadMachineTypes);
                act.send_ready(ctx);
            });
        }));
    }

    fn provision(
        &mut self,
        token: u64,
        request_id: String,
        offer: Offer,
        number: u32,
        ctx: &mut Context<Self>,
    ) {
        let outcome = self.api.provision(request_id.clone(), offer, number);
        ctx.spawn(outcome.into_actor(self).map(move |outcome, act, ctx| {
            let wait_ms = match outcome {
                ProvisionOutcome::NotExecuted | ProvisionOutcome::Unknown => CLOUD_RETRY_MS,
                _ => 0,
            };
            act.report(token, Event::ProvisionFinished { request_id, outcome }, wait_ms, ctx);
        }));
    }

    fn terminate(&mut self, token: u64, names: Vec<String>, ctx: &mut Context<Self>) {
        let terminated = self.api.terminate(names.clone());
        ctx.spawn(terminated.into_actor(self).map(move |ok, act, ctx| {
            let (outcome, wait_ms) = if ok {
                (TerminateOutcome::Terminated, 0)
            } else {
                (TerminateOutcome::Failed, CLOUD_RETRY_MS)
            };
            act.report(token, Event::TerminateFinished { names, outcome }, wait_ms, ctx);
        }));
    }

    fn list_page(&mut self, token: u64, listed: Vec<ListedMachine>, ctx: &mut Context<Self>) {
        let page = self.api.list_page(listed);
        ctx.spawn(page.into_actor(self).map(move |page, act, ctx| match page {
            // Each page counts as a call against the rate limit.
            Some(Listing::Partial(listed)) => {
                act.queue.push_front(CloudRequest::ListNextPage { token, listed });
                act.send_ready(ctx);
            }
            Some(Listing::Complete(listed)) => {
                act.report(token, Event::MachinesListed(listed), 0, ctx);
            }
            None => {}
        }));
    }

    /// Reports an outcome to the scheduler after `wait_ms`, or immediately if that is 0.
    fn report(&self, token: u64, event: Event, wait_ms: u64, ctx: &mut Context<Self>) {
        let Some(listeners) = &self.listeners else { return };
        if wait_ms == 0 {
            listeners.scheduler_events.do_send(SchedulerEvent { token, event });
            return;
        }
        let scheduler = listeners.scheduler_events.clone();
        ctx.run_later(Duration::from_millis(wait_ms), move |_, _| {
            scheduler.do_send(SchedulerEvent { token, event });
        });
    }

    fn apply_machine_types(&mut self, types: Vec<MachineType>) {
        if !self.has_types {
            tracing::info!(types = types.len(), source = "cloud", "machine types loaded");
        }
        self.has_types = true;
        self.publish_machine_types(types);
    }

    fn publish_machine_types(&self, types: Vec<MachineType>) {
        if let Some(listeners) = &self.listeners {
            listeners.admission_types.do_send(MachineTypesUpdate(types.clone()));
            listeners.scheduler_types.do_send(MachineTypesUpdate(types));
        }
    }

    /// Reads the machine types that a leader stored, for use until the cloud answers: without
    /// machine types a node can neither accept jobs nor lead.
    fn read_stored_types(&mut self, ctx: &mut Context<Self>) {
        let store = self.store.clone();
        let request = async move {
            let get = StoreRequest::Get { key: MACHINE_TYPES_KEY.into() };
            let wait_ms = CLOUD_TIMEOUT.as_millis() as u64;
            store::request(&store, RequestClass::Read, get, wait_ms).await
        };
        ctx.spawn(request.into_actor(self).map(|answer, act, _| {
            let Ok(StoreAnswer { reply: Reply::Item(item), .. }) = answer else { return };
            match parse_machine_types(item.value.get()) {
                Some(types) if !act.has_types => {
                    let source = "state service";
                    tracing::info!(types = types.len(), source, "machine types loaded");
                    act.publish_machine_types(types);
                }
                Some(_) => {}
                None => tracing::error!(
                    key = MACHINE_TYPES_KEY,
                    "stored machine types can't be parsed and are ignored"
                ),
            }
        }));
    }

    /// Queues the termination of machines. They are added to a queued request of the same term if
    /// that does not make it exceed [`TERMINATE_BATCH`].
    fn queue_terminate(&mut self, token: u64, mut names: Vec<String>) {
        let waiting = self.queue.iter_mut().find_map(|request| match request {
            CloudRequest::Terminate { token: other, names: queued }
                if *other == token && queued.len() + names.len() <= TERMINATE_BATCH =>
            {
                Some(queued)
            }
            _ => None,
        });
        if let Some(queued) = waiting {
            queued.append(&mut names);
            return;
        }
        for batch in names.chunks(TERMINATE_BATCH) {
            let names = batch.to_vec();
            self.queue.push_back(CloudRequest::Terminate { token, names });
        }
    }

    /// Queues a list request in place of those already queued: one list answers them all.
    fn queue_list(&mut self, token: u64) {
        self.queue.retain(|request| {
            !matches!(
                request,
                CloudRequest::ListMachines { .. } | CloudRequest::ListNextPage { .. }
            )
        });
        self.queue.push_back(CloudRequest::ListMachines { token });
    }
}

impl Actor for Cloud {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
    }
}

impl Handler<ConnectCloud> for Cloud {
    type Result = ();
    fn handle(&mut self, msg: ConnectCloud, ctx: &mut Self::Context) {
        self.listeners = Some(msg);
        ctx.address().do_send(CloudRequest::ReadMachineTypes);
        self.read_stored_types(ctx);
    }
}

impl Handler<Leadership> for Cloud {
    type Result = ();
    fn handle(&mut self, msg: Leadership, _: &mut Self::Context) {
        self.term = msg.0;
    }
}

impl Handler<CloudRequest> for Cloud {
    type Result = ();
    fn handle(&mut self, msg: CloudRequest, ctx: &mut Self::Context) {
        match msg {
            CloudRequest::Terminate { token, names } => self.queue_terminate(token, names),
            CloudRequest::ListMachines { token } => self.queue_list(token),
            other => self.queue.push_back(other),
        }
        self.send_ready(ctx);
    }
}
