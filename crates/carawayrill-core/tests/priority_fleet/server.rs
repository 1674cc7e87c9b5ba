//! A server with a number of slots and a queue in order of arrival.

use std::collections::VecDeque;

/// A simulated server.
#[derive(Debug, Clone)]
pub struct SimServer {
    slots: u32,
    running: u32,
    queue: VecDeque<usize>,
}

impl SimServer {
    /// Creates an idle server.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            running: 0,
            queue: VecDeque::new(),
        }
    }

    /// Takes a request, and returns whether it runs at once.
    pub fn accept(&mut self, request: usize) -> bool {
        if self.running < self.slots {
            self.running += 1;
            return true;
        }
        self.queue.push_back(request);
        false
    }

    /// Ends a running request, and returns the one that runs next.
    pub fn finish(&mut self) -> Option<usize> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }

    /// Returns the number of running and of waiting requests.
    pub fn figures(&self) -> (u32, u32) {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        (self.running, waiting)
    }
}
