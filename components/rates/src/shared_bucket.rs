//! A customer's token bucket that all gateways fill and empty together.
//!
//! Each gateway keeps a copy and tells the others how much it has admitted. A copy is wrong by what
//! the others admitted since they were last reporting, so the level may fall below zero; the debt
//! is paid by what accrues. While a gateway is not reporting, its share of rate and burst is left
//! to it.

use std::time::Duration;

use base::{Incarnation, ProcessName, SortedMap, Timestamp};

/// Level, as a share of the burst, below which a gateway admits no more than its own share of what
/// accrues; above it the copies may be spent by whoever needs them.
const SHARED_ABOVE: f64 = 0.3;
/// Time whose accrual a gateway may spend at once of its own share.
const OWN_SHARE_TIME: Duration = Duration::from_millis(300);
/// Time over which the demand is averaged.
const DEMAND_TIME: Duration = Duration::from_millis(1_000);
/// Smallest share of a gateway, as a part of an even one; lets a new demand in.
const LEAST_SHARE: f64 = 0.5;
/// Time whose accrual is kept, for each rank below the first, for requests of higher rank: that of
/// a long prompt in the rates of today.
const RANK_RESERVE: Duration = Duration::from_millis(60);
/// Shortest advised wait.
const LEAST_RETRY: Duration = Duration::from_millis(200);
/// Added to the computed wait, so that the level is over its threshold and not at it.
const RETRY_MARGIN: Duration = Duration::from_millis(1);
/// Longest advised wait.
const MOST_RETRY: Duration = Duration::from_millis(2_000);

/// Rate of a customer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CustomerRate {
    /// Tokens a second; zero for no limit.
    pub tokens_per_s: u64,
    /// Most tokens at once.
    pub burst_tokens: u64,
}

/// Levels of a bucket in tokens, negative for a debt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BucketLevels {
    /// Of the bucket that all gateways share.
    pub shared: f64,
    /// Of this gateway's own share.
    pub own: f64,
}

/// How many gateways there are, and how many of them are reporting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GatewayCount {
    /// Gateways that may be alive, this one included.
    pub known: u32,
    /// Those that are reporting, this one included.
    pub reporting: u32,
}

impl GatewayCount {
    fn reporting_fraction(self) -> f64 {
        f64::from(self.reporting.max(1)) / f64::from(self.known.max(self.reporting).max(1))
    }
}

/// Where tokens are taken from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    /// What all may use.
    Shared,
    /// This gateway's share of what accrues.
    Own,
}

#[derive(Clone, Copy, Debug)]
struct PeerCount {
    incarnation: Incarnation,
    tokens: u64,
    demand_per_s: u64,
}

/// One gateway's copy of a customer's bucket.
#[derive(Clone, Debug)]
pub struct SharedBucket {
    rate: CustomerRate,
    level: f64,
    own_level: f64,
    updated: Timestamp,
    admitted: u64,
    demand_per_s: f64,
    refused_per_s: f64,
    peers: SortedMap<ProcessName, PeerCount>,
}

