//! The client of the cloud, within its call rate.

use std::collections::VecDeque;
use std::time::Duration;

use actix::prelude::*;
use latchtrack_core::machine::MachineType;
use latchtrack_core::placement::Offer;
use latchtrack_core::scheduler::{Event, ListedMachine, ProvisionOutcome, TerminateOutcome};

use super::intake::{Intake, Types};
use super::leader::{Came, Leader, LeaderTerm, Leadership};
use super::store::{self, Answered, Class, Reply, Store, StoreRequest};
use crate::clock::now_ms;
use crate::constants::*;
use crate::net::{finish, http_client, CallError};
use crate::settings::Settings;
use crate::wire::cloud::*;
use crate::wire::records::{read_types, TYPES};

/// Something to do at the cloud, in the term of a token.
#[derive(Message, Debug)]
#[rtype(result = "()")]
pub enum CloudRequest {
    Hire {
        token: u64,
        request_id: String,
        offer: Offer,
        number: u32,
    },
    Return {
        token: u64,
        names: Vec<String>,
    },
    List {
        token: u64,
    },
    /// The next page of a list.
    Page {
        token: u64,
        listed: Vec<ListedMachine>,
    },
    /// Types and prices, which every node needs.
    Types,
}

/// Whom to tell.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Customers {
    pub intake: Addr<Intake>,
    pub leader: Addr<Leader>,
}

pub struct Cloud {
    store: Addr<Store>,
    client: awc::Client,
    base: String,
    rate: f64,
    budget: f64,
    filled_at: u64,
    queue: VecDeque<CloudRequest>,
    waking: bool,
    customers: Option<Customers>,
    typed: bool,
    /// The leader's term and until when it surely stands, as the leader has it.
    term: Option<LeaderTerm>,
}

impl Cloud {
    pub fn new(store: Addr<Store>, settings: &Settings) -> Self {
        let rate = settings.platform.params.cloud.rps * LIMIT_USED;
        Cloud {
            store,
            client: http_client(8),
            base: format!("http://{}", settings.platform.services.cloud),
            rate,
            budget: rate,
            filled_at: now_ms(),
            queue: VecDeque::new(),
            waking: false,
            customers: None,
            typed: false,
            term: None,
        }
    }

    fn pump(&mut self, ctx: &mut Context<Self>) {
        let now = now_ms();
        let gone = now.saturating_sub(self.filled_at) as f64 / 1000.0;
        // Bursts of two seconds are allowed; the other nodes may want part of it.
        self.budget = (self.budget + gone * self.rate).min((1.5 * self.rate).max(1.0));
        self.filled_at = now;
        while self.budget >= 1.0 {
            let Some(request) = self.queue.pop_front() else { return };
            let Some(request) = self.still_good(request, now, ctx) else { continue };
            self.budget -= 1.0;
            self.run(request, ctx);
        }
        if !self.queue.is_empty() && !self.waking {
            self.waking = true;
            let ms = ((1.0 - self.budget) / self.rate * 1000.0) as u64 + 1;
            ctx.run_later(Duration::from_millis(ms), |act, ctx| {
                act.waking = false;
                act.pump(ctx);
            });
        }
    }

    /// A request that waited is carried out only while the term that sent it stands: a node that
    /// stood still would return machines that its successor uses. None if it was answered for.
    fn still_good(
        &self,
        request: CloudRequest,
        now: u64,
        ctx: &mut Context<Self>,
    ) -> Option<CloudRequest> {
        let of = match &request {
            CloudRequest::Types => return Some(request),
            CloudRequest::Hire { token, .. }
            | CloudRequest::Return { token, .. }
            | CloudRequest::List { token }
            | CloudRequest::Page { token, .. } => *token,
        };
        if self.term.is_some_and(|term| term.token == of && now < term.valid_until) {
            return Some(request);
        }
        match request {
            CloudRequest::Hire { token, request_id, .. } => {
                let outcome = ProvisionOutcome::NotExecuted;
                self.tell(
                    token,
                    Event::ProvisionFinished { request_id, outcome },
                    CLOUD_RETRY_MS,
                    ctx,
                );
            }
            CloudRequest::Return { token, names } => {
                self.tell(
                    token,
                    Event::TerminateFinished { names, outcome: TerminateOutcome::Failed },
                    CLOUD_RETRY_MS,
                    ctx,
                );
            }
            // The leader asks for a list again by itself.
            _ => {}
        }
        None
    }

