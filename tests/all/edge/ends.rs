//! Ends of answers that have neither a length nor chunks. The runner is a process that is
//! killed: it closes its connections like one that has sent all of its answer.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, SendError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use balsamchute_standin::link::Link;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;

use super::answers::send_slowly_read;
use super::environment::{
    Route, Router, Runner, Store, asks_for_report, connect, header, read_message, report, respond,
    respond_with_body, send_raw, wait_until,
};
use super::{
    EVENT_STREAM_FIELDS, decode_chunks, entry, events, manifest, request, start_router,
    start_routers,
};

/// Environment variable that makes [`runner_process`] serve: the pause before the second
/// half of an answer in ms.
const PAUSE: &str = "ENDS_PAUSE_MS";

/// Pause that is longer than any test.
const FOREVER: Duration = Duration::from_secs(3600);

/// Returns the events `from` to `to` as they are without chunks.
pub fn plain_events(from: u64, to: u64) -> String {
    let events = (from..=to).map(|id| format!("id: {id}\ndata: event {id}\n\n"));
    events.collect()
}

/// Number of the events of [`long_events`].
const LONG_EVENTS: u64 = 250;

/// Returns events that fill the buffers towards a caller that does not read, and not those
/// from the runner.
fn long_events() -> String {
    let fill = "x".repeat(20_000);
    let events = (1..=LONG_EVENTS).map(|id| format!("id: {id}\ndata: {fill}\n\n"));
    events.collect()
}

/// Serves on the listener at the standard input if [`Process::start`] runs it.
#[test]
fn runner_process() {
    let Ok(pause) = std::env::var(PAUSE) else {
        return;
    };
    let pause = Duration::from_millis(pause.parse().expect("a number"));
    let input = std::io::stdin().as_fd().try_clone_to_owned();
    let listener = TcpListener::from(input.expect("a descriptor"));
    for stream in listener.incoming().flatten() {
        thread::spawn(move || serve(stream, pause));
    }
}

/// Answers a request in two halves, without a length, and closes the connection.
fn serve(mut stream: TcpStream, pause: Duration) {
    let Some((mut head, _)) = read_message(&mut stream) else {
        return;
    };
    while asks_for_report(&head) {
        report(&mut stream, 0);
        match read_message(&mut stream) {
            Some((next, _)) => head = next,
            None => return,
        }
    }
    let is_plain = head.contains("/once/") || head.contains("/safe/");
    let fields = match is_plain {
        true => "",
        false => "Content-Type: text/event-stream\r\n",
    };
    let halves = match is_plain {
        true => ["first half, ".to_owned(), "second half".to_owned()],
        false if head.contains("/long") => [long_events(), String::new()],
        false => [plain_events(1, 2), plain_events(3, 5)],
    };
    respond(&mut stream, &head, 200, fields, &halves[0]);
    thread::sleep(pause);
    // The router may have closed the connection.
    let _ = stream.write_all(halves[1].as_bytes());
}

/// Process of a runner.
struct Process(Child);

impl Process {
    fn start(listener: &TcpListener, pause: Duration) -> Self {
        let input = OwnedFd::from(listener.try_clone().expect("a descriptor"));
        let mut command = Command::new(std::env::current_exe().expect("the path of the test"));
        command
            .args(["--exact", "edge::ends::runner_process"])
            .env(PAUSE, pause.as_millis().to_string())
            .stdin(Stdio::from(input))
            .stdout(Stdio::null());
        Process(command.spawn().expect("the process starts"))
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.0.id() as i32), signal).expect("the process is running");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A router, the process of runner `i-0`, and another runner `i-1` that is listed later.
struct Scene {
    store: Store,
    router: Router,
    address: SocketAddr,
    /// Keeps the runner's port accepting connections when its process has ended.
    listener: Option<TcpListener>,
    process: Process,
    other: Runner,
}

impl Scene {
    fn start(pause: Duration) -> Self {
        Scene::start_behind(pause, |address| address)
    }

