//! Table of expected and actual results.

use std::time::Duration;

struct Line {
    name: String,
    expected: String,
    actual: String,
}

/// Results of the checks.
#[derive(Default)]
pub(super) struct Report {
    lines: Vec<Line>,
}

impl Report {
    /// Adds a check; it passes if both texts are equal.
    pub(super) fn add(&mut self, name: &str, expected: impl ToString, actual: impl ToString) {
        self.lines.push(Line {
            name: name.to_owned(),
            expected: expected.to_string(),
            actual: actual.to_string(),
        });
    }

    /// Returns whether every check passed.
    pub(super) fn all_passed(&self) -> bool {
        self.lines.iter().all(|line| line.expected == line.actual)
    }

    /// Prints the table.
    pub(super) fn print(&self, took: Duration) {
        let width = |text: fn(&Line) -> &str, min_width: usize| {
            self.lines
                .iter()
                .map(|line| text(line).chars().count())
                .max()
                .unwrap_or(0)
                .max(min_width)
        };
        let (names, expected, actual) =
            (width(|l| &l.name, 5), width(|l| &l.expected, 8), width(|l| &l.actual, 4));
        println!("{:<names$}  {:<expected$}  {:<actual$}  RESULT", "CHECK", "EXPECTED", "SEEN");
        for line in &self.lines {
            let result = if line.expected == line.actual { "ok" } else { "DIFFERS" };
            println!(
                "{:<names$}  {:<expected$}  {:<actual$}  {result}",
                line.name, line.expected, line.actual
            );
        }
        let passed = self.lines.iter().filter(|line| line.expected == line.actual).count();
        println!("{passed} of {} as expected, {:.1} s", self.lines.len(), took.as_secs_f64());
    }
}
