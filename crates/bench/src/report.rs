//! Tables for people and one line of JSON for programs.

use std::fmt;

use serde::Serialize;

/// A table with a heading for each column.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Table {
    heads: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    #[must_use]
    pub fn new(heads: &[&str]) -> Self {
        Table {
            heads: heads.iter().map(|&head| head.to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn row<I>(&mut self, cells: I)
    where
        I: IntoIterator,
        I::Item: fmt::Display,
    {
        let cells = cells.into_iter().map(|cell| cell.to_string());
        self.rows.push(cells.collect());
    }

    /// Returns the table as Markdown.
    #[must_use]
    pub fn to_markdown(&self) -> String {
        let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
        let rule: Vec<_> = self.heads.iter().map(|_| "---".to_owned()).collect();
        let rows = self.rows.iter().map(|row| line(row));
        line(&self.heads) + &line(&rule) + &rows.collect::<String>()
    }

    fn widths(&self) -> Vec<usize> {
        let width = |column: usize| {
            let lines = std::iter::once(&self.heads).chain(&self.rows);
            lines
                .filter_map(|row| row.get(column))
                .map(|cell| cell.chars().count())
                .max()
        };
        (0..self.heads.len())
            .map(|column| width(column).unwrap_or(0))
            .collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in std::iter::once(&self.heads).chain(&self.rows) {
            let cells = row.iter().zip(&widths);
            let line: Vec<_> = cells
                .map(|(cell, &width)| format!("{cell:<width$}"))
                .collect();
            writeln!(f, "{}", line.join("  ").trim_end())?;
        }
        Ok(())
    }
}

/// Prints `value` as one line of JSON on the standard output.
///
/// # Panics
///
/// Panics if the value cannot be encoded as JSON, which no report type does.
pub fn print_json<T: Serialize>(value: &T) {
    let line = serde_json::to_string(value).expect("reports always encode");
    println!("{line}");
}