impl SharedBucket {
    /// A bucket; it is full only if nothing can have been admitted before.
    ///
    /// A process that starts while others run, or after all have died, does not know what was
    /// admitted just before, so its copy starts empty.
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
            peers: SortedMap::new(),
        }
    }

    /// Changes the rate; a lower burst cuts the level.
    pub fn set_rate(&mut self, rate: CustomerRate) {
        self.rate = rate;
        self.level = self.level.min(rate.burst_tokens as f64);
    }

    /// Levels as of the last request.
    pub const fn levels(&self) -> BucketLevels {
        BucketLevels { shared: self.level, own: self.own_level }
    }

    /// Tokens admitted by this process since its start.
    pub const fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Tokens a second that were asked of this process lately.
    pub fn demand_per_s(&self) -> u64 {
        self.demand_per_s.round() as u64
    }

    /// Takes a peer's word on what it has admitted since its start.
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
            // A new run counts from zero.
            Some(_) => tokens,
            // What it admitted before this process knew of it is in the past of an empty copy; of a
            // full one it has to be taken.
            None => tokens.min(self.rate.burst_tokens),
        };
        self.level -= spent as f64;
        self.peers.insert(peer.clone(), PeerCount { incarnation, tokens, demand_per_s });
    }

    /// Forgets a peer that is gone for good.
    pub fn remove_peer(&mut self, peer: &ProcessName) {
        self.peers.remove(peer);
    }

    /// Whether a request of `tokens` would be admitted now, without taking them; `rank` 0 is the
    /// most urgent.
    ///
    /// # Errors
    ///
    /// The time after which the bucket will probably have something.
    pub fn check(
        &mut self,
        tokens: u64,
        rank: u8,
        gateways: GatewayCount,
        now: Timestamp,
    ) -> Result<(), Duration> {
        if self.rate.tokens_per_s == 0 {
            return Ok(());
        }
        self.accrue(gateways, now);
        if self.source(rank, gateways).is_some() {
            return Ok(());
        }
        self.note_asked(tokens);
        self.note_refused(tokens);
        Err(self.return_time(gateways))
    }

    /// Admits a request of `tokens`, or says when to come back; `rank` 0 is the most urgent.
    ///
    /// # Errors
    ///
    /// The time after which the bucket will probably have something.
    pub fn take(
        &mut self,
        tokens: u64,
        rank: u8,
        gateways: GatewayCount,
        now: Timestamp,
    ) -> Result<(), Duration> {
        self.check(tokens, rank, gateways, now)?;
        self.admitted += tokens;
        if self.rate.tokens_per_s == 0 {
            return Ok(());
        }
        self.note_asked(tokens);
        // What is taken while there is enough for all doesn't count against the own share.
        if self.source(rank, gateways) == Some(Source::Own) {
            self.own_level -= tokens as f64;
        }
        self.level -= tokens as f64;
        Ok(())
    }

    /// Where the next request is taken from.
    ///
    /// Any level above what is kept for higher ranks admits a request of any size, so that large
    /// ones are not starved by small ones; the debt delays what follows.
    fn source(&self, rank: u8, gateways: GatewayCount) -> Option<Source> {
        let kept = self.rate.tokens_per_s as f64 * RANK_RESERVE.as_secs_f64() * f64::from(rank);
        if self.level > SHARED_ABOVE * self.full(gateways) {
            Some(Source::Shared)
        } else if self.level > kept && self.own_level > 0.0 {
            Some(Source::Own)
        } else {
            None
        }
    }

    fn note_asked(&mut self, tokens: u64) {
        self.demand_per_s += tokens as f64 / DEMAND_TIME.as_secs_f64();
    }

    fn note_refused(&mut self, tokens: u64) {
        self.refused_per_s += tokens as f64 / DEMAND_TIME.as_secs_f64();
    }

    fn full(&self, gateways: GatewayCount) -> f64 {
        self.rate.burst_tokens as f64 * gateways.reporting_fraction()
    }

    /// When there is enough for all again, or something of this gateway's own share, and not before
    /// the own share has made up for what was refused in the last second; an earlier return would
    /// only compete with the next requests.
    fn return_time(&self, gateways: GatewayCount) -> Duration {
        let rate = (self.rate.tokens_per_s as f64 * gateways.reporting_fraction()).max(1.0);
        let own_rate = (rate * self.own_share(gateways)).max(1.0);
        let until_shared_s = (SHARED_ABOVE * self.full(gateways) - self.level) / rate;
        let until_own_s = (-self.level / rate).max(-self.own_level / own_rate);
        let surplus_s = self.refused_per_s * DEMAND_TIME.as_secs_f64() / own_rate;
        let wait_s =
            until_shared_s.min(until_own_s).max(surplus_s).clamp(0.0, MOST_RETRY.as_secs_f64());
        (Duration::from_secs_f64(wait_s) + RETRY_MARGIN).clamp(LEAST_RETRY, MOST_RETRY)
    }

    fn accrue(&mut self, gateways: GatewayCount, now: Timestamp) {
        let passed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let rate = self.rate.tokens_per_s as f64 * gateways.reporting_fraction();
        self.level = (self.level + rate * passed).min(self.full(gateways));
        let own_rate = rate * self.own_share(gateways);
        let own_full = own_rate * OWN_SHARE_TIME.as_secs_f64();
        self.own_level = (self.own_level + own_rate * passed).min(own_full);
        let kept = (-passed / DEMAND_TIME.as_secs_f64()).exp();
        self.demand_per_s *= kept;
        self.refused_per_s *= kept;
    }

    /// Share of this gateway in the demand that the gateways see, never much below an even one.
    fn own_share(&self, gateways: GatewayCount) -> f64 {
        let even = 1.0 / f64::from(gateways.reporting.max(1));
        let all = self.all_asked_per_s();
        let asked = if all > 0.0 { self.demand_per_s / all } else { even };
        asked.max(LEAST_SHARE * even)
    }

    fn all_asked_per_s(&self) -> f64 {
        let peers: u64 = self.peers.values().map(|peer| peer.demand_per_s).sum();
        self.demand_per_s + peers as f64
    }
}
