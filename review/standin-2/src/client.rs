//! Stand-in of a caller.

use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::deployment::{HOST, KEY, MODEL};
use crate::http::{read_body, read_chunk, read_head, send};

/// A request for a stream.
#[derive(Clone, Debug)]
pub struct StreamRequest {
    pub id: String,
    /// Parts of the prompt.
    pub parts: String,
    /// Events of the whole stream.
    pub events: u64,
    pub deadline_ms: u64,
    /// Last event that the caller has, and the attempt that brought the first one.
    pub resumes: Option<(u64, String)>,
}

/// An event: its number and the software version of the worker that wrote it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    pub number: u64,
    pub version: String,
    /// Number of events that the worker has for the whole stream.
    pub last: u64,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// The answer ended as a complete one.
    Complete,
    /// The connection ended before that.
    Cut,
    /// Another status than 200.
    Status(u16),
    /// There was no answer.
    NoAnswer,
}

/// What the caller got.
#[derive(Clone, Debug)]
pub struct Answer {
    pub events: Vec<Event>,
    pub end: StreamEnd,
}

impl StreamRequest {
    fn bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "POST /calls/2f HTTP/1.1\r\nHost: {HOST}\r\nPlantainbeam-Attempt-Id: {}\r\n\
             Plantainbeam-Model: {MODEL}\r\nPlantainbeam-Token-Counts: 400,{}\r\n\
             Plantainbeam-Prompt-Prefix: {}\r\nPlantainbeam-Deadline-Milliseconds: {}\r\n\
             Authorization: Bearer {KEY}\r\nContent-Length: 2\r\n",
            self.id,
            self.events * 4,
            self.parts,
            self.deadline_ms
        );
        if let Some((event, attempt)) = &self.resumes {
            head.push_str(&format!("Last-Event-Id: {event}\r\nResumes: {attempt}\r\n"));
        }
        head.push_str("\r\n{}");
        head.into_bytes()
    }

    /// Sends the request on a new connection and reads the answer.
    pub fn call(&self, address: SocketAddr) -> Answer {
        let mut answer = Answer { events: Vec::new(), end: StreamEnd::NoAnswer };
        let patience = Duration::from_millis(self.deadline_ms);
        let Ok(mut reader) = send(address, &self.bytes(), patience) else { return answer };
        let Ok(head) = read_head(&mut reader) else { return answer };
        if head.status() != 200 {
            answer.end = StreamEnd::Status(head.status());
            return answer;
        }
        if head.field("content-length").is_some() {
            answer.end = match read_body(&head, &mut reader) {
                Ok(_) => StreamEnd::Complete,
                Err(_) => StreamEnd::Cut,
            };
            return answer;
        }
        let until = Instant::now() + patience;
        answer.end = match read_events(&mut reader, &mut answer.events, until) {
            Ok(()) => StreamEnd::Complete,
            Err(_) => StreamEnd::Cut,
        };
        answer
    }
}

/// Reads the chunks of a stream to the last one.
fn read_events(
    reader: &mut BufReader<TcpStream>,
    events: &mut Vec<Event>,
    until: Instant,
) -> io::Result<()> {
    let mut bytes = Vec::new();
    loop {
        if Instant::now() >= until {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let chunk = read_chunk(reader)?;
        if chunk.is_empty() {
            return Ok(());
        }
        bytes.extend(chunk);
        while let Some(end) = bytes.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = bytes.drain(..end + 2).collect();
            events.extend(parse_event(&event));
        }
    }
}

fn parse_event(event: &[u8]) -> Option<Event> {
    let mut lines = event.lines().map_while(Result::ok);
    let number = lines.find_map(|line| line.strip_prefix("id: ").and_then(|id| id.parse().ok()))?;
    let data = lines.find_map(|line| line.strip_prefix("data: ").map(str::to_owned))?;
    let words: Vec<&str> = data.split(' ').collect();
    Some(Event { number, version: (*words.get(1)?).to_owned(), last: words.last()?.parse().ok()? })
}