    /// Starts a scene whose router reaches the process at another address.
    fn start_behind(pause: Duration, front: impl FnOnce(SocketAddr) -> SocketAddr) -> Self {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("one");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).expect("a free port");
        // A short queue, for `fill_queue`.
        socket.listen(2).expect("the socket can listen");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let process = Process::start(&listener, pause);
        let store = Store::start();
        let routes = [
            Route::new("stream", "stream", 8000).resumable(),
            Route::new("fixed", "stream", 8000),
            Route::new("once", "non_idempotent", 8000),
            Route::new("safe", "idempotent", 8000),
        ];
        let manifest = super::environment::manifest(1, &routes, &["k1"]);
        store.put("config", "main", Some(manifest));
        let address = front(address);
        store.put("servers", "i-0", entry(address, "s"));
        let router = Router::start("r1", store.address);
        router.wait_ready();
        let other = Runner::start(|head, stream| {
            if head.contains("/safe/") {
                return respond_with_body(stream, head, "whole answer");
            }
            let from: u64 = header(head, "last-event-id").map_or(0, |id| id.parse().expect("one"));
            let body = format!("{}0\r\n\r\n", events(from + 1, from.max(2) + 3));
            respond(stream, head, 200, EVENT_STREAM_FIELDS, &body);
            true
        });
        Scene {
            store,
            router,
            address,
            listener: Some(listener),
            process,
            other,
        }
    }

    /// Sends a request, and lists the other runner when the process has it and the first
    /// half of a stream has come.
    fn call(&self, path: &str) -> Caller {
        let mut stream = connect(self.router.callers);
        let text = request("POST", path, "", "");
        stream
            .write_all(text.as_bytes())
            .expect("the router reads the request");
        let mut caller = Caller {
            stream,
            received: Vec::new(),
        };
        if path.contains("/stream/") || path.contains("/fixed/") {
            caller.read_until("event 2\n\n");
        }
        self.list_other();
        // The rest of the first half, and time between it and the end.
        thread::sleep(Duration::from_millis(200));
        caller
    }

    /// Lists the other runner when the process has the request.
    fn list_other(&self) {
        self.wait_for_log("event=send ");
        self.store
            .put("servers", "i-1", entry(self.other.address, "s"));
        self.wait_for_log("event=runner_listed runner=i-1 ");
    }

    fn wait_for_log(&self, text: &str) {
        wait_until(text, || self.router.log().contains(text));
    }

    /// Leaves no room in the queue of connections that wait for the process.
    fn fill_queue(&self) -> Vec<TcpStream> {
        let connect = || TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        std::iter::from_fn(|| connect().ok()).collect()
    }

    /// Kills the process in the middle of a stream; the caller must get all of it, with the
    /// second half from the other runner.
    fn check_goes_on(&mut self, end: impl FnOnce(&mut Self)) {
        let caller = self.call("/stream/x");
        end(self);
        let response = caller.read_to_end();
        let (body, is_complete) = decode_chunks(&response);
        let expected = (plain_events(1, 5), true);
        assert_eq!((body, is_complete), expected, "{}", self.router.log());
        let requests = self.other.requests();
        assert_eq!(header(&requests[0], "last-event-id"), Some("2"));
    }
}

/// Caller that reads its response bit by bit.
struct Caller {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Caller {
    fn read_until(&mut self, text: &str) {
        let mut buffer = [0; 4096];
        while !String::from_utf8_lossy(&self.received).contains(text) {
            let length = self.stream.read(&mut buffer).expect("more comes");
            assert!(length > 0, "{}", String::from_utf8_lossy(&self.received));
            self.received.extend_from_slice(&buffer[..length]);
        }
    }

    /// Returns the whole response; a reset is recorded as `<reset>` at the end.
    fn read_to_end(mut self) -> String {
        match self.stream.read_to_end(&mut self.received) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {
                self.received.extend_from_slice(b"<reset>");
            }
            Err(error) => panic!("reading from the connection failed: {error}"),
        }
        String::from_utf8_lossy(&self.received).into_owned()
    }
}

