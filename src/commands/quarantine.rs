//! `balsamchute quarantine`

use std::collections::BTreeMap;

use bpaf::Bpaf;
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::output::{self, Output};
use crate::router::{Client, Entrance};

/// Options of the command.
#[derive(Clone, Debug, Bpaf)]
pub enum Options {
    /// Lists suspected and refused requests
    #[bpaf(command)]
    List(#[bpaf(external(list))] List),
    /// Lets a refused request run again
    #[bpaf(command)]
    Release(#[bpaf(external(release))] Release),
}

/// Options of `list`.
#[derive(Clone, Debug, Bpaf)]
pub struct List {
    #[bpaf(external(crate::output::output))]
    output: Output,
    #[bpaf(external(crate::router::entrance))]
    entrance: Entrance,
}

/// Options of `release`.
#[derive(Clone, Debug, Bpaf)]
pub struct Release {
    #[bpaf(external(crate::router::entrance))]
    entrance: Entrance,
    /// Digest of workspace, service and body, as `quarantine list` prints it
    #[bpaf(positional("FINGERPRINT"))]
    fingerprint: String,
}

/// A request under suspicion.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Suspect {
    /// Digest of workspace, service and body, 32 hexadecimal digits.
    fingerprint: String,
    /// Attempts that ended in a crash of the target.
    crashes: Vec<String>,
    /// Times that an operator released it.
    releases: u32,
    /// Whether it is refused.
    refused: bool,
}

/// Lists or releases.
///
/// # Errors
///
/// Returns [`Error::Router`] if a router does not answer and
/// [`Error::Fingerprint`] if none holds the fingerprint.
pub fn run(options: &Options) -> Result<(), Error> {
    match options {
        Options::List(options) => run_list(options),
        Options::Release(options) => run_release(options),
    }
}

fn run_list(options: &List) -> Result<(), Error> {
    let client = Client::new();
    let mut suspects: BTreeMap<String, Suspect> = BTreeMap::new();
    for (address, _) in client.fleet(options.entrance.router)?.routers {
        let found: Option<Vec<Suspect>> = client.get(address, "/v1/quarantine")?;
        for suspect in found.into_iter().flatten() {
            suspects
                .entry(suspect.fingerprint.clone())
                .and_modify(|known| known.refused |= suspect.refused)
                .or_insert(suspect);
        }
    }
    let suspects: Vec<Suspect> = suspects.into_values().collect();
    options.output.print(&suspects, || text(&suspects));
    Ok(())
}

fn text(suspects: &[Suspect]) -> String {
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

/// Tells every router, so that it does not wait for the routers to tell one
/// another.
fn run_release(options: &Release) -> Result<(), Error> {
    let client = Client::new();
    let path = format!("/v1/quarantine/{}/release", options.fingerprint);
    let mut known = false;
    for (address, _) in client.fleet(options.entrance.router)?.routers {
        known |= client.post(address, &path)?;
    }
    if known {
        Ok(())
    } else {
        Err(Error::Fingerprint(options.fingerprint.clone()))
    }
}
