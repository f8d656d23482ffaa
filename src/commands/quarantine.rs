//! `balsamchute quarantine`: lists and releases requests that crashed runners.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use bpaf::Bpaf;
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::output::{self, Output};
use crate::router::{Address, Client};

/// Subcommands that list and release requests.
#[derive(Clone, Debug, Bpaf)]
pub enum Options {
    /// Lists suspected and refused requests of all routers
    #[bpaf(command)]
    List(#[bpaf(external(list))] List),
    /// Lets a refused request run again
    #[bpaf(command)]
    Release(#[bpaf(external(release))] Release),
}

/// Options of `quarantine list`.
#[derive(Clone, Debug, Bpaf)]
pub struct List {
    #[bpaf(external(crate::output::output))]
    output: Output,
    #[bpaf(external(crate::router::address))]
    entrance: Address,
}

/// Options of `quarantine release`.
#[derive(Clone, Debug, Bpaf)]
pub struct Release {
    #[bpaf(external(crate::router::address))]
    entrance: Address,
    /// Digest of workspace, service and body as printed by `quarantine list`
    #[bpaf(positional("FINGERPRINT"))]
    fingerprint: String,
}

/// Request that crashed at least one runner, as `/v1/quarantine` returns it.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Suspect {
    /// Digest of workspace, service and body in 32 hexadecimal digits.
    fingerprint: String,
    /// Ids of the attempts that ended in a crash of the runner.
    crashes: Vec<String>,
    /// Number of times the request was released by an operator or cleared by a completed request.
    releases: u32,
    /// Whether routers refuse the request.
    refused: bool,
}

impl Suspect {
    /// Adds what another router knows: as routers merge records, the higher number of
    /// releases wins, and crashes of equal numbers are united.
    fn merge(&mut self, other: Suspect) {
        self.refused |= other.refused;
        match other.releases.cmp(&self.releases) {
            Ordering::Less => {}
            Ordering::Greater => {
                self.releases = other.releases;
                self.crashes = other.crashes;
            }
            Ordering::Equal => {
                self.crashes.extend(other.crashes);
                self.crashes.sort();
                self.crashes.dedup();
            }
        }
    }
}

/// Runs `quarantine list` or `quarantine release`.
///
/// # Errors
///
/// Returns [`Error::Router`] if the request to a router fails and
/// [`Error::UnknownFingerprint`] if no router has the fingerprint.
pub fn run(options: &Options) -> Result<(), Error> {
    match options {
        Options::List(options) => run_list(options),
        Options::Release(options) => run_release(options),
    }
}

fn run_list(options: &List) -> Result<(), Error> {
    let client = Client::new();
    let mut suspects: BTreeMap<String, Suspect> = BTreeMap::new();
    for (address, _) in client.fetch_fleet(options.entrance.router)?.routers {
        let entries: Option<Vec<Suspect>> = client.get(address, "/v1/quarantine")?;
        for suspect in entries.into_iter().flatten() {
            match suspects.get_mut(&suspect.fingerprint) {
                Some(existing) => existing.merge(suspect),
                None => {
                    suspects.insert(suspect.fingerprint.clone(), suspect);
                }
            }
        }
    }
    let suspects: Vec<Suspect> = suspects.into_values().collect();
    options.output.print(&suspects, || report_text(&suspects));
    Ok(())
}

fn report_text(suspects: &[Suspect]) -> String {
    let rows: Vec<Vec<String>> = suspects
        .iter()
        .map(|suspect| {
            let state = if suspect.refused {
                "refused"
            } else {
                "suspected"
            };
            vec![
                suspect.fingerprint.clone(),
                state.to_owned(),
                suspect.releases.to_string(),
                suspect.crashes.join(" "),
            ]
        })
        .collect();
    output::table(
        &["fingerprint", "state", "releases", "crashed attempts"],
        &rows,
    )
}

/// Sends the release to every router, so that it takes effect without waiting for
/// propagation between routers. Fails with the first error once all were tried.
fn run_release(options: &Release) -> Result<(), Error> {
    let client = Client::new();
    let path = format!("/v1/quarantine/{}/release", options.fingerprint);
    let mut is_released = false;
    let mut failure = None;
    for (address, _) in client.fetch_fleet(options.entrance.router)?.routers {
        match client.post(address, &path) {
            Ok(found) => is_released |= found,
            Err(error) => failure = failure.or(Some(error)),
        }
    }
    match (failure, is_released) {
        (Some(error), _) => Err(error),
        (None, true) => Ok(()),
        (None, false) => Err(Error::UnknownFingerprint(options.fingerprint.clone())),
    }
}
