//! Stand-ins of the platform, runners and consumers, and the scripts of the cases.
//!
//! `standin CASE RECORD TROUBLE` plays a case and writes what was sent, run and answered to the file
//! RECORD. It ends with status 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run. If TROUBLE is 0, the disruption is left out.

mod cases;
mod http;
mod platform;
mod record;
mod router;
mod runner;
mod store;

use cases::Case;
use record::{Record, cannot_run};

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [name, path, rest @ ..] = args.as_slice() else {
        cannot_run("usage: standin CASE RECORD TROUBLE");
    };
    if name == "model-runner" {
        runner::run_model(path, rest);
    }
    let Some(case) = Case::named(name) else {
        cannot_run(&format!("there is no case {name:?}"));
    };
    let [trouble] = rest else {
        cannot_run("TROUBLE is 0 or 1");
    };
    let has_trouble = trouble != "0";
    let record = Record::create(path);
    record.line(format!("case {name}, with the disruption: {has_trouble}"));
    let is_broken = case.play(&record, has_trouble);
    record.line(match is_broken {
        true => "verdict: the rule is broken",
        false => "verdict: the rule held",
    });
    std::process::exit(i32::from(is_broken));
}
