//! A stream is resumed at other software after a release, on a route whose time-out is shorter
//! than the consumer's time limit.

use std::thread::{self, sleep};
use std::time::Instant;

use super::{connect, ms, read_stream};
use crate::platform::{MODEL, REPORT, Route, entry, free_address, ip, manifest, stream_request};
use crate::record::{Record, cannot_run, wall_ms};
use crate::router::{Process, Router};
use crate::runner::{Framing, start_model};
use crate::store::Store;

/// Time limit of the consumer, as on the sheet.
const LIMIT_MS: u64 = 15_000;

/// Time-out of the route after the change.
const LOWER_TIMEOUT_MS: u64 = 12_000;

pub fn play(record: &Record, has_trouble: bool) -> bool {
    let store = Store::start(&ip(1));
    store.put("config", "main", Some(manifest(7, &[REPORT])));
    let (old_address, new_address) = (free_address(&ip(10)), free_address(&ip(11)));
    let mut old = Some(start_model(
        old_address,
        "i-old",
        "v1",
        Framing::Chunked,
        record,
    ));
    store.put(
        "servers",
        "i-old",
        Some(entry(MODEL, old_address, "v1", wall_ms())),
    );
    let router = Router::start(3, &store, 260);
    sleep(ms(500));
    if has_trouble {
        record.line(format!(
            "manifest 8: the time-out of the route is {LOWER_TIMEOUT_MS} ms"
        ));
        let route = Route {
            timeout_ms: LOWER_TIMEOUT_MS,
            ..REPORT
        };
        store.put("config", "main", Some(manifest(8, &[route])));
    }
    // Streams of the time before the change are over by then.
    sleep(ms(18_000));
    let front = router.front;
    let sent_at = Instant::now();
    let consumer_record = record.clone();
    let consumer = thread::spawn(move || {
        let request = stream_request("q1", LIMIT_MS, None, 0);
        read_stream(
            &mut connect(front),
            "q1",
            &request,
            ms(LIMIT_MS),
            &consumer_record,
        )
    });
    let mut new = None;
    if has_trouble {
        sleep(ms(500));
        new = Some(start_model(
            new_address,
            "i-new",
            "v2",
            Framing::Chunked,
            record,
        ));
        store.put(
            "servers",
            "i-new",
            Some(entry(MODEL, new_address, "v2", wall_ms())),
        );
        sleep(ms(500));
        record.line("the release removes the entry of i-old, which never reported that it drains");
        store.put("servers", "i-old", None);
        sleep(ms(3500));
        record.line("i-old ends, 3.5 s after its entry was removed");
        Process::crash(&mut old);
    }
    let Ok(first) = consumer.join() else {
        cannot_run("the consumer panicked");
    };
    let mut is_joined = false;
    if !first.is_whole {
        // The consumer resumes the stream at once, on a new connection.
        let left = LIMIT_MS.saturating_sub(sent_at.elapsed().as_millis() as u64);
        let request = stream_request("q2", left, first.last_id(), 0);
        record.line(format!(
            "the consumer resumes the stream, {left} ms are left"
        ));
        let second = read_stream(&mut connect(front), "q2", &request, ms(left), record);
        let versions = second.versions();
        is_joined = second.status == 200 && !versions.is_empty() && versions != first.versions();
    }
    router.record_log(record, "event=send request=q");
    router.record_log(record, "event=refused request=q");
    drop((old, new));
    is_joined
}
