//! Notices changes of the platform's settings file.

use std::time::Duration;

use platform::SettingsFile;
use telemetry::quote;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::timeout;

/// Time between two looks at the file, which may also change without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);
/// Most changed fields that are logged one by one.
const MOST_LOGGED: usize = 20;

/// What became of a change of the file.
#[derive(Clone, Debug)]
pub enum SettingsChange {
    /// The file has changed and has every field that it had before.
    Changed(SettingsFile),
    /// It can't be read, or lacks fields that it had: it may be half-written. The settings in force stay.
    Kept,
}

/// Watches a settings file.
pub struct SettingsWatch {
    path: String,
    file: SettingsFile,
    /// A file that lacks fields, as it was at the last look.
    incomplete: Option<SettingsFile>,
    is_readable: bool,
    hangup: Signal,
}

impl SettingsWatch {
    /// Watches the file at `path`, whose content was `file`. From now on SIGHUP does not end the process.
    ///
    /// # Errors
    ///
    /// If the signal can't be taken.
    pub fn new(path: String, file: SettingsFile) -> Result<Self, String> {
        let hangup = signal(SignalKind::hangup())
            .map_err(|error| format!("can't listen for SIGHUP: {error}"))?;
        Ok(Self { path, file, incomplete: None, is_readable: true, hangup })
    }

    /// Waits until the file has changed.
    pub async fn changed(&mut self) -> SettingsChange {
        loop {
            if let Ok(signal) = timeout(LOOK_INTERVAL, self.hangup.recv()).await {
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
            let gone = changes.iter().filter(|change| change.now.is_none()).count();
            // A file that stays as it is for another look was meant so.
            if gone > 0 && self.incomplete.as_ref() != Some(&file) {
                log::warn!(
                    "event=settings_incomplete path={} fields_gone={gone}",
                    quote(&self.path)
                );
                self.incomplete = Some(file);
                return SettingsChange::Kept;
            }
            self.incomplete = None;
            for change in changes.iter().take(MOST_LOGGED) {
                log::info!(
                    "event=setting_changed field={} from={} to={} takes_effect={}",
                    quote(&change.field),
                    quote(change.before.as_deref().unwrap_or("-")),
                    quote(change.now.as_deref().unwrap_or("-")),
                    if change.requires_restart { "at_next_start" } else { "now" }
                );
            }
            if changes.len() > MOST_LOGGED {
                log::info!("event=settings_changed fields={}", changes.len());
            }
            self.file = file.clone();
            return SettingsChange::Changed(file);
        }
    }
}
