//! Connection of a caller that validates each request head before the HTTP server reads it.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use api::{BodyFraming, ChunkedScanner, HeadError, check_head};
use bytes::{Buf, BytesMut};
use config::CallerLimits;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::BudgetedConnection;
use crate::connection_activity::ConnectionActivity;

const READ_BUFFER_BYTES: usize = 8_192;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Reads requests from a socket and passes on only complete and well-formed heads.
///
/// After a fault it reads as closed; the fault is kept for the error response. Buffers at most the
/// head size limit plus one read buffer.
pub struct HeadValidatingStream {
    inner: TcpStream,
    budgeted: Rc<BudgetedConnection>,
    activity: Rc<ConnectionActivity>,
    limits: CallerLimits,
    unchecked: BytesMut,
    checked: BytesMut,
    phase: Phase,
    head_deadline: Option<Pin<Box<Sleep>>>,
    fault: Option<HeadError>,
}

enum Phase {
    Head,
    Length(u64),
    Chunked(ChunkedScanner),
}

impl HeadValidatingStream {
    /// A stream whose first head must arrive within the timeout, counted from now.
    pub(crate) fn new(
        inner: TcpStream,
        limits: CallerLimits,
        budgeted: Rc<BudgetedConnection>,
        activity: Rc<ConnectionActivity>,
    ) -> Self {
        let mut stream = Self {
            inner,
            budgeted,
            activity,
            limits,
            unchecked: BytesMut::new(),
            checked: BytesMut::new(),
            phase: Phase::Head,
            head_deadline: None,
            fault: None,
        };
        stream.start_head_deadline();
        stream
    }

    /// Fault of a rejected head. A fault inside a body is reported by the HTTP server, which has
    /// already received the request.
    pub const fn head_fault(&self) -> Option<HeadError> {
        match self.phase {
            Phase::Head => self.fault,
            Phase::Length(_) | Phase::Chunked(_) => None,
        }
    }

    /// Bytes that were read from the socket and not passed on.
    pub fn buffered_bytes(&self) -> usize {
        self.checked.len() + self.unchecked.len()
    }

    /// Whether bytes have arrived that were not passed on.
    pub fn has_input(&self) -> bool {
        self.buffered_bytes() > 0 || waiting_bytes(&self.inner) > 0
    }

    /// Returns the socket, to send an error response and close it.
    pub fn into_socket(self) -> TcpStream {
        self.inner
    }

    fn start_head_deadline(&mut self) {
        let limit = Duration::from_millis(self.limits.head_timeout_ms);
        self.head_deadline = Some(Box::pin(sleep_until(Instant::now() + limit)));
    }

    /// Moves validated bytes from `unchecked` to `checked`.
    fn check(&mut self) -> Result<(), HeadError> {
        while !self.unchecked.is_empty() {
            match &mut self.phase {
                Phase::Head => {
                    // RFC 9112, section 2.2: empty lines before a request line are ignored.
                    while self.unchecked.starts_with(b"\r\n") {
                        self.unchecked.advance(2);
                    }
                    let end =
                        self.unchecked.windows(HEAD_END.len()).position(|part| part == HEAD_END);
                    let length = end.map_or(self.unchecked.len(), |at| at + HEAD_END.len());
                    if length > self.limits.head_bytes {
                        return Err(HeadError::TooLarge);
                    }
                    if end.is_none() {
                        if self.head_deadline.is_none() && !self.unchecked.is_empty() {
                            self.start_head_deadline();
                        }
                        return Ok(());
                    }
                    self.phase = match check_head(
                        &self.unchecked[..length],
                        self.limits.header_count,
                        self.limits.api_key_header,
                    )? {
                        BodyFraming::Length(0) => Phase::Head,
                        BodyFraming::Length(bytes) => Phase::Length(bytes),
                        BodyFraming::Chunked => Phase::Chunked(ChunkedScanner::default()),
                    };
                    self.head_deadline = None;
                    self.release(length);
                }
                Phase::Length(left) => {
                    let length =
                        usize::try_from(*left).unwrap_or(usize::MAX).min(self.unchecked.len());
                    *left -= length as u64;
                    if *left == 0 {
                        self.phase = Phase::Head;
                    }
                    self.release(length);
                }
                Phase::Chunked(scanner) => {
                    let end = scanner.scan(&self.unchecked)?;
                    if end.is_some() {
                        self.phase = Phase::Head;
                    }
                    self.release(end.unwrap_or(self.unchecked.len()));
                }
            }
        }
        Ok(())
    }

    fn release(&mut self, length: usize) {
        self.checked.extend_from_slice(&self.unchecked[..length]);
        self.unchecked.advance(length);
    }

    fn record_write(&self, result: &Poll<io::Result<usize>>) {
        match result {
            Poll::Ready(Ok(written)) => self.budgeted.record_sent(*written),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.budgeted.record_blocked(),
        }
    }

    fn poll_head_deadline(&mut self, context: &mut Context<'_>) {
        if let Some(deadline) = &mut self.head_deadline
            && deadline.as_mut().poll(context).is_ready()
        {
            self.fault = Some(HeadError::Slow);
        }
    }
}

/// Bytes that wait in a socket, as far as one read would take them. The runtime's view of the socket
/// may be older.
pub(crate) fn waiting_bytes(socket: &TcpStream) -> usize {
    let mut buffer = [MaybeUninit::uninit(); READ_BUFFER_BYTES];
    SockRef::from(socket).peek(&mut buffer).unwrap_or_default()
}

impl AsyncRead for HeadValidatingStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            if !this.checked.is_empty() {
                let length = this.checked.len().min(buffer.remaining());
                buffer.put_slice(&this.checked[..length]);
                this.checked.advance(length);
                return Poll::Ready(Ok(()));
            }
            if this.fault.is_none() {
                this.poll_head_deadline(context);
            }
            if this.fault.is_some() {
                return Poll::Ready(Ok(()));
            }
            let mut read_buffer = [0; READ_BUFFER_BYTES];
            let mut read = ReadBuf::new(&mut read_buffer);
            ready!(Pin::new(&mut this.inner).poll_read(context, &mut read))?;
            if read.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            this.unchecked.extend_from_slice(read.filled());
            if let Err(fault) = this.check() {
                this.fault = Some(fault);
            }
        }
    }
}

impl AsyncWrite for HeadValidatingStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.inner).poll_write(context, bytes);
        this.record_write(&result);
        result
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        // The HTTP server flushes only after it has written all that it has.
        this.budgeted.record_flush();
        this.activity.record_flush(Instant::now());
        Pin::new(&mut this.inner).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.inner).poll_write_vectored(context, slices);
        this.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
