//! Formats of generation requests and completions.

/// API format, selected by the endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CompletionFormat {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl CompletionFormat {
    /// Id of the completion that belongs to a request id.
    pub fn completion_id(self, request_id: &str) -> String {
        match self {
            Self::Chat => format!("chatcmpl-{request_id}"),
            Self::Text => format!("cmpl-{request_id}"),
        }
    }
}
