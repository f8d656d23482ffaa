//! Output of commands: text for people, JSON for programs.

use std::io::Write;
use std::str::FromStr;

use bpaf::Bpaf;
use serde::Serialize;

/// Format of the output of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// Plain text and tables for people.
    Text,
    /// One JSON value on one line, for programs.
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

/// Output options that the commands share.
#[derive(Clone, Copy, Debug, Bpaf)]
pub struct Output {
    /// Output format: text for people or json for programs
    #[bpaf(long, argument("json|text"), fallback(Format::Text))]
    output: Format,
}

impl Output {
    /// Prints `value` as JSON or the result of `text`, which includes the line ends.
    pub fn print(self, value: &impl Serialize, text: impl FnOnce() -> String) {
        let text = match self.output {
            Format::Text => text(),
            Format::Json => to_json_line(value),
        };
        // A reader that closes the pipe early, such as `head`, is not an error.
        let _ = std::io::stdout().write_all(text.as_bytes());
    }
}

fn to_json_line(value: &impl Serialize) -> String {
    let mut text = serde_json::to_string(value).expect("command output is serializable");
    text.push('\n');
    text
}

/// Formats rows as a table with aligned columns, the header first.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        let widest = cells.map(|cell| cell.chars().count()).max();
        widest.unwrap_or(0).max(header[column].len())
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let header = header.iter().map(|name| (*name).to_owned()).collect();
    std::iter::once(&header)
        .chain(rows)
        .map(|row| table_row(row, &widths))
        .collect()
}

fn table_row(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let cells: Vec<String> = cells
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", cells.join("  ").trim_end())
}
