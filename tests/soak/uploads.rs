//! Callers that upload some megabytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::callers::{draw_key, upload};
use crate::judge::Judge;

/// Threads that upload.
const CALLERS: u64 = 4;

/// First of the streams of random numbers that they use; those of the hostile clients are
/// before.
const FIRST_STREAM: u64 = 1000;

/// Longest upload in bytes.
pub const MAX_BYTES: usize = 8 * 1024 * 1024;

/// Uploads from which on a part may remain unsent while the runner does not read: the system
/// buffers up to some megabytes.
const UNSENT_BYTES: usize = 5 * 1024 * 1024;

/// Longest usual upload, and the shortest and longest brief one, in bytes.
const USUAL_BYTES: usize = 3 * 1024 * 1024;
const BRIEF_BYTES: std::ops::Range<usize> = 50_000..300_000;

/// Running callers.
pub struct Uploaders {
    threads: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
}

impl Uploaders {
    /// Starts callers that use all routers at random.
    pub fn start(seed: u64, routers: &[SocketAddr], judge: &Judge) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..CALLERS).map(|number| {
            // The plan and the other callers of a seed stay as they are.
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            random.set_stream(FIRST_STREAM + number);
            let (stop, routers, judge) = (stop.clone(), routers.to_vec(), judge.clone());
            thread::spawn(move || {
                for count in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    thread::sleep(Duration::from_millis(random.random_range(0..200)));
                    let router = routers[random.random_range(0..routers.len())];
                    let lengths = match random.random_range(0..6) {
                        0..=1 => BRIEF_BYTES,
                        2 => UNSENT_BYTES..MAX_BYTES,
                        _ => BRIEF_BYTES.end..USUAL_BYTES,
                    };
                    let length = random.random_range(lengths);
                    let key = draw_key(&mut random);
                    upload(router, &format!("u{number}-{count}"), length, &key, &judge);
                }
            })
        });
        Uploaders {
            threads: threads.collect(),
            stop,
        }
    }

    /// Stops all of them after the requests under way.
    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("no caller panicked");
        }
    }
}
