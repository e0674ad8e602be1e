//! Detects changes of the settings file that the platform writes.

use std::time::Duration;

use platform::SettingsFile;
use telemetry::quote;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::timeout;

/// Polling interval; the file can also change without a SIGHUP.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of changed fields that are logged individually.
const MAX_LOGGED_FIELDS: usize = 20;

/// Outcome of a change of the settings file.
#[derive(Clone, Debug)]
pub enum SettingsChange {
    /// The file changed: no field was removed, or the same removal was read twice in a row.
    Changed(SettingsFile),
    /// The file can't be read or lacks fields that it had, so it may be partially written. The
    /// current settings stay in force.
    Kept,
}

/// Watches a settings file.
pub struct SettingsWatch {
    path: String,
    file: SettingsFile,
    /// Content at the last poll, if it lacked fields.
    incomplete: Option<SettingsFile>,
    is_readable: bool,
    hangup: Signal,
}

impl SettingsWatch {
    /// Watches the file at `path`, last read as `file`. Installs a SIGHUP handler, so SIGHUP no
    /// longer terminates the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal handler can't be installed.
    pub fn new(path: String, file: SettingsFile) -> Result<Self, String> {
        let hangup = signal(SignalKind::hangup())
            .map_err(|error| format!("can't listen for SIGHUP: {error}"))?;
        Ok(Self { path, file, incomplete: None, is_readable: true, hangup })
    }

    /// Waits until the file changes or can't be used.
    pub async fn changed(&mut self) -> SettingsChange {
        loop {
            if let Ok(signal) = timeout(POLL_INTERVAL, self.hangup.recv()).await {
                log::info!("event=reload_asked open={}", signal.is_some());
            }
            let file = match std::fs::read_to_string(&self.path) {
                Ok(text) => SettingsFile::parse(&text),
                Err(error) => {
                    if std::mem::replace(&mut self.is_readable, false) {
                        log::warn!(
                            "event=settings_unreadable path={} error=\"{error}\"",
                            quote(&self.path)
                        );
                        return SettingsChange::Kept;
                    }
                    continue;
                }
            };
            self.is_readable = true;
            if file == self.file {
                self.incomplete = None;
                continue;
            }
            let changes = file.changes_since(&self.file);
            let removed = changes.iter().filter(|change| change.now.is_none()).count();
            // If two polls read the same content, the fields were removed on purpose.
            if removed > 0 && self.incomplete.as_ref() != Some(&file) {
                log::warn!(
                    "event=settings_incomplete path={} fields_gone={removed}",
                    quote(&self.path)
                );
                self.incomplete = Some(file);
                return SettingsChange::Kept;
            }
            self.incomplete = None;
            for change in changes.iter().take(MAX_LOGGED_FIELDS) {
                log::info!(
                    "event=setting_changed field={} from={} to={} takes_effect={}",
                    quote(&change.field),
                    quote(change.before.as_deref().unwrap_or("-")),
                    quote(change.now.as_deref().unwrap_or("-")),
                    if change.requires_restart { "at_next_start" } else { "now" }
                );
            }
            if changes.len() > MAX_LOGGED_FIELDS {
                log::info!("event=settings_changed fields={}", changes.len());
            }
            self.file = file.clone();
            return SettingsChange::Changed(file);
        }
    }
}
