//! Notices changes of the platform's settings file.

use std::time::Duration;

use platform::SettingsFile;
use telemetry::quote;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::timeout;

/// Time between two looks at the file, which may also change without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Watches a settings file.
pub struct SettingsWatch {
    path: String,
    text: String,
    hangup: Signal,
}

impl SettingsWatch {
    /// Watches the file at `path`, whose content was `text`. From now on SIGHUP does not end the process.
    ///
    /// # Errors
    ///
    /// If the signal can't be taken.
    pub fn new(path: String, text: String) -> Result<Self, String> {
        let hangup = signal(SignalKind::hangup())
            .map_err(|error| format!("can't listen for SIGHUP: {error}"))?;
        Ok(Self { path, text, hangup })
    }

    /// Waits until the file has changed.
    pub async fn changed(&mut self) -> SettingsFile {
        loop {
            if let Ok(signal) = timeout(LOOK_INTERVAL, self.hangup.recv()).await {
                log::info!("event=reload_asked open={}", signal.is_some());
            }
            match std::fs::read_to_string(&self.path) {
                Ok(text) if text != self.text => {
                    self.text = text;
                    return SettingsFile::parse(&self.text);
                }
                Ok(_) => {}
                // The settings in force stay.
                Err(error) => log::warn!(
                    "event=settings_unreadable path={} error=\"{error}\"",
                    quote(&self.path)
                ),
            }
        }
    }
}
