//! Faults, and random schedules of faults.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::clock::MS;
use super::clock::Micros;
use super::message::NodeIndex;
use super::topology::DATA_CENTRES;
use super::topology::REGIONS;
use super::topology::STORE;
use super::topology::processes;

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    Kill {
        node: NodeIndex,
        restart_after: Option<Micros>,
    },
    Pause {
        node: NodeIndex,
        span: Micros,
    },
    Partition {
        from: NodeIndex,
        to: NodeIndex,
        both: bool,
        span: Micros,
    },
    PartitionRegion {
        region: usize,
        outgoing: bool,
        incoming: bool,
        span: Micros,
    },
    KillDataCentre {
        data_centre: usize,
        restart_after: Option<Micros>,
    },
    StoreDown {
        span: Micros,
    },
    StoreSlow {
        span: Micros,
    },
    LoseReplies {
        span: Micros,
    },
    Move {
        shard: usize,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduledFault {
    pub at: Micros,
    pub fault: Fault,
}

fn span(rng: &mut ChaCha8Rng) -> Micros {
    let classes = [(20, 200), (200, 1_500), (1_000, 3_000), (2_000, 5_000)];
    let (low, high) = classes[rng.random_range(0..classes.len())];
    rng.random_range(low..high) * MS
}

fn restart_after(rng: &mut ChaCha8Rng) -> Option<Micros> {
    rng.random_bool(0.8).then(|| span(rng))
}

fn fault(rng: &mut ChaCha8Rng) -> Fault {
    let nodes = processes();
    let node = nodes[rng.random_range(0..nodes.len())];
    match rng.random_range(0..20) {
        0..=2 => Fault::Kill {
            node,
            restart_after: restart_after(rng),
        },
        3..=7 => Fault::Pause {
            node,
            span: span(rng),
        },
        8..=11 => {
            let to = rng.random_range(0..=STORE);
            Fault::Partition {
                from: node,
                to,
                both: rng.random_bool(0.5),
                span: span(rng),
            }
        }
        12 => {
            let (outgoing, incoming) =
                [(true, true), (true, false), (false, true)][rng.random_range(0..3)];
            let region = rng.random_range(0..REGIONS);
            Fault::PartitionRegion {
                region,
                outgoing,
                incoming,
                span: span(rng),
            }
        }
        13 => Fault::KillDataCentre {
            data_centre: rng.random_range(0..DATA_CENTRES),
            restart_after: restart_after(rng),
        },
        14 | 15 => Fault::StoreDown { span: span(rng) },
        16 => Fault::StoreSlow { span: span(rng) },
        17 => Fault::LoseReplies { span: span(rng) },
        _ => Fault::Move {
            shard: rng.random_range(0..2),
        },
    }
}

/// Returns a schedule of 1 to 6 faults that start within `window` or up to 2 s later. Faults can
/// overlap, and a fault can be repeated.
pub fn schedule(rng: &mut ChaCha8Rng, window: Micros) -> Vec<ScheduledFault> {
    let count = rng.random_range(1..=6);
    let mut plan: Vec<ScheduledFault> = Vec::new();
    for _ in 0..count {
        let at = match plan.last() {
            Some(last) if rng.random_bool(0.5) => last.at + rng.random_range(0..1_500) * MS,
            _ => rng.random_range(2_000..window / MS) * MS,
        };
        let twice = plan.last().filter(|_| rng.random_bool(0.1)).cloned();
        let fault = twice.map_or_else(|| fault(rng), |last| last.fault);
        let at = at.min(window + 2_000 * MS);
        plan.push(ScheduledFault { at, fault });
    }
    plan
}