#[test]
fn a_stream_whose_runner_is_killed_while_its_port_accepts_goes_on_at_another_runner() {
    Scene::start(FOREVER).check_goes_on(|scene| scene.process.signal(Signal::SIGKILL));
}

#[test]
fn a_stream_whose_runner_is_killed_and_back_at_once_goes_on_at_another_runner() {
    Scene::start(FOREVER).check_goes_on(|scene| {
        scene.process.signal(Signal::SIGKILL);
        let listener = scene.listener.as_ref().expect("it is open");
        scene.process = Process::start(listener, FOREVER);
        let mut restarted = entry(scene.address, "s").expect("an entry");
        restarted["born"] = json!(2);
        scene.store.put("servers", "i-0", Some(restarted));
    });
}

#[test]
fn a_stream_whose_runner_is_killed_behind_a_forwarder_goes_on_at_another_runner() {
    let mut link = None;
    let mut scene = Scene::start_behind(FOREVER, |address| {
        let any = "127.0.0.1:0".parse().expect("an address");
        let link = link.insert(Link::start(any, address).expect("a free port"));
        link.address()
    });
    scene.listener = None;
    scene.check_goes_on(|scene| scene.process.signal(Signal::SIGKILL));
}

#[test]
fn a_stream_whose_runner_is_killed_and_silent_goes_on_at_another_runner() {
    let mut scene = Scene::start(FOREVER);
    let mut waiting = Vec::new();
    scene.check_goes_on(|scene| {
        scene.process.signal(Signal::SIGSTOP);
        waiting = scene.fill_queue();
        scene.process.signal(Signal::SIGKILL);
    });
}

#[test]
fn a_stream_whose_runner_is_killed_when_it_is_not_listed_goes_on_at_another_runner() {
    let mut scene = Scene::start(FOREVER);
    scene.listener = None;
    scene.check_goes_on(|scene| {
        scene.store.put("servers", "i-0", None);
        scene.wait_for_log("event=runner_gone runner=i-0 ");
        scene.process.signal(Signal::SIGKILL);
    });
}

/// The router reads the end when the caller goes on, long after the process has died.
#[test]
fn a_stream_that_is_read_slowly_goes_on_if_its_runner_was_killed_and_is_back() {
    let mut scene = Scene::start(FOREVER);
    let text = request("POST", "/stream/long", "", "");
    let stream = send_slowly_read(&scene.router, &text);
    scene.list_other();
    // Time in which the process writes all events, and the buffers of the router fill.
    thread::sleep(Duration::from_millis(1000));
    scene.process.signal(Signal::SIGKILL);
    let listener = scene.listener.as_ref().expect("it is open");
    scene.process = Process::start(listener, FOREVER);
    thread::sleep(Duration::from_millis(500));
    let received = Vec::new();
    let response = Caller { stream, received }.read_to_end();
    let (body, is_complete) = decode_chunks(&response);
    let log = scene.router.log();
    let expected = (LONG_EVENTS as usize + 3, true);
    assert_eq!(
        (body.matches("id: ").count(), is_complete),
        expected,
        "{log}"
    );
}

#[test]
fn a_whole_stream_of_a_living_runner_that_is_read_slowly_is_delivered() {
    let scene = Scene::start(Duration::from_millis(100));
    let text = request("POST", "/stream/long", "", "");
    let stream = send_slowly_read(&scene.router, &text);
    scene.list_other();
    thread::sleep(Duration::from_millis(1500));
    let received = Vec::new();
    let response = Caller { stream, received }.read_to_end();
    let (body, is_complete) = decode_chunks(&response);
    let expected = (LONG_EVENTS as usize, true);
    let log = scene.router.log();
    assert_eq!(
        (body.matches("id: ").count(), is_complete),
        expected,
        "{log}"
    );
    assert!(scene.other.requests().is_empty());
}

