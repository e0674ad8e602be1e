//! Logs as `key=value` lines, and metrics for operators.

mod class;
mod labels;
mod logging;
mod metrics;
mod quote;

pub use class::Class;
pub use labels::LabelSet;
pub use logging::{LoggingError, start_logging};
pub use metrics::{Metrics, MetricsError};
pub use quote::quote;