    fn run(&mut self, request: CloudRequest, ctx: &mut Context<Self>) {
        let client = self.client.clone();
        let base = self.base.clone();
        match request {
            CloudRequest::Types => {
                let work = async move { types(&client, &base).await };
                ctx.spawn(work.into_actor(self).map(|types, act, ctx| {
                    let wait = match types {
                        Some(types) => {
                            act.have_types(types);
                            TYPES_MS
                        }
                        None if act.typed => TYPES_MS,
                        None => CLOUD_RETRY_MS,
                    };
                    ctx.run_later(Duration::from_millis(wait), |act, ctx| {
                        act.queue.push_back(CloudRequest::Types);
                        act.pump(ctx);
                    });
                }));
            }
            CloudRequest::Hire { token, request_id, offer, number } => {
                let work = async move {
                    let outcome = rent(&client, &base, &request_id, &offer, number).await;
                    (request_id, outcome)
                };
                ctx.spawn(work.into_actor(self).map(move |(request_id, outcome), act, ctx| {
                    let wait = match outcome {
                        ProvisionOutcome::NotExecuted | ProvisionOutcome::Unknown => CLOUD_RETRY_MS,
                        _ => 0,
                    };
                    act.tell(token, Event::ProvisionFinished { request_id, outcome }, wait, ctx);
                }));
            }
            CloudRequest::Return { token, names } => {
                let work = async move {
                    let ok = delete(&client, &base, &names).await;
                    (names, ok)
                };
                ctx.spawn(work.into_actor(self).map(move |(names, ok), act, ctx| {
                    let wait = if ok { 0 } else { CLOUD_RETRY_MS };
                    let outcome =
                        if ok { TerminateOutcome::Terminated } else { TerminateOutcome::Failed };
                    act.tell(token, Event::TerminateFinished { names, outcome }, wait, ctx);
                }));
            }
            CloudRequest::List { token } => {
                self.run(CloudRequest::Page { token, listed: Vec::new() }, ctx)
            }
            CloudRequest::Page { token, listed } => {
                let work = async move { page(&client, &base, listed).await };
                ctx.spawn(work.into_actor(self).map(move |answer, act, ctx| match answer {
                    // Each page is a call that has its turn.
                    Some((listed, true)) => {
                        act.queue.push_front(CloudRequest::Page { token, listed });
                        act.pump(ctx);
                    }
                    Some((listed, false)) => act.tell(token, Event::MachinesListed(listed), 0, ctx),
                    None => {}
                }));
            }
        }
    }

    fn tell(&self, token: u64, event: Event, wait_ms: u64, ctx: &mut Context<Self>) {
        let Some(c) = &self.customers else { return };
        if wait_ms == 0 {
            c.leader.do_send(Came { token, event });
            return;
        }
        let leader = c.leader.clone();
        ctx.run_later(Duration::from_millis(wait_ms), move |_, _| {
            leader.do_send(Came { token, event });
        });
    }

    fn have_types(&mut self, types: Vec<MachineType>) {
        if !self.typed {
            tracing::info!("{} machine types known", types.len());
        }
        self.typed = true;
        self.pass_types(types);
    }

    fn pass_types(&self, types: Vec<MachineType>) {
        if let Some(c) = &self.customers {
            c.intake.do_send(Types(types.clone()));
            c.leader.do_send(Types(types));
        }
    }
}

async fn types(client: &awc::Client, base: &str) -> Option<Vec<MachineType>> {
    let sent = client.get(format!("{base}/machine_types")).timeout(CLOUD_TIMEOUT).send();
    let (status, body) = finish(sent).await.ok()?;
    if status.as_u16() != 200 {
        return None;
    }
    let answer: TypesAnswer = serde_json::from_slice(&body)
        .map_err(|e| tracing::error!("the machine types are garbled: {e}"))
        .ok()?;
    Some(answer.types.into_iter().map(MachineType::from).collect())
}

