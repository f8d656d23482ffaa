//! A refused HEAD request leaves the refusal's body on the connection.

use super::{connect, ms};
use crate::platform::{PLAIN, STATUS, entry, ip, manifest, request};
use crate::record::{Record, cannot_run, wall_ms};
use crate::router::Router;
use crate::runner::{answer_head, start_plain};
use crate::store::Store;

/// Route that the change of the manifest removes.
const REMOVED: crate::platform::Route = crate::platform::Route {
    prefix: "/cufi777/",
    ..STATUS
};

pub fn play(record: &Record, has_trouble: bool) -> bool {
    let store = Store::start(&ip(1));
    store.put("config", "main", Some(manifest(7, &[STATUS, REMOVED])));
    let runner = start_plain(2, "i-1", record, |request, connection| {
        // The answer to HEAD has the head of the answer to GET, and no body.
        let body = match request.start_line().starts_with("HEAD ") {
            true => "",
            false => "open",
        };
        let head = answer_head(request);
        connection
            .send(&format!("{head}Content-Length: 4\r\n\r\n{body}"))
            .is_ok()
    });
    store.put(
        "servers",
        "i-1",
        Some(entry(PLAIN, runner, "v1", wall_ms())),
    );
    let router = Router::start(3, &store, 260);
    let mut connection = connect(router.front);
    if has_trouble {
        record.line("the operator's manifest 8 removes the route /cufi777/");
        store.put("config", "main", Some(manifest(8, &[STATUS])));
        std::thread::sleep(ms(3000));
    }
    let mut foreign = 0;
    for round in 0..5 {
        for (method, path) in [("HEAD", "/cufi777/1"), ("GET", "/cufi504/1")] {
            let id = format!("{}{round}", method.to_lowercase());
            let text = request(method, path, &id, 3000);
            record.line(format!("consumer sends {id}: {method} {path}"));
            let answer = match connection.send(&text) {
                Ok(()) => connection.read(ms(3000), method == "HEAD"),
                Err(error) => Err(error),
            };
            let message = match answer {
                Ok(Some(message)) => message,
                other => cannot_run(&format!("no answer to {id}: {other:?}")),
            };
            let is_answer = message.head.starts_with("HTTP/1.1 ");
            foreign += u32::from(!is_answer);
            record.line(format!(
                "consumer got for {id}: {:?}, of {:?}",
                message.start_line(),
                message.header("x-request-id")
            ));
        }
    }
    record.line(format!(
        "answers that begin with bytes of no answer: {foreign}"
    ));
    router.record_log(record, "event=rejected");
    foreign > 0
}
