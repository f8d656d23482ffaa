//! Stand-in of the platform's store: objects by kind and name, lists, watches and writes.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

#[derive(Clone)]
struct Object {
    kind: String,
    name: String,
    revision: u64,
    /// JSON text; `None` after a deletion.
    spec: Option<String>,
}

#[derive(Default)]
struct State {
    /// Whether every call is answered 503.
    is_busy: bool,
    revision: u64,
    objects: Vec<Object>,
}

/// Store that serves in threads of this process.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let store = Store {
            address: listener.local_addr().expect("an address"),
            state: Arc::default(),
        };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes an object as the operator or a runner does; `None` deletes it.
    pub fn put(&self, kind: &str, name: &str, spec: Option<String>) {
        let mut state = self.state.0.lock().expect("no thread panicked");
        state.write(kind, name, spec);
        self.state.1.notify_all();
    }

    /// Begins or ends a time in which the store answers 503 to every call, also to those that
    /// wait at its start.
    pub fn set_busy(&self, is_busy: bool) {
        let mut state = self.state.0.lock().expect("no thread panicked");
        state.is_busy = is_busy;
        self.state.1.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(call)) = connection.read(Duration::from_secs(120), false) {
            let (status, body) = self.answer(call.start_line(), &call.body);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.send(&text).is_err() {
                return;
            }
        }
    }

    fn answer(&self, start_line: &str, body: &[u8]) -> (u16, String) {
        let mut words = start_line.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let Some(path) = target.strip_prefix("/-/objects/") else {
            return (404, "{}".to_owned());
        };
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let mut state = self.state.0.lock().expect("no thread panicked");
        if state.is_busy {
            return (503, "{}".to_owned());
        }
        let text = String::from_utf8_lossy(body).into_owned();
        match (method, name) {
            ("POST", None) => {
                let name = value(&text, "name")
                    .unwrap_or("")
                    .trim_matches('"')
                    .to_owned();
                if let Some(object) = state.get(kind, &name) {
                    return (409, object);
                }
                state.write(kind, &name, value(&text, "spec").map(str::to_owned));
                self.state.1.notify_all();
                (200, state.get(kind, &name).unwrap_or_default())
            }
            ("PUT", Some(name)) => {
                if state.get(kind, name).is_none() {
                    return (404, "{}".to_owned());
                }
                state.write(kind, name, value(&text, "spec").map(str::to_owned));
                self.state.1.notify_all();
                (200, state.get(kind, name).unwrap_or_default())
            }
            ("GET", Some(name)) => match state.get(kind, name) {
                Some(object) => (200, object),
                None => (404, "{}".to_owned()),
            },
            ("GET", None) => {
                let Some(from) = parameter("watch").and_then(|text| text.parse::<u64>().ok())
                else {
                    let items: Vec<String> = state.of(kind).filter_map(Object::text).collect();
                    let at = state.revision;
                    let items = items.join(",");
                    return (
                        200,
                        format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{at}}}"),
                    );
                };
                let wait = parameter("wait_ms").and_then(|text| text.parse().ok());
                let deadline = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
                loop {
                    if state.is_busy {
                        return (503, "{}".to_owned());
                    }
                    if from > state.revision {
                        return (410, "{}".to_owned());
                    }
                    let events: Vec<String> = state
                        .of(kind)
                        .filter(|object| object.revision > from)
                        .map(Object::event)
                        .collect();
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, at) = (events.join(","), state.revision);
                        return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
                    }
                    let waited = self.state.1.wait_timeout(state, left);
                    state = waited.expect("no thread panicked").0;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

impl State {
    fn of<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a Object> {
        self.objects
            .iter()
            .filter(move |object| object.kind == kind)
    }

    fn get(&self, kind: &str, name: &str) -> Option<String> {
        self.of(kind).find(|object| object.name == name)?.text()
    }

    fn write(&mut self, kind: &str, name: &str, spec: Option<String>) {
        self.revision += 1;
        self.objects
            .retain(|object| (object.kind.as_str(), object.name.as_str()) != (kind, name));
        self.objects.push(Object {
            kind: kind.to_owned(),
            name: name.to_owned(),
            revision: self.revision,
            spec,
        });
    }
}

impl Object {
    fn metadata(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"revision\":{},\"created\":1,\"finalizers\":[],\"deleting\":false}}",
            self.name, self.revision
        )
    }

    fn text(&self) -> Option<String> {
        let spec = self.spec.as_ref()?;
        let metadata = self.metadata();
        Some(format!(
            "{{\"metadata\":{metadata},\"spec\":{spec},\"status\":null}}"
        ))
    }

    fn event(&self) -> String {
        let metadata = self.metadata();
        let removed = || format!("{{\"metadata\":{metadata},\"spec\":null,\"status\":null}}");
        let object = self.text().unwrap_or_else(removed);
        format!(
            "{{\"deleted\":{},\"object\":{object}}}",
            self.spec.is_none()
        )
    }
}

/// Returns the text of the first value under `key`, at any depth.
fn value<'a>(json: &'a str, key: &str) -> Option<&'a str> {
    let quoted = format!("\"{key}\"");
    let start = json.find(&quoted)? + quoted.len();
    let rest = json[start..].trim_start().strip_prefix(':')?.trim_start();
    let (mut depth, mut in_string, mut escaped) = (0, false, false);
    for (index, c) in rest.char_indices() {
        if in_string {
            match c {
                _ if escaped => escaped = false,
                '\\' => escaped = true,
                '"' => in_string = false,
                _ => {}
            }
            if !in_string && depth == 0 {
                return Some(&rest[..=index]);
            }
            continue;
        }
        match c {
            '"' => in_string = true,
            '{' | '[' => depth += 1,
            '}' | ']' | ',' if depth == 0 => return Some(rest[..index].trim_end()),
            '}' | ']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(&rest[..=index]);
                }
            }
            _ => {}
        }
    }
    None
}
