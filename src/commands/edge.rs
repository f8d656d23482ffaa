//! `balsamchute edge`: runs an edge router.

use balsamchute_edge::line::Format;
use bpaf::Bpaf;

use crate::error::Error;

/// Options of the command.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// TOML file with the settings that the platform provides
    #[bpaf(
        long,
        env(balsamchute_adapter::settings::PATH_VARIABLE),
        argument("FILE")
    )]
    settings: String,
    /// Format of the log lines on standard output: logfmt or json
    #[bpaf(
        long,
        env("BALSAMCHUTE_LOG_FORMAT"),
        argument("FORMAT"),
        fallback(Format::Logfmt)
    )]
    log_format: Format,
}

/// Runs a router that has the HTTP interface of the users' platform, until SIGTERM or
/// SIGINT.
///
/// # Errors
///
/// Returns [`Error::Edge`] if the settings are invalid or the router cannot start.
pub fn run(options: &Options) -> Result<(), Error> {
    balsamchute_edge::process::serve(&options.settings, options.log_format)?;
    Ok(())
}