/// Checks that an answer whose runner is killed is cut off.
fn check_cut(path: &str) {
    let scene = Scene::start(FOREVER);
    let caller = scene.call(path);
    scene.store.put("servers", "i-1", None);
    scene.wait_for_log("event=runner_gone runner=i-1 ");
    scene.process.signal(Signal::SIGKILL);
    let response = caller.read_to_end();
    assert!(!decode_chunks(&response).1, "{response}");
    assert!(response.ends_with("<reset>"), "{response}");
}

#[test]
fn a_stream_whose_runner_is_killed_and_that_no_other_one_resumes_is_cut() {
    check_cut("/stream/x");
}

#[test]
fn a_stream_that_may_not_be_resumed_is_cut_when_its_runner_is_killed() {
    check_cut("/fixed/x");
}

#[test]
fn a_repeatable_answer_whose_runner_is_killed_in_the_middle_is_repeated() {
    let scene = Scene::start(FOREVER);
    let caller = scene.call("/safe/x");
    scene.process.signal(Signal::SIGKILL);
    let response = caller.read_to_end();
    assert!(response.ends_with("\r\n\r\nwhole answer"), "{response}");
}

#[test]
fn an_answer_that_may_not_be_repeated_fails_when_its_runner_is_killed_in_the_middle() {
    let scene = Scene::start(FOREVER);
    let caller = scene.call("/once/x");
    scene.process.signal(Signal::SIGKILL);
    let response = caller.read_to_end();
    assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
    assert!(scene.other.requests().is_empty());
}

/// Doubt about ends must not withhold or repeat the answers of runners that live.
#[test]
fn whole_answers_of_a_living_runner_are_delivered_and_not_repeated() {
    let scene = Scene::start(Duration::from_millis(600));
    for path in ["/stream/x", "/fixed/x", "/safe/x", "/once/x"] {
        scene.store.put("servers", "i-1", None);
        let response = scene.call(path).read_to_end();
        let is_whole = match path.contains("/stream/") || path.contains("/fixed/") {
            true => decode_chunks(&response) == (plain_events(1, 5), true),
            false => response.ends_with("\r\n\r\nfirst half, second half"),
        };
        assert!(is_whole, "{path}: {response}");
    }
    assert!(scene.other.requests().is_empty());
}

#[test]
fn a_whole_stream_is_delivered_if_its_runner_resets_connections_above_its_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let runner = Runner {
        address: listener.local_addr().expect("an address"),
        received: Arc::default(),
        born: Arc::default(),
        reply: Arc::default(),
    };
    thread::spawn(move || {
        let mut kept = Vec::new();
        for (number, stream) in listener.incoming().flatten().enumerate() {
            match number {
                0 => {
                    thread::spawn(move || serve(stream, Duration::from_millis(300)));
                }
                1 => kept.push(stream),
                _ => {
                    let socket = socket2::SockRef::from(&stream);
                    socket
                        .set_linger(Some(Duration::ZERO))
                        .expect("an open socket");
                }
            }
        }
    });
    let (_store, router) = start_router(&[&runner]);
    let response = send_raw(router.callers, &request("POST", "/stream/x", "", ""));
    let (body, is_whole) = decode_chunks(&response);
    assert!(is_whole && body.contains("event 5"), "{response}");
}

/// Start of a runner's process, as its entry names it.
const LISTED_START: u64 = 1_700_000_000_000;

/// Runner that begins an answer when the test says so and breaks it off, while another process
/// accepts connections at its port.
struct Breaking {
    runner: Runner,
    begun: Receiver<()>,
    go_on: Sender<()>,
}

impl Breaking {
    fn start() -> Self {
        let (begin, begun) = channel();
        let (go_on, wait) = channel();
        let steps = Mutex::new((begin, wait));
        let runner = Runner::start(move |head, stream| {
            let steps = steps.lock().expect("no thread panicked");
            let step = || {
                steps
                    .0
                    .send(())
                    .and(steps.1.recv().map_err(|_| SendError(())))
            };
            step().expect("the test goes on");
            let body = match head.contains("/once/") {
                true => "first half, ".to_owned(),
                false => plain_events(1, 2),
            };
            respond(stream, head, 200, "", &body);
            let _ = stream.shutdown(Shutdown::Both);
            step().expect("the test goes on");
            false
        });
        Breaking {
            runner,
            begun,
            go_on,
        }
    }

