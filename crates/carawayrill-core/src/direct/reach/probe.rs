//! The servers that a front probes when it reaches none of one service.

use rand::Rng;
use rand::seq::IteratorRandom;

use super::servers::PROBES;
use crate::direct::servers::Server;
use crate::id::ServiceId;

/// Chooses servers of services other than `suspected` at random, so that fronts that probe at the
/// same time connect to different ones, and some that have crashed as well do not decide.
pub fn choose_probes<'a>(
    servers: impl Iterator<Item = &'a Server>,
    suspected: &ServiceId,
    rng: &mut impl Rng,
) -> Vec<&'a Server> {
    servers
        .filter(|server| server.service != *suspected && !server.draining)
        .sample(rng, PROBES)
}
