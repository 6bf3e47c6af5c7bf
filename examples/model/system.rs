//! The users' systems: failure domains, network delays, shards, replicas and service times.

use std::sync::Arc;

use hyssopwalk::{
    Class, ConnectionCount, KeyRange, Ratio, Shard, ShardId, SlotCount, Snapshot, SnapshotId, Span,
    Targets, UpstreamSpec,
};

/// One class of one user and the system that serves it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct System {
    pub(crate) name: &'static str,
    /// The failure domains, each in a different region.
    pub(crate) failure_domains: [&'static str; 3],
    /// One-way delay between two failure domains.
    pub(crate) between_domains: Span,
    /// One-way delay between callers and instances.
    pub(crate) caller_delay: Span,
    pub(crate) shards: u32,
    pub(crate) replicas: u32,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) connect_cost: Span,
    /// Median of the log-normal service time of a leg.
    pub(crate) service: Span,
    /// Standard deviation of the logarithm of the service time.
    pub(crate) service_sigma: f64,
    /// Target latency of the class.
    pub(crate) latency: Span,
}

/// The fault injected in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    MoreLoad,
    Overload,
    Straggler,
    LostReplica,
    LossyLink,
    StragglerAndLost,
    MoreLoadAndLossy,
}

impl Fault {
    pub(crate) const ALL: [Self; 8] = [
        Self::None,
        Self::MoreLoad,
        Self::Overload,
        Self::Straggler,
        Self::LostReplica,
        Self::LossyLink,
        Self::StragglerAndLost,
        Self::MoreLoadAndLossy,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::MoreLoad => "1.5x load",
            Self::Overload => "3x load",
            Self::Straggler => "straggler",
            Self::LostReplica => "lost replica",
            Self::LossyLink => "lossy link",
            Self::StragglerAndLost => "straggler + lost replica",
            Self::MoreLoadAndLossy => "1.5x load + lossy link",
        }
    }

    /// The load as a multiple of normal load.
    pub(crate) fn load(self) -> f64 {
        match self {
            Self::MoreLoad | Self::MoreLoadAndLossy => 1.5,
            Self::Overload => 3.0,
            Self::None
            | Self::Straggler
            | Self::LostReplica
            | Self::LossyLink
            | Self::StragglerAndLost => 1.0,
        }
    }

    pub(crate) fn straggler(self) -> bool {
        matches!(self, Self::Straggler | Self::StragglerAndLost)
    }

    pub(crate) fn lost_replica(self) -> bool {
        matches!(self, Self::LostReplica | Self::StragglerAndLost)
    }

    pub(crate) fn lossy_link(self) -> bool {
        matches!(self, Self::LossyLink | Self::MoreLoadAndLossy)
    }
}

const GUILD: System = System {
    name: "guild pattern-finder",
    failure_domains: ["suva-a", "lautoka-a", "labasa-a"],
    between_domains: Span::from_millis(12),
    caller_delay: Span::from_millis(3),
    shards: 20,
    replicas: 2,
    slots: 2,
    connections: 25,
    connect_cost: Span::from_millis(6),
    service: Span::from_millis(6),
    service_sigma: 0.8,
    latency: Span::from_millis(170),
};

const FERREIRA: System = System {
    name: "ferreira acopio",
    failure_domains: ["mvd-centro", "can-galpon", "mal-punta"],
    between_domains: Span::from_millis(20),
    caller_delay: Span::from_millis(1),
    shards: 20,
    replicas: 2,
    slots: 2,
    connections: 25,
    connect_cost: Span::from_millis(6),
    service: Span::from_millis(6),
    service_sigma: 0.8,
    latency: Span::from_millis(170),
};

pub(crate) const SYSTEMS: [System; 6] = [
    GUILD,
    System {
        name: "guild member-roll",
        shards: 30,
        ..GUILD
    },
    System {
        name: "guild courier-board",
        shards: 1,
        replicas: 3,
        slots: 4,
        connections: 100,
        connect_cost: Span::from_millis(1),
        ..GUILD
    },
    FERREIRA,
    System {
        name: "ferreira cuadrillas",
        shards: 30,
        ..FERREIRA
    },
    System {
        name: "ferreira legajos",
        shards: 1,
        replicas: 7,
        slots: 4,
        connections: 40,
        connect_cost: Span::from_millis(1),
        ..FERREIRA
    },
];

impl System {
    pub(crate) fn class(&self) -> Arc<Class> {
        Arc::new(Class {
            name: "modelled".parse().expect("a valid name"),
            index: "modelled".parse().expect("a valid name"),
            targets: Targets {
                latency: self.latency,
                coverage: Ratio::ONE,
                extra_load: "5%".parse().expect("a valid ratio"),
                repeatable: true,
            },
        })
    }

    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        let shards = (0..self.shards).map(|id| self.shard(id)).collect();
        Arc::new(Snapshot {
            index: "modelled".parse().expect("a valid name"),
            id: SnapshotId(1),
            shards,
        })
    }

    fn shard(&self, id: u32) -> Shard {
        let lower_bound = |id: u32| {
            let key = (u64::from(id) << 32) / u64::from(self.shards);
            u32::try_from(key).unwrap_or(u32::MAX)
        };
        let last = if id + 1 == self.shards {
            u32::MAX
        } else {
            lower_bound(id + 1) - 1
        };
        let replicas = (0..self.replicas)
            .map(|replica| self.upstream(id, replica))
            .collect();
        Shard {
            id: ShardId(id),
            service: None,
            range: KeyRange {
                first: lower_bound(id),
                last,
            },
            replicas,
        }
    }

    fn upstream(&self, shard: u32, replica: u32) -> Arc<UpstreamSpec> {
        let at = shard * self.replicas + replica;
        let domain = self.failure_domains[((shard + replica) % 3) as usize];
        Arc::new(UpstreamSpec {
            name: format!("u{at}").parse().expect("a valid name"),
            addr: ([127, 0, 0, 1], 1).into(),
            failure_domain: domain.parse().expect("a valid name"),
            slots: SlotCount(self.slots),
            connections: ConnectionCount(self.connections),
            connect_cost: self.connect_cost,
            leaving: false,
        })
    }
}
