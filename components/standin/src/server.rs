//! An HTTP/1.1 server with settings that can be changed while it runs.

use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use crate::control::merge;
use crate::reply::{Reply, json, read_body, text};

/// Path at which the settings are read (`GET`) and changed (`POST` with the fields to change).
const CONTROL_PATH: &str = "/control";

/// Locks a mutex; a poisoned one is used on, since a panic in a test is reported elsewhere.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Behaviour of a stand-in server.
pub trait Service: Send + Sync + 'static {
    /// Settings that can be changed while the server runs.
    type Settings: Clone + Default + DeserializeOwned + Send + Serialize;

    /// A service in its first state.
    fn new(settings: Self::Settings) -> Self;

    /// The settings in force.
    fn settings(&self) -> &Mutex<Self::Settings>;

    /// Starts the service's own tasks.
    fn started(self: &Arc<Self>) {}

    /// Takes notice of changed settings.
    fn settings_changed(&self) {}

    /// Loses what the real thing would lose when its process dies.
    fn restarted(&self) {}

    /// Answers a request; an error breaks the connection.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Reply> + Send;
}

/// Handle of a running stand-in; dropping it stops the server.
pub struct Server<S: Service> {
    pub(crate) service: Arc<S>,
    address: SocketAddr,
    task: Option<JoinHandle<()>>,
}

impl<S: Service> Server<S> {
    /// Starts the server on an ephemeral loopback port, as tasks of the current runtime.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(settings: S::Settings) -> io::Result<Self> {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), settings).await
    }

    /// Starts the server at `address`, as tasks of the current runtime.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start_at(address: SocketAddr, settings: S::Settings) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let service = Arc::new(S::new(settings));
        service.started();
        let task = Some(tokio::spawn(accept_all(listener, service.clone())));
        Ok(Self { service, address, task })
    }

    /// The service behind the server.
    pub fn service(&self) -> &Arc<S> {
        &self.service
    }

    /// Where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The settings in force.
    pub fn settings(&self) -> S::Settings {
        lock(self.service.settings()).clone()
    }

    /// Changes settings.
    pub fn update(&self, change: impl FnOnce(&mut S::Settings)) {
        change(&mut lock(self.service.settings()));
        self.service.settings_changed();
    }

    /// Dies: closes the port and breaks every connection.
    pub async fn stop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
            // The port is free once the task has ended; its only result is the cancellation.
            let _cancelled = task.await;
            self.service.restarted();
        }
    }

    /// Starts again on the same port, after `stop` if it has not been called.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn restart(&mut self) -> io::Result<()> {
        self.stop().await;
        let listener = TcpListener::bind(self.address).await?;
        self.task = Some(tokio::spawn(accept_all(listener, self.service.clone())));
        Ok(())
    }
}

impl<S: Service> Drop for Server<S> {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

async fn accept_all<S: Service>(listener: TcpListener, service: Arc<S>) {
    // Dropped with this task, which breaks all connections.
    let mut connections = JoinSet::new();
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            connections.spawn(serve(stream, service.clone()));
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve<S: Service>(stream: TcpStream, service: Arc<S>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let answer = service_fn(|request| dispatch(service.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), answer);
    if let Err(error) = connection.await {
        log::debug!("event=connection_ended error=\"{error}\"");
    }
}

async fn dispatch<S: Service>(service: Arc<S>, request: Request<Incoming>) -> Reply {
    if request.uri().path() != CONTROL_PATH {
        return service.handle(request).await;
    }
    if request.method() == Method::POST {
        let body = read_body(request.into_body()).await?;
        let merged = merge(&*lock(service.settings()), &body);
        match merged {
            Ok(settings) => *lock(service.settings()) = settings,
            Err(error) => return text(StatusCode::BAD_REQUEST, &error.to_string()),
        }
        service.settings_changed();
    }
    let settings = lock(service.settings()).clone();
    json(StatusCode::OK, &settings)
}
