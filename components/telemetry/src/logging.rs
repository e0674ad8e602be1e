//! Set-up of the log of a process.

use std::fmt;
use std::io;
use std::os::fd::AsFd;

use log::LevelFilter;
use simplelog::{ConfigBuilder, LevelPadding, WriteLogger};

use crate::LineOutput;

/// Where the log goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogTarget {
    /// Standard error, for commands whose report goes to standard output.
    StandardError,
    /// Standard output, for processes that serve.
    StandardOutput,
}

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

/// Sends log lines to `target`: time, level, then one `key=value` line an event. A line is one write, and
/// none waits for a reader.
///
/// # Errors
///
/// `UnknownLevel` or `AlreadyStarted`.
pub fn start_logging(level: &str, target: LogTarget) -> Result<(), LoggingError> {
    let level: LevelFilter = level.parse().map_err(|_| LoggingError::UnknownLevel)?;
    match target {
        LogTarget::StandardError => write_to(level, io::stderr()),
        LogTarget::StandardOutput => write_to(level, io::stdout()),
    }
}

fn write_to<W: AsFd + io::Write + Send + 'static>(
    level: LevelFilter,
    output: W,
) -> Result<(), LoggingError> {
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
    WriteLogger::init(level, config, LineOutput::new(output))
        .map_err(|_| LoggingError::AlreadyStarted)
}
