//! Protocol between the processes of the fleet: messages, handshake, `h2` client and server.
//!
//! Messages are `bincode` in length-delimited frames inside `h2` streams. A connection starts with a
//! handshake in which both ends prove that they know the fleet secret.

mod cache;
mod client;
mod codec;
mod datagram_socket;
mod error;
mod evacuation_report;
mod fleet_state;
mod forward;
mod frames;
mod generate;
mod handshake;
mod heartbeat;
mod message;
mod pool;
mod request_id;
mod server;
mod start_record;
mod status;
mod stored_document;
mod stream_origin;
mod subject_report;
mod target_entry;
mod target_limit_report;
mod target_speed_report;

pub use cache::{CacheChange, CacheEventCopy, CacheUpdate};
pub use client::{PeerClient, PendingReceiver};
pub use codec::{MAX_FRAME_BYTES, decode, encode};
pub use datagram_socket::DatagramSocket;
pub use error::WireError;
pub use evacuation_report::{EvacuationRecord, EvacuationReport};
pub use fleet_state::{
    AdapterName, AdmittedTokens, AgentAsk, AgentState, BoundStreams, Datagram, DatagramBody, Echo,
    EnginePlan, FurtherSends, GatewayRecord, GatewayState, LinkCopy, ModelChange, ModelLoad,
    OrderGiver, PlannedCopy, RelayedItem, SendCopy, TargetNews, TargetWorkCopy,
};
pub use forward::{ForwardDown, ForwardHead, ForwardUp, Header};
pub use frames::{FrameReceiver, FrameSender};
pub use generate::{
    FinishReason, GenerateEvent, GenerateFrame, GenerateRequest, RefuseReason, ResumePoint,
};
pub use handshake::{FleetSecret, PROTOCOL_VERSION, PeerIdentity};
pub use heartbeat::{
    CopyState, Heartbeat, LogView, ModelCopy, ModelDemand, TargetKind, TargetReport,
};
pub use message::{
    LogRecordCopy, PeerCall, PeerReply, PermitOutcome, PinOutcome, ReserveOutcome, SlotId,
    SuggestOutcome, Suggestion,
};
pub use pool::PeerPool;
pub use request_id::RequestId;
pub use server::{Incoming, Responder, serve_connection, serve_connection_until};
pub use start_record::{FLEET_STREAM, StartRecord};
pub use status::{ProcessStatus, StatusProblem};
pub use stored_document::StoredDocument;
pub use stream_origin::{KnownStream, SoftwareVersion, StreamAnswer, StreamAsk, StreamOrigin};
pub use subject_report::{CrashCopy, HoldCopy, StoredSubject, Subject, SubjectReport};
pub use target_entry::{TargetEntry, TargetState};
pub use target_limit_report::TargetLimitReport;
pub use target_speed_report::TargetSpeedReport;
