//! One exact bucket per customer for the whole fleet, against which admission is judged.

use base::{CustomerId, Timestamp, Tokens};
use config::FleetConfig;
use rates::{Bucket, MicroTokens, Share};

/// Exact fleet-wide buckets, fed with what the measured policy admitted.
#[derive(Clone, Debug)]
pub struct Judge {
    /// Debited by what was admitted, and by refusals that it finds wrongful.
    buckets: Vec<Bucket>,
    /// Debited by what was admitted alone.
    admissions: Vec<Bucket>,
    /// Tokens admitted above rate and burst.
    excess_tokens: u64,
    /// Next number of an admission; numbers must rise from debit to debit.
    next_number: u64,
}

impl Judge {
    /// Full buckets at the start.
    pub fn new(config: &FleetConfig) -> Self {
        let start = Timestamp::default();
        let buckets: Vec<Bucket> = config
            .customers
            .iter()
            .map(|customer| {
                let share = Share {
                    rate_tokens_per_s: customer.rate_tokens_per_s,
                    cap_tokens: customer.burst_tokens,
                };
                Bucket::full(share, start)
            })
            .collect();
        Self { admissions: buckets.clone(), buckets, excess_tokens: 0, next_number: 1 }
    }

    /// Notes an admission and returns its number, for the settlement.
    pub fn admitted(&mut self, customer: CustomerId, tokens: Tokens, now: Timestamp) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let taken = self.admissions[customer.index()].take(number, tokens, now);
        self.excess_tokens += tokens.saturating_sub(taken.unwrap_or_default()).0;
        self.buckets[customer.index()].take(number, tokens, now);
        number
    }

    /// Notes a settlement.
    pub fn settled(&mut self, customer: CustomerId, number: u64, used: Tokens, now: Timestamp) {
        self.admissions[customer.index()].settle(number, used, now);
        self.buckets[customer.index()].settle(number, used, now);
    }

    /// Judges a refusal: whether the request was inside rate and burst. If so the bucket is debited as
    /// it would have been, since the customer could have used these tokens only once.
    pub fn refused(
        &mut self,
        customer: CustomerId,
        reserved: Tokens,
        used: Tokens,
        now: Timestamp,
    ) -> bool {
        let inside = self.inside(customer, reserved, now);
        if inside {
            let number = self.next_number;
            self.next_number += 1;
            self.buckets[customer.index()].take(number, reserved, now);
            self.buckets[customer.index()].settle(number, used, now);
        }
        inside
    }

    /// Whether a request of this size is inside the customer's rate and burst now.
    pub fn inside(&mut self, customer: CustomerId, tokens: Tokens, now: Timestamp) -> bool {
        self.buckets[customer.index()].level(now) >= MicroTokens::from_tokens(tokens)
    }

    /// Tokens admitted above rate and burst so far.
    pub const fn excess_tokens(&self) -> u64 {
        self.excess_tokens
    }
}
