//! Metrics of an entry or side process.

use std::cell::RefCell;
use std::fmt;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::{LabelSet, RequestClass};

/// Most customers with series of their own.
const MAX_CUSTOMERS: usize = 256;
/// Bounds of the buckets of waits in seconds; dense around the targets for first token (0.36 s) and
/// time between tokens (0.037 s).
const WAIT_BOUNDS_S: [f64; 16] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.037, 0.05, 0.1, 0.2, 0.36, 0.5, 1.0, 2.5, 10.0, 60.0];

/// Why metrics could not be set up or shown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MetricsError(String);

impl fmt::Display for MetricsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "metrics: {}", self.0)
    }
}

impl std::error::Error for MetricsError {}

/// Instruments of one process, with their registry.
pub struct Metrics {
    registry: Registry,
    // Held because the instruments stop when their provider is dropped.
    _provider: SdkMeterProvider,
    customers: RefCell<LabelSet>,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    total: Histogram<f64>,
    queue_wait: Histogram<f64>,
    requests: Counter<u64>,
    output_tokens: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    retries_refused: Counter<u64>,
    late_answers: Counter<u64>,
    replays: Counter<u64>,
    budget_rejections: Counter<u64>,
    in_flight: Gauge<u64>,
    late_streams: Counter<u64>,
    resumed_streams: Counter<u64>,
    settings_reads: Counter<u64>,
    settings_age: Gauge<f64>,
    configuration_offset: Gauge<u64>,
    configuration_age: Gauge<f64>,
    gateways_behind: Gauge<u64>,
    quarantined_parts: Gauge<u64>,
    quarantined_requests: Gauge<u64>,
    slow_targets: Gauge<u64>,
    limited_targets: Gauge<u64>,
}

