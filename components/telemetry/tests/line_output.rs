//! Log lines to an output that is read slowly or not at all.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::io::{BufRead, BufReader, Read, Write, pipe};
use std::os::unix::net::UnixDatagram;
use std::time::{Duration, Instant};

use telemetry::{LineOutput, MAX_LINE_BYTES, MAX_LINES_PER_S};

/// Guards against a process that stops serving because nobody reads its log.
#[test]
fn lines_that_nobody_reads_are_dropped_and_counted() {
    let (mut reader, writer) = pipe().unwrap();
    let mut output = LineOutput::new(writer);
    let start = Instant::now();
    let line = format!("{}\n", "x".repeat(1_023));
    let written = 1_000;
    for _ in 0..written {
        output.write_all(line.as_bytes()).unwrap();
    }
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    let mut bytes = vec![0; 1 << 20];
    let kept = reader.read(&mut bytes).unwrap() / line.len();
    assert!(kept > 0 && kept < written, "{kept} lines fit into the pipe");
    output.write_all(b"next\n").unwrap();
    drop(output);
    let lines: Vec<String> = BufReader::new(reader).lines().map(Result::unwrap).collect();
    let dropped = written - kept;
    assert_eq!(lines, [format!("WARN event=log_lines_dropped lines={dropped}"), "next".into()]);
}

/// Guards against a fault that fills the disk of the log's reader: more lines than the limit are dropped.
#[test]
fn lines_beyond_the_limit_a_second_are_dropped() {
    let (reader, writer) = pipe().unwrap();
    let counted = std::thread::spawn(move || BufReader::new(reader).lines().count());
    let mut output = LineOutput::new(writer);
    let start = Instant::now();
    for _ in 0..3 * MAX_LINES_PER_S {
        output.write_all(b"x\n").unwrap();
    }
    let spans = u32::try_from(start.elapsed().as_secs()).unwrap() + 1;
    drop(output);
    let most = usize::try_from(spans * MAX_LINES_PER_S).unwrap() + 2;
    let lines = counted.join().unwrap();
    assert!(lines <= most, "{lines} lines in {spans} s");
}

/// Guards against lines in pieces, and against one line that needs more room than a ready pipe has.
#[test]
fn a_line_is_one_write_of_bounded_length() {
    let (reader, writer) = UnixDatagram::pair().unwrap();
    let file = std::fs::File::from(std::os::fd::OwnedFd::from(writer));
    let mut output = LineOutput::new(file);
    for part in ["a ", "b", " c\nd", "\n"] {
        output.write_all(part.as_bytes()).unwrap();
    }
    output.write_all(format!("{}\n", "x".repeat(3 * MAX_LINE_BYTES)).as_bytes()).unwrap();
    let mut bytes = vec![0; 4 * MAX_LINE_BYTES];
    for expected in ["a b c\n", "d\n"] {
        let length = reader.recv(&mut bytes).unwrap();
        assert_eq!(&bytes[..length], expected.as_bytes());
    }
    let length = reader.recv(&mut bytes).unwrap();
    assert_eq!((length, bytes[length - 1]), (MAX_LINE_BYTES, b'\n'));
}
