//! Authority to serve keyed requests when the log is down, cut off or known through a peer.

mod common;

use std::time::Duration;

use common::fake_side::Act;
use common::raw::{call, open, read_to_end, read_until};
use common::{KEY, OLD_KEY, Site, completion, eventually, named_settings, run, settings};
use config::EntrySettings;
use standin::{Blocked, LinkFaults};
use tokio::time::{Instant, sleep};

const PATH: &str = "/v1/completions";
const AUTHORITY_MS: u64 = 800;

fn short(name: &str) -> EntrySettings {
    let mut settings = named_settings(name);
    settings.authority_ms = AUTHORITY_MS;
    settings.platform.log_poll_ms = 100;
    settings.platform.request_timeout_ms = 200;
    settings
}

/// Longer than any authority that was held before can last.
async fn outlast_authority() {
    sleep(Duration::from_millis(2 * AUTHORITY_MS)).await;
}

fn black_hole() -> LinkFaults {
    LinkFaults { blocked: Blocked::Both, ..LinkFaults::default() }
}

async fn complete(site: &Site, node: usize, key: &str) -> String {
    let callers = site.nodes[node].handle.caller_address();
    call(callers, "POST", PATH, Some(key), &completion("m", 4, false)).await.summary()
}

/// Guards against a key that works on after a withdrawal stored just before an outage: the log's answer
/// "unavailable" is no evidence that nothing was withdrawn.
#[test]
fn an_outage_of_the_log_ends_the_service_of_keys_until_it_is_back() {
    run(async {
        let site = Site::start(short("entry-1"), &["e1", "s1"]).await;
        site.log.update(|log| log.outage = true);
        outlast_authority().await;
        assert_eq!(complete(&site, 0, KEY).await, "503 no_authority not_run");
        assert!(!site.entry().is_ready());
        let public = call(site.callers(), "GET", "/public/1", None, "").await;
        assert_eq!(public.summary(), "201");

        site.log.update(|log| log.outage = false);
        eventually(|| site.entry().is_ready()).await;
        assert_eq!(complete(&site, 0, KEY).await, "200");
    });
}

/// Guards against an entry that serves keys on while it can't hear of their withdrawal: one that is
/// cut off from the log, with another entry on the VM list that it can't reach either.
#[test]
fn an_entry_that_is_cut_off_refuses_keys_and_ends_their_streams() {
    run(async {
        let site = Site::start(short("entry-1"), &["e1", "s1"]).await;
        let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        site.list_entry("vm-entry-2", nobody.local_addr().unwrap());
        // Time for the list to be read.
        sleep(Duration::from_millis(1_500)).await;
        site.script(&[Act::Endless]);
        let body = completion("m", 1_000_000, true);
        let mut stream = open(site.callers(), "POST", PATH, Some(KEY), &body).await;
        read_until(&mut stream, "t5 ").await;
        let cut = Instant::now();
        site.nodes[0].log_link.set(black_hole());
        let rest = String::from_utf8(read_to_end(&mut stream).await).unwrap();
        assert!(rest.contains("\"code\":\"no_authority\""), "{rest}");
        assert!(cut.elapsed() < Duration::from_secs(3), "{:?}", cut.elapsed());
        assert_eq!(complete(&site, 0, KEY).await, "503 no_authority not_run");
        assert!(!site.entry().is_ready());
        let public = call(site.callers(), "GET", "/public/1", None, "").await;
        assert_eq!(public.summary(), "201");

        site.nodes[0].log_link.set(LinkFaults::default());
        eventually(|| site.entry().is_ready()).await;
        assert_eq!(complete(&site, 0, KEY).await, "200");
    });
}

/// Guards against refusals, and against a withdrawal that is not learned, while another entry reaches
/// the log.
#[test]
fn an_entry_that_is_cut_off_goes_on_through_a_peer_and_learns_of_withdrawals() {
    run(async {
        let both = vec![short("entry-1"), short("entry-2")];
        let mut site = Site::start_all(both, &["e1"]).await;
        site.nodes[0].log_link.set(black_hole());
        outlast_authority().await;
        assert_eq!(complete(&site, 0, KEY).await, "200");
        assert_eq!(complete(&site, 0, OLD_KEY).await, "200");
        site.script(&[Act::Endless]);
        let body = completion("m", 1_000_000, true);
        let mut stream = open(site.callers(), "POST", PATH, Some(OLD_KEY), &body).await;
        read_until(&mut stream, "t5 ").await;
        site.withdraw("capel-old");
        let withdrawn = Instant::now();
        let rest = String::from_utf8(read_to_end(&mut stream).await).unwrap();
        assert!(rest.contains("\"code\":\"key_withdrawn\""), "{rest}");
        assert!(withdrawn.elapsed() < Duration::from_secs(3));
        assert_eq!(complete(&site, 0, OLD_KEY).await, "401 invalid_key not_run");
        assert_eq!(complete(&site, 0, KEY).await, "200");
    });
}

/// Guards against service before a configuration is known.
#[test]
fn without_a_configuration_nothing_is_served() {
    run(async {
        let log = standin::LogServer::start(standin::LogServerSettings::default()).await.unwrap();
        let mut settings = settings();
        settings.platform.log_address = log.address();
        let entry = entry::start(settings).await.unwrap();
        for path in ["/v1/models", "/public/1"] {
            let answer = call(entry.caller_address(), "GET", path, Some(KEY), "").await;
            assert_eq!(answer.summary(), "503 no_authority not_run");
            assert_eq!(answer.header("retry-after"), Some("1"));
        }
        let ready = call(entry.operator_address(), "GET", "/readyz", None, "").await;
        assert_eq!(
            (ready.status, ready.body.as_str()),
            (503, "not ready: no configuration in force\n")
        );
        let health = call(entry.operator_address(), "GET", "/healthz", None, "").await;
        assert_eq!(health.status, 200);
    });
}

/// Guards against a fleet that can't grow or restart during an outage of the log: the newcomer has a
/// configuration at once, and serves keys as soon as the log is back.
#[test]
fn an_entry_that_starts_during_an_outage_takes_configuration_and_slots_from_a_peer() {
    run(async {
        let mut site = Site::start(short("entry-1"), &["e1", "s1"]).await;
        site.log.update(|log| log.outage = true);
        site.add_entry(short("entry-2")).await;
        let callers = site.nodes[1].handle.caller_address();
        let start = Instant::now();
        // Public routes need no authority, but the configuration.
        while call(callers, "GET", "/public/1", None, "").await.summary() != "201" {
            assert!(start.elapsed() < Duration::from_secs(10), "no configuration from the peer");
            sleep(Duration::from_millis(50)).await;
        }
        outlast_authority().await;
        assert_eq!(complete(&site, 1, KEY).await, "503 no_authority not_run");
        site.log.update(|log| log.outage = false);
        eventually(|| site.nodes[1].handle.is_ready()).await;
        site.wait_until_ready().await;
        // The newcomer owns no slot and reserves at the owner.
        assert_eq!(complete(&site, 1, KEY).await, "200");
    });
}