impl Metrics {
    /// Sets up the instruments.
    ///
    /// # Errors
    ///
    /// If the exporter can't be registered.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| MetricsError(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("plantainbeam");
        let wait = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(description)
                .with_boundaries(WAIT_BOUNDS_S.to_vec())
                .build()
        };
        let count = |name: &'static str, description: &'static str| {
            meter.u64_counter(name).with_description(description).build()
        };
        let seconds = |name: &'static str, description: &'static str| {
            meter.f64_gauge(name).with_unit("s").with_description(description).build()
        };
        let number = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        Ok(Self {
            first_token: wait("time_to_first_token", "Arrival to first token"),
            between_tokens: wait("time_between_tokens", "Time between two tokens of a stream"),
            total: wait("request_duration", "Arrival to end of the answer"),
            queue_wait: wait("queue_wait", "Time in the queue beside the target"),
            requests: count("requests", "Requests by customer and class"),
            output_tokens: count("output_tokens", "Tokens delivered"),
            refusals: count("refusals", "Requests refused or failed, by reason"),
            retries: count("retries", "Attempts after the first"),
            retries_refused: count("retries_refused", "Attempts that the retry budget refused"),
            late_answers: count("late_answers", "Answers dropped as late or mismatched"),
            replays: count("replays", "Stored answers sent again"),
            budget_rejections: count("budget_rejections", "Rejections for want of room"),
            in_flight: number("requests_in_flight", "Requests in progress"),
            late_streams: count("late_streams", "Streams that were late, by cause"),
            resumed_streams: count("resumed_streams", "Attempts to resume streams, by outcome"),
            settings_reads: count("settings_reads", "Changes of the settings file, by outcome"),
            settings_age: seconds("settings_age", "Age of the settings in force"),
            configuration_offset: number("configuration_offset", "Configuration in force"),
            configuration_age: seconds("configuration_age", "Age of the configuration"),
            gateways_behind: number("gateways_behind", "Gateways on an old configuration"),
            quarantined_parts: number("quarantined_parts", "Prompt parts in quarantine"),
            quarantined_requests: number("quarantined_requests", "Requests in quarantine"),
            slow_targets: number("slow_targets", "Targets that take twice the usual time"),
            limited_targets: number("limited_targets", "Targets with a concurrency limit"),
            customers: RefCell::new(LabelSet::new(MAX_CUSTOMERS)),
            registry,
            _provider: provider,
        })
    }

    /// Sets the numbers of prompt parts and of requests in quarantine.
    pub fn set_quarantined(&self, parts: u64, requests: u64) {
        self.quarantined_parts.record(parts, &[]);
        self.quarantined_requests.record(requests, &[]);
    }

    /// Sets the numbers of slow targets and of targets with a concurrency limit.
    pub fn set_uneven_targets(&self, slow: u64, limited: u64) {
        self.slow_targets.record(slow, &[]);
        self.limited_targets.record(limited, &[]);
    }

    /// Gives customers series of their own, while there is room.
    pub fn admit_customers<'a>(&self, names: impl Iterator<Item = &'a str>) {
        self.customers.borrow_mut().admit(names);
    }

    fn labels(&self, customer: &str, class: RequestClass) -> [KeyValue; 2] {
        let customer = self.customers.borrow().label(customer).to_owned();
        [KeyValue::new("customer", customer), KeyValue::new("class", class.as_str())]
    }

    /// Counts a request.
    pub fn record_request(&self, customer: &str, class: RequestClass) {
        self.requests.add(1, &self.labels(customer, class));
    }

    /// Records the wait for the first token.
    pub fn record_first_token(&self, customer: &str, class: RequestClass, wait: Duration) {
        self.first_token.record(wait.as_secs_f64(), &self.labels(customer, class));
    }

    /// Records the time between two tokens.
    pub fn record_between_tokens(&self, customer: &str, class: RequestClass, wait: Duration) {
        self.between_tokens.record(wait.as_secs_f64(), &self.labels(customer, class));
    }

    /// Records the time from arrival to the end of an answer, and its tokens.
    pub fn record_total(
        &self,
        customer: &str,
        class: RequestClass,
        wait: Duration,
        output_tokens: u64,
    ) {
        let labels = self.labels(customer, class);
        self.total.record(wait.as_secs_f64(), &labels);
        self.output_tokens.add(output_tokens, &labels);
    }

    /// Records the time in a queue beside a target.
    pub fn record_queue_wait(&self, customer: &str, class: RequestClass, wait: Duration) {
        self.queue_wait.record(wait.as_secs_f64(), &self.labels(customer, class));
    }

    /// Counts a refusal or failure; `reason` is one of a closed set.
    pub fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts what the budget for callers rejected; `reason` is one of a closed set.
    pub fn record_budget_rejections(&self, reason: &'static str, count: u64) {
        self.budget_rejections.add(count, &[KeyValue::new("reason", reason)]);
    }

    /// Counts an attempt after the first.
    pub fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts an attempt after the first that the retry budget of its service refused.
    pub fn record_retry_refused(&self) {
        self.retries_refused.add(1, &[]);
    }

    /// Counts an answer that was dropped because it was late or not for its request.
    pub fn record_late_answer(&self) {
        self.late_answers.add(1, &[]);
    }

    /// Counts a stored answer that was sent again.
    pub fn record_replay(&self) {
        self.replays.add(1, &[]);
    }

    /// Sets the number of requests in progress.
    pub fn set_in_flight(&self, requests: u64) {
        self.in_flight.record(requests, &[]);
    }

    /// Counts a stream that was late; `cause` is one of a closed set, `data_centre` that of its target.
    pub fn record_late_stream(&self, cause: &'static str, data_centre: &str) {
        let data_centre = data_centre.to_owned();
        self.late_streams
            .add(1, &[KeyValue::new("cause", cause), KeyValue::new("data_centre", data_centre)]);
    }

    /// Counts an attempt to take up a stream of an earlier attempt; `outcome` is one of a closed set.
    pub fn record_resumed_stream(&self, outcome: &'static str) {
        self.resumed_streams.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a change of the settings file; `outcome` is one of a closed set.
    pub fn record_settings_read(&self, outcome: &'static str) {
        self.settings_reads.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Sets what the process runs on: the ages of settings and configuration, the configuration's position
    /// in the log, and how many gateways have an older one.
    pub fn set_freshness(
        &self,
        settings_age: Duration,
        configuration_age: Option<Duration>,
        offset: u64,
        gateways_behind: u64,
    ) {
        self.settings_age.record(settings_age.as_secs_f64(), &[]);
        if let Some(age) = configuration_age {
            self.configuration_age.record(age.as_secs_f64(), &[]);
            self.configuration_offset.record(offset, &[]);
        }
        self.gateways_behind.record(gateways_behind, &[]);
    }

    /// All series in the Prometheus text form.
    ///
    /// # Errors
    ///
    /// If a series can't be written.
    pub fn to_text(&self) -> Result<String, MetricsError> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|error| MetricsError(error.to_string()))
    }
}
