//! `balsamchute check-settings`: validates the settings of an edge router.

use bpaf::Bpaf;

use crate::error::Error;

/// Options of the command.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// TOML file with the settings of an edge router
    #[bpaf(positional("FILE"))]
    file: String,
}

/// Validates a settings file and prints the router's name, domain and addresses.
///
/// # Errors
///
/// Returns [`Error::File`] if the file cannot be read and
/// [`Error::InvalidSettings`] with the line or field of the first error.
pub fn run(options: &Options) -> Result<(), Error> {
    let file = &options.file;
    let text = std::fs::read_to_string(file).map_err(|error| Error::File {
        file: file.clone(),
        reason: error.to_string(),
    })?;
    let settings = balsamchute_adapter::settings::parse(&text);
    let settings = settings.map_err(|error| Error::InvalidSettings {
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
