//! Check of the order of a stream over all requests of its caller.

use crate::event::{self, Run};
use crate::judge::Judge;

/// Events that a caller has of a stream, over all its requests for it.
pub struct Progress {
    stream: String,
    /// Request that brought the first event.
    begun_by: Option<String>,
    /// Software version that it came from.
    begun_at: Option<usize>,
    /// Id of the last event.
    events: u64,
    /// Run that the last event came from.
    run: Option<Run>,
    /// Run whose repeated events were reported.
    repeated: Option<Run>,
}

impl Progress {
    pub fn new(stream: &str) -> Self {
        Progress {
            stream: stream.to_owned(),
            begun_by: None,
            begun_at: None,
            events: 0,
            run: None,
            repeated: None,
        }
    }

    /// Returns the id of the last event; 0 before the first one.
    pub fn last_event(&self) -> u64 {
        self.events
    }

    /// Returns the software version that the first event came from.
    pub fn begun_at(&self) -> Option<usize> {
        self.begun_at
    }

    /// Adds the bytes that a chunk of the answer to request `id` brought. Routers pass on
    /// complete events only.
    pub fn extend(&mut self, id: &str, bytes: &[u8], judge: &Judge) {
        let mut rest = std::str::from_utf8(bytes).unwrap_or("?");
        while !rest.is_empty() {
            let end = rest.find("\n\n").map_or(rest.len(), |at| at + 2);
            let Some((number, run)) = event::decode(&self.stream, &rest[..end]) else {
                let start: String = rest.chars().take(200).collect();
                let text = format!("got {start:?} after event {}", self.events);
                judge.report_spoilt(id, &text);
                return;
            };
            if run.request != id {
                judge.report("own answer", &format!("{id} got event {number} of {run}"));
            }
            self.check(id, number, &run, judge);
            self.begun_by.get_or_insert_with(|| id.to_owned());
            self.begun_at.get_or_insert(run.version);
            self.events = self.events.max(number);
            self.run = Some(run);
            rest = &rest[end..];
        }
    }

    fn check(&mut self, id: &str, number: u64, run: &Run, judge: &Judge) {
        let had = self.events;
        let before = self
            .run
            .as_ref()
            .map_or("nothing".to_owned(), Run::to_string);
        let text =
            format!("{id} got event {number} of [{run}], had up to event {had} of [{before}]");
        if number > had + 1 {
            judge.report("order: missing", &text);
        }
        if number <= had && self.repeated.as_ref() != Some(run) {
            judge.report("order: twice", &text);
            self.repeated = Some(run.clone());
        }
        let is_new = self.run.as_ref() != Some(run);
        let is_of_version = self
            .run
            .as_ref()
            .is_none_or(|began| began.version == run.version);
        if is_new && (!is_of_version || run.after != had) {
            judge.report("order: joined", &text);
        }
    }

    /// Checks that all events arrived before an answer that ended as complete.
    pub fn finish(&self, id: &str, judge: &Judge) {
        let total = event::total_of(&self.stream);
        if self.events < total {
            let last = self
                .run
                .as_ref()
                .map_or("nothing".to_owned(), Run::to_string);
            let events = self.events;
            let text = format!("{id} ended after event {events} of {total}, the last of [{last}]");
            judge.report("order: ended early", &text);
            let text = format!("got a stream as whole after event {events} of {total}");
            judge.report_spoilt(id, &text);
        }
    }

    /// Returns the headers of a request that takes the stream up.
    pub fn headers(&self, names_origin: bool) -> String {
        match &self.begun_by {
            Some(id) if names_origin => {
                format!("Last-Event-Id: {}\r\nResumes: {id}\r\n", self.events)
            }
            Some(_) => format!("Last-Event-Id: {}\r\n", self.events),
            None => String::new(),
        }
    }
}
