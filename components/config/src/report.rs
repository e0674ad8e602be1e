//! Collection of problems with their places.

use std::ops::RangeInclusive;

use compact_str::CompactString;

use crate::base_file::{Name, Number};
use crate::located::{FileIndex, Located};
use crate::{Problem, SourceFile};

/// Longest name in characters; keeps messages and metric labels short.
const MAX_NAME_CHARS: usize = 64;

/// Problems found so far, and the names of the files they are in.
pub(crate) struct Report<'a> {
    files: Vec<&'a SourceFile>,
    problems: Vec<Problem>,
}

impl<'a> Report<'a> {
    /// An empty report on a base file and its overlays.
    pub(crate) fn new(base: &'a SourceFile, overlays: &'a [SourceFile]) -> Self {
        Self { files: std::iter::once(base).chain(overlays).collect(), problems: Vec::new() }
    }

    pub(crate) fn add_problem(&mut self, problem: Problem) {
        self.problems.push(problem);
    }

    /// Adds a problem at a line of a file.
    pub(crate) fn add_at(&mut self, file: FileIndex, line: u64, message: String) {
        let file = self.files[file].name.clone();
        self.problems.push(Problem { file, line, message });
    }

    /// Adds a problem at a value, or at `parent` if no file sets the value.
    pub(crate) fn add<T>(&mut self, at: &Located<T>, parent: &Name, message: String) {
        let (file, line) =
            if at.line == 0 { (parent.file, parent.line) } else { (at.file, at.line) };
        self.add_at(file, line, message);
    }

    /// Name of a file in the list.
    pub(crate) fn file_name(&self, file: FileIndex) -> &str {
        &self.files[file].name
    }

    /// Whether there is no problem.
    pub(crate) fn is_empty(&self) -> bool {
        self.problems.is_empty()
    }

    /// Problems by file and line, each once.
    pub(crate) fn finish(mut self) -> Vec<Problem> {
        let position = |name: &CompactString| self.files.iter().position(|f| f.name == *name);
        self.problems.sort_by(|a, b| {
            (position(&a.file), a.line, &a.message).cmp(&(position(&b.file), b.line, &b.message))
        });
        self.problems.dedup();
        self.problems
    }

    /// Checks the range of a number; a number out of range counts as the lowest one allowed.
    pub(crate) fn number(
        &mut self,
        field: &str,
        number: &Number,
        parent: &Name,
        range: RangeInclusive<u64>,
    ) -> u64 {
        match u64::try_from(number.value) {
            Ok(value) if range.contains(&value) => value,
            _ => {
                let (low, high) = (range.start(), range.end());
                let message = format!(
                    "{field} is {}; write a whole number from {low} to {high}",
                    number.value
                );
                self.add(number, parent, message);
                *low
            }
        }
    }

    /// As [`Report::number`] for ranges within 32 bits.
    pub(crate) fn number32(
        &mut self,
        field: &str,
        number: &Number,
        parent: &Name,
        range: RangeInclusive<u32>,
    ) -> u32 {
        let low = *range.start();
        let wide = u64::from(low)..=u64::from(*range.end());
        u32::try_from(self.number(field, number, parent, wide)).unwrap_or(low)
    }

    /// Checks the characters of a name.
    pub(crate) fn name(&mut self, what: &str, name: &Name) {
        if !is_usable_name(&name.value) {
            self.add_at(
                name.file,
                name.line,
                format!(
                    "{what} name {:?} is not usable; write 1 to {MAX_NAME_CHARS} letters, digits \
                     or any of . _ - : / @",
                    name.value
                ),
            );
        }
    }

    /// Refuses names that occur twice in a list.
    pub(crate) fn unique<'n>(&mut self, what: &str, names: impl Iterator<Item = &'n Name>) {
        let mut names: Vec<&Name> = names.collect();
        names.sort_by(|a, b| (&a.value, a.line).cmp(&(&b.value, b.line)));
        for pair in names.windows(2) {
            if pair[0].value == pair[1].value {
                self.add_at(
                    pair[1].file,
                    pair[1].line,
                    format!(
                        "{what} {} is already defined in line {}; rename or remove one of them",
                        pair[1].value, pair[0].line
                    ),
                );
            }
        }
    }
}

/// Whether a name has 1 to 64 letters, digits or any of `. _ - : / @`.
pub fn is_usable_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._-:/@".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_CHARS && name.chars().all(allowed)
}
