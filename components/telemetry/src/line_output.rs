//! Output of log lines that never waits.

use std::io::{self, Write};
use std::mem;
use std::os::fd::AsFd;
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Longest line, in bytes. A pipe that is ready takes this much without waiting (`PIPE_BUF`).
pub const MAX_LINE_BYTES: usize = 4_096;

/// Most lines a second. A gateway writes four or five lines a request, so this is some 800 requests a
/// second, thirty times the share of one node at the size to design for.
pub const MAX_LINES_PER_S: u32 = 4_000;

/// Span over which lines are counted.
const LINE_COUNT_WINDOW: Duration = Duration::from_secs(1);

/// Writes whole lines to `output` and drops those that it does not take at once, or that are too many.
/// The number of dropped lines is written as soon as a line can be.
#[derive(Debug)]
pub struct LineOutput<W> {
    output: W,
    line: Vec<u8>,
    dropped: u64,
    window_start: Instant,
    window_lines: u32,
}

impl<W: AsFd + Write> LineOutput<W> {
    /// Output to a file, terminal, pipe or socket.
    pub fn new(output: W) -> Self {
        Self {
            output,
            line: Vec::with_capacity(MAX_LINE_BYTES),
            dropped: 0,
            window_start: Instant::now(),
            window_lines: 0,
        }
    }

    /// Whether a line can be written without waiting.
    fn is_ready(&self) -> bool {
        let mut fds = [PollFd::new(&self.output, PollFlags::OUT)];
        let ready = poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }));
        ready.is_ok_and(|count| count > 0) && fds[0].revents().contains(PollFlags::OUT)
    }

    fn is_within_limit(&mut self, now: Instant) -> bool {
        if now.duration_since(self.window_start) >= LINE_COUNT_WINDOW {
            self.window_start = now;
            self.window_lines = 0;
        }
        self.window_lines += 1;
        self.window_lines <= MAX_LINES_PER_S
    }

    /// Writes the line, or counts it as dropped. There is no place to report a failed write, since this
    /// is the log; the count says later that lines are missing.
    fn finish_line(&mut self) {
        let mut line = mem::take(&mut self.line);
        if line.len() > MAX_LINE_BYTES {
            line.truncate(MAX_LINE_BYTES - 1);
            line.push(b'\n');
        }
        if !self.is_within_limit(Instant::now()) || !self.is_ready() {
            self.dropped += 1;
        } else {
            if self.dropped > 0 {
                let note = format!("WARN event=log_lines_dropped lines={}\n", self.dropped);
                if self.output.write_all(note.as_bytes()).is_ok() {
                    self.dropped = 0;
                }
            }
            // The note may have filled the output.
            if !self.is_ready() || self.output.write_all(&line).is_err() {
                self.dropped += 1;
            }
        }
        line.clear();
        self.line = line;
    }
}

impl<W: AsFd + Write> Write for LineOutput<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(part);
            if part.ends_with(b"\n") {
                self.finish_line();
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
