//! Replicated token bucket of a customer, shared by all gateways.
//!
//! Each gateway keeps a replica and reports to the others how much it has admitted. A replica does
//! not include what the others admitted since their last reports, so its level may become negative;
//! the debt is repaid by the tokens that accrue. While a gateway is not reporting, the others leave
//! its share of rate and burst to it.

use std::time::Duration;

use base::{Incarnation, ProcessName, SortedMap, Timestamp};

use crate::RequestRank;

/// Level, as a fraction of the burst, above which any gateway may take tokens; at or below it, a
/// gateway admits no more than its own share of the accruing tokens.
const SHARED_LEVEL_FRACTION: f64 = 0.3;
/// Time whose accrual a gateway may keep of its own share and spend at once.
const OWN_SHARE_WINDOW: Duration = Duration::from_millis(300);
/// Time constant of the exponential averages of demand and refusals.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(1_000);
/// Smallest share of a gateway, as a fraction of an equal share, so that new demand can be
/// admitted.
const MIN_SHARE_OF_EQUAL: f64 = 0.5;
/// Time whose accrual is reserved, for each rank below the first, for requests of higher rank;
/// covers a long prompt at current rates.
const RANK_RESERVE_TIME: Duration = Duration::from_millis(60);
/// Shortest wait advised after a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Added to the computed wait, so that the level is then above its threshold and not exactly at it.
const RETRY_AFTER_MARGIN: Duration = Duration::from_millis(1);
/// Longest wait advised after a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(2_000);

/// Rate limit of a customer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CustomerRate {
    /// Tokens per second; zero for no limit.
    pub tokens_per_s: u64,
    /// Largest level.
    pub burst_tokens: u64,
    /// Largest debt that the resumed streams of all gateways together begin at.
    pub overdraft_tokens: u64,
}

/// Levels of a bucket in tokens; negative for a debt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BucketLevels {
    /// Level of the bucket shared by all gateways.
    pub shared: f64,
    /// Level of this gateway's own share.
    pub own: f64,
}

/// Number of gateways and of those whose reports arrive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GatewayCount {
    /// Gateways that may be running, including this one.
    pub known: u32,
    /// Gateways whose reports arrive, including this one.
    pub reporting: u32,
}

impl GatewayCount {
    fn reporting_fraction(self) -> f64 {
        f64::from(self.reporting.max(1)) / f64::from(self.known.max(self.reporting).max(1))
    }
}

/// Source of the tokens for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    /// The part that every gateway may use.
    Shared,
    /// This gateway's share of the accruing tokens.
    Own,
}

#[derive(Clone, Copy, Debug)]
struct PeerReport {
    incarnation: Incarnation,
    tokens: u64,
    demand_per_s: u64,
}

/// Replica of a customer's bucket at one gateway.
#[derive(Clone, Debug)]
pub struct SharedBucket {
    rate: CustomerRate,
    level: f64,
    own_level: f64,
    updated: Timestamp,
    admitted: u64,
    demand_per_s: f64,
    refused_per_s: f64,
    /// Exponential average of the resumed streams that were refused and have not come back.
    refused_resumed_per_s: f64,
    peers: SortedMap<ProcessName, PeerReport>,
}

impl SharedBucket {
    /// Creates a bucket, which is full only on the first start, when nothing can have been admitted
    /// before.
    ///
    /// A process that starts while others are running, or after all have stopped, has no record of
    /// what was admitted just before, so its replica starts empty.
    pub fn new(rate: CustomerRate, first_start: bool, now: Timestamp) -> Self {
        let level = if first_start { rate.burst_tokens as f64 } else { 0.0 };
        Self {
            rate,
            level,
            own_level: 0.0,
            updated: now,
            admitted: 0,
            demand_per_s: 0.0,
            refused_per_s: 0.0,
            refused_resumed_per_s: 0.0,
            peers: SortedMap::new(),
        }
    }

