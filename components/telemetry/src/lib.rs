//! Logs as `key=value` lines, and metrics for operators.

mod class;
mod labels;
mod line_output;
mod logging;
mod metrics;
mod quote;

pub use class::Class;
pub use labels::LabelSet;
pub use line_output::{LONGEST_LINE_BYTES, LineOutput, MOST_LINES_PER_S};
pub use logging::{LogTarget, LoggingError, start_logging};
pub use metrics::{Metrics, MetricsError};
pub use quote::quote;
