//! Open-loop arrivals from a seed.

use base::{AdapterId, CustomerId, ModelId, Timestamp, Tokens, seeded_rng};
use config::{Access, FleetConfig};
use rand::Rng;

use crate::{Arrival, Deployment, Scenario};

/// Mean prompt tokens of a request.
const MEAN_PROMPT_TOKENS: f64 = 120.0;
/// Mean output tokens of a request.
const MEAN_OUTPUT_TOKENS: f64 = 80.0;
/// Callers ask for this multiple of what the model will generate, so that reservations exceed use.
const LIMIT_FACTOR: u64 = 2;
/// Largest length of a prompt or an answer in tokens.
const MAX_LENGTH_TOKENS: f64 = 1_000.0;
/// Share of requests that name an adapter.
const ADAPTER_SHARE: f64 = 0.5;
/// Width of the time steps over which rates are constant, in milliseconds.
const STEP_MS: u64 = 100;
/// Length of a burst in steps, and one in how many steps is the first of a burst.
const BURST_STEPS: u64 = 10;
const BURST_ONE_IN: f64 = 100.0;
/// Share of its rate that a customer uses on average.
const RATE_USE: f64 = 0.8;
/// Factor of the rate during a burst.
const BURST_FACTOR: f64 = 3.0;

/// A stream of arrivals of one customer.
struct Source {
    customer: CustomerId,
    requests_per_s: f64,
    overloads: bool,
    burst_left: u64,
}

