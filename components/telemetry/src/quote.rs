//! Values of log lines.

use std::fmt::{self, Display, Write};

/// Longest value in characters; a longer one is cut.
const MAX_CHARACTERS: usize = 256;

/// Shows a value as one token of a `key=value` line: as it is if it is plain, else in quotes with
/// escapes, so that a value can neither end the line nor look like another key.
pub fn quote(text: &str) -> impl Display + '_ {
    Quoted(text)
}

struct Quoted<'a>(&'a str);

impl Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let plain = !self.0.is_empty()
            && self.0.chars().count() <= MAX_CHARACTERS
            && self.0.chars().all(|c| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\'));
        if plain {
            return f.write_str(self.0);
        }
        f.write_char('"')?;
        for character in self.0.chars().take(MAX_CHARACTERS) {
            write!(f, "{}", character.escape_debug())?;
        }
        f.write_char('"')
    }
}