    /// Changes the rate limit; a lower burst clips the level.
    pub fn set_rate(&mut self, rate: CustomerRate) {
        self.rate = rate;
        self.level = self.level.min(rate.burst_tokens as f64);
    }

    /// Returns the levels as of the last request.
    pub const fn levels(&self) -> BucketLevels {
        BucketLevels { shared: self.level, own: self.own_level }
    }

    /// Returns the tokens admitted by this process since its start.
    pub const fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Returns the recent demand at this process, in tokens per second, including refused requests.
    pub fn demand_per_s(&self) -> u64 {
        self.demand_per_s.round() as u64
    }

    /// Applies a peer's report of its demand and of the tokens it has admitted since its start.
    pub fn update_peer(
        &mut self,
        peer: &ProcessName,
        incarnation: Incarnation,
        tokens: u64,
        demand_per_s: u64,
    ) {
        let spent = match self.peers.get(peer) {
            Some(known) if known.incarnation > incarnation => return,
            Some(known) if known.incarnation == incarnation => tokens.saturating_sub(known.tokens),
            // A new incarnation counts from zero.
            Some(_) => tokens,
            // A replica that started full must subtract what the peer admitted before it was
            // discovered; for one that started empty, that lies before its start.
            None => tokens.min(self.rate.burst_tokens),
        };
        // Without a limit nothing is taken from the level, here or for this process's own requests.
        if self.rate.tokens_per_s > 0 {
            self.level -= spent as f64;
        }
        self.peers.insert(peer.clone(), PeerReport { incarnation, tokens, demand_per_s });
    }

    /// Removes a peer that has left permanently.
    pub fn remove_peer(&mut self, peer: &ProcessName) {
        self.peers.remove(peer);
    }

    /// Checks whether a request of `tokens` would be admitted now, without taking them.
    ///
    /// A refused request is counted in the demand.
    ///
    /// # Errors
    ///
    /// The advised wait, after which the bucket will probably have tokens.
    pub fn check(
        &mut self,
        tokens: u64,
        rank: impl Into<RequestRank>,
        gateways: GatewayCount,
        now: Timestamp,
    ) -> Result<(), Duration> {
        let rank = rank.into();
        if self.rate.tokens_per_s == 0 {
            return Ok(());
        }
        self.accrue(gateways, now);
        if self.source(rank, gateways).is_some() {
            return Ok(());
        }
        self.record_demand(tokens);
        self.record_refusal(tokens, rank);
        Err(self.advised_wait(gateways))
    }

    /// Admits a request of `tokens` or returns the advised wait.
    ///
    /// # Errors
    ///
    /// The advised wait, after which the bucket will probably have tokens.
    pub fn take(
        &mut self,
        tokens: u64,
        rank: impl Into<RequestRank>,
        gateways: GatewayCount,
        now: Timestamp,
    ) -> Result<(), Duration> {
        let rank = rank.into();
        self.check(tokens, rank, gateways, now)?;
        self.admitted += tokens;
        if self.rate.tokens_per_s == 0 {
            return Ok(());
        }
        self.record_demand(tokens);
        // Tokens taken while the shared part suffices don't count against the own share.
        if self.source(rank, gateways) == Some(Source::Own) {
            self.own_level -= tokens as f64;
        }
        self.level -= tokens as f64;
        if rank == RequestRank::Resumed {
            let per_s = tokens as f64 / DEMAND_TIME_CONSTANT.as_secs_f64();
            self.refused_resumed_per_s = (self.refused_resumed_per_s - per_s).max(0.0);
        }
        Ok(())
    }

