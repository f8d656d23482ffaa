//! The subcommands, each in a file of its own.

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
/// Exit codes: 0 success; 1 failure; 2 wrong command line; 3 faults in files or
/// settings; 4 another operator's change came first; 5 accepted but not yet in
/// force everywhere; 6 not known whether the change was accepted; 7 the thing
/// asked for is not known.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Runs a router until it is told to stop
    ///
    /// SIGTERM and SIGINT stop it gracefully: it finishes what it has, refuses new
    /// requests with the addresses of other routers, and exits.
    #[bpaf(command)]
    Serve(#[bpaf(external(serve::options))] serve::Options),
    /// Runs a router at the edge of the users' platform until it is told to stop
    ///
    /// SIGTERM and SIGINT stop it gracefully: it leaves the directory, finishes
    /// what it has, and exits.
    #[bpaf(command)]
    Edge(#[bpaf(external(edge::options))] edge::Options),
    /// Checks inventory and rules and reports every fault
    #[bpaf(command)]
    Check(#[bpaf(external(check::options))] check::Options),
    /// Checks the settings file of a router at the edge
    #[bpaf(command("check-settings"))]
    CheckSettings(#[bpaf(external(check_settings::options))] check_settings::Options),
    /// Shows what applying the files would change
    #[bpaf(command)]
    Diff(#[bpaf(external(diff::options))] diff::Options),
    /// Makes the files the fleet's configuration
    #[bpaf(command)]
    Apply(#[bpaf(external(apply::options))] apply::Options),
    /// Prints the current configuration
    #[bpaf(command)]
    Get(#[bpaf(external(get::options))] get::Options),
    /// Shows the routers, what they own and what waits
    #[bpaf(command)]
    Status(#[bpaf(external(status::options))] status::Options),
    /// Explains what became of a request, or what a workspace waits for
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::options))] explain::Options),
    /// Lists or releases requests that are refused because they crashed targets
    #[bpaf(command)]
    Quarantine(#[bpaf(external(quarantine::options))] quarantine::Options),
    /// Prints the manual page
    #[bpaf(command, hide)]
    Manual,
}

impl Command {
    /// Returns whether the command starts a logger of its own.
    pub fn starts_logger(&self) -> bool {
        matches!(self, Command::Edge(_))
    }

    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns what kept it from its end.
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
