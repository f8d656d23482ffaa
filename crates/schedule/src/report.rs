//! What routers tell each other about requests and runners.

use balsamchute_model::prelude::*;
use balsamchute_wire::exchange::Suspect;
use serde::{Deserialize, Serialize};

/// A workspace's use of a service through one router, in the window.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Usage {
    /// The service.
    pub service: Service,
    /// The workspace.
    pub workspace: Workspace,
    /// Cost that it asked for.
    pub asked: f32,
    /// Cost that it was served.
    pub served: f32,
}

/// What one router has under way at a runner.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Load {
    /// The runner.
    pub runner: Runner,
    /// Requests.
    pub running: u32,
    /// Prompt tokens that the runner has still to read.
    pub unread: u32,
    /// Tokens in its memory.
    pub memory: u32,
}

/// One router's report.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// Use of services by workspaces.
    pub usage: Vec<Usage>,
    /// Work at runners.
    pub loads: Vec<Load>,
    /// Requests that crashed runners.
    pub suspects: Vec<Suspect>,
}
