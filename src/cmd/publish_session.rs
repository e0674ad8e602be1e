//! Reads and appends configuration records for `publish`.

use std::fmt;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::{Incarnation, Offset, ProcessId, ProcessName, Timestamp};
use changes::{
    CONFIG_STREAM, Change, ConfigLog, Record, RecordId, RecordVerdict, Rejection, Verdict,
};
use config::{SourceFile, Sources};
use store::{Log, StoreError};
use tokio::time::{Instant, sleep, timeout_at};

/// Maximum number of records per read; each record can hold a whole configuration.
const PAGE_RECORDS: u32 = 20;
/// Long-poll timeout of a read.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Unused in practice: retention affects only snapshots, and this command writes none.
const RETENTION: Duration = Duration::MAX;

/// Reason why a change is not in force or its outcome is unknown.
#[derive(Debug)]
pub enum PublishError {
    /// The log can't be read; nothing was appended.
    NotRead(StoreError),
    /// Reading the log to its end timed out; nothing was appended.
    ReadTimeout,
    /// The log has discarded old records and holds no snapshot.
    Incomplete,
    /// The log holds a record written under a newer rules version.
    NewerRules(u32),
    /// The change would be rejected, so it was not appended.
    NotAppended(Rejection),
    /// The change does not fit one record; nothing was appended.
    TooLarge,
    /// The log refused the record and stored nothing.
    Refused(StoreError),
    /// The log did not answer in time; the record may be stored.
    OutcomeUnknown,
    /// The record was stored, but its verdict was not reached in time.
    NoVerdict(Offset),
    /// The change was rejected.
    Rejected {
        /// Offset of the change.
        offset: Offset,
        /// Reason of the rejection.
        reason: Rejection,
    },
    /// No configuration is in force, so there is nothing to fetch.
    NoConfiguration,
    /// A file can't be written.
    Write(String),
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotRead(error) => {
                write!(f, "not published: the log can't be read: {error}; publish again later")
            }
            Self::ReadTimeout => f.write_str(
                "not published: the log was not read to its end in time; publish again with a \
                 longer --timeout-ms",
            ),
            Self::Incomplete => f.write_str(
                "not published: the log dropped old records and holds no snapshot; start an entry \
                 process that still knows the configuration, or wait for its snapshot",
            ),
            Self::NewerRules(rules) => write!(
                f,
                "not published: the log holds a record under rules {rules}; use a newer version of \
                 this program"
            ),
            Self::NotAppended(reason) => write!(f, "not published: {reason}"),
            Self::TooLarge => f.write_str("not published: the change is too large; shorten it"),
            Self::Refused(error) => {
                write!(f, "not published: the log refused the change: {error}; publish again later")
            }
            Self::OutcomeUnknown => f.write_str(
                "unknown: the log did not answer in time and the change may take effect later; \
                 fetch the configuration before you publish again",
            ),
            Self::NoVerdict(offset) => write!(
                f,
                "unknown: the change is stored at offset {} but was not read back in time; fetch \
                 the configuration to see whether it is in force",
                offset.0
            ),
            Self::Rejected { offset, reason: Rejection::Raced { base_version, in_force } } => {
                write!(
                    f,
                    "rejected at offset {}: version {} won the race, the files were made from \
                     version {}; fetch it, apply the change and publish again",
                    offset.0, in_force.0, base_version.0
                )
            }
            Self::Rejected { offset, reason } => {
                write!(f, "rejected at offset {}: {reason}", offset.0)
            }
            Self::NoConfiguration => f.write_str("no configuration is in force"),
            Self::Write(error) => f.write_str(error),
        }
    }
}

/// One run of the command.
pub struct Session<L> {
    log: L,
    replica: ConfigLog,
    verdicts: Vec<RecordVerdict>,
    /// Oldest offset that the log still holds.
    oldest: Offset,
    deadline: Instant,
}

impl<L: Log> Session<L> {
    /// Creates a session that times out after `timeout`.
    pub fn new(log: L, timeout: Duration) -> Self {
        // No site is selected because overlays do not affect the verdict on a change.
        let replica = ConfigLog::new("", RETENTION);
        let oldest = Offset::default();
        let deadline = Instant::now() + timeout;
        Self { log, replica, verdicts: Vec::new(), oldest, deadline }
    }

