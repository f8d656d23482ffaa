//! The engine client against an engine on loopback, with its faults.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;

use balsamchute_base::prelude::*;
use balsamchute_standin::engine::{self, Engine};
use balsamchute_standin::prompt::Prompt;
use balsamchute_standin::record::End;
use balsamchute_target::engine::{Client, Generation, Order};
use balsamchute_target::stream::Piece;
use balsamchute_target::{Error, Settings};

const FAST: f64 = 2000.0;

struct Ids {
    attempt: Attempt,
    workspace: Workspace,
    request: Request,
    key: Key,
}

impl Ids {
    fn new(attempt: &str) -> Self {
        Self {
            attempt: Attempt::new(attempt).unwrap(),
            workspace: Workspace::new("w").unwrap(),
            request: Request::new("r").unwrap(),
            key: Key::new("k").unwrap(),
        }
    }

    fn generation<'a>(&'a self, prompt: &'a str) -> Generation<'a> {
        Generation {
            attempt: &self.attempt,
            workspace: &self.workspace,
            request: &self.request,
            key: None,
            prefix: None,
            fence: None,
            prompt,
        }
    }

    fn fenced<'a>(&'a self, prompt: &'a str, fence: u64) -> Generation<'a> {
        Generation {
            key: Some(&self.key),
            fence: Some(fence),
            ..self.generation(prompt)
        }
    }
}

fn start(speed: f64) -> Engine {
    Engine::start(engine::Settings::new("e", 4).with_speed(speed)).unwrap()
}

fn client() -> Client {
    Client::new(Settings::default())
}

/// Checks that `pieces` are the whole answer to `prompt`.
fn assert_whole(prompt: &Prompt, pieces: &[Result<Piece, Error>]) {
    let tokens = (0..prompt.tokens).map(|index| {
        let text = prompt.token(index);
        Ok(Piece::Token { index, text })
    });
    let end = Ok(Piece::Done {
        tokens: prompt.tokens,
    });
    assert_eq!(pieces, tokens.chain([end]).collect::<Vec<_>>());
}

fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

#[test]
fn an_answer_is_whole_and_on_record() {
    let engine = start(FAST);
    let prompt = Prompt::new(50).with_text("panel ");
    let (ids, body) = (Ids::new("a"), prompt.to_body());
    let stream = client().generate(engine.address(), &ids.generation(&body));
    assert_whole(&prompt, &stream.unwrap().collect::<Vec<_>>());
    let records = engine.records();
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].end, Some(End::Done));
    assert_eq!(records[0].cost, Cost(50));
    assert_eq!(engine.running(), 0);
}

#[test]
fn an_answer_without_tokens_is_whole() {
    let engine = start(FAST);
    let (ids, prompt) = (Ids::new("a"), Prompt::new(0));
    let body = prompt.to_body();
    let stream = client().generate(engine.address(), &ids.generation(&body));
    assert_whole(&prompt, &stream.unwrap().collect::<Vec<_>>());
}

#[test]
fn a_lost_connection_is_resumed_without_gap_or_repetition() {
    let engine = start(200.0);
    let (ids, prompt) = (Ids::new("a"), Prompt::new(100));
    let body = prompt.to_body();
    let stream = client().generate(engine.address(), &ids.generation(&body));
    let mut pieces = Vec::new();
    for piece in stream.unwrap() {
        pieces.push(piece);
        if [10, 40].contains(&pieces.len()) {
            engine.cut_connections().unwrap();
        }
    }
    assert_whole(&prompt, &pieces);
    let records = engine.records();
    assert_eq!(records.len(), 1);
    assert!(records[0].resumed >= 2);
}

