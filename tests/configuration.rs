//! The commands `check` and `publish` as processes, against the stand-in log.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Output, Stdio};
use std::time::Duration;

use base::{Offset, Timestamp};
use changes::{CONFIG_STREAM, Change, ConfigLog, RULES_VERSION, Record, RecordId, encode_envelope};
use expect_test::{Expect, expect};
use standin::{LogServer, LogServerSettings};
use store::{HttpLog, HttpLogOptions, Log};
use tempfile::TempDir;
use tokio::process::Command;
use tokio::time::sleep;

const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/fixtures");
const HASH: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

fn base_text(rate: i64) -> String {
    format!(
        "name: town\ndata_centres:\n  - {{name: a, region: north}}\ncustomers:\n  - {{name: chapel, \
         rate_tokens_per_s: {rate}, burst_tokens: 1000}}\n"
    )
}

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_plantainbeam"));
    command.args(arguments).stdin(Stdio::null()).kill_on_drop(true);
    command
}

async fn run(arguments: &[&str]) -> Output {
    command(arguments).output().await.unwrap()
}

/// Exit code and standard output of a run.
fn shown(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stdout);
    format!("{}: {text}", output.status.code().unwrap())
}

/// A deployment's log with an operator's directory.
struct Setting {
    log: LogServer,
    directory: TempDir,
}

impl Setting {
    async fn start() -> Self {
        let log = LogServer::start(LogServerSettings::default()).await.unwrap();
        Self { log, directory: TempDir::new().unwrap() }
    }

