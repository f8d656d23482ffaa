//! `balsamchute apply`: races, lost answers, outages, waiting.

use std::net::{SocketAddr, TcpListener};

use balsamchute_base::prelude::*;
use balsamchute_standin::platform::{Instance, Kind, Platform, State};
use balsamchute_wire::codec;
use balsamchute_wire::config::{Document, Stamp};

use crate::command::{Directory, INVENTORY, Run, end, platform, run, start};

fn stored(platform: &Platform) -> Document {
    let (version, bytes) = platform.get("config/current").expect("a configuration");
    let mut document: Document = serde_json::from_slice(&bytes).expect("a document");
    document.version = version;
    document
}

fn apply(platform: &Platform, file: &str, more: &[&str]) -> Run {
    let address = platform.address().to_string();
    let args = ["apply", "--author", "ann", "--platform", &address, file];
    run(&[&args[..], more].concat())
}

fn heavier(weight: u32) -> String {
    INVENTORY.replace("weight: 4", &format!("weight: {weight}"))
}

#[test]
fn a_change_is_stored_once_and_the_same_files_change_nothing() {
    let directory = Directory::new("apply");
    let platform = platform();
    let file = directory.file("all.yaml", INVENTORY);
    let first = apply(&platform, &file, &[]);
    assert_eq!(first.code, 0, "{first:?}");
    let again = apply(&platform, &file, &[]);
    assert!(
        again.code == 0 && again.out.contains("is current already"),
        "{again:?}"
    );
    let document = stored(&platform);
    assert_eq!((document.version, document.author.as_str()), (1, "ann"));
    let address = platform.address().to_string();
    let get = run(&["get", "--platform", &address]);
    assert!(get.out.contains(&document.text), "{get:?}");
}

#[test]
fn the_loser_of_a_race_sees_what_changed_and_changes_nothing() {
    let directory = Directory::new("race");
    let platform = platform();
    apply(&platform, &directory.file("all.yaml", INVENTORY), &[]);
    apply(
        &platform,
        &directory.file("first.yaml", &heavier(5)),
        &["--base", "1"],
    );
    let second = directory.file("second.yaml", &heavier(6));
    let lost = apply(&platform, &second, &["--base", "1"]);
    assert_eq!(lost.code, 4, "{lost:?}");
    assert!(lost.out.contains("version 2 by ann"), "{lost:?}");
    assert!(
        lost.out.contains("weight 6, homes 1 -> weight 5"),
        "{lost:?}"
    );
    assert_eq!(stored(&platform).version, 2);
}

#[test]
fn of_operators_who_race_each_is_told_the_truth() {
    let directory = Directory::new("racers");
    let platform = platform();
    apply(&platform, &directory.file("all.yaml", INVENTORY), &[]);
    platform.set_delay(Span(50));
    let address = platform.address().to_string();
    let racers: Vec<_> = (10..16)
        .map(|weight| {
            let file = directory.file(&format!("{weight}.yaml"), &heavier(weight));
            start(&["apply", "--output", "json", "--platform", &address, &file])
        })
        .collect();
    let runs: Vec<Run> = racers.into_iter().map(end).collect();
    let won = runs.iter().filter(|run| run.code == 0).count() as u64;
    let lost = runs.iter().filter(|run| run.code == 4).count() as u64;
    assert_eq!(won + lost, 6, "{runs:#?}");
    assert!(won >= 1, "{runs:#?}");
    let document = stored(&platform);
    assert_eq!(document.version, 1 + won);
    assert_eq!(document.past.len() as u64, won);
}

#[test]
fn a_lost_answer_is_settled_by_the_id_of_the_change() {
    let directory = Directory::new("lost");
    let platform = platform();
    let file = directory.file("all.yaml", INVENTORY);
    platform.set_answer_loss(0.5);
    for weight in 10..16 {
        let file = directory.file("next.yaml", &heavier(weight));
        let before = platform
            .get("config/current")
            .map_or(0, |(version, _)| version);
        let done = apply(&platform, &file, &["--timeout", "60"]);
        assert_eq!(done.code, 0, "{done:?}");
        assert_eq!(stored(&platform).version, before + 1, "{done:?}");
    }
    platform.set_answer_loss(0.0);
    assert_eq!(apply(&platform, &file, &[]).code, 0);
}

#[test]
fn an_outage_is_an_error_that_says_nothing_was_accepted() {
    let directory = Directory::new("outage");
    let platform = platform();
    platform.set_down(true);
    let file = directory.file("all.yaml", INVENTORY);
    let failed = apply(&platform, &file, &["--timeout", "1"]);
    assert!(
        failed.code == 1 && failed.err.contains("unavailable"),
        "{failed:?}"
    );
    platform.set_down(false);
    assert!(platform.get("config/current").is_none());
}

/// A router that has a version in force.
fn router(platform: &Platform, name: &str, version: u64) -> SocketAddr {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("a free port");
    let address = server.server_addr().to_ip().expect("an IP address");
    put(platform, name, address);
    std::thread::spawn(move || {
        let stamp = Stamp {
            version,
            ..Stamp::default()
        };
        for request in server.incoming_requests() {
            let body = codec::encode(&stamp);
            // A caller that has gone needs no answer.
            let _ = request.respond(tiny_http::Response::from_data(body));
        }
    });
    address
}

fn put(platform: &Platform, name: &str, address: SocketAddr) {
    platform.put_instance(Instance {
        name: name.to_owned(),
        kind: Kind::Router,
        address,
        domain: "mids-brum".to_owned(),
        state: State::Live,
    });
}

#[test]
fn waiting_names_the_routers_that_lag_and_passes_over_those_that_are_gone() {
    let directory = Directory::new("wait");
    let platform = platform();
    platform.set_list_lag(Span(0));
    let gone = TcpListener::bind("127.0.0.1:0").expect("a free port");
    put(
        &platform,
        "router-gone",
        gone.local_addr().expect("an address"),
    );
    drop(gone);
    router(&platform, "router-ahead", 9);
    let file = directory.file("all.yaml", INVENTORY);
    let done = apply(&platform, &file, &["--wait"]);
    assert!(
        done.code == 0 && done.out.contains("in force everywhere"),
        "{done:?}"
    );
    router(&platform, "router-behind", 1);
    let file = directory.file("next.yaml", &heavier(5));
    let late = apply(&platform, &file, &["--wait", "--timeout", "1"]);
    assert_eq!(late.code, 5, "{late:?}");
    assert!(
        late.err.contains("router router-behind has version 1"),
        "{late:?}"
    );
    assert!(!late.err.contains("router-gone"), "{late:?}");
    assert_eq!(stored(&platform).version, 2, "it is accepted all the same");
}