#[test]
fn a_lost_answer_to_the_request_is_resumed_from_the_start() {
    let engine = start(FAST);
    engine.set_answer_delay(Span::from_secs(3600));
    let (ids, prompt) = (Ids::new("a"), Prompt::new(20));
    let body = prompt.to_body();
    let client = client();
    let generation = ids.generation(&body);
    thread::scope(|scope| {
        let call = scope.spawn(|| client.generate(engine.address(), &generation));
        while engine.records().is_empty() {
            thread::yield_now();
        }
        engine.set_answer_delay(Span(0));
        engine.cut_connections().unwrap();
        let stream = call.join().unwrap().unwrap();
        assert_whole(&prompt, &stream.collect::<Vec<_>>());
    });
    assert_eq!(engine.records().len(), 1);
}

#[test]
fn a_late_answer_is_whole() {
    let engine = start(FAST);
    engine.set_answer_delay(Span(100));
    let (ids, prompt) = (Ids::new("a"), Prompt::new(20));
    let body = prompt.to_body();
    let stream = client().generate(engine.address(), &ids.generation(&body));
    assert_whole(&prompt, &stream.unwrap().collect::<Vec<_>>());
}

#[test]
fn a_request_to_nobody_was_not_sent() {
    let (ids, body) = (Ids::new("a"), Prompt::new(1).to_body());
    let error = client().generate(unused_address(), &ids.generation(&body));
    let error = error.err().unwrap();
    assert!(matches!(error, Error::NotSent { .. }), "{error}");
    assert!(!error.may_have_run());
}

#[test]
fn a_crash_is_told_from_a_cut_and_the_engine_forgets() {
    let engine = start(FAST);
    let (ids, prompt) = (Ids::new("a"), Prompt::new(20).with_crash());
    let body = prompt.to_body();
    let client = client();
    let stream = client.generate(engine.address(), &ids.generation(&body));
    let last = stream.unwrap().last().unwrap().unwrap_err();
    assert!(matches!(last, Error::Crashed { .. }), "{last}");
    assert!(last.may_have_run());
    assert_eq!(engine.records()[0].end, Some(End::Crashed));
}

#[test]
fn a_crash_also_ends_the_streams_beside_it() {
    let engine = start(100.0);
    let (ids, prompt) = (Ids::new("bystander"), Prompt::new(10_000));
    let body = prompt.to_body();
    let client = client();
    let mut stream = client
        .generate(engine.address(), &ids.generation(&body))
        .unwrap();
    assert!(matches!(stream.next(), Some(Ok(Piece::Token { .. }))));
    let crash = Prompt::new(2).with_crash().to_body();
    let poison = Ids::new("poison");
    let crashed = client.generate(engine.address(), &poison.generation(&crash));
    assert!(crashed.unwrap().any(|piece| piece.is_err()));
    let last = stream.last().unwrap().unwrap_err();
    assert!(matches!(last, Error::Crashed { .. }), "{last}");
}

#[test]
fn a_restart_is_a_new_incarnation_that_takes_requests() {
    let engine = start(FAST);
    let client = client();
    let before = client.load(engine.address()).unwrap().incarnation;
    engine.kill();
    let error = client.load(engine.address()).unwrap_err();
    assert!(matches!(
        error,
        Error::NotSent { .. } | Error::MayHaveRun { .. }
    ));
    engine.restart().unwrap();
    assert!(client.load(engine.address()).unwrap().incarnation > before);
    let (ids, prompt) = (Ids::new("a"), Prompt::new(5));
    let body = prompt.to_body();
    let stream = client.generate(engine.address(), &ids.generation(&body));
    assert_whole(&prompt, &stream.unwrap().collect::<Vec<_>>());
}

#[test]
fn a_stream_is_cancelled_from_another_thread() {
    let engine = start(50.0);
    let (ids, body) = (Ids::new("a"), Prompt::new(1_000_000).to_body());
    let mut stream = client()
        .generate(engine.address(), &ids.generation(&body))
        .unwrap();
    assert!(matches!(stream.next(), Some(Ok(Piece::Token { .. }))));
    let canceller = stream.canceller();
    thread::scope(|scope| {
        let rest = scope.spawn(|| stream.last().unwrap());
        canceller.cancel().unwrap();
        let last = rest.join().unwrap();
        assert!(matches!(last, Err(Error::Cancelled { .. })), "{last:?}");
    });
    assert_eq!(engine.records()[0].end, Some(End::Cancelled));
    assert_eq!(engine.running(), 0);
}