    /// Sends a request, and stops the router until the runner has broken off its answer. The
    /// process that accepts connections then names the start `next`; 0 for none.
    fn call(
        &self,
        store: &Store,
        router: &Router,
        path: &str,
        other: &Runner,
        next: u64,
    ) -> Caller {
        let mut listed = entry(self.runner.address, "s").expect("an entry");
        listed["born"] = json!(LISTED_START);
        store.put("servers", "i-0", Some(listed));
        self.runner.set_born(LISTED_START);
        let started_at = format!("started_at={LISTED_START} ");
        wait_until("the start of the runner is listed", || {
            router.log().contains(&started_at)
        });
        let mut stream = connect(router.callers);
        let text = request("POST", path, "", "");
        stream.write_all(text.as_bytes()).expect("the router reads");
        self.begun.recv().expect("the runner has the request");
        self.runner.set_born(next);
        store.put("servers", "i-1", entry(other.address, "s"));
        wait_until("the other runner is listed", || {
            router.log().contains("event=runner_listed runner=i-1 ")
        });
        router.signal(Signal::SIGSTOP);
        self.go_on.send(()).expect("the runner waits");
        self.begun.recv().expect("the runner broke off its answer");
        thread::sleep(Duration::from_millis(300));
        router.signal(Signal::SIGCONT);
        self.go_on.send(()).expect("the runner waits");
        let received = Vec::new();
        Caller { stream, received }
    }
}

#[test]
fn a_stream_that_begins_and_breaks_off_while_the_router_is_stopped_goes_on_at_another_runner() {
    for next in [0, LISTED_START + 1] {
        let breaking = Breaking::start();
        let other = Runner::start(|head, stream| {
            let from: u64 = header(head, "last-event-id").map_or(0, |id| id.parse().expect("one"));
            let body = format!("{}0\r\n\r\n", events(from + 1, 5));
            respond(stream, head, 200, EVENT_STREAM_FIELDS, &body);
            true
        });
        let (store, router) = start_router(&[&breaking.runner]);
        let caller = breaking.call(&store, &router, "/stream/x", &other, next);
        let response = caller.read_to_end();
        let expected = (plain_events(1, 5), true);
        assert_eq!(decode_chunks(&response), expected, "{}", router.log());
    }
}

#[test]
fn an_answer_that_begins_and_breaks_off_while_the_router_is_stopped_fails() {
    for next in [0, LISTED_START + 1] {
        let breaking = Breaking::start();
        let other = Runner::start(|head, stream| respond_with_body(stream, head, "whole answer"));
        let (store, router) = start_router(&[&breaking.runner]);
        let caller = breaking.call(&store, &router, "/once/x", &other, next);
        let response = caller.read_to_end();
        assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
        assert!(other.requests().is_empty());
    }
}

