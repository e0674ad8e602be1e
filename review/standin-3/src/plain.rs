//! Stand-in of a worker of a plain service, which can end and start again under its identifier.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Request, respond};
use crate::record::Record;
use crate::store::Store;

/// Time between two writes of the worker's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// A worker; clones share it.
#[derive(Clone)]
pub struct PlainWorker {
    id: String,
    service: String,
    address: SocketAddr,
    store: Store,
    record: Record,
    /// Number of the current life; odd while it runs.
    life: Arc<AtomicU64>,
}

impl PlainWorker {
    /// A worker that has not started.
    pub fn new(
        id: &str,
        service: &str,
        address: SocketAddr,
        store: &Store,
        record: &Record,
    ) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            store: store.clone(),
            record: record.clone(),
            life: Arc::default(),
        }
    }

    /// Starts a life with this version of the software, and writes its entry at once and regularly.
    pub fn start(&self, software: &'static str) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        let life = self.life.fetch_add(1, Ordering::SeqCst) + 1;
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        self.record.line(&format!("worker {} starts with software {software}", self.id));
        let worker = self.clone();
        thread::spawn(move || {
            while worker.lives(life) {
                match listener.accept() {
                    Ok((socket, _)) => {
                        let worker = worker.clone();
                        thread::spawn(move || worker.serve_connection(socket, life, software));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        let worker = self.clone();
        thread::spawn(move || {
            let entry = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"caerdydd-a\",\"version\":\"{software}\",\
                 \"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":0,\"born\":{born_ms}}}",
                worker.service, worker.address
            );
            while worker.lives(life) {
                worker.store.put("keyed.servers", &worker.id, entry.as_bytes());
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(())
    }

    /// Ends the life without a word; its connections break.
    pub fn crash(&self) {
        self.life.fetch_add(1, Ordering::SeqCst);
        self.record.line(&format!("worker {} crashes", self.id));
    }

    fn lives(&self, life: u64) -> bool {
        self.life.load(Ordering::SeqCst) == life
    }

    fn serve_connection(&self, socket: TcpStream, life: u64, software: &str) {
        let _blocking = socket.set_nonblocking(false);
        let _nodelay = socket.set_nodelay(true);
        let Ok(mut writer) = socket.try_clone() else { return };
        // A crash breaks the connection also while it is idle.
        let (watched, worker) = (socket.try_clone(), self.clone());
        thread::spawn(move || {
            while worker.lives(life) {
                thread::sleep(Duration::from_millis(2));
            }
            if let Ok(socket) = watched {
                let _closed = socket.shutdown(Shutdown::Both);
            }
        });
        let mut reader = BufReader::new(socket);
        while let Ok(Some(request)) = Request::read(&mut reader) {
            if !self.lives(life) || self.answer(&request, &mut writer, life, software).is_err() {
                break;
            }
        }
        let _closed = writer.shutdown(Shutdown::Both);
    }

    fn answer(
        &self,
        request: &Request,
        writer: &mut TcpStream,
        life: u64,
        software: &str,
    ) -> io::Result<()> {
        if request.path() == "/health" {
            let headers = format!("Plantainbeam-Instance-Id: {}\r\n", self.id);
            return respond(writer, "200 OK", &headers, b"");
        }
        let id = request.header("plantainbeam-attempt-id").unwrap_or_default().to_owned();
        if request
            .header("plantainbeam-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            let headers = format!(
                "Plantainbeam-Attempt-Id: {id}\r\nPlantainbeam-Instance-Id: {}\r\n\
                 Plantainbeam-Not-Executed: 1\r\n",
                self.id
            );
            return respond(writer, "421 Misdirected Request", &headers, b"");
        }
        let tenant = request.header("plantainbeam-tenant").unwrap_or("(none)");
        self.record.line(&format!(
            "worker {} ({software}) runs {id} for tenant {} after event {}",
            self.id,
            tenant,
            request.header("last-event-id").unwrap_or("0")
        ));
        let headers =
            format!("Plantainbeam-Attempt-Id: {id}\r\nPlantainbeam-Response-Seal: seal-{id}\r\n");
        if !request.path().contains("stream") {
            return respond(writer, "200 OK", &headers, b"done");
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{headers}\r\n"
        );
        writer.write_all(head.as_bytes())?;
        let after: u64 =
            request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or_default();
        for number in after + 1..=40 {
            thread::sleep(EVENT_INTERVAL);
            if !self.lives(life) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let event = format!("id: {number}\ndata: {software}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
