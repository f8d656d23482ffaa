//! Subcommands of the binary, one module each.

mod apply;
mod check;
mod check_settings;
mod diff;
mod edge;
mod explain;
mod files;
mod get;
mod manual;
mod quarantine;
mod serve;
mod status;
mod wait;

use bpaf::Bpaf;

use crate::error::Error;

/// A router fleet for workspaces that share model and application capacity.
///
///
/// Exit codes: 0 success; 1 failure; 2 invalid command line; 3 invalid or
/// unreadable files or settings; 4 another operator's change was stored first;
/// 5 change accepted but not yet in force at every router; 6 unknown whether the
/// change was accepted; 7 requested item not found.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Runs a router until SIGTERM or SIGINT
    ///
    /// Both signals shut it down gracefully: it completes the requests in flight,
    /// rejects new ones with the addresses of other routers, and exits.
    #[bpaf(command)]
    Serve(#[bpaf(external(serve::options))] serve::Options),
    /// Runs a router that has the HTTP interface of the users' platform, until SIGTERM or SIGINT
    ///
    /// Both signals shut it down gracefully: it is removed from the directory,
    /// completes the requests in flight, and exits.
    #[bpaf(command)]
    Edge(#[bpaf(external(edge::options))] edge::Options),
    /// Validates inventory and rule files and reports every error
    #[bpaf(command)]
    Check(#[bpaf(external(check::options))] check::Options),
    /// Validates the settings file of an edge router
    #[bpaf(command("check-settings"))]
    CheckSettings(#[bpaf(external(check_settings::options))] check_settings::Options),
    /// Shows the changes that applying the files would make
    #[bpaf(command)]
    Diff(#[bpaf(external(diff::options))] diff::Options),
    /// Stores the files as the fleet's current configuration
    #[bpaf(command)]
    Apply(#[bpaf(external(apply::options))] apply::Options),
    /// Prints the current configuration
    #[bpaf(command)]
    Get(#[bpaf(external(get::options))] get::Options),
    /// Shows the routers, the runners they own and the waiting requests
    #[bpaf(command)]
    Status(#[bpaf(external(status::options))] status::Options),
    /// Explains the outcome of a request or why requests of a workspace wait
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::options))] explain::Options),
    /// Lists or releases requests that are quarantined because they crashed runners
    #[bpaf(command)]
    Quarantine(#[bpaf(external(quarantine::options))] quarantine::Options),
    /// Prints the manual page
    #[bpaf(command, hide)]
    Manual,
}

impl Command {
    /// Returns whether the command installs its own logger.
    pub fn has_own_logger(&self) -> bool {
        matches!(self, Command::Edge(_))
    }

    /// Runs the selected subcommand until it completes.
    ///
    /// # Errors
    ///
    /// Returns the error of the subcommand.
    pub fn run(self) -> Result<(), Error> {
        match self {
            Command::Serve(options) => serve::run(&options),
            Command::Edge(options) => edge::run(&options),
            Command::Check(options) => check::run(&options),
            Command::CheckSettings(options) => check_settings::run(&options),
            Command::Diff(options) => diff::run(&options),
            Command::Apply(options) => apply::run(&options),
            Command::Get(options) => get::run(&options),
            Command::Status(options) => status::run(&options),
            Command::Explain(options) => explain::run(&options),
            Command::Quarantine(options) => quarantine::run(&options),
            Command::Manual => {
                manual::run();
                Ok(())
            }
        }
    }
}
