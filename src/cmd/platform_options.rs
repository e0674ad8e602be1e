//! Options of the commands that run on the platform.

use lexopt::prelude::*;
use platform::{DEFAULT_SETTINGS_PATH, SETTINGS_VARIABLE};

/// Port for metrics unless the command line names one; the usual one of Prometheus exporters.
const METRICS_PORT: u16 = 9_464;

/// Options.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformOptions {
    /// Path of the settings file.
    pub settings: String,
    /// Port for metrics.
    pub metrics_port: u16,
    /// Level of the log.
    pub log_level: String,
}

impl PlatformOptions {
    /// Reads the options; none if help is asked for.
    ///
    /// # Errors
    ///
    /// Wrong usage.
    pub fn parse(mut parser: lexopt::Parser) -> Result<Option<Self>, lexopt::Error> {
        let mut options = Self {
            settings: std::env::var(SETTINGS_VARIABLE)
                .unwrap_or_else(|_| DEFAULT_SETTINGS_PATH.to_owned()),
            metrics_port: METRICS_PORT,
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
