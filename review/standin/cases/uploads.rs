//! Many consumers send large bodies at once, each within the limits of the manifest.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle, sleep};
use std::time::Duration;

use super::{connect, ms};
use crate::platform::{
    BOOKING, MODEL, PLAIN, REPORT, entry, ip, manifest, request, stream_request,
};
use crate::record::{Record, wall_ms};
use crate::router::Router;
use crate::runner::{answer_head, start_plain};
use crate::store::Store;

/// Memory of a machine of mfaea-dispatch.
const MEMORY_MB: u64 = 260;

/// `max_body_bytes` of the manifest, which the bodies do not exceed.
const BODY_BYTES: usize = 4_194_304;

/// Consumers that send bookings one after the other on a kept connection, and consumers that send
/// a large panel log; together fewer than the 90 consumers of the deployment.
const BOOKING_CONSUMERS: usize = 8;
const UPLOADING: usize = 80;

/// Consumers that send a large panel log without the disruption.
const UPLOADING_USUALLY: usize = 6;

/// Time that a runner works on a request; `dispatch-book` has 60 ms on average.
const WORK: Duration = Duration::from_millis(60);

/// Requests that were sent on a kept connection and whose connection ended without an answer.
type Unanswered = Arc<Mutex<Vec<String>>>;

pub fn play(record: &Record, has_trouble: bool) -> bool {
    let store = Store::start(&ip(1));
    store.put("config", "main", Some(manifest(7, &[REPORT, BOOKING])));
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for (machine, id, service) in [
        (10, "i-0", PLAIN),
        (11, "i-1", PLAIN),
        (12, "i-2", PLAIN),
        (13, "i-3", MODEL),
    ] {
        let runs = runs.clone();
        let address = start_plain(machine, id, record, move |request, connection| {
            let request_id = request.header("x-request-id").unwrap_or("-").to_owned();
            runs.lock().expect("no thread panicked").push(request_id);
            sleep(WORK);
            let head = answer_head(request);
            connection
                .send(&format!("{head}Content-Length: 6\r\n\r\nbooked"))
                .is_ok()
        });
        store.put(
            "servers",
            id,
            Some(entry(service, address, "v1", wall_ms())),
        );
    }
    let router = Router::start(3, &store, MEMORY_MB);
    let unanswered = Unanswered::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut consumers: Vec<JoinHandle<()>> = (0..BOOKING_CONSUMERS)
        .map(|number| {
            let (unanswered, is_over) = (unanswered.clone(), is_over.clone());
            let (record, front) = (record.clone(), router.front);
            thread::spawn(move || book(front, number, &record, &unanswered, &is_over))
        })
        .collect();
    sleep(ms(1000));
    let uploads = match has_trouble {
        true => UPLOADING,
        false => UPLOADING_USUALLY,
    };
    record.line(format!(
        "{uploads} consumers begin to send bodies of {BODY_BYTES} bytes"
    ));
    consumers.extend((0..uploads).map(|number| {
        let (record, front) = (record.clone(), router.front);
        thread::spawn(move || upload(front, number, &record))
    }));
    let mut most = 0;
    for _ in 0..600 {
        most = most.max(router.process.memory());
        if most > MEMORY_MB * 1024 * 1024 {
            record.line(format!(
                "the router has {most} bytes: the platform kills it"
            ));
            router.process.signal("KILL");
            break;
        }
        sleep(ms(10));
    }
    record.line(format!("most memory of the router: {most} bytes"));
    is_over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let runs = runs.lock().expect("no thread panicked");
    let mut lost = unanswered.lock().expect("no thread panicked").clone();
    lost.retain(|id| runs.contains(id));
    record.line(format!(
        "passed on to a sound runner and closed without an answer: {lost:?}"
    ));
    lost.len() > 3
}

/// Sends bookings on one connection.
fn book(
    front: SocketAddr,
    number: usize,
    record: &Record,
    unanswered: &Unanswered,
    is_over: &AtomicBool,
) {
    let mut connection = connect(front);
    for count in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("booking-{number}-{count}");
        if connection
            .send(&request("POST", "/puxa403/2f", &id, 3000))
            .is_err()
        {
            return;
        }
        match connection.read(ms(4000), false) {
            Ok(Some(message)) if message.is_whole => {}
            other => {
                record.line(format!("no answer to {id}: {other:?}"));
                // The first request of a connection is not one of a kept connection.
                if count > 0 {
                    unanswered.lock().expect("no thread panicked").push(id);
                }
                return;
            }
        }
    }
}

/// Sends a large panel log at 1.6 MB a second.
fn upload(front: SocketAddr, number: usize, record: &Record) {
    let mut connection = connect(front);
    let id = format!("panel-log-{number}");
    if connection
        .send(&stream_request(&id, 15_000, None, BODY_BYTES))
        .is_err()
    {
        return;
    }
    let piece = vec![b'x'; 64 * 1024];
    for _ in 0..BODY_BYTES / piece.len() {
        if connection.stream.write_all(&piece).is_err() {
            return;
        }
        sleep(ms(40));
    }
    let answer = connection.read(ms(15_000), false);
    let status = answer.ok().flatten().map_or(0, |message| message.status());
    record.line(format!("consumer got for {id}: status {status}"));
}
