//! Logs as `key=value` lines, and metrics for operators.

mod labels;
mod line_output;
mod logging;
mod metrics;
mod quote;
mod request_class;

pub use labels::LabelSet;
pub use line_output::{LineOutput, MAX_LINE_BYTES, MAX_LINES_PER_S};
pub use logging::{LogTarget, LoggingError, start_logging};
pub use metrics::{Metrics, MetricsError};
pub use quote::quote;
pub use request_class::RequestClass;
