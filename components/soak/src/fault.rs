//! Faults that the soak brings about.

use std::fmt;

use standin::Blocked;

/// Fault of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFault {
    /// Bytes take longer.
    Delay {
        /// Delay in each direction, in milliseconds.
        ms: u64,
    },
    /// All connections are reset.
    Reset,
    /// Nothing passes in some direction; connections stay open.
    Silence(Blocked),
}

/// Fault of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// It answers that it is unavailable.
    Down,
    /// It forgets all but the newest record of each key.
    DropHistory,
    /// It stores appends and loses answers.
    LoseAnswers,
    /// It answers late.
    Slow,
    /// It answers nothing.
    Silent,
}

/// A fault, with the number of what it strikes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A process of an agent is killed and started again.
    AgentKill(usize),
    /// A process of an agent stands still.
    AgentPause(usize),
    /// All processes are killed at once and started again.
    AllKill,
    /// A new configuration adds a route or takes it away.
    ConfigurationChange,
    /// An engine crashes and starts again, empty and under another id.
    EngineCrash(usize),
    /// An engine says that it leaves, serves on for a while and ends; an empty one comes in its place.
    EngineDrain(usize),
    /// An engine fails a part of its requests and breaks off a part of its streams.
    EngineFailing(usize),
    /// The link from gateways to an engine.
    EngineLink(usize, LinkFault),
    /// Engines leave a part of the orders unanswered and carry them out later.
    LateOrders,
    /// A process of a gateway is killed and started again.
    GatewayKill(usize),
    /// A process of a gateway stands still.
    GatewayPause(usize),
    /// A gateway is stopped in order and started again.
    GatewayStop(usize),
    /// The link from callers to a gateway.
    GatewayLink(usize, LinkFault),
    /// The link from a gateway to the store.
    GatewayStoreLink(usize, LinkFault),
    /// A gateway reads its settings again.
    GatewayReload(usize),
    /// A plain target crashes and starts again under another id.
    PlainCrash(usize),
    /// A key is withdrawn.
    Revoke,
    /// The store.
    Store(StoreFault),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}
