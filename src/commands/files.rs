//! Reading of inventory and rule files.

use std::path::PathBuf;

use balsamchute_inventory::config::Config;
use balsamchute_inventory::document::{self, Source};
use balsamchute_inventory::fault::Fault;
use serde::Serialize;

use crate::error::Error;
use crate::output::Output;

/// Printed form of a fault in a file.
#[derive(Debug, Serialize)]
pub struct PrintedFault {
    file: String,
    line: u64,
    message: String,
}

/// Reads and validates files that together form one configuration.
///
/// # Errors
///
/// Returns [`Error::File`] if a file cannot be read. If the files have faults, prints
/// them all and returns [`Error::InvalidConfig`].
pub fn read(files: &[PathBuf], output: Output) -> Result<Config, Error> {
    let mut texts = Vec::new();
    for file in files {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).map_err(|error| Error::File {
            file: name.clone(),
            reason: error.to_string(),
        })?;
        texts.push((name, text));
    }
    let sources: Vec<Source<'_>> = texts
        .iter()
        .map(|(file, text)| Source { file, text })
        .collect();
    document::parse_sources(&sources).map_err(|faults| print_faults(&faults, output))
}

/// Prints the faults and returns the error that ends the command.
fn print_faults(faults: &[Fault], output: Output) -> Error {
    let reports: Vec<PrintedFault> = faults
        .iter()
        .map(|fault| PrintedFault {
            file: fault.file.clone(),
            line: fault.line,
            message: fault.message.clone(),
        })
        .collect();
    output.print(&reports, || {
        faults.iter().map(|fault| format!("{fault}\n")).collect()
    });
    Error::InvalidConfig(faults.len())
}
