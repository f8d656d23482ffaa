//! `balsamchute apply`: concurrent changes, lost responses, outages and `--wait`.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use balsamchute_standin::platform::{Instance, Kind, Platform, State};
use balsamchute_wire::codec;
use balsamchute_wire::config::{Document, Stamp};

use crate::command::{
    INVENTORY, Run, TempDir, run, start, start_platform, unused_loopback_ip, wait_for_exit,
};

fn stored_document(platform: &Platform) -> Document {
    let (version, bytes) = platform
        .get("config/current")
        .expect("a configuration is stored");
    let mut document: Document = serde_json::from_slice(&bytes).expect("the object is a document");
    document.version = version;
    document
}

fn run_apply(platform: &Platform, file: &str, extra_args: &[&str]) -> Run {
    let address = platform.address().to_string();
    let args = ["apply", "--author", "ann", "--platform", &address, file];
    run(&[&args[..], extra_args].concat())
}

fn inventory_with_weight(weight: u32) -> String {
    INVENTORY.replace("weight: 4", &format!("weight: {weight}"))
}

#[test]
fn applying_the_same_files_again_stores_no_new_version() {
    let dir = TempDir::new("apply");
    let platform = start_platform();
    let file = dir.write("all.yaml", INVENTORY);
    let first = run_apply(&platform, &file, &[]);
    assert_eq!(first.exit_code, 0, "{first:?}");
    let second = run_apply(&platform, &file, &[]);
    assert!(
        second.exit_code == 0 && second.stdout.contains("is current already"),
        "{second:?}"
    );
    let document = stored_document(&platform);
    assert_eq!((document.version, document.author.as_str()), (1, "ann"));
    let address = platform.address().to_string();
    let get = run(&["get", "--platform", &address]);
    assert!(get.stdout.contains(&document.text), "{get:?}");
}

#[test]
fn a_change_with_a_stale_base_is_rejected_and_shows_the_differences() {
    let dir = TempDir::new("race");
    let platform = start_platform();
    run_apply(&platform, &dir.write("all.yaml", INVENTORY), &[]);
    run_apply(
        &platform,
        &dir.write("first.yaml", &inventory_with_weight(5)),
        &["--base", "1"],
    );
    let second = dir.write("second.yaml", &inventory_with_weight(6));
    let lost = run_apply(&platform, &second, &["--base", "1"]);
    assert_eq!(lost.exit_code, 4, "{lost:?}");
    assert!(lost.stdout.contains("version 2 by ann"), "{lost:?}");
    assert!(
        lost.stdout.contains("weight 6, homes 1 -> weight 5"),
        "{lost:?}"
    );
    assert_eq!(stored_document(&platform).version, 2);
}

/// Six operators apply different files at once to a platform that delays each call by
/// 50 ms. A wrong exit code would report a change that was overwritten, or hide one
/// that is stored: exactly the successful runs must have created versions.
#[test]
fn exit_codes_of_concurrent_changes_match_the_stored_versions() {
    let dir = TempDir::new("racers");
    let platform = start_platform();
    run_apply(&platform, &dir.write("all.yaml", INVENTORY), &[]);
    platform.set_call_delay(Span(50));
    let address = platform.address().to_string();
    let processes: Vec<_> = (10..16)
        .map(|weight| {
            let file = dir.write(&format!("{weight}.yaml"), &inventory_with_weight(weight));
            start(&["apply", "--output", "json", "--platform", &address, &file])
        })
        .collect();
    let runs: Vec<Run> = processes.into_iter().map(wait_for_exit).collect();
    let won = runs.iter().filter(|run| run.exit_code == 0).count() as u64;
    let lost = runs.iter().filter(|run| run.exit_code == 4).count() as u64;
    assert_eq!(won + lost, 6, "{runs:#?}");
    assert!(won >= 1, "{runs:#?}");
    let document = stored_document(&platform);
    assert_eq!(document.version, 1 + won);
    assert_eq!(document.past_changes.len() as u64, won);
}