    fn address(&self) -> SocketAddr {
        self.log.address()
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.directory.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    async fn publish(&self, arguments: &[&str]) -> Output {
        let address = self.address().to_string();
        run(&[&["publish", "--log", &address], arguments].concat()).await
    }

    async fn publish_base(&self, made_from: &str, rate: i64) -> Output {
        let path = self.write("base.yaml", &base_text(rate));
        self.publish(&["--made-from", made_from, "--base", path.to_str().unwrap()]).await
    }

    fn client(&self) -> HttpLog {
        HttpLog::new(self.address(), HttpLogOptions::default())
    }

    async fn append(&self, id: &str, change: Change) {
        let payload = Record { id: RecordId(id.into()), change }.encode().unwrap();
        self.client().append(CONFIG_STREAM, id, &payload).await.unwrap();
    }

    /// Number of records on the stream.
    async fn end(&self) -> u64 {
        self.client().read(CONFIG_STREAM, Offset(1), 1, Duration::ZERO).await.unwrap().end.0
    }
}

async fn check(arguments: &[&str], expected: &Expect) {
    expected.assert_eq(&shown(&run(&[&["check"], arguments].concat()).await));
}

#[tokio::test]
async fn check_accepts_the_fixtures() {
    for (deployment, site) in [("cwmcapsiwn", "cymru-de"), ("fumeiro", "norte-pt")] {
        let directory = Path::new(FIXTURES).join(deployment);
        let path = |name: &str| directory.join(name).to_string_lossy().into_owned();
        let (base, overlay) = (path("base.yaml"), path(&format!("{site}.yaml")));
        let mut arguments = vec!["check", "--base", &base, "--overlay", &overlay];
        let settings: Vec<(&str, String)> = std::fs::read_dir(&directory)
            .unwrap()
            .map(|entry| entry.unwrap().file_name().into_string().unwrap())
            .filter_map(|name| match name.split_once('-') {
                Some(("entry", _)) => Some(("--entry", path(&name))),
                Some(("side", _)) => Some(("--side", path(&name))),
                _ => None,
            })
            .collect();
        assert_eq!(settings.len(), 3);
        arguments.extend(settings.iter().flat_map(|(flag, path)| [*flag, path.as_str()]));
        assert_eq!(shown(&run(&arguments).await), "0: ", "{deployment}");
    }
}

#[tokio::test]
async fn check_prints_every_problem_with_file_and_line() {
    let directory = TempDir::new().unwrap();
    let write = |name: &str, text: &str| {
        std::fs::write(directory.path().join(name), text).unwrap();
    };
    write("base.yaml", &base_text(-3));
    write("north.yaml", "site: north\nkeys: []\n");
    write("entry.yaml", "rate_wait_ms: -1\n");
    write("other.yaml", "\u{0}");
    let in_directory = |arguments: &[&str]| {
        let mut command = command(&[&["check"], arguments].concat());
        command.current_dir(directory.path());
        async move { shown(&command.output().await.unwrap()) }
    };
    let base = ["--base", "base.yaml", "--overlay", "north.yaml"];
    let settings = ["--entry", "entry.yaml", "--side", "missing.yaml"];
    expect![[r#"
        1: base.yaml:5: rate_tokens_per_s is -3; write a whole number from 1 to 1000000000000
        north.yaml:2: keys holds in the whole fleet; move this into the base file
        entry.yaml:1: this is not a whole number in range; write one, for example 100
        missing.yaml:0: can't read the file: No such file or directory (os error 2); correct the path
    "#]].assert_eq(&in_directory(&[base, settings].concat()).await);
    write("base.yaml", &base_text(3));
    expect!["0: "].assert_eq(&in_directory(&["--base", "base.yaml"]).await);
}

#[tokio::test]
async fn wrong_usage_exits_with_2() {
    for arguments in [
        &["check"][..],
        &["check", "--overlay", "x"],
        &["check", "--base", "a", "--base", "b"],
        &["publish", "--base", "x", "--made-from", "0"],
        &["publish", "--log", "127.0.0.1:1"],
        &["publish", "--log", "127.0.0.1:1", "--base", "x"],
        &["publish", "--log", "127.0.0.1:1", "--withdraw-key", "k", "--fetch", "d"],
        &["publish", "--log", "127.0.0.1:1", "--add-key", "k", "--customer", "c"],
        &["publish", "--log", "127.0.0.1:1", "--add-key", "k", "--customer", "c", "--sha256", "0"],
        &["publish", "--log", "127.0.0.1:1", "--withdraw-key", "k", "--made-from", "1"],
    ] {
        assert_eq!(run(arguments).await.status.code(), Some(2), "{arguments:?}");
    }
    check(&["--base", "does-not-exist.yaml"], &expect![[r#"
        1: does-not-exist.yaml:0: can't read the file: No such file or directory (os error 2); correct the path
    "#]]).await;
}

#[tokio::test]
async fn files_and_keys_are_published_and_fetched() {
    let setting = Setting::start().await;
    let mut shown_all = String::new();
    shown_all += &shown(&setting.publish_base("0", 10).await);
    let add = ["--add-key", "k1", "--customer", "chapel", "--sha256", HASH];
    shown_all += &shown(&setting.publish(&add).await);
    shown_all += &shown(&setting.publish(&add).await);
    shown_all += &shown(&setting.publish_base("2", 20).await);
    let fetched = setting.directory.path().join("fetched");
    let fetch = ["--fetch", fetched.to_str().unwrap()];
    shown_all += &shown(&setting.publish(&fetch).await);
    shown_all += &shown(&setting.publish(&["--withdraw-key", "k1"]).await);
    shown_all += &shown(&setting.publish(&["--withdraw-key", "k1"]).await);
    shown_all += &shown(&setting.publish(&fetch).await);
    expect![[r#"
        0: accepted: version 1 is in force
        0: accepted: version 2 is in force
        1: rejected at offset 3: key k1 is in force already; choose another name and create a new key
        0: accepted: version 4 is in force
        0: version 4 is in force
        key k1 of customer chapel was added since the files
        0: accepted: version 5 is in force
        1: rejected at offset 6: there is no key k1 in force; correct the name
        0: version 5 is in force
        key k1 was withdrawn; remove it from keys if the files list it
    "#]].assert_eq(&shown_all);
    assert_eq!(std::fs::read_to_string(fetched.join("base.yaml")).unwrap(), base_text(20));
}

#[tokio::test]
async fn a_change_that_can_not_be_accepted_is_not_appended() {
    let setting = Setting::start().await;
    setting.publish_base("0", 10).await;
    expect![[r#"
        1: not published: the files were made from version 0, but version 1 is in force; apply the change to that version and publish again
    "#]].assert_eq(&shown(&setting.publish_base("0", 20).await));
    expect![[r#"
        1: not published: the check fails:
        base.yaml:5: rate_tokens_per_s is -20; write a whole number from 1 to 1000000000000
    "#]]
    .assert_eq(&shown(&setting.publish_base("1", -20).await));
    assert_eq!(setting.end().await, 1);
}

#[tokio::test]
async fn of_two_publishers_at_once_one_wins_and_the_other_is_told() {
    let setting = Setting::start().await;
    assert!(setting.publish_base("0", 10).await.status.success());
    // The first append of the late publisher is held up on its way after it has read the log.
    setting.log.update(|settings| {
        settings.lose_appends = 1;
        settings.lost_hang = true;
    });
    let late = async {
        let path = setting.write("late.yaml", &base_text(20));
        setting.publish(&["--made-from", "1", "--base", path.to_str().unwrap()]).await
    };
    let quick = async {
        while setting.log.settings().lose_appends > 0 {
            sleep(Duration::from_millis(5)).await;
        }
        setting.publish_base("1", 30).await
    };
    let (late, quick) = tokio::join!(late, quick);
    expect![[r#"
        0: accepted: version 2 is in force
        1: rejected at offset 3: version 2 won the race, the files were made from version 1; fetch it, apply the change and publish again
    "#]].assert_eq(&(shown(&quick) + &shown(&late)));
}

#[tokio::test]
async fn a_lost_answer_is_settled_without_a_second_change() {
    let setting = Setting::start().await;
    assert!(setting.publish_base("0", 10).await.status.success());
    for hang in [false, true] {
        setting.log.update(|settings| {
            settings.lose_answers = 1;
            settings.lost_hang = hang;
        });
        let before = setting.end().await;
        let output = setting.publish_base(&before.to_string(), 20).await;
        assert_eq!(shown(&output), format!("0: accepted: version {} is in force\n", before + 1));
        assert_eq!(setting.end().await, before + 1);
    }
}

#[tokio::test]
async fn an_append_that_never_arrived_is_sent_again() {
    let setting = Setting::start().await;
    setting.log.update(|settings| settings.lose_appends = 1);
    let output = setting.publish_base("0", 20).await;
    assert_eq!(shown(&output), "0: accepted: version 1 is in force\n");
    assert_eq!(setting.end().await, 1);
}

#[tokio::test]
async fn an_outage_is_told_and_nothing_is_published() {
    let setting = Setting::start().await;
    setting.log.update(|settings| settings.outage = true);
    let path = setting.write("base.yaml", &base_text(5));
    let path = path.to_str().unwrap();
    let arguments = ["--made-from", "0", "--base", path, "--timeout-ms", "3000"];
    expect![[r#"
        1: not published: the log can't be read: the service answered that it is unavailable; publish again later
    "#]].assert_eq(&shown(&setting.publish(&arguments).await));
    setting.log.update(|settings| settings.outage = false);
    assert_eq!(setting.end().await, 0);
}

#[tokio::test]
async fn a_trimmed_log_is_read_from_its_snapshot() {
    let setting = Setting::start().await;
    for (version, rate) in [("0", 10), ("1", 20), ("2", 30)] {
        assert!(setting.publish_base(version, rate).await.status.success());
    }
    let mut replica = ConfigLog::new("north", Duration::from_secs(60));
    let page = setting.client().read(CONFIG_STREAM, Offset(1), 9, Duration::ZERO).await.unwrap();
    for record in page.records {
        replica.apply(record.offset, &record.payload, Timestamp::default());
    }
    let snapshot = replica.take_snapshot(RecordId("s".into()), Timestamp::default()).unwrap();
    setting.log.update(|settings| settings.retention_records = 1);
    // The last record stays; without a snapshot nobody can judge it.
    expect![[r#"
        1: not published: the log dropped old records and holds no snapshot; start an entry process that still knows the configuration, or wait for its snapshot
    "#]].assert_eq(&shown(&setting.publish_base("3", 40).await));
    setting.client().append(CONFIG_STREAM, "s", &snapshot).await.unwrap();
    expect![[r#"
        1: rejected at offset 5: there is no key none in force; correct the name
    "#]]
    .assert_eq(&shown(&setting.publish(&["--withdraw-key", "none"]).await));
}

#[tokio::test]
async fn newer_rules_on_the_log_stop_an_old_program() {
    let setting = Setting::start().await;
    assert!(setting.publish_base("0", 10).await.status.success());
    let id = RecordId("new".into());
    let payload = encode_envelope(RULES_VERSION + 1, &id, Vec::new()).unwrap();
    setting.client().append(CONFIG_STREAM, "new", &payload).await.unwrap();
    expect![[r#"
        1: not published: the log holds a record under rules 2; use a newer version of this program
    "#]]
    .assert_eq(&shown(&setting.publish_base("1", 20).await));
    assert_eq!(setting.end().await, 2);
}

#[tokio::test]
async fn a_file_name_from_the_log_does_not_lead_out_of_the_directory() {
    let setting = Setting::start().await;
    let base = config::SourceFile::new("../escape.yaml", &base_text(1));
    let change = Change::Files { base_version: Offset(0), base, overlays: Vec::new() };
    setting.append("x", change).await;
    let inner = setting.directory.path().join("inner");
    let output = setting.publish(&["--fetch", inner.to_str().unwrap()]).await;
    assert!(output.status.success());
    assert!(inner.join("escape.yaml").exists());
    assert!(!setting.directory.path().join("escape.yaml").exists());
}
