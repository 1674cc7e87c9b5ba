//! Requests in flight: matches answers to requests and decides the outcome of requests without an
//! answer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::answer::refusal::Refusal;
use crate::answer::refusal::RefusalReason;
use crate::data;
use crate::id::RequestId;
use crate::id::ServerId;
use crate::time::Time;
use crate::token::Token;

data! {
    /// How far a request has been sent.
    pub enum Stage {
        /// No byte of it has been written to a server.
        Held,
        /// Bytes of it may have reached this server, under this token.
        Sent(ServerId, Token),
    }

    /// The reason why an answer matches no request.
    #[derive(Copy)]
    pub enum Unmatched {
        /// No such request is in flight: the answer is late or a duplicate.
        NotInFlight,
        /// The request was sent to another server or under another token.
        OtherToken,
        /// The request has not been sent.
        NotSent,
    }

    /// Counts of answers that matched no request.
    #[derive(Copy, Default)]
    pub struct UnmatchedCounts {
        /// Late or duplicate answers.
        pub not_in_flight: u64,
        /// Answers from another server or under another token.
        pub other_token: u64,
        /// Answers to requests that were not sent.
        pub not_sent: u64,
    }

    /// The requests that a planned shutdown has to wait for.
    #[derive(Copy)]
    pub struct ShutdownWait {
        /// Number of requests in flight.
        pub requests: usize,
        /// Time until the latest of their deadlines. No request is in flight after it.
        pub longest: Duration,
    }
}

#[derive(Debug, Clone)]
struct Row {
    deadline: Time,
    stage: Stage,
}

/// The requests that wait for their final answer.
///
/// A request has a row from its receipt until its final answer. Only the code that removes the row
/// gives the answer, so that each request gets exactly one.
#[derive(Debug, Clone)]
pub struct InFlightTable {
    max: usize,
    rows: BTreeMap<RequestId, Row>,
    by_deadline: BTreeSet<(Time, RequestId)>,
    unmatched: UnmatchedCounts,
}

impl InFlightTable {
    /// Creates a table for at most `max` requests.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self {
            max,
            rows: BTreeMap::new(),
            by_deadline: BTreeSet::new(),
            unmatched: UnmatchedCounts::default(),
        }
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Fails with the final answer if the deadline has passed, the table is full, or a request with
    /// this identifier is in flight.
    pub fn open(&mut self, now: Time, request: &RequestId, deadline: Time) -> Result<(), Refusal> {
        if deadline <= now {
            return Err(RefusalReason::DeadlinePassed.into());
        }
        if self.rows.contains_key(request) {
            let detail = "a request with this identifier is in flight";
            return Err(Refusal::new(RefusalReason::BadRequest, detail));
        }
        if self.rows.len() >= self.max {
            return Err(RefusalReason::TableFull.into());
        }
        let stage = Stage::Held;
        self.rows.insert(request.clone(), Row { deadline, stage });
        self.by_deadline.insert((deadline, request.clone()));
        Ok(())
    }

    /// Records that bytes of the request may reach the server from now on. Must be called directly
    /// before the first byte is written.
    ///
    /// Returns false if the request is no longer in flight; it must not be written then.
    #[must_use]
    pub fn mark_sending(&mut self, request: &RequestId, server: &ServerId, token: Token) -> bool {
        let Some(row) = self.rows.get_mut(request) else {
            return false;
        };
        row.stage = Stage::Sent(server.clone(), token);
        true
    }

    /// Records that nothing of the request was written after all, or that the server refused to run
    /// it, so that it may be sent elsewhere.
    pub fn mark_unsent(&mut self, request: &RequestId) {
        if let Some(row) = self.rows.get_mut(request) {
            row.stage = Stage::Held;
        }
    }

    /// Matches an answer to its request and removes the request.
    ///
    /// # Errors
    ///
    /// Fails if the answer matches no request. Such answers are counted.
    pub fn match_answer(
        &mut self,
        request: &RequestId,
        server: &ServerId,
        token: Token,
    ) -> Result<(), Unmatched> {
        let found = self.check_match(request, server, token);
        match found {
            Ok(()) => drop(self.remove(request)),
            Err(Unmatched::NotInFlight) => self.unmatched.not_in_flight += 1,
            Err(Unmatched::OtherToken) => self.unmatched.other_token += 1,
            Err(Unmatched::NotSent) => self.unmatched.not_sent += 1,
        }
        found
    }

    fn check_match(
        &self,
        request: &RequestId,
        server: &ServerId,
        token: Token,
    ) -> Result<(), Unmatched> {
        match self.rows.get(request).map(|row| &row.stage) {
            None => Err(Unmatched::NotInFlight),
            Some(Stage::Held) => Err(Unmatched::NotSent),
            Some(Stage::Sent(at, under)) if at == server && *under == token => Ok(()),
            Some(Stage::Sent(..)) => Err(Unmatched::OtherToken),
        }
    }

    /// Ends a request without an answer and removes it. The refusal reason is `held` if nothing was
    /// written to a server, and `sent` if the request may have run.
    ///
    /// Returns `None` if the request is no longer in flight.
    pub fn give_up(
        &mut self,
        request: &RequestId,
        held: RefusalReason,
        sent: RefusalReason,
    ) -> Option<(Stage, Refusal)> {
        let row = self.remove(request)?;
        let reason = match row.stage {
            Stage::Held => held,
            Stage::Sent(..) => sent,
        };
        Some((row.stage, reason.into()))
    }

    /// Removes a request whose final answer is known.
    pub fn close(&mut self, request: &RequestId) -> Option<Stage> {
        self.remove(request).map(|row| row.stage)
    }

    /// Returns the requests whose deadline has passed.
    #[must_use]
    pub fn overdue(&self, now: Time) -> Vec<RequestId> {
        let due = |(deadline, _): &&(Time, RequestId)| *deadline <= now;
        self.by_deadline
            .iter()
            .take_while(due)
            .map(|(_, request)| request.clone())
            .collect()
    }

    /// Returns how far a request has been sent.
    #[must_use]
    pub fn stage(&self, request: &RequestId) -> Option<&Stage> {
        self.rows.get(request).map(|row| &row.stage)
    }

    /// Returns the time until the deadline of a request.
    #[must_use]
    pub fn time_left(&self, now: Time, request: &RequestId) -> Option<Duration> {
        self.rows.get(request).map(|row| row.deadline.since(now))
    }

    /// Returns the requests that a planned shutdown has to wait for.
    #[must_use]
    pub fn shutdown_wait(&self, now: Time) -> ShutdownWait {
        let last = self.by_deadline.last();
        ShutdownWait {
            requests: self.rows.len(),
            longest: last.map_or(Duration::ZERO, |(deadline, _)| deadline.since(now)),
        }
    }

    /// Returns the counts of answers that matched no request.
    #[must_use]
    pub fn unmatched(&self) -> UnmatchedCounts {
        self.unmatched
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no request is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn remove(&mut self, request: &RequestId) -> Option<Row> {
        let row = self.rows.remove(request)?;
        self.by_deadline.remove(&(row.deadline, request.clone()));
        Some(row)
    }
}
