//! Command line options of the commands that run on the platform.

use lexopt::prelude::*;
use platform::{DEFAULT_SETTINGS_PATH, SETTINGS_VARIABLE};

/// Default metrics port; the one that Prometheus exporters commonly use.
const DEFAULT_METRICS_PORT: u16 = 9_464;

/// Parsed command line options.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformOptions {
    /// Path of the settings file.
    pub settings: String,
    /// Port that serves metrics.
    pub metrics_port: u16,
    /// Log level.
    pub log_level: String,
}

impl PlatformOptions {
    /// Parses the options; returns `None` if help was requested.
    ///
    /// # Errors
    ///
    /// Returns an error for unknown options and invalid values.
    pub fn parse(mut parser: lexopt::Parser) -> Result<Option<Self>, lexopt::Error> {
        let mut options = Self {
            settings: std::env::var(SETTINGS_VARIABLE)
                .unwrap_or_else(|_| DEFAULT_SETTINGS_PATH.to_owned()),
            metrics_port: DEFAULT_METRICS_PORT,
            log_level: "info".to_owned(),
        };
        while let Some(argument) = parser.next()? {
            match argument {
                Long("settings") => options.settings = parser.value()?.string()?,
                Long("metrics-port") => options.metrics_port = parser.value()?.parse()?,
                Long("log-level") => options.log_level = parser.value()?.string()?,
                Short('h') | Long("help") => return Ok(None),
                _ => return Err(argument.unexpected()),
            }
        }
        Ok(Some(options))
    }
}
