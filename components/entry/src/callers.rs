//! Accepts callers' connections.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::app::App;
use crate::connection::serve_caller;

/// Pause after a failed accept, most likely for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections up to the limit until the process drains; then closes the listener.
pub(crate) async fn accept_callers(app: Rc<App>, listener: TcpListener) {
    let permits = std::sync::Arc::new(Semaphore::new(app.settings.callers.connections));
    let mut stage = app.stage.subscribe();
    loop {
        let accepted = async {
            let permit = std::sync::Arc::clone(&permits).acquire_owned().await;
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            accepted = accepted => accepted,
            _ = stage.wait_for(|stage| stage.is_draining()) => return,
        };
        let Ok((socket, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if let Err(error) = socket.set_nodelay(true) {
            log::debug!("event=nodelay_failed error=\"{error}\"");
        }
        let app = Rc::clone(&app);
        tokio::task::spawn_local(async move {
            let _counted = Counted::new(&app.connections);
            serve_caller(Rc::clone(&app), socket).await;
            drop(permit);
        });
    }
}

/// Counts a connection while it lives.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
