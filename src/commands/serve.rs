//! `balsamchute serve`

use std::path::PathBuf;

use bpaf::Bpaf;

use crate::error::Error;

/// Options of the command.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// YAML file with the router's addresses, failure domain, platform and limits
    #[bpaf(long, argument("FILE"))]
    settings: PathBuf,
}

/// Runs a router until it is told to stop.
///
/// # Errors
///
/// Returns [`Error::Settings`] for faults in the settings and [`Error::Serve`]
/// for what ended the router.
pub fn run(options: &Options) -> Result<(), Error> {
    let file = options.settings.display().to_string();
    let text = std::fs::read_to_string(&options.settings).map_err(|error| Error::File {
        file: file.clone(),
        reason: error.to_string(),
    })?;
    let _ = text;
    Err(Error::Serve(format!("not built yet, cannot run {file}")))
}
