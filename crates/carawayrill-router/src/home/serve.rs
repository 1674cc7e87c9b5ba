//! From a request that reached its home to the server's answer.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use carawayrill_config::deployment::Deployment;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServerId;
use carawayrill_core::ownership::home::Denial;
use carawayrill_core::ownership::home::Permit;
use carawayrill_core::time::Time;
use carawayrill_core::token::Token;
use carawayrill_proto::wire;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::context::Context;
use crate::entry::pass;
use crate::home::control::Control;
use crate::home::send;
use crate::home::send::Target;
use crate::message::Answer;
use crate::message::OnBehalf;
use crate::message::Request;

/// How long a request waits here for a move or a failover of its shard.
const MOVE_WAIT: Duration = Duration::from_secs(1);

/// The home role of one router.
#[derive(Debug)]
pub struct Home {
    control: Arc<Control>,
    client: reqwest::Client,
    slots: Mutex<HashMap<ServerId, Arc<Semaphore>>>,
}

impl Home {
    /// Makes the home role; it is the home of nothing until its control says otherwise.
    #[must_use]
    pub fn new(control: Arc<Control>) -> Self {
        Self {
            control,
            client: reqwest::Client::new(),
            slots: Mutex::default(),
        }
    }

    /// Returns the part that holds authority and grants.
    #[must_use]
    pub fn control(&self) -> &Arc<Control> {
        &self.control
    }

    /// Answers a request whose shard has its home here.
    pub async fn serve(&self, cx: &Context, req: Request) -> Answer {
        if let Some(on_behalf) = req.on_behalf.clone() {
            return self.send_on_behalf(cx, &req, on_behalf).await;
        }
        let limit = req.deadline.min(cx.now() + MOVE_WAIT);
        let permit = match self.control.permit_within(cx, &req.shard, limit).await {
            Ok(permit) => permit,
            Err(denial) => return refuse(&denial),
        };
        let _flight = self.control.flights.begin(&req.shard);
        if let Some(via) = permit.via.clone() {
            return self.pass_on(cx, req, &permit, &via).await;
        }
        let (server, token) = (permit.server.clone(), permit.token);
        let confirm = |now| self.control.confirm(now, &permit);
        self.send(cx, &req, server, token, confirm).await
    }

    /// Passes a request for a server activated here to the server's own home, which counts its
    /// slots.
    async fn pass_on(
        &self,
        cx: &Context,
        mut req: Request,
        permit: &Permit,
        via: &RouterId,
    ) -> Answer {
        if let Err(denial) = self.control.confirm(cx.now(), permit) {
            return refuse(&denial);
        }
        req.on_behalf = Some(OnBehalf {
            server: permit.server.clone(),
            token: permit.token,
        });
        pass::forward(cx, via, &req).await
    }

    async fn send_on_behalf(&self, cx: &Context, req: &Request, on: OnBehalf) -> Answer {
        self.send(cx, req, on.server, on.token, |_now| Ok(())).await
    }

    async fn send(
        &self,
        cx: &Context,
        req: &Request,
        server: ServerId,
        token: Token,
        confirm: impl Fn(Time) -> Result<(), Denial>,
    ) -> Answer {
        let whole = cx.deployment.load_full();
        let Some(target) = whole
            .as_deref()
            .and_then(|whole| target(whole, server, token))
        else {
            return RefusalReason::NotReady.into();
        };
        let slots = slots_of(whole.as_deref(), req);
        let Some(_slot) = self.slot(cx, &target.server, slots, req).await else {
            return RefusalReason::CannotMeetDeadline.into();
        };
        if let Err(denial) = confirm(cx.now()) {
            return refuse(&denial);
        }
        let left = req.deadline.since(cx.now());
        send::send(&self.client, &target, req, left).await
    }

    /// Waits for one of the server's slots until the request's deadline.
    async fn slot(
        &self,
        cx: &Context,
        server: &ServerId,
        slots: u32,
        req: &Request,
    ) -> Option<OwnedSemaphorePermit> {
        let semaphore = {
            let mut table = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
            let fresh = || Arc::new(Semaphore::new(slots as usize));
            Arc::clone(table.entry(server.clone()).or_insert_with(fresh))
        };
        let deadline = cx.clock.instant(req.deadline);
        tokio::time::timeout_at(deadline, semaphore.acquire_owned())
            .await
            .ok()?
            .ok()
    }

    /// Stops a request that was forwarded here.
    pub fn cancel(&self, request: &str) {
        log::debug!("cancel of {request}: its call ends by itself");
    }

    /// Keeps a copy of another home's claims. Returns false if there is no room for them.
    pub fn keep_mirror(&self, _cx: &Context, _claims: wire::MirrorRequest) -> bool {
        false
    }

    /// Tells the controller what is seen of the servers whose home this is.
    #[must_use]
    pub fn servers_seen(&self) -> Vec<wire::ServerSeen> {
        self.control.servers_seen()
    }

    /// Takes out the loads since the last heartbeat.
    #[must_use]
    pub fn take_loads(&self) -> Vec<wire::ShardLoad> {
        Vec::new()
    }
}

/// Tells the entry router why its request was not sent.
fn refuse(denial: &Denial) -> Answer {
    let reason = match denial {
        Denial::NotHome { .. } => RefusalReason::NotHome,
        Denial::NoAuthority => RefusalReason::NoAuthority,
        Denial::NoGrant => RefusalReason::NoGrant,
        Denial::Moving | Denial::Changed => RefusalReason::Moving,
    };
    let mut answer = Answer::from(reason);
    if let Denial::NotHome { home } = denial {
        answer.home_hint.clone_from(home);
    }
    answer
}

fn target(whole: &Deployment, server: ServerId, token: Token) -> Option<Target> {
    let address = whole.server(&server)?.address;
    Some(Target {
        server,
        address,
        token,
    })
}

fn slots_of(whole: Option<&Deployment>, req: &Request) -> u32 {
    whole
        .and_then(|whole| whole.service(&req.service))
        .map_or(1, |service| service.slots)
}