/// A process that exits closes its connections one after another.
#[test]
fn a_stream_goes_on_at_another_runner_if_its_runner_closes_other_connections_much_later() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let runner = Runner {
        address: listener.local_addr().expect("an address"),
        received: Arc::default(),
        born: Arc::default(),
        reply: Arc::default(),
    };
    thread::spawn(move || {
        let mut kept = Vec::new();
        for (number, mut stream) in listener.incoming().flatten().enumerate() {
            match number {
                0 => {
                    thread::spawn(move || {
                        let (mut head, _) = read_message(&mut stream).expect("a request");
                        if asks_for_report(&head) {
                            report(&mut stream, 0);
                            (head, _) = read_message(&mut stream).expect("a request");
                        }
                        respond(&mut stream, &head, 200, "", &plain_events(1, 2));
                        thread::sleep(Duration::from_millis(300));
                    });
                }
                1 => {
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(600));
                        drop(stream);
                    });
                }
                _ => kept.push(stream),
            }
        }
    });
    let (store, router) = start_router(&[&runner]);
    let mut stream = connect(router.callers);
    let text = request("POST", "/stream/x", "", "");
    stream.write_all(text.as_bytes()).expect("the router reads");
    let received = Vec::new();
    let mut caller = Caller { stream, received };
    caller.read_until("event 2\n\n");
    let other = Runner::start(|head, stream| {
        let from: u64 = header(head, "last-event-id").map_or(0, |id| id.parse().expect("one"));
        let body = format!("{}0\r\n\r\n", events(from + 1, 5));
        respond(stream, head, 200, EVENT_STREAM_FIELDS, &body);
        true
    });
    store.put("servers", "i-1", entry(other.address, "s"));
    let response = caller.read_to_end();
    let expected = (plain_events(1, 5), true);
    assert_eq!(decode_chunks(&response), expected, "{}", router.log());
}

/// The router's timer fires some time after the deadline.
#[test]
fn an_answer_that_its_runner_ends_at_the_deadline_is_not_complete() {
    let runner = Runner::start(|head, stream| {
        let received_at = Instant::now();
        let left = header(head, "x-deadline-ms").map(|left| left.parse().expect("a number"));
        let deadline = received_at + Duration::from_millis(left.expect("a deadline"));
        let before = deadline - Duration::from_millis(20);
        thread::sleep(before.saturating_duration_since(Instant::now()));
        respond(stream, head, 200, "", "first half, ");
        thread::sleep(deadline.saturating_duration_since(Instant::now()));
        false
    });
    let (_store, router) = start_router(&[&runner]);
    let callers: Vec<Caller> = (0..20)
        .map(|_| {
            let mut stream = connect(router.callers);
            let text = request("POST", "/once/x", "", "").replace("8000", "400");
            stream.write_all(text.as_bytes()).expect("the router reads");
            thread::sleep(Duration::from_millis(3));
            let received = Vec::new();
            Caller { stream, received }
        })
        .collect();
    for caller in callers {
        let response = caller.read_to_end();
        assert!(!response.contains("HTTP/1.1 200 "), "{response}");
    }
}

/// Runner that ends in the middle of each answer, with all its connections. The next process
/// accepts connections at once, and names a start of its own.
fn start_ending_runner() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let open: Arc<Mutex<(u64, Vec<TcpStream>)>> = Arc::new(Mutex::new((2, Vec::new())));
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let open = open.clone();
            let start = {
                let mut process = open.lock().expect("no thread panicked");
                process.1.push(stream.try_clone().expect("a descriptor"));
                process.0
            };
            thread::spawn(move || {
                while let Some((head, _)) = read_message(&mut stream) {
                    if asks_for_report(&head) {
                        report(&mut stream, start);
                        continue;
                    }
                    let mut process = open.lock().expect("no thread panicked");
                    respond(&mut stream, &head, 200, "", "first half, ");
                    process.0 += 1;
                    for connection in process.1.drain(..) {
                        let _ = connection.shutdown(Shutdown::Both);
                    }
                }
            });
        }
    });
    address
}

/// The entry is of a process before; those that answer are not listed.
#[test]
fn an_answer_is_not_complete_if_another_process_than_is_listed_accepts_connections_after_its_end() {
    let store = Store::start();
    store.put("config", "main", manifest(1, &["k1"]));
    let mut value = entry(start_ending_runner(), "s").expect("an entry");
    value["born"] = json!(1);
    store.put("servers", "i-0", Some(value));
    let router = start_routers(&store, 1).remove(0);
    for _ in 0..5 {
        let response = send_raw(router.callers, &request("POST", "/once/x", "", ""));
        assert!(
            !response.contains("HTTP/1.1 200 "),
            "{response} {}",
            router.log()
        );
        thread::sleep(Duration::from_millis(200));
    }
}
