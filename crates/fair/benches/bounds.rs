//! Fails if one enqueue, choose and complete takes longer than its bound.

mod setup;

use std::hint::black_box;
use std::process::ExitCode;
use std::time::Instant;

use setup::Router;

const ROUNDS: usize = 9;
const STEPS: u32 = 20_000;

/// Workspaces, runners, and the longest time for a step in nanoseconds.
const BOUNDS: [(usize, usize, f64); 3] = [
    (580, 15, 2_000.0),
    (580, 12_000, 2_000.0),
    // Ten times the workspaces cost log2(5800) / log2(580) of the time.
    (5_800, 15, 2_000.0 * 1.362),
];

/// Returns the median time of a step in nanoseconds over several rounds.
fn measure(workspaces: usize, runners: usize) -> f64 {
    let mut router = Router::new(workspaces, runners);
    let mut rounds: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            for _ in 0..STEPS {
                assert!(black_box(router.step()).is_some(), "a slot stayed free");
            }
            start.elapsed().as_nanos() as f64 / f64::from(STEPS)
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    rounds[ROUNDS / 2]
}

fn main() -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for (workspaces, runners, bound) in BOUNDS {
        let time = measure(workspaces, runners);
        let verdict = if time <= bound { "within" } else { "ABOVE" };
        println!(
            "{workspaces} workspaces, {runners} runners: {time:.0} ns, {verdict} {bound:.0} ns"
        );
        if time > bound {
            code = ExitCode::FAILURE;
        }
    }
    code
}