/// The platform loses the responses to half of the writes, so a write may have taken
/// effect although the command sees an error. A retry alone would then report a conflict
/// with the command's own change; the id of the change in the document tells them apart.
#[test]
fn a_lost_response_is_resolved_by_the_id_of_the_change() {
    let dir = TempDir::new("lost");
    let platform = start_platform();
    let file = dir.write("all.yaml", INVENTORY);
    platform.set_response_loss(0.5);
    for weight in 10..16 {
        let file = dir.write("next.yaml", &inventory_with_weight(weight));
        let before = platform
            .get("config/current")
            .map_or(0, |(version, _)| version);
        let done = run_apply(&platform, &file, &["--timeout", "60"]);
        assert_eq!(done.exit_code, 0, "{done:?}");
        assert_eq!(stored_document(&platform).version, before + 1, "{done:?}");
    }
    platform.set_response_loss(0.0);
    assert_eq!(run_apply(&platform, &file, &[]).exit_code, 0);
}

#[test]
fn an_outage_of_the_platform_is_reported_and_stores_nothing() {
    let dir = TempDir::new("outage");
    let platform = start_platform();
    platform.set_unavailable(true);
    let file = dir.write("all.yaml", INVENTORY);
    let failed = run_apply(&platform, &file, &["--timeout", "1"]);
    assert!(
        failed.exit_code == 1 && failed.stderr.contains("unavailable"),
        "{failed:?}"
    );
    platform.set_unavailable(false);
    assert!(platform.get("config/current").is_none());
}

/// Starts a fake router that reports `version` as in force and registers it.
fn start_router(platform: &Platform, name: &str, version: u64) -> SocketAddr {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("a free port");
    let address = server.server_addr().to_ip().expect("an IP address");
    register_router(platform, name, address);
    std::thread::spawn(move || {
        let stamp = Stamp {
            version,
            ..Stamp::default()
        };
        for request in server.incoming_requests() {
            let body = codec::encode(&stamp);
            // The client may have closed the connection.
            let _ = request.respond(tiny_http::Response::from_data(body));
        }
    });
    address
}

fn register_router(platform: &Platform, name: &str, address: SocketAddr) {
    platform.put_instance(Instance {
        name: name.to_owned(),
        kind: Kind::Router,
        address,
        domain: "mids-brum".to_owned(),
        state: State::Live,
    });
}

/// Port of an address at which nothing listens, below the ephemeral port range of the system.
const CLOSED_PORT: u16 = 7311;

/// `--wait` must not wait for a listed router whose process has exited, and must name
/// the routers that still have an older version in force.
#[test]
fn wait_names_lagging_routers_and_skips_those_that_refuse_connections() {
    let dir = TempDir::new("wait");
    let platform = start_platform();
    platform.set_list_age(Span(0));
    // A free port of 127.0.0.1 may go to a server of another test.
    let closed = SocketAddr::new(unused_loopback_ip(), CLOSED_PORT);
    register_router(&platform, "router-gone", closed);
    start_router(&platform, "router-ahead", 9);
    let file = dir.write("all.yaml", INVENTORY);
    let done = run_apply(&platform, &file, &["--wait"]);
    assert!(
        done.exit_code == 0 && done.stdout.contains("in force everywhere"),
        "{done:?}"
    );
    start_router(&platform, "router-behind", 1);
    let file = dir.write("next.yaml", &inventory_with_weight(5));
    let lagging = run_apply(&platform, &file, &["--wait", "--timeout", "1"]);
    assert_eq!(lagging.exit_code, 5, "{lagging:?}");
    assert!(
        lagging
            .stderr
            .contains("router router-behind has version 1"),
        "{lagging:?}"
    );
    assert!(!lagging.stderr.contains("router-gone"), "{lagging:?}");
    assert_eq!(
        stored_document(&platform).version,
        2,
        "the change is accepted although the wait timed out"
    );
}
