//! Control lines of a router process.

use balsamchute_bench::links::{Error, Links};

#[test]
fn cut_and_heal() {
    let links = Links::new();
    let address = "127.0.0.1:7101".parse().unwrap();
    assert!(!links.is_cut(address));
    links.follow("cut 127.0.0.1:7101 127.0.0.1:7102").unwrap();
    assert!(links.is_cut(address));
    links.follow("heal").unwrap();
    assert!(!links.is_cut(address));
}

#[test]
fn bad_line_names_the_word_and_changes_nothing() {
    let links = Links::new();
    let address = links.follow("cut 127.0.0.1:1 nowhere");
    assert_eq!(address, Err(Error::Address("nowhere".to_owned())));
    assert!(!links.is_cut("127.0.0.1:1".parse().unwrap()));
    assert_eq!(links.follow("melt"), Err(Error::Word("melt".to_owned())));
}
