//! Requests in flight: which answer belongs to which request, and what is said without one.

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
    /// How far a request has come.
    pub enum Stage {
        /// Nothing of it has been written to a server.
        Held,
        /// Bytes of it may have reached this server, under this token.
        Sent(ServerId, Token),
    }

    /// Why an answer goes to nobody.
    #[derive(Copy)]
    pub enum Unmatched {
        /// No such request is in flight: the answer is late or came twice.
        NotInFlight,
        /// The request was sent to another server or under another token.
        OtherToken,
        /// The request has not been sent.
        NotSent,
    }

    /// Answers that went to nobody.
    #[derive(Copy, Default)]
    pub struct UnmatchedCounts {
        /// Late or doubled answers.
        pub not_in_flight: u64,
        /// Answers of another server or under another token.
        pub other_token: u64,
        /// Answers to requests that were not sent.
        pub not_sent: u64,
    }

    /// What a planned stop waits for.
    #[derive(Copy)]
    pub struct ShutdownWait {
        /// Requests in flight.
        pub requests: usize,
        /// The last of their deadlines, from now. Nothing is in flight after it.
        pub longest: Duration,
    }
}

#[derive(Debug, Clone)]
struct Row {
    deadline: Time,
    stage: Stage,
}

/// The requests that wait for their one final answer.
///
/// A row is there from the receipt of a request until its final answer. Who takes out the row
/// gives the answer, so that a request gets one and no second.
#[derive(Debug, Clone)]
pub struct InFlightTable {
    max: usize,
    rows: BTreeMap<RequestId, Row>,
    by_deadline: BTreeSet<(Time, RequestId)>,
    unmatched: UnmatchedCounts,
}

impl InFlightTable {
    /// Makes a table for at most `max` requests.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self {
            max,
            rows: BTreeMap::new(),
            by_deadline: BTreeSet::new(),
            unmatched: UnmatchedCounts::default(),
        }
    }

    /// Takes in a request.
    ///
    /// # Errors
    ///
    /// Fails with the final answer if the deadline has passed, the table is full, or a request
    /// with this identifier is in flight.
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

    /// Records that bytes of the request may reach the server from now on. To be called directly
    /// before the first byte is written.
    ///
    /// Returns false if the request is not in flight any more: it must not be written then.
    #[must_use]
    pub fn mark_sending(&mut self, request: &RequestId, server: &ServerId, token: Token) -> bool {
        let Some(row) = self.rows.get_mut(request) else {
            return false;
        };
        row.stage = Stage::Sent(server.clone(), token);
        true
    }

    /// Records that nothing of the request was written after all, or that the server refused it
    /// unrun, so that it may be sent elsewhere.
    pub fn mark_unsent(&mut self, request: &RequestId) {
        if let Some(row) = self.rows.get_mut(request) {
            row.stage = Stage::Held;
        }
    }

    /// Matches an answer to its request and takes the request out.
    ///
    /// # Errors
    ///
    /// Fails if the answer goes to nobody; that is counted.
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

    /// Ends a request without an answer and takes it out. What is said depends on whether it may
    /// have run: `held` if nothing was written, else `sent`.
    ///
    /// Returns nothing if the request is not in flight any more.
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

    /// Takes a request out for which the final answer is known.
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

    /// Returns how far a request has come.
    #[must_use]
    pub fn stage(&self, request: &RequestId) -> Option<&Stage> {
        self.rows.get(request).map(|row| &row.stage)
    }

    /// Returns the time that a request has left.
    #[must_use]
    pub fn time_left(&self, now: Time, request: &RequestId) -> Option<Duration> {
        self.rows.get(request).map(|row| row.deadline.since(now))
    }

    /// Returns what a planned stop has to wait for.
    #[must_use]
    pub fn shutdown_wait(&self, now: Time) -> ShutdownWait {
        let last = self.by_deadline.last();
        ShutdownWait {
            requests: self.rows.len(),
            longest: last.map_or(Duration::ZERO, |(deadline, _)| deadline.since(now)),
        }
    }

    /// Returns the answers that went to nobody.
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
