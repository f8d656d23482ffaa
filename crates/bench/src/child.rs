//! The router process that a fleet consists of: this binary, run again.

use std::io::BufRead;
use std::sync::Arc;
use std::thread;

use balsamchute_router::hooks::{Hooks, Link};
use balsamchute_router::settings::Settings;

use crate::error::Error;
use crate::fleet::router::SETTINGS_END;
use crate::links::Links;

/// Exit status of a router whose bench has gone.
const ORPHAN_STATUS: i32 = 3;

impl Link for Links {
    fn is_open(&self, address: std::net::SocketAddr) -> bool {
        !self.is_cut(address)
    }
}

/// Runs a router with the settings on the standard input, and follows the
/// control lines after them. Ends when the standard input does.
///
/// # Errors
///
/// Returns [`Error::Start`] if the settings are wrong or the router cannot serve.
pub fn run() -> Result<bool, Error> {
    let settings = settings(std::io::stdin().lock())?;
    let links = Links::new();
    let control = links.clone();
    thread::spawn(move || follow(&control));
    let hooks = Hooks::new().with_link(Arc::new(links));
    balsamchute_router::serve(settings, hooks).map_err(failed)?;
    Ok(true)
}

fn settings(input: impl BufRead) -> Result<Settings, Error> {
    let mut text = String::new();
    for line in input.lines() {
        let line = line.map_err(failed)?;
        if line == SETTINGS_END {
            break;
        }
        text.push_str(&line);
        text.push('\n');
    }
    Settings::parse(&text).map_err(failed)
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error::Start {
        what: "router".to_owned(),
        reason: error.to_string(),
    }
}

fn follow(links: &Links) {
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        if let Err(error) = links.follow(&line) {
            log::error!("bench: {error}");
        }
    }
    // The bench holds the other end; without it nobody ends this process.
    std::process::exit(ORPHAN_STATUS);
}