#[test]
fn an_old_fencing_number_is_refused_where_it_is_checked() {
    let engine = start(FAST);
    let client = client();
    let body = Prompt::new(1).to_body();
    let run = |attempt: &str, fence| {
        let ids = Ids::new(attempt);
        let stream = client.generate(engine.address(), &ids.fenced(&body, fence))?;
        stream.last().unwrap()
    };
    run("a", 5).unwrap();
    for (attempt, fence) in [("b", 4), ("c", 5)] {
        let error = run(attempt, fence).unwrap_err();
        assert!(matches!(error, Error::Refused { .. }), "{error}");
        assert!(!error.may_have_run());
    }
    assert_eq!(engine.records().len(), 1);
    run("d", 6).unwrap();
}

#[test]
fn an_old_fencing_number_runs_where_it_is_ignored() {
    let settings = engine::Settings::new("e", 4).with_fencing(false);
    let engine = Engine::start(settings.with_speed(FAST)).unwrap();
    let client = client();
    let body = Prompt::new(1).to_body();
    for (attempt, fence) in [("a", 5), ("b", 4)] {
        let ids = Ids::new(attempt);
        let stream = client.generate(engine.address(), &ids.fenced(&body, fence));
        assert!(stream.unwrap().last().unwrap().is_ok());
    }
    assert_eq!(engine.records().len(), 2);
}

#[test]
fn an_attempt_that_is_sent_twice_runs_once() {
    let engine = start(FAST);
    let client = client();
    let (ids, body) = (Ids::new("a"), Prompt::new(1).to_body());
    let first = client.generate(engine.address(), &ids.generation(&body));
    assert!(first.unwrap().last().unwrap().is_ok());
    let second = client.generate(engine.address(), &ids.generation(&body));
    assert!(second.err().unwrap().may_have_run());
    assert_eq!(engine.records().len(), 1);
}

#[test]
fn a_prompt_that_fails_is_the_engines_own_answer() {
    let engine = start(FAST);
    let (ids, body) = (Ids::new("a"), Prompt::new(3).with_failure().to_body());
    let stream = client().generate(engine.address(), &ids.generation(&body));
    let last = stream.unwrap().last().unwrap();
    assert!(matches!(last, Err(Error::Answered { .. })), "{last:?}");
    let refused = client().generate(engine.address(), &Ids::new("b").generation("no json"));
    assert!(matches!(refused.err().unwrap(), Error::Refused { .. }));
}

#[test]
fn orders_are_taken_in_the_order_of_their_numbers() {
    let settings = engine::Settings {
        load_time: Span(0),
        ..engine::Settings::new("e", 4)
    };
    let engine = Engine::start(settings).unwrap();
    let (client, target) = (client(), engine.address());
    let load = Order::Load("summaries".to_owned());
    client.order(target, 7, &load).unwrap();
    assert_eq!(
        client.load(target).unwrap().models,
        ["base".to_owned(), "summaries".to_owned()]
    );
    let error = client.order(target, 6, &load).unwrap_err();
    assert_eq!(error, Error::Fenced { fence: 7 });
    client
        .order(target, 8, &Order::Unload("base".to_owned()))
        .unwrap();
    assert_eq!(client.load(target).unwrap().models, ["summaries"]);
    client
        .order(target, 8, &Order::Role("decode".to_owned()))
        .unwrap();
    let fences: Vec<u64> = engine.orders().iter().map(|order| order.0).collect();
    assert_eq!(fences, [7, 8, 8]);
}

