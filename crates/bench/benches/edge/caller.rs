//! A caller that times the first token.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use balsamchute_standin::prompt::Prompt;
use ureq::http::Response;
use ureq::{Agent, Body};

static ATTEMPTS: AtomicU64 = AtomicU64::new(0);

/// A caller with kept connections.
pub struct Caller {
    agent: Agent,
}

impl Caller {
    /// Creates a caller.
    pub fn new() -> Self {
        Self {
            agent: Agent::new_with_defaults(),
        }
    }

    /// Asks the engine and returns the time to the first token.
    pub fn straight(&self, engine: SocketAddr, tokens: u64) -> Duration {
        let number = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
        let body = serde_json::json!({
            "attempt": format!("bench-{number}"),
            "workspace": "w1",
            "request": format!("bench-{number}"),
            "prompt": Prompt::new(tokens).to_body(),
        });
        let start = Instant::now();
        let request = self.agent.post(format!("http://{engine}/generate"));
        let answer = request.send(body.to_string()).expect("engine answers");
        first_token(start, answer)
    }

    /// Asks the router and returns the time to the first token.
    pub fn routed(&self, router: SocketAddr, tokens: u64) -> Duration {
        let start = Instant::now();
        let request = self.agent.post(format!("http://{router}/v1/run/draft"));
        let request = request.header("x-workspace", "w1");
        let body = Prompt::new(tokens).to_body();
        let answer = request.send(body).expect("router answers");
        first_token(start, answer)
    }
}

/// Reads the whole answer, so that the connection is kept.
fn first_token(start: Instant, answer: Response<Body>) -> Duration {
    let mut lines = BufReader::new(answer.into_body().into_reader()).lines();
    let mut token = || {
        lines
            .next()
            .expect("a line")
            .expect("the answer is not cut")
    };
    while !token().contains("\"index\":0") {}
    let time = start.elapsed();
    let last = lines
        .last()
        .expect("an end")
        .expect("the answer is not cut");
    assert!(last.contains("done"), "{last}");
    time
}
