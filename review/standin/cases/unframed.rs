//! A runner crashes in the middle of a stream without a length while the machine is frozen.

use std::thread::{self, sleep};

use super::{Runner, connect, ms, read_stream};
use crate::platform::{MODEL, REPORT, Route, entry, ip, manifest, stream_request};
use crate::record::{Record, cannot_run, wall_ms};
use crate::router::{Process, Router};
use crate::runner::{EVENTS, Framing, start_model};
use crate::store::Store;

pub fn play(record: &Record, has_trouble: bool) -> bool {
    let store = Store::start(&ip(1));
    let route = Route {
        can_resume: false,
        ..REPORT
    };
    store.put("config", "main", Some(manifest(7, &[route])));
    let mut runners = Runner::start_all(Framing::Close, &store, record);
    let router = Router::start(3, &store, 260);
    sleep(ms(1500));
    let mut connection = connect(router.front);
    let consumer_record = record.clone();
    let consumer = thread::spawn(move || {
        let request = stream_request("q1", 15_000, None, 0);
        read_stream(
            &mut connection,
            "q1",
            &request,
            ms(15_000),
            &consumer_record,
        )
    });
    let mut second = None;
    if has_trouble {
        sleep(ms(150));
        record.line("the router's machine freezes");
        router.process.signal("STOP");
        sleep(ms(650));
        let busy = Runner::of_request(&mut runners, "q1", record);
        record.line(format!("{} crashes", busy.id));
        Process::crash(&mut busy.process);
        sleep(ms(2000));
        // Each start is a new lifetime with a new id.
        let (id, address) = (busy.id, busy.address);
        second = Some(start_model(address, "i-9", "v1", Framing::Close, record));
        store.put("servers", id, None);
        let written = entry(MODEL, address, "v1", wall_ms());
        store.put("servers", "i-9", Some(written));
        sleep(ms(150));
        record.line("the router's machine wakes");
        router.process.signal("CONT");
    }
    let Ok(received) = consumer.join() else {
        cannot_run("the consumer panicked");
    };
    router.record_log(record, "request=q1");
    drop(second);
    // The answer looks complete although its last events are missing.
    received.status == 200 && received.is_whole && received.last_id() != Some(EVENTS)
}
