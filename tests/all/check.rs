//! `balsamchute check`, `diff` and `get`, and the command line itself.

use crate::command::{Directory, INVENTORY, platform, run};

#[test]
fn check_counts_what_the_files_hold() {
    let directory = Directory::new("check-good");
    let inventory = directory.file("inventory.yaml", INVENTORY);
    let rules = directory.file(
        "rules.yaml",
        "share_total: 5\nlimits: {large-1: {rate: 9}}\n",
    );
    let good = run(&["check", &inventory, &rules]);
    assert_eq!(good.code, 0, "{good:?}");
    assert!(good.out.contains("1 runners, 2 workspaces"), "{good:?}");
}

#[test]
fn check_reports_every_fault_with_file_line_and_name() {
    let directory = Directory::new("check-bad");
    let inventory = directory.file("inventory.yaml", INVENTORY);
    let rules = directory.file(
        "rules.yaml",
        "share_total: 7\nshares:\n  nobody: 1\nextra: 1\n",
    );
    let bad = run(&["check", &inventory, &rules]);
    let expected = format!(
        "{rules}:1: the weights of all workspaces add up to 5, not to \"share_total\" 7\n\
         {rules}:3: the share rule names workspace \"nobody\", which does not exist\n"
    );
    assert_eq!(bad.code, 3, "{bad:?}");
    assert!(bad.out.starts_with(&expected), "{bad:?}");
    assert!(bad.out.contains(&format!("{rules}:4: ")) && bad.out.contains("\"extra\""));
    let json = run(&["check", "--output", "json", &inventory, &rules]);
    assert_eq!(json.code, 3);
    assert!(
        json.out.contains("\"line\":3,\"message\":\"the share rule"),
        "{json:?}"
    );
}

#[test]
fn wrong_command_lines_and_missing_files_have_exit_codes_of_their_own() {
    for args in [
        &["check"][..],
        &["unheard-of"],
        &["get"],
        &["check", "--output", "xml", "f"],
    ] {
        assert_eq!(run(args).code, 2, "{args:?}");
    }
    let missing = run(&["check", "/nowhere/inventory.yaml"]);
    assert_eq!(missing.code, 3);
    assert!(
        missing.err.contains("\"/nowhere/inventory.yaml\""),
        "{missing:?}"
    );
    let help = run(&["--help"]);
    assert!(
        help.code == 0 && help.out.contains("Exit codes"),
        "{help:?}"
    );
    let manual = run(&["manual"]);
    assert!(manual.code == 0 && manual.out.contains(".SH"), "{manual:?}");
    let completion = run(&["--bpaf-complete-style-bash"]);
    assert!(completion.code == 0 && completion.out.contains("balsamchute"));
}

#[test]
fn get_and_diff_tell_what_is_stored() {
    let directory = Directory::new("diff");
    let platform = platform();
    let address = platform.address().to_string();
    let file = directory.file("all.yaml", INVENTORY);
    assert_eq!(
        run(&["get", "--platform", &address]).code,
        1,
        "nothing is stored"
    );
    let first = run(&["diff", "--platform", &address, &file]);
    assert!(
        first.out.contains("+ workspace \"large-1\": weight 4"),
        "{first:?}"
    );
    platform.put("config/current", "no document");
    let unreadable = run(&["get", "--platform", &address]);
    assert!(
        unreadable.code == 1 && unreadable.err.contains("config/current"),
        "{unreadable:?}"
    );
}
