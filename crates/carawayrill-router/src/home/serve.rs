//! From a request that reached its home to the server's answer.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use carawayrill_config::deployment::Deployment;
use carawayrill_core::answer::refusal::RefusalReason;
use carawayrill_core::id::ServerId;
use carawayrill_core::token::Token;
use carawayrill_proto::wire;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::context::Context;
use crate::entry::pass;
use crate::home::control::Control;
use crate::home::control::Permit;
use crate::home::send;
use crate::home::send::Target;
use crate::message::Answer;
use crate::message::OnBehalf;
use crate::message::Request;

/// The home role of one router.
#[derive(Debug)]
pub struct Home {
    control: Control,
    client: reqwest::Client,
    slots: Mutex<HashMap<ServerId, Arc<Semaphore>>>,
}

impl Home {
    /// Makes the home role; it is the home of nothing until its control says otherwise.
    #[must_use]
    pub fn new(control: Control) -> Self {
        Self { control, client: reqwest::Client::new(), slots: Mutex::default() }
    }

    /// Returns the part that holds authority and grants.
    #[must_use]
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// Answers a request whose shard has its home here.
    pub async fn serve(&self, cx: &Context, req: Request) -> Answer {
        if let Some(on_behalf) = req.on_behalf.clone() {
            return self.send_on_behalf(cx, &req, on_behalf).await;
        }
        let permit = match self.control.permit(cx, &req.shard) {
            Ok(permit) => permit,
            Err(refusal) => return refusal.into(),
        };
        if let Some(via) = permit.via.clone() {
            return self.pass_on(cx, req, &permit, &via).await;
        }
        let (server, token) = (permit.server.clone(), permit.token);
        let confirm = || self.control.confirm(cx, &permit);
        self.send(cx, &req, server, token, confirm).await
    }

    /// Passes a request for a server activated here to the server's own home, which counts its
    /// slots.
    async fn pass_on(
        &self,
        cx: &Context,
        mut req: Request,
        permit: &Permit,
        via: &carawayrill_core::id::RouterId,
    ) -> Answer {
        if let Err(refusal) = self.control.confirm(cx, permit) {
            return refusal.into();
        }
        req.on_behalf = Some(OnBehalf { server: permit.server.clone(), token: permit.token });
        pass::forward(cx, via, &req).await
    }

    async fn send_on_behalf(&self, cx: &Context, req: &Request, on: OnBehalf) -> Answer {
        self.send(cx, req, on.server, on.token, || Ok(())).await
    }

    async fn send(
        &self,
        cx: &Context,
        req: &Request,
        server: ServerId,
        token: Token,
        confirm: impl Fn() -> Result<(), carawayrill_core::answer::refusal::Refusal>,
    ) -> Answer {
        let whole = cx.deployment.load_full();
        let Some(target) = whole.as_deref().and_then(|whole| target(whole, server, token)) else {
            return RefusalReason::NotReady.into();
        };
        let slots = slots_of(whole.as_deref(), req);
        let Some(_slot) = self.slot(cx, &target.server, slots, req).await else {
            return RefusalReason::CannotMeetDeadline.into();
        };
        if let Err(refusal) = confirm() {
            return refusal.into();
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
        tokio::time::timeout_at(deadline, semaphore.acquire_owned()).await.ok()?.ok()
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

fn target(whole: &Deployment, server: ServerId, token: Token) -> Option<Target> {
    let address = whole.server(&server)?.address;
    Some(Target { server, address, token })
}

fn slots_of(whole: Option<&Deployment>, req: &Request) -> u32 {
    whole.and_then(|whole| whole.service(&req.service)).map_or(1, |service| service.slots)
}
