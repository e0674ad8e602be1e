//! Sizes of a process's budget for its callers.

/// Bytes of a megabyte in the settings; the smaller reading of the unit.
const BYTES_PER_MB: u64 = 1_000_000;
/// Share of the machine's memory for bodies and responses. The others are for connections
/// ([`CONNECTION_SHARE_PERCENT`]) and for the process itself with the allocator's losses.
const BODY_SHARE_PERCENT: u64 = 33;
/// Share of the machine's memory for connections.
const CONNECTION_SHARE_PERCENT: u64 = 30;
/// Memory of a connection for the buffers of the process.
const PROCESS_BUFFER_BYTES: u64 = 32 << 10;
/// Least and largest size of the kernel's buffers of a connection. A smaller one makes a body of
/// some 40 KB, a long prompt, take several round trips.
const MIN_SOCKET_BUFFER_BYTES: u64 = 32 << 10;
const MAX_SOCKET_BUFFER_BYTES: u64 = 256 << 10;
/// Factor by which the kernel exceeds the size that is set, for its own bookkeeping.
const SOCKET_BUFFER_FACTOR: u64 = 2;
/// Least memory of a connection without bodies and responses. A connection receives or sends, so
/// that one of its two kernel buffers counts.
const CONNECTION_BYTES: u64 = PROCESS_BUFFER_BYTES + MIN_SOCKET_BUFFER_BYTES * SOCKET_BUFFER_FACTOR;
/// Descriptors kept free for the store, other processes, targets' idle connections and files.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Descriptors for a connection: its own and the one to the target of its request.
const DESCRIPTORS_PER_CONNECTION: u64 = 2;
/// Least number of connections, for settings that are too small for any.
const MIN_CONNECTIONS: u64 = 16;

/// Sizes of a process's budget for its callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerBudgetSettings {
    /// Memory for bodies and responses, in bytes.
    pub memory_bytes: u64,
    /// Most connections.
    pub connections: usize,
    /// Size of the kernel's buffers to set on callers' sockets, in bytes, for each direction.
    /// Without a bound the kernel keeps up to 6 MB for each connection while the process is busy.
    pub socket_buffer_bytes: usize,
}

impl CallerBudgetSettings {
    /// The budget of a process that may use `memory_mb` MB and `file_descriptors` descriptors.
    pub fn for_machine(memory_mb: u64, file_descriptors: u64) -> Self {
        let by_memory = connection_memory(memory_mb) / CONNECTION_BYTES;
        let by_descriptors =
            file_descriptors.saturating_sub(RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_CONNECTION;
        let connections = by_memory.min(by_descriptors).max(MIN_CONNECTIONS);
        Self::with_connections(memory_mb, usize::try_from(connections).unwrap_or(usize::MAX))
    }

    /// The budget of a process that may use `memory_mb` MB and serves at most `connections`.
    pub fn with_connections(memory_mb: u64, connections: usize) -> Self {
        let each = connection_memory(memory_mb) / (connections as u64).max(1);
        let socket_buffer = (each.saturating_sub(PROCESS_BUFFER_BYTES) / SOCKET_BUFFER_FACTOR)
            .clamp(MIN_SOCKET_BUFFER_BYTES, MAX_SOCKET_BUFFER_BYTES);
        Self {
            memory_bytes: memory_mb.saturating_mul(BYTES_PER_MB) / 100 * BODY_SHARE_PERCENT,
            connections,
            socket_buffer_bytes: socket_buffer as usize,
        }
    }
}

fn connection_memory(memory_mb: u64) -> u64 {
    memory_mb.saturating_mul(BYTES_PER_MB) / 100 * CONNECTION_SHARE_PERCENT
}