#[test]
fn cache_events_come_late_and_with_gaps() {
    let settings = engine::Settings {
        cache: 2,
        ..engine::Settings::new("e", 4).with_speed(FAST)
    };
    let engine = Engine::start(settings).unwrap();
    let (client, target) = (client(), engine.address());
    let run = |prefix: &str| {
        let (ids, body) = (Ids::new(prefix), Prompt::new(1).to_body());
        let generation = Generation {
            prefix: Some(prefix),
            ..ids.generation(&body)
        };
        let stream = client.generate(target, &generation).unwrap();
        assert!(stream.last().unwrap().is_ok());
    };
    engine.set_event_faults(Span::from_secs(3600), 0.0);
    run("p1");
    assert_eq!(client.events(target, 0).unwrap(), []);
    engine.set_event_faults(Span(0), 1.0);
    run("p2");
    engine.set_event_faults(Span(0), 0.0);
    run("p3");
    let events = client.events(target, 0).unwrap();
    let events: Vec<_> = events
        .iter()
        .map(|event| (event.seq, event.prefix.as_str(), event.cached))
        .collect();
    assert_eq!(events, [(1, "p1", true), (3, "p1", false), (4, "p3", true)]);
    assert_eq!(client.events(target, 3).unwrap().len(), 1);
}

#[test]
fn cached_state_is_exported_and_imported() {
    let (from, to) = (start(FAST), start(FAST));
    let client = client();
    let error = client.export(from.address(), "p/1").unwrap_err();
    assert!(matches!(error, Error::Answered { .. }));
    client.import(from.address(), "p/1", b"state").unwrap();
    let state = client.export(from.address(), "p/1").unwrap();
    client.import(to.address(), "p/1", &state).unwrap();
    let events = client.events(to.address(), 0).unwrap();
    assert_eq!(events[0].prefix, "p/1");
}

#[test]
fn load_reports_lag() {
    let engine = start(1.0);
    engine.set_report_lag(Span::from_secs(3600));
    let (ids, body) = (Ids::new("a"), Prompt::new(100).to_body());
    let client = client();
    let stream = client
        .generate(engine.address(), &ids.generation(&body))
        .unwrap();
    let load = client.load(engine.address()).unwrap();
    assert_eq!((load.running, load.slots, load.age_ms), (0, 4, 3_600_000));
    engine.set_report_lag(Span(0));
    assert_eq!(client.load(engine.address()).unwrap().running, 1);
    stream.canceller().cancel().unwrap();
}

#[test]
fn requests_beyond_the_slots_share_the_speed_of_the_slots() {
    const STREAMS: u64 = 12;
    const TOKENS: u64 = 50;
    const SPEED: f64 = 500.0;
    let engine = start(SPEED);
    let client = client();
    thread::scope(|scope| {
        for number in 0..STREAMS {
            let (client, target) = (&client, engine.address());
            scope.spawn(move || {
                let ids = Ids::new(&format!("a{number}"));
                let prompt = Prompt::new(TOKENS).with_text(&format!("{number}-"));
                let body = prompt.to_body();
                let stream = client.generate(target, &ids.generation(&body));
                assert_whole(&prompt, &stream.unwrap().collect::<Vec<_>>());
            });
        }
    });
    let records = engine.records();
    let first = records.iter().map(|record| record.started).min().unwrap();
    let last = records.iter().filter_map(|record| record.finished).max();
    let elapsed = last.unwrap().since(first).as_millis() + 1;
    // Every stream has its first token at once; the slots make all others.
    let most = STREAMS as f64 + 4.0 * SPEED * elapsed as f64 / 1000.0;
    assert!((STREAMS * TOKENS) as f64 <= most, "{elapsed} ms");
    assert!(engine.busy_ms() <= 4 * elapsed);
    assert!(engine.peak() <= STREAMS as u32);
    assert_eq!(engine.running(), 0);
}