    /// Returns the source of the tokens for the next request, or none if it must be refused.
    ///
    /// Any level above the reserve for higher ranks admits a request of any size, so that small
    /// requests don't starve large ones; the resulting debt delays the requests that follow.
    fn source(&self, rank: RequestRank, gateways: GatewayCount) -> Option<Source> {
        let (least_shared, least_level, least_own) = match rank {
            // The levels of gateways that don't hear each other must not add up to a larger debt.
            RequestRank::Resumed => {
                let overdraft = self.rate.overdraft_tokens as f64;
                (0.0, -overdraft, -overdraft / f64::from(gateways.known.max(1)))
            }
            RequestRank::New(rank) => {
                let least_shared = SHARED_LEVEL_FRACTION * self.reporting_burst(gateways);
                let reserve_s = RANK_RESERVE_TIME.as_secs_f64() * f64::from(rank);
                let returning = self.refused_resumed_per_s * DEMAND_TIME_CONSTANT.as_secs_f64();
                (least_shared, self.rate.tokens_per_s as f64 * reserve_s + returning, 0.0)
            }
        };
        if self.level > least_shared {
            Some(Source::Shared)
        } else if self.level > least_level && self.own_level > least_own {
            Some(Source::Own)
        } else {
            None
        }
    }

    fn record_demand(&mut self, tokens: u64) {
        self.demand_per_s += tokens as f64 / DEMAND_TIME_CONSTANT.as_secs_f64();
    }

    fn record_refusal(&mut self, tokens: u64, rank: RequestRank) {
        let per_s = tokens as f64 / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.refused_per_s += per_s;
        if rank == RequestRank::Resumed {
            self.refused_resumed_per_s += per_s;
        }
    }

    fn reporting_burst(&self, gateways: GatewayCount) -> f64 {
        self.rate.burst_tokens as f64 * gateways.reporting_fraction()
    }

    /// Returns the advised wait: until the shared part suffices again or this gateway's own share
    /// has tokens, but at least until the own share has accrued what was refused in the last
    /// second, since an earlier retry would only compete with the next requests.
    fn advised_wait(&self, gateways: GatewayCount) -> Duration {
        let rate = (self.rate.tokens_per_s as f64 * gateways.reporting_fraction()).max(1.0);
        let own_rate = (rate * self.own_share(gateways)).max(1.0);
        let until_shared_s =
            (SHARED_LEVEL_FRACTION * self.reporting_burst(gateways) - self.level) / rate;
        let until_own_s = (-self.level / rate).max(-self.own_level / own_rate);
        let until_refused_accrued_s =
            self.refused_per_s * DEMAND_TIME_CONSTANT.as_secs_f64() / own_rate;
        let wait_s = until_shared_s
            .min(until_own_s)
            .max(until_refused_accrued_s)
            .clamp(0.0, MAX_RETRY_AFTER.as_secs_f64());
        (Duration::from_secs_f64(wait_s) + RETRY_AFTER_MARGIN)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    fn accrue(&mut self, gateways: GatewayCount, now: Timestamp) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let rate = self.rate.tokens_per_s as f64 * gateways.reporting_fraction();
        self.level = (self.level + rate * elapsed).min(self.reporting_burst(gateways));
        let own_rate = rate * self.own_share(gateways);
        let own_full = own_rate * OWN_SHARE_WINDOW.as_secs_f64();
        self.own_level = (self.own_level + own_rate * elapsed).min(own_full);
        let decay = (-elapsed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        self.demand_per_s *= decay;
        self.refused_per_s *= decay;
        self.refused_resumed_per_s *= decay;
    }

    /// Returns this gateway's share of the demand on all gateways, at least `MIN_SHARE_OF_EQUAL` of
    /// an equal share.
    fn own_share(&self, gateways: GatewayCount) -> f64 {
        let equal_share = 1.0 / f64::from(gateways.reporting.max(1));
        let total = self.total_demand_per_s();
        let demand_share = if total > 0.0 { self.demand_per_s / total } else { equal_share };
        demand_share.max(MIN_SHARE_OF_EQUAL * equal_share)
    }

    fn total_demand_per_s(&self) -> f64 {
        let peers: u64 = self.peers.values().map(|peer| peer.demand_per_s).sum();
        self.demand_per_s + peers as f64
    }
}
