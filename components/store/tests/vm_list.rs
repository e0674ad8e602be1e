//! VM list client against the stand-in.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use base::Role;
use standin::{ListedState, ListedVm, VmListServer, VmListSettings};
use store::{HttpVmList, StoreError, VmListSource, VmState};

fn vm(name: &str, state: ListedState) -> ListedVm {
    ListedVm {
        name: name.into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        role: Role::Entry,
        region: "cymru-de".into(),
        data_centre: "caerdydd-a".into(),
        state,
    }
}

fn client(server: &VmListServer) -> HttpVmList {
    HttpVmList::new(server.address(), Duration::from_millis(300))
}

#[tokio::test]
async fn lists_the_vms() {
    let vms = vec![vm("vm-1", ListedState::Live), vm("vm-2", ListedState::Leaving)];
    let server = VmListServer::start(VmListSettings { vms, ..Default::default() }).await.unwrap();
    let list = client(&server).list().await.unwrap();
    let seen: Vec<_> = list.vms.iter().map(|vm| (vm.name.as_str(), vm.state)).collect();
    assert_eq!(seen, [("vm-1", VmState::Live), ("vm-2", VmState::Leaving)]);
    assert_eq!(list.vms[0].data_centre, "caerdydd-a");
}

/// The list may lag behind for added and for removed VMs, and its version must not decrease when
/// the lag grows.
#[tokio::test]
async fn change_shows_after_the_lag_and_the_version_never_decreases() {
    let vms = vec![vm("vm-1", ListedState::Live)];
    let settings = VmListSettings { vms, lag_ms: 300, ..Default::default() };
    let server = VmListServer::start(settings).await.unwrap();
    let client = client(&server);
    let before = client.list().await.unwrap();
    server.update(|settings| settings.vms.clear());
    assert_eq!(client.list().await.unwrap(), before);
    tokio::time::sleep(Duration::from_millis(320)).await;
    let after = client.list().await.unwrap();
    assert!(after.vms.is_empty() && after.version > before.version);
    server.update(|settings| settings.lag_ms = 60_000);
    assert_eq!(client.list().await.unwrap(), after);
}

#[tokio::test]
async fn outage_and_closed_port_are_distinguished() {
    let mut server =
        VmListServer::start(VmListSettings { outage: true, ..Default::default() }).await.unwrap();
    let client = client(&server);
    assert_eq!(client.list().await, Err(StoreError::Unavailable));
    server.stop().await;
    assert_eq!(client.list().await, Err(StoreError::Unreachable));
}