    /// Appends a change and waits for its verdict; returns the message to print if it is accepted.
    pub async fn publish(&mut self, change: Change) -> Result<String, PublishError> {
        self.read_to_end().await?;
        self.check_before_append(&change)?;
        let id = RecordId::new(&new_process_id(), 1);
        let record = Record { id: id.clone(), change };
        let payload = record.encode().ok_or(PublishError::TooLarge)?;
        let from = self.replica.position().next();
        let offset = self
            .log
            .append_confirmed(CONFIG_STREAM, &id.0, &payload, from, self.deadline)
            .await
            .map_err(|error| {
                if error.may_have_taken_effect() {
                    PublishError::OutcomeUnknown
                } else {
                    PublishError::Refused(error)
                }
            })?;
        while self.verdict(&id).is_none() {
            if self.replica.newer_rules().is_some() || Instant::now() >= self.deadline {
                return Err(PublishError::NoVerdict(offset));
            }
            if self.read_page(READ_WAIT).await.is_err() {
                sleep(RETRY_DELAY).await;
            }
        }
        match self.verdict(&id) {
            Some(RecordVerdict { verdict: Verdict::Accepted, offset, .. }) => {
                Ok(format!("accepted: version {} is in force", offset.0))
            }
            Some(RecordVerdict { verdict: Verdict::Rejected(reason), offset, .. }) => {
                Err(PublishError::Rejected { offset: *offset, reason: reason.clone() })
            }
            _ => Err(PublishError::NoVerdict(offset)),
        }
    }

    /// Writes the configuration files in force to a directory; returns the message to print.
    pub async fn fetch(&mut self, directory: &Path) -> Result<String, PublishError> {
        self.read_to_end().await?;
        let sources = self.replica.sources().ok_or(PublishError::NoConfiguration)?;
        std::fs::create_dir_all(directory).map_err(|error| {
            PublishError::Write(format!("can't make {}: {error}", directory.display()))
        })?;
        for file in std::iter::once(&sources.base).chain(&sources.overlays) {
            write_file(directory, file)?;
        }
        let mut lines = vec![format!("version {} is in force", self.replica.version().0)];
        lines.extend(sources.keys.added.iter().map(|key| {
            format!("key {} of customer {} was added since the files", key.name, key.customer)
        }));
        lines.extend(sources.keys.withdrawn.iter().map(|key| {
            format!("key {} was withdrawn; remove it from keys if the files list it", key.name)
        }));
        Ok(lines.join("\n"))
    }

    /// Returns the verdict on the first record with this id.
    fn verdict(&self, id: &RecordId) -> Option<&RecordVerdict> {
        self.verdicts.iter().find(|verdict| verdict.id.as_ref() == Some(id))
    }

    async fn read_to_end(&mut self) -> Result<(), PublishError> {
        let mut last = None;
        loop {
            match timeout_at(self.deadline, self.read_page(Duration::ZERO)).await {
                Ok(Ok(true)) => break,
                Ok(Ok(false)) => {}
                Ok(Err(error)) => {
                    last = Some(error);
                    if timeout_at(self.deadline, sleep(RETRY_DELAY)).await.is_err() {
                        return Err(PublishError::NotRead(error));
                    }
                }
                Err(_) => return Err(last.map_or(PublishError::ReadTimeout, PublishError::NotRead)),
            }
        }
        match self.replica.newer_rules() {
            Some(newer) => Err(PublishError::NewerRules(newer.rules)),
            None if self.replica.position().next() < self.oldest => Err(PublishError::Incomplete),
            None => Ok(()),
        }
    }

    /// Reads and applies one page of records; returns whether the end of the log was reached.
    async fn read_page(&mut self, wait: Duration) -> Result<bool, StoreError> {
        let from = self.replica.next_offset(self.oldest);
        let page = self.log.read(CONFIG_STREAM, from, PAGE_RECORDS, wait).await?;
        self.oldest = page.oldest;
        for record in &page.records {
            // The time matters only for snapshots, and this command writes none.
            let now = Timestamp::default();
            let progress = self.replica.apply(record.offset, &record.payload, now);
            self.verdicts.extend(progress.verdicts);
        }
        Ok(page.reaches_end(from))
    }

    /// Fails on a change that is certain to be rejected, so that it takes no space in the log.
    fn check_before_append(&self, change: &Change) -> Result<(), PublishError> {
        let Change::Files { base_version, base, overlays } = change else { return Ok(()) };
        let in_force = self.replica.version();
        if *base_version != in_force {
            let reason = Rejection::Raced { base_version: *base_version, in_force };
            return Err(PublishError::NotAppended(reason));
        }
        let keys = self.replica.sources().map(|s| s.keys.clone()).unwrap_or_default();
        let sources = Sources { base: base.clone(), overlays: overlays.clone(), keys };
        sources.check().map_err(|problems| PublishError::NotAppended(Rejection::Invalid(problems)))
    }
}

/// Creates the identity of this run; the process id distinguishes two runs that start in the same
/// microsecond.
fn new_process_id() -> ProcessId {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let micros = u64::try_from(since.as_micros()).unwrap_or(u64::MAX);
    let name = format!("publish-{}", std::process::id());
    ProcessId { name: ProcessName::new(&name), incarnation: Incarnation(micros) }
}

fn write_file(directory: &Path, file: &SourceFile) -> Result<(), PublishError> {
    // Prevents path traversal: a file name from the log must not point outside the directory.
    let name = Path::new(file.name.as_str()).file_name().ok_or_else(|| {
        PublishError::Write(format!("the file name {:?} can't be written", file.name))
    })?;
    let path = directory.join(name);
    std::fs::write(&path, &file.text)
        .map_err(|error| PublishError::Write(format!("can't write {}: {error}", path.display())))
}
