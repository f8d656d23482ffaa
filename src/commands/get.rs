//! `balsamchute get`: prints the current configuration.

use balsamchute_platform::operator;
use bpaf::Bpaf;

use crate::error::Error;
use crate::output::Output;
use crate::store::{self, Address};

/// Options of the command.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    #[bpaf(external(crate::output::output))]
    output: Output,
    #[bpaf(external(crate::store::address))]
    platform: Address,
}

/// Prints the current configuration.
///
/// The text output can be edited and applied with `--base` and the version in its
/// first line.
///
/// # Errors
///
/// Returns [`Error::NoConfiguration`] if none is stored, and errors of the platform.
pub fn run(options: &Options) -> Result<(), Error> {
    let document = operator::read(&store::client(options.platform.platform))?;
    if document.version == 0 {
        return Err(Error::NoConfiguration(operator::CONFIG_PATH));
    }
    options.output.print(&document, || {
        format!(
            "# version {} by {}, change {}\n{}",
            document.version, document.author, document.change_id, document.text
        )
    });
    Ok(())
}
