//! Ends requests: answers, refusals, lost answers, cancellations and deadlines.

use std::sync::Arc;
use std::time::Duration;

use crate::answer::claims::ClaimKey;
use crate::answer::inflight::Stage;
use crate::answer::mirror::MirrorRequirement;
use crate::answer::queue::Completion;
use crate::answer::refusal::Refusal;
use crate::answer::refusal::RefusalReason;
use crate::answer::refusal::ServerRefusal;
use crate::answer::reply::Answer;
use crate::answer::reply::Reply;
use crate::answer::serving::Action;
use crate::answer::serving::ServingState;
use crate::answer::serving::types::AbandonedRequest;
use crate::answer::serving::types::Phase;
use crate::answer::serving::types::Row;
use crate::id::RequestId;
use crate::id::ServerId;
use crate::time::Time;
use crate::token::Token;

/// How long after its deadline an abandoned request is kept for a late answer of its server.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The reason why a request that had a slot got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte of the request was written to the server.
    NotWritten(RefusalReason),
    /// Bytes of the request may have reached the server.
    Lost(RefusalReason),
}

impl ServingState {
    /// Records that bytes of the request may reach the server from now on. Must be called after the
    /// authority was checked, directly before the first byte is written.
    ///
    /// Returns false if the request has received its final answer in the meantime; it must not be
    /// written then.
    #[must_use]
    pub fn mark_sending(&mut self, request: &RequestId, server: &ServerId, token: Token) -> bool {
        let has_slot = |row: &Row| row.phase == Phase::HasSlot && row.server == *server;
        self.rows.get(request).is_some_and(has_slot)
            && self.inflight.mark_sending(request, server, token)
    }

    /// Records the complete answer of a server.
    pub fn answered(
        &mut self,
        now: Time,
        request: &RequestId,
        (server, token): (&ServerId, Token),
        answer: Answer,
        took: Duration,
    ) -> Vec<Action> {
        let answer = Arc::new(answer);
        let mut actions = Vec::new();
        if self.inflight.match_answer(request, server, token).is_ok() {
            let claim = self.rows.remove(request).and_then(|row| row.claim);
            actions.extend(self.record_answer(now, claim, &answer));
            // The claim update precedes the reply, so that the standby home receives it before any
            // later request of the caller.
            actions.push(Action::Reply(request.clone(), Reply::Answer(answer)));
        } else {
            let Some(abandoned) = self.take_abandoned(request, server, token) else {
                return actions;
            };
            actions.extend(self.record_answer(now, abandoned.claim, &answer));
        }
        actions.extend(self.complete(now, request, server, Completion::Answered(took)));
        actions
    }

    /// Records that a server refused a request without running it.
    pub fn refused(
        &mut self,
        now: Time,
        request: &RequestId,
        (server, token): (&ServerId, Token),
        refusal: ServerRefusal,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.inflight.match_answer(request, server, token).is_ok() {
            let claim = self.rows.remove(request).and_then(|row| row.claim);
            actions.extend(self.drop_claim(claim));
            let reply = Reply::Refused(RefusalReason::from(refusal).into());
            actions.push(Action::Reply(request.clone(), reply));
        } else {
            let Some(abandoned) = self.take_abandoned(request, server, token) else {
                return actions;
            };
            actions.extend(self.drop_claim(abandoned.claim));
        }
        let completion = match refusal {
            ServerRefusal::Shed => Completion::Shed,
            _ => Completion::Other,
        };
        actions.extend(self.complete(now, request, server, completion));
        actions
    }

    /// Records that a request with a slot got no answer.
    ///
    /// If bytes may have reached the server, the request keeps its slot until the server has
    /// acknowledged the cancellation, because a broken connection does not show whether the request
    /// still runs.
    pub fn failed(&mut self, now: Time, request: &RequestId, failure: SendFailure) -> Vec<Action> {
        match failure {
            SendFailure::NotWritten(reason) if self.rows.contains_key(request) => {
                self.inflight.mark_unsent(request);
                self.give_up(now, request, reason, reason)
            }
            SendFailure::NotWritten(_) => {
                let Some(abandoned) = self.abandoned.remove(request) else {
                    return Vec::new();
                };
                let mut actions = self.drop_claim(abandoned.claim);
                actions.extend(self.complete(now, request, &abandoned.server, Completion::Other));
                actions
            }
            SendFailure::Lost(reason) => {
                self.give_up(now, request, RefusalReason::ServerUnreachable, reason)
            }
        }
    }

    /// Records that the caller disconnected.
    pub fn caller_disconnected(&mut self, now: Time, request: &RequestId) -> Vec<Action> {
        let held = RefusalReason::CallerGone;
        self.give_up(now, request, held, RefusalReason::CallerGoneAfterSend)
    }

    /// Records that a server acknowledged the cancellation of a request, and frees its slot.
    pub fn cancelled(&mut self, now: Time, request: &RequestId) -> Vec<Action> {
        let Some(abandoned) = self.abandoned.get(request) else {
            return Vec::new();
        };
        let server = abandoned.server.clone();
        let mut actions = self.mark_claim_lost(now, abandoned.claim.clone());
        actions.extend(self.complete(now, request, &server, Completion::Other));
        actions
    }

