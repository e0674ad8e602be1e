//! What an agent remembers of streams for gateways.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use base::{Incarnation, Offset, ProcessId, ProcessName};
use config::AgentSettings;
use tokio::net::UdpSocket;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};
use wire::{
    AgentAsk, Datagram, DatagramBody, DatagramSocket, Echo, KnownStream, StreamAnswer, StreamAsk,
    StreamOrigin,
};

/// Bound on the wait for an answer on the loopback interface.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// A run of a gateway.
struct Gateway {
    socket: DatagramSocket,
    incarnation: u64,
    agent: SocketAddr,
}

impl Gateway {
    async fn start(incarnation: u64, agent: SocketAddr) -> Self {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        socket.writable().await.unwrap();
        Self { socket: DatagramSocket::new(socket), incarnation, agent }
    }

    fn send(&self, body: DatagramBody) {
        let from = ProcessId {
            name: ProcessName::new("front-1"),
            incarnation: Incarnation(self.incarnation),
        };
        self.socket.send(&Datagram { from, echo: Echo::default(), body }, self.agent);
    }

    async fn ask(&self, attempt: u64) -> StreamAnswer {
        self.send(DatagramBody::StreamAsk(StreamAsk { attempt, service: 1 }));
        let mut buffer = Vec::new();
        let received = timeout(WAIT_LIMIT, self.socket.receive(&mut buffer)).await;
        match received.unwrap().0.body {
            DatagramBody::StreamAnswer(answer) => answer,
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against a stream whose version is forgotten with the gateway that began it.
#[tokio::test]
async fn an_agent_outlives_the_gateway_that_told_it_of_a_stream() {
    let local = LocalSet::new();
    let run = async {
        let free = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = free.local_addr().unwrap();
        drop(free);
        let settings = AgentSettings {
            name: "side-1".into(),
            ip: address.ip(),
            peer_port: address.port(),
            ..AgentSettings::default()
        };
        let _agent = agent::start(settings).await.unwrap();
        let first = Gateway::start(1, address).await;
        for (attempt, software) in [(7, "v1"), (8, "v2")] {
            let software = software.into();
            let origin = StreamOrigin { attempt, service: 1, software };
            first.send(DatagramBody::StreamBegun(origin));
        }
        drop(first);
        let second = Gateway::start(2, address).await;
        let versions = vec!["v1".into(), "v2".into()];
        let software = Some("v1".into());
        assert_eq!(
            second.ask(7).await,
            StreamAnswer { attempt: 7, software, versions: versions.clone() }
        );
        assert_eq!(second.ask(9).await, StreamAnswer { attempt: 9, software: None, versions });
    };
    local.run_until(run).await;
}

/// Guards against streams whose versions are lost with an agent that is stopped as planned, also after its
/// target has left.
#[tokio::test]
async fn a_stopping_agent_hands_its_streams_to_a_gateway() {
    let local = LocalSet::new();
    let run = async {
        let free = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = free.local_addr().unwrap();
        drop(free);
        let settings = AgentSettings {
            name: "side-1".into(),
            ip: address.ip(),
            peer_port: address.port(),
            ..AgentSettings::default()
        };
        let agent = agent::start(settings).await.unwrap();
        let gateway = Gateway::start(1, address).await;
        let origin = StreamOrigin { attempt: 7, service: 1, software: "v1".into() };
        gateway.send(DatagramBody::StreamBegun(origin.clone()));
        gateway.send(DatagramBody::Ask(AgentAsk {
            wants_state: false,
            config: Offset::default(),
            store_era: None,
            target: "engine-1".into(),
            born_ms: None,
            used_adapters: Vec::new(),
            wanted_adapters: Vec::new(),
            plan: None,
        }));
        assert!(gateway.ask(7).await.software.is_some(), "both datagrams have arrived");
        // Gateways don't speak to agents whose targets leave.
        sleep(Duration::from_millis(2_500)).await;
        agent.stop();
        let mut buffer = Vec::new();
        let received = timeout(WAIT_LIMIT, gateway.socket.receive(&mut buffer)).await;
        let DatagramBody::StreamsKnown(known) = received.unwrap().0.body else {
            panic!("another datagram")
        };
        assert_eq!(known.len(), 1);
        assert_eq!(known[0].origin, origin);
        // A further agent is told of it by the gateway.
        gateway.send(DatagramBody::StreamsKnown(vec![KnownStream {
            origin: StreamOrigin { attempt: 8, ..origin },
            age_ms: 1_000,
        }]));
        assert_eq!(gateway.ask(8).await.software, Some("v1".into()));
    };
    local.run_until(run).await;
}
