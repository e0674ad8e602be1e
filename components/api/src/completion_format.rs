//! The two forms of a generation.

/// Form in which a caller asks for text.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CompletionFormat {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl CompletionFormat {
    /// Id of an answer, from the id of the request.
    pub fn completion_id(self, request_id: &str) -> String {
        match self {
            Self::Chat => format!("chatcmpl-{request_id}"),
            Self::Text => format!("cmpl-{request_id}"),
        }
    }
}