    /// Records that a server is considered lost, and ends the requests that were sent to it.
    pub fn server_lost(&mut self, now: Time, server: &ServerId) -> Vec<Action> {
        let sent = |row: &Row| row.phase == Phase::HasSlot && row.server == *server;
        let mut actions = Vec::new();
        for request in self.find_requests(sent) {
            let held = RefusalReason::ServerLost;
            actions.extend(self.give_up(now, &request, held, RefusalReason::AnswerLost));
        }
        actions
    }

    /// Ends all requests whose deadline has passed.
    pub(super) fn expire_requests(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        for request in self.inflight.overdue(now) {
            let held = RefusalReason::DeadlinePassed;
            actions.extend(self.give_up(now, &request, held, RefusalReason::AnswerLate));
        }
        actions
    }

    /// Drops abandoned requests whose time for a late answer has passed.
    pub(super) fn expire_abandoned(&mut self, now: Time) -> Vec<Action> {
        let done = self
            .abandoned
            .extract_if(.., |_, abandoned| abandoned.until <= now);
        let done: Vec<_> = done.collect();
        let mut actions = Vec::new();
        for (request, abandoned) in done {
            actions.extend(self.mark_claim_lost(now, abandoned.claim));
            actions.extend(self.complete(now, &request, &abandoned.server, Completion::Other));
        }
        actions
    }

    /// Ends a request that was not sent.
    pub(super) fn refuse(&mut self, request: &RequestId, refusal: Refusal) -> Vec<Action> {
        if self.inflight.close(request).is_none() {
            return Vec::new();
        }
        self.remove_from_queue(request);
        let claim = self.rows.remove(request).and_then(|row| row.claim);
        let mut actions = self.drop_claim(claim);
        actions.push(Action::Reply(request.clone(), Reply::Refused(refusal)));
        actions
    }

    /// Ends a request without an answer, with the reason `held` if it was not sent and `sent` if it
    /// was.
    fn give_up(
        &mut self,
        now: Time,
        request: &RequestId,
        held: RefusalReason,
        sent: RefusalReason,
    ) -> Vec<Action> {
        let Some((stage, refusal)) = self.inflight.give_up(request, held, sent) else {
            return Vec::new();
        };
        self.remove_from_queue(request);
        let Some(row) = self.rows.remove(request) else {
            return Vec::new();
        };
        let reply = Action::Reply(request.clone(), Reply::Refused(refusal));
        let mut actions = vec![reply];
        match stage {
            Stage::Held => {
                actions.extend(self.drop_claim(row.claim.clone()));
                actions.extend(self.free_slot(now, request, &row));
            }
            Stage::Sent(server, token) => {
                actions.push(Action::Cancel(request.clone(), server.clone()));
                self.abandon(now, request, (server, token), row);
            }
        }
        actions
    }

    fn free_slot(&mut self, now: Time, request: &RequestId, row: &Row) -> Vec<Action> {
        match row.phase {
            Phase::HasSlot => self.complete(now, request, &row.server, Completion::Other),
            Phase::Mirroring | Phase::Queued => Vec::new(),
        }
    }

    fn abandon(
        &mut self,
        now: Time,
        request: &RequestId,
        (server, token): (ServerId, Token),
        row: Row,
    ) {
        if let Some(queue) = self.queues.get_mut(&server) {
            queue.abandon(now, request, row.deadline);
        }
        let abandoned = AbandonedRequest {
            server,
            token,
            claim: row.claim,
            until: row.deadline.max(now) + LATE_ANSWER_TIMEOUT,
        };
        self.abandoned.insert(request.clone(), abandoned);
    }

    fn take_abandoned(
        &mut self,
        request: &RequestId,
        server: &ServerId,
        token: Token,
    ) -> Option<AbandonedRequest> {
        let abandoned = self.abandoned.get(request)?;
        if abandoned.server != *server || abandoned.token != token {
            return None;
        }
        self.abandoned.remove(request)
    }

    fn complete(
        &mut self,
        now: Time,
        request: &RequestId,
        server: &ServerId,
        completion: Completion,
    ) -> Vec<Action> {
        let Some(queue) = self.queues.get_mut(server) else {
            return Vec::new();
        };
        let queue_actions = queue.complete(now, request, completion);
        self.apply_queue_actions(server, queue_actions)
    }

    fn record_answer(
        &mut self,
        now: Time,
        claim: Option<ClaimKey>,
        answer: &Arc<Answer>,
    ) -> Option<Action> {
        let key = claim?;
        self.claims.record_answer(now, &key, answer);
        self.mirror_update(key)
    }

    fn mark_claim_lost(&mut self, now: Time, claim: Option<ClaimKey>) -> Vec<Action> {
        let Some(key) = claim else {
            return Vec::new();
        };
        self.claims.record_loss(now, &key);
        self.mirror_update(key).into_iter().collect()
    }

    fn drop_claim(&mut self, claim: Option<ClaimKey>) -> Vec<Action> {
        let Some(key) = claim else {
            return Vec::new();
        };
        self.claims.remove_not_run(&key);
        self.mirror_update(key).into_iter().collect()
    }

    fn mirror_update(&self, key: ClaimKey) -> Option<Action> {
        match self.mirror.requirement(&key.shard) {
            MirrorRequirement::Acknowledgement(standby) => Some(Action::Update(standby, key)),
            MirrorRequirement::Nothing => None,
        }
    }
}
