//! `balsamchute check-settings`

use bpaf::Bpaf;

use crate::error::Error;

/// Options of the command.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// TOML file with the settings of a router at the edge
    #[bpaf(positional("FILE"))]
    file: String,
}

/// Checks a settings file and reports the first fault.
///
/// # Errors
///
/// Returns [`Error::File`] if it cannot be read and [`Error::Settings`] for a
/// fault, with its line or field.
pub fn run(options: &Options) -> Result<(), Error> {
    let file = &options.file;
    let text = std::fs::read_to_string(file).map_err(|error| Error::File {
        file: file.clone(),
        reason: error.to_string(),
    })?;
    let settings = balsamchute_adapter::settings::parse(&text);
    let settings = settings.map_err(|error| Error::Settings {
        file: file.clone(),
        reason: error.to_string(),
    })?;
    println!(
        "{} in {}: callers {}, routers {}, store {}",
        settings.instance,
        settings.domain,
        settings.listen.callers,
        settings.listen.peers,
        settings.store
    );
    Ok(())
}
