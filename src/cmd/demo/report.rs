//! Table of what was expected and what was seen.

use std::time::Duration;

struct Line {
    name: String,
    expected: String,
    seen: String,
}

/// Results of the checks.
#[derive(Default)]
pub(super) struct Report {
    lines: Vec<Line>,
}

impl Report {
    /// Adds a check; it is good if both texts are equal.
    pub(super) fn add(&mut self, name: &str, expected: impl ToString, seen: impl ToString) {
        self.lines.push(Line {
            name: name.to_owned(),
            expected: expected.to_string(),
            seen: seen.to_string(),
        });
    }

    /// Whether every check is good.
    pub(super) fn is_good(&self) -> bool {
        self.lines.iter().all(|line| line.expected == line.seen)
    }

    /// Prints the table.
    pub(super) fn print(&self, took: Duration) {
        let width = |text: fn(&Line) -> &str, least: usize| {
            self.lines.iter().map(|line| text(line).chars().count()).max().unwrap_or(0).max(least)
        };
        let (names, expected, seen) =
            (width(|l| &l.name, 5), width(|l| &l.expected, 8), width(|l| &l.seen, 4));
        println!("{:<names$}  {:<expected$}  {:<seen$}  RESULT", "CHECK", "EXPECTED", "SEEN");
        for line in &self.lines {
            let result = if line.expected == line.seen { "ok" } else { "DIFFERS" };
            println!(
                "{:<names$}  {:<expected$}  {:<seen$}  {result}",
                line.name, line.expected, line.seen
            );
        }
        let good = self.lines.iter().filter(|line| line.expected == line.seen).count();
        println!("{good} of {} as expected, {:.1} s", self.lines.len(), took.as_secs_f64());
    }
}