async fn rent(
    client: &awc::Client,
    base: &str,
    request_id: &str,
    offer: &Offer,
    number: u32,
) -> ProvisionOutcome {
    let body = RentRequest {
        request: request_id,
        kind: &offer.kind,
        zone: &offer.zone,
        spot: offer.spot,
        number,
    };
    let sent = client.post(format!("{base}/rentals")).timeout(CLOUD_TIMEOUT).send_json(&body);
    match finish(sent).await {
        Err(CallError::NotSent) => ProvisionOutcome::NotExecuted,
        Err(CallError::Lost) => ProvisionOutcome::Unknown,
        Ok((status, body)) => match status.as_u16() {
            200 => match serde_json::from_slice::<Names>(&body) {
                Ok(n) => ProvisionOutcome::Provisioned(n.machines),
                Err(_) => ProvisionOutcome::Unknown,
            },
            503 => {
                let e: ErrorAnswer = serde_json::from_slice(&body).unwrap_or_default();
                if e.error == "no capacity" {
                    ProvisionOutcome::NoCapacity
                } else {
                    ProvisionOutcome::NotExecuted
                }
            }
            429 => ProvisionOutcome::NotExecuted,
            other => {
                tracing::error!("the cloud refused a rental with {other}");
                ProvisionOutcome::NoCapacity
            }
        },
    }
}

async fn delete(client: &awc::Client, base: &str, names: &[String]) -> bool {
    let body = Names { machines: names.to_vec() };
    let sent =
        client.post(format!("{base}/rentals/delete")).timeout(CLOUD_TIMEOUT).send_json(&body);
    matches!(finish(sent).await, Ok((status, _)) if status.as_u16() == 200)
}

/// One more page of the list; whether there are others.
async fn page(
    client: &awc::Client,
    base: &str,
    mut listed: Vec<ListedMachine>,
) -> Option<(Vec<ListedMachine>, bool)> {
    let from = listed.last().map(|l| format!("&from={}", l.name)).unwrap_or_default();
    let url = format!("{base}/rentals?most={LIST_PAGE}{from}");
    let sent = client.get(url).timeout(CLOUD_TIMEOUT).send();
    let (status, body) = finish(sent).await.ok()?;
    if status.as_u16() != 200 {
        return None;
    }
    let page: ListAnswer = serde_json::from_slice(&body).ok()?;
    let more = page.truncated.unwrap_or(false) && !page.machines.is_empty();
    listed.extend(page.machines.into_iter().map(ListedMachine::from));
    Some((listed, more))
}

impl Actor for Cloud {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX);
    }
}

impl Handler<Customers> for Cloud {
    type Result = ();
    fn handle(&mut self, msg: Customers, ctx: &mut Self::Context) {
        self.customers = Some(msg);
        ctx.address().do_send(CloudRequest::Types);
        // While the cloud can't be asked, what it last told a leader will do: without the types no
        // node takes a job and nobody can lead.
        let store = self.store.clone();
        let work = async move {
            let ask = StoreRequest::Get { key: TYPES.into() };
            store::request(&store, Class::Read, ask, CLOUD_TIMEOUT.as_millis() as u64).await
        };
        ctx.spawn(work.into_actor(self).map(|answer, act, _| {
            let Ok(Answered { reply: Reply::Item(item), .. }) = answer else { return };
            match read_types(item.value.get()) {
                Some(types) if !act.typed => {
                    tracing::info!("{} machine types known from the state service", types.len());
                    act.pass_types(types);
                }
                Some(_) => {}
                None => tracing::error!("the stored machine types are garbled and not used"),
            }
        }));
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
            CloudRequest::Return { token, mut names } => {
                // Deletes that wait for their turn go in one call.
                let waiting = self.queue.iter_mut().find_map(|e| match e {
                    CloudRequest::Return { token: t, names: n }
                        if *t == token && n.len() + names.len() <= DELETE_MOST =>
                    {
                        Some(n)
                    }
                    _ => None,
                });
                match waiting {
                    Some(n) => n.append(&mut names),
                    None => {
                        for part in names.chunks(DELETE_MOST) {
                            let names = part.to_vec();
                            self.queue.push_back(CloudRequest::Return { token, names });
                        }
                    }
                }
            }
            // One list tells all who want one.
            CloudRequest::List { token } => {
                let lists = |e: &CloudRequest| {
                    matches!(e, CloudRequest::List { .. } | CloudRequest::Page { .. })
                };
                self.queue.retain(|e| !lists(e));
                self.queue.push_back(CloudRequest::List { token });
            }
            other => self.queue.push_back(other),
        }
        self.pump(ctx);
    }
}
