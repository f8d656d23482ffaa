//! `balsamchute serve`: runs a router.

use std::path::PathBuf;

use balsamchute_router::hooks::Hooks;
use balsamchute_router::settings::Settings;
use bpaf::Bpaf;

use crate::error::Error;

/// Options of the command.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// YAML file with the router's addresses, failure domain, platform and limits
    #[bpaf(long, argument("FILE"))]
    settings: PathBuf,
}

/// Runs a router until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns [`Error::File`] if the settings cannot be read,
/// [`Error::InvalidSettings`] if they are invalid and [`Error::Serve`] if the router
/// cannot start.
pub fn run(options: &Options) -> Result<(), Error> {
    let file = options.settings.display().to_string();
    let text = std::fs::read_to_string(&options.settings).map_err(|error| Error::File {
        file: file.clone(),
        reason: error.to_string(),
    })?;
    let settings = Settings::parse(&text).map_err(|error| Error::InvalidSettings {
        file,
        reason: error.to_string(),
    })?;
    balsamchute_router::serve(settings, Hooks::new())?;
    Ok(())
}