/// Arrivals in time order.
///
/// Each customer sends its share of the load as a Poisson process with bursts; the largest customer
/// multiplies its demand in the second half; the demand of one model rises linearly to a multiple.
pub fn make_arrivals(deployment: &Deployment, scenario: &Scenario) -> Vec<Arrival> {
    let config = &deployment.config;
    let mut rng = seeded_rng(scenario.seed);
    let mut sources = make_sources(config, scenario);
    let steps = scenario.length_s * 1_000 / STEP_MS;
    let mut arrivals = Vec::new();
    for step in 0..steps {
        let progress = step as f64 / steps as f64;
        let models = model_weights(config, progress, scenario.model_factor);
        for source in &mut sources {
            let expected = source.expected(progress, scenario, &mut rng);
            for _ in 0..poisson(expected, &mut rng) {
                let at_us = step * STEP_MS * 1_000 + rng.random_range(0..STEP_MS * 1_000);
                arrivals.push(make_arrival(config, source.customer, &models, at_us, &mut rng));
            }
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Requests a second that load the engines of a deployment to `load_percent`.
fn requests_per_s(config: &FleetConfig, load_percent: u64) -> f64 {
    let capacity: u64 =
        config.services.iter().flat_map(|s| &s.targets).map(|t| t.tokens_per_s).sum();
    capacity as f64 * load_percent as f64 / 100.0 / MEAN_OUTPUT_TOKENS
}

/// Scales rates and bursts, in their proportions, so that the demand of `load_percent` is 80% of them.
///
/// The engines of a deployment would be idle most of the time at its configured rates, and a policy
/// shows its worth only under load.
pub fn scale_rates(config: &mut FleetConfig, load_percent: u64) {
    let demand = requests_per_s(config, load_percent) * (MEAN_PROMPT_TOKENS + MEAN_OUTPUT_TOKENS);
    let configured: u64 = config.customers.iter().map(|c| c.rate_tokens_per_s).sum();
    let factor = demand / RATE_USE / configured.max(1) as f64;
    for customer in &mut config.customers {
        customer.rate_tokens_per_s = (customer.rate_tokens_per_s as f64 * factor).round() as u64;
        customer.burst_tokens = (customer.burst_tokens as f64 * factor).round() as u64;
    }
}

fn make_sources(config: &FleetConfig, scenario: &Scenario) -> Vec<Source> {
    let requests_per_s = requests_per_s(config, scenario.load_percent);
    let rates: u64 = config.customers.iter().map(|c| c.rate_tokens_per_s).sum();
    let largest = config.customers.iter().map(|c| c.rate_tokens_per_s).max();
    config
        .customers
        .iter()
        .zip(0..)
        .map(|(customer, id)| Source {
            customer: CustomerId(id),
            requests_per_s: requests_per_s * customer.rate_tokens_per_s as f64 / rates as f64,
            overloads: Some(customer.rate_tokens_per_s) == largest,
            burst_left: 0,
        })
        .collect()
}

impl Source {
    /// Expected arrivals in one step.
    fn expected(&mut self, progress: f64, scenario: &Scenario, rng: &mut impl Rng) -> f64 {
        let mut rate = self.requests_per_s;
        if self.overloads && progress >= 0.5 {
            rate *= scenario.overload_factor as f64;
        }
        if self.burst_left > 0 {
            self.burst_left -= 1;
            rate *= BURST_FACTOR;
        } else if rng.random_bool(1.0 / BURST_ONE_IN) {
            self.burst_left = BURST_STEPS;
        }
        rate * STEP_MS as f64 / 1_000.0
    }
}

/// Weights of models: popularity falls with the rank (Zipf), and that of the last one rises.
fn model_weights(config: &FleetConfig, progress: f64, factor: u64) -> Vec<f64> {
    let count = config.models.len();
    (0..count)
        .map(|rank| {
            let weight = 1.0 / (rank + 1) as f64;
            let rising = rank + 1 == count;
            if rising { weight * (1.0 + progress * (factor as f64 - 1.0)) } else { weight }
        })
        .collect()
}

fn make_arrival(
    config: &FleetConfig,
    customer: CustomerId,
    weights: &[f64],
    at_us: u64,
    rng: &mut impl Rng,
) -> Arrival {
    let allowed = |access: &Access| access.allows(customer);
    let total: f64 = weights
        .iter()
        .zip(&config.models)
        .filter(|(_, model)| allowed(&model.access))
        .map(|(weight, _)| weight)
        .sum();
    let mut pick = rng.random_range(0.0..total.max(f64::MIN_POSITIVE));
    let mut model = 0;
    for (at, (weight, candidate)) in weights.iter().zip(&config.models).enumerate() {
        if !allowed(&candidate.access) {
            continue;
        }
        model = at;
        pick -= weight;
        if pick <= 0.0 {
            break;
        }
    }
    let model = ModelId(u32::try_from(model).unwrap_or(0));
    let output = length(MEAN_OUTPUT_TOKENS, rng);
    let limit = Tokens((output.0 * LIMIT_FACTOR).min(config.model(model).max_output_tokens.max(1)));
    Arrival {
        at: Timestamp::from_micros(at_us),
        customer,
        model,
        adapter: pick_adapter(config, customer, model, rng),
        prompt_tokens: length(MEAN_PROMPT_TOKENS, rng),
        output_tokens: output.min(limit),
        max_output_tokens: limit,
        entry: rng.random(),
    }
}

fn pick_adapter(
    config: &FleetConfig,
    customer: CustomerId,
    model: ModelId,
    rng: &mut impl Rng,
) -> Option<AdapterId> {
    if !rng.random_bool(ADAPTER_SHARE) {
        return None;
    }
    let usable: Vec<u32> = config
        .adapters
        .iter()
        .zip(0..)
        .filter(|(adapter, _)| adapter.model == model && adapter.access.allows(customer))
        .map(|(_, id)| id)
        .collect();
    if usable.is_empty() {
        return None;
    }
    Some(AdapterId(usable[rng.random_range(0..usable.len())]))
}

/// Exponentially distributed length of at least one token.
fn length(mean: f64, rng: &mut impl Rng) -> Tokens {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Tokens((-uniform.ln() * mean).clamp(1.0, MAX_LENGTH_TOKENS) as u64)
}

/// Poisson-distributed number by multiplication of uniforms; suits small means.
fn poisson(mean: f64, rng: &mut impl Rng) -> u64 {
    let limit = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}
