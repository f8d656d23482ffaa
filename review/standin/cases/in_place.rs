//! Runners restart in place with newer software while the store is down.

use std::net::SocketAddr;
use std::thread::{self, sleep};

use super::{connect, ms, read_stream};
use crate::platform::{MODEL, REPORT, entry, free_address, ip, manifest, stream_request};
use crate::record::{Record, cannot_run, wall_ms};
use crate::router::{Process, Router};
use crate::runner::{Framing, start_model};
use crate::store::Store;

struct Runner {
    id: &'static str,
    address: SocketAddr,
    process: Option<Process>,
}

pub fn play(record: &Record, has_trouble: bool) -> bool {
    let store = Store::start(&ip(1));
    store.put("config", "main", Some(manifest(7, &[REPORT])));
    let mut runners = [("i-0", 10), ("i-1", 11)].map(|(id, machine)| {
        let address = free_address(&ip(machine));
        let process = start_model(address, id, "v1", Framing::Chunked, record);
        store.put("servers", id, Some(entry(MODEL, address, "v1", wall_ms())));
        Runner {
            id,
            address,
            process: Some(process),
        }
    });
    let router = Router::start(3, &store, 260);
    sleep(ms(6000));
    if has_trouble {
        record.line("the store is down from now on: it answers 503 to every call");
        store.set_busy(true);
        sleep(ms(500));
        let idle = &mut runners[0];
        record.line(format!("{} ends", idle.id));
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
        let text = std::fs::read_to_string(&record.path).unwrap_or_default();
        let runs_q1 =
            |runner: &&mut Runner| text.contains(&format!("runner {} runs q1", runner.id));
        let Some(busy) = runners.iter_mut().find(runs_q1) else {
            cannot_run("no runner runs q1");
        };
        record.line(format!("{} ends in the middle of the stream", busy.id));
        Process::crash(&mut busy.process);
        sleep(ms(1500));
        store.set_busy(false);
        record.line("the store is back");
        sleep(ms(500));
        // The check-in of i-0 if it lives; its entry expires otherwise.
        let Runner {
            id,
            address,
            process,
        } = &runners[0];
        let born = wall_ms() - 6000;
        let written = process.as_ref().map(|_| entry(MODEL, *address, "v2", born));
        store.put("servers", id, written);
    }
    let Ok(received) = consumer.join() else {
        cannot_run("the consumer panicked");
    };
    router.record_log(record, "request=q1");
    // One answer, joined from what two versions of the software wrote.
    received.status == 200 && received.versions().len() > 1
}
