//! Set-up of the log of a process.

use std::fmt;
use std::io;

use log::LevelFilter;
use simplelog::{ConfigBuilder, LevelPadding, WriteLogger};

/// Why the log could not be set up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoggingError {
    /// The process already has a log.
    AlreadyStarted,
    /// The level in the settings is unknown.
    UnknownLevel,
}

impl fmt::Display for LoggingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::AlreadyStarted => "the log is already set up",
            Self::UnknownLevel => "unknown log level; use error, warn, info, debug or trace",
        })
    }
}

impl std::error::Error for LoggingError {}

/// Sends log lines to standard error: time, level, then one `key=value` line an event.
///
/// # Errors
///
/// `UnknownLevel` or `AlreadyStarted`.
pub fn start_logging(level: &str) -> Result<(), LoggingError> {
    let level: LevelFilter = level.parse().map_err(|_| LoggingError::UnknownLevel)?;
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .set_level_padding(LevelPadding::Off)
        // The libraries below speak their own form of line.
        .add_filter_ignore_str("h2")
        .add_filter_ignore_str("hyper")
        .add_filter_ignore_str("opentelemetry")
        .build();
    // The logger writes a line in pieces, and standard error is not buffered.
    let output = io::LineWriter::new(io::stderr());
    WriteLogger::init(level, config, output).map_err(|_| LoggingError::AlreadyStarted)
}
