//! Bounded sets of label values.

use compact_str::CompactString;

/// Label value that stands for all names outside the set.
const OTHER: &str = "other";

/// Names that may become label values; a registry keeps every value that it has seen, so the set
/// only grows, up to its limit.
#[derive(Clone, Debug)]
pub struct LabelSet {
    names: Vec<CompactString>,
    limit: usize,
}

impl LabelSet {
    /// An empty set of at most `limit` names.
    pub const fn new(limit: usize) -> Self {
        Self { names: Vec::new(), limit }
    }

    /// Adds names while there is room.
    pub fn admit<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        for name in names {
            if let Err(at) = self.names.binary_search_by(|known| known.as_str().cmp(name))
                && self.names.len() < self.limit
            {
                self.names.insert(at, CompactString::new(name));
            }
        }
    }

    /// The label value for `name`: itself if it is in the set, `other` if not.
    pub fn label<'a>(&'a self, name: &str) -> &'a str {
        match self.names.binary_search_by(|known| known.as_str().cmp(name)) {
            Ok(at) => &self.names[at],
            Err(_) => OTHER,
        }
    }
}
