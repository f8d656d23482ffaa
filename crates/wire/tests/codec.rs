//! Bodies read back as they were written, and others are refused by name.

use balsamchute_base::prelude::*;
use balsamchute_wire::codec::{self, Error};
use balsamchute_wire::exchange::Summary;
use balsamchute_wire::message::{Batch, Message};
use bolero::TypeGenerator;

#[derive(Clone, Debug, TypeGenerator)]
enum Draft {
    Grant(u64, u16, u64),
    Release(u64, u64, bool),
    Need(u32, u32, u32),
}

fn message(draft: &Draft) -> Message {
    let service = Service::new("draft").expect("a name");
    match *draft {
        Draft::Grant(loan, port, millis) => Message::Grant {
            loan,
            service,
            runner: Runner::new("e1").expect("a name"),
            address: ([127, 0, 0, 1], port).into(),
            lease: Span(millis),
            reuse: Span(millis / 2),
        },
        Draft::Release(loan, cost, failed) => Message::Release {
            loan,
            service,
            cost: Cost(cost),
            failed,
        },
        Draft::Need(virtual_time, backlog, free) => Message::Need(Summary {
            service,
            virtual_time: f64::from(virtual_time) / 7.0,
            backlog,
            weight: f64::from(backlog) / 3.0,
            free,
        }),
    }
}

#[test]
fn batches_read_back_as_written() {
    bolero::check!()
        .with_iterations(2_000)
        .with_type::<(u64, u64, Vec<Draft>)>()
        .for_each(|(incarnation, to, drafts)| {
            let batch = Batch {
                from: Instance::new("r1").expect("a name"),
                incarnation: Incarnation(*incarnation),
                to: Incarnation(*to),
                messages: drafts.iter().map(message).collect(),
            };
            let read = codec::decode::<Batch>(&codec::encode(&batch));
            assert_eq!(read.expect("a batch"), batch);
        });
}

#[test]
fn other_versions_empty_and_cut_bodies_are_refused() {
    let batch = Batch {
        from: Instance::new("r1").expect("a name"),
        incarnation: Incarnation(1),
        to: Incarnation(2),
        messages: vec![message(&Draft::Need(1, 2, 3))],
    };
    let body = codec::encode(&batch);
    assert!(matches!(codec::decode::<Batch>(&[]), Err(Error::Empty)));
    let mut newer = body.clone();
    newer[0] = codec::VERSION + 1;
    let error = codec::decode::<Batch>(&newer).expect_err("another version");
    assert_eq!(error.to_string(), "protocol version 2 is not supported");
    for length in 1..body.len() {
        let cut = codec::decode::<Batch>(&body[..length]);
        assert!(matches!(cut, Err(Error::Malformed(_))), "cut at {length}");
    }
}
