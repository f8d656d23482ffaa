//! What commands print.

use std::io::Write;
use std::str::FromStr;

use bpaf::Bpaf;
use serde::Serialize;

/// The form of what a command prints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// For people.
    Text,
    /// One JSON value, for programs.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            other => Err(format!("\"{other}\" is neither json nor text")),
        }
    }
}

/// How to print.
#[derive(Clone, Copy, Debug, Bpaf)]
pub struct Output {
    /// Form of the output: text for people or json for programs
    #[bpaf(long, argument("json|text"), fallback(Format::Text))]
    output: Format,
}

impl Output {
    /// Prints `value` as JSON or `text`, which ends its lines itself.
    pub fn print(self, value: &impl Serialize, text: impl FnOnce() -> String) {
        let text = match self.output {
            Format::Text => text(),
            Format::Json => json(value),
        };
        // A reader that has gone, such as `head`, is no failure of the command.
        let _ = std::io::stdout().write_all(text.as_bytes());
    }
}

fn json(value: &impl Serialize) -> String {
    let mut text = serde_json::to_string(value).expect("what commands print always encodes");
    text.push('\n');
    text
}

/// Returns rows as a table with aligned columns and a line for each row.
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        let widest = cells.map(|cell| cell.chars().count()).max();
        widest.unwrap_or(0).max(head[column].len())
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let head = head.iter().map(|name| (*name).to_owned()).collect();
    std::iter::once(&head)
        .chain(rows)
        .map(|row| line(row, &widths))
        .collect()
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let cells: Vec<String> = cells
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", cells.join("  ").trim_end())
}
