//! Runners restart in place with newer software while the store is down.

use std::thread::{self, sleep};

use super::{Runner, connect, ms, read_stream};
use crate::platform::{MODEL, REPORT, entry, ip, manifest, stream_request};
use crate::record::{Record, cannot_run, wall_ms};
use crate::router::{Process, Router};
use crate::runner::{Framing, start_model};
use crate::store::Store;

pub fn play(record: &Record, has_trouble: bool) -> bool {
    let store = Store::start(&ip(1));
    store.put("config", "main", Some(manifest(7, &[REPORT])));
    let mut runners = Runner::start_all(Framing::Chunked, &store, record);
    let router = Router::start(3, &store, 260);
    sleep(ms(1500));
    // An earlier stream with the same prompt shows which runner the router prefers for it.
    let earlier = stream_request("q0", 15_000, None, 0);
    read_stream(
        &mut connect(router.front),
        "q0",
        &earlier,
        ms(12_000),
        record,
    );
    let preferred = Runner::of_request(&mut runners, "q0", record).id;
    if has_trouble {
        record.line("the store is down from now on: it answers 503 to every call");
        store.set_busy(true);
        sleep(ms(500));
        let idle = Runner::of_request(&mut runners, "q0", record);
        record.line(format!("{preferred} ends, without a request in hand"));
        Process::crash(&mut idle.process);
        sleep(ms(2000));
        let process = start_model(idle.address, idle.id, "v2", Framing::Chunked, record);
        idle.process = Some(process);
        sleep(ms(500));
    }
    let mut connection = connect(router.front);
    let (front_record, request) = (record.clone(), stream_request("q1", 15_000, None, 0));
    let consumer = thread::spawn(move || {
        read_stream(&mut connection, "q1", &request, ms(12_000), &front_record)
    });
    sleep(ms(1500));
    if has_trouble {
        let busy = Runner::of_request(&mut runners, "q1", record);
        record.line(format!("{} ends in the middle of the stream", busy.id));
        Process::crash(&mut busy.process);
        sleep(ms(1500));
        store.set_busy(false);
        record.line("the store is back");
        sleep(ms(500));
        // The check-in of the restarted runner if it lives; its entry expires otherwise.
        let restarted = Runner::of_request(&mut runners, "q0", record);
        let (address, born) = (restarted.address, wall_ms() - 6000);
        let is_alive = restarted.process.is_some();
        let written = is_alive.then(|| entry(MODEL, address, "v2", born));
        store.put("servers", preferred, written);
    }
    let Ok(received) = consumer.join() else {
        cannot_run("the consumer panicked");
    };
    router.record_log(record, "request=q1");
    // One answer, joined from what two versions of the software wrote.
    received.status == 200 && received.versions().len() > 1
}
