//! Judges regularly which targets stand still.

use base::Timestamp;
use routing::{SilenceChange, SilenceSettings};
use telemetry::quote;

use crate::app::App;

impl App {
    /// Judges the targets again, and has the requests at those that stand still leave them.
    pub(crate) fn judge_silence(&self, now: Timestamp) {
        let mut fleet = self.fleet.borrow_mut();
        for (key, change) in fleet.judge_silence(&SilenceSettings::default(), now) {
            let target = fleet.target(key);
            let work = target.work.total(now);
            match change {
                SilenceChange::Fell { silent_ms } => {
                    log::warn!(
                        "event=target_silent target={} silent_ms={silent_ms} running={} waiting={} own_requests={}",
                        quote(&target.id),
                        work.running,
                        work.waiting,
                        target.work.local().running + target.work.local().waiting
                    );
                    self.target_silent.notify_waiters();
                }
                SilenceChange::Ended => {
                    log::info!("event=target_silence_ended target={}", quote(&target.id));
                }
            }
        }
    }
}
