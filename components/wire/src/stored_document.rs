//! A configuration as it was stored, passed between processes over HTTP.

use base::Offset;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};

/// Header with the offset of the record that holds the configuration.
const OFFSET: HeaderName = HeaderName::from_static("x-offset");

/// A configuration as it was stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredDocument {
    /// Offset of its record.
    pub offset: Offset,
    /// Content of the record.
    pub bytes: Bytes,
}

impl StoredDocument {
    /// Path at which a gateway serves the configuration in force.
    pub const PATH: &str = "/configuration";

    /// Reads an answer; none if it does not say where the content was stored.
    pub fn from_answer(headers: &HeaderMap, body: Bytes) -> Option<Self> {
        let offset = headers.get(OFFSET)?.to_str().ok()?.parse().ok()?;
        Some(Self { offset: Offset(offset), bytes: body })
    }

    /// Headers of an answer with this document.
    pub fn headers(&self) -> HeaderMap {
        HeaderMap::from_iter([(OFFSET, HeaderValue::from(self.offset.0))])
    }
}
