//! A round with a stand-in for the users' bench.

use std::{fs, os::unix::fs::PermissionsExt, process::Command};

const PAGE: &str = "# Rounds\n\n<!-- rounds: begin -->\n| site | day | worth | change | prices | broken |\n\
    |---|---|---|---|---|---|\n| one | quiet-1 | 0.900 | new | 0.040 |  |\n<!-- rounds: end -->\n\nThe rest.\n";

const OUTPUT: &str = "\
built in 0.1 s; 100 lines in 3 files
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                7/48   0.62  0.963  0.999   0.000  0.000  worst windows 0.99; prices 0.034, most for machine-seconds
scale-1                7/48   0.00  0.843  0.985   0.000  0.002  worst windows 0.90; prices 0.027, most for machine-seconds  BROKEN: LOST 1 (else 0.66)
fresh-334c             7/48   0.81  0.905  0.969   0.000  0.000  worst windows 0.83; prices 0.041, most for machine-seconds
GATE failed: scale-1: LOST broken
";

#[test]
fn a_round_writes_its_table_and_compares_with_the_last_one() {
    let folder = tempfile::tempdir().expect("a folder");
    let at = |name: &str| folder.path().join(name);
    fs::write(at("output"), OUTPUT).expect("written");
    let script = format!("#!/bin/sh\ncat {}\n", at("output").display());
    fs::write(at("bench"), script).expect("written");
    fs::set_permissions(at("bench"), fs::Permissions::from_mode(0o755)).expect("set");
    fs::write(at("page.md"), PAGE).expect("written");
    fs::write(at("set.txt"), "# the set\nfolder/one.toml\n").expect("written");
    let status = Command::new(env!("CARGO_BIN_EXE_xtask"))
        .arg("rounds")
        .arg("--bench")
        .arg(at("bench"))
        .arg("--sites")
        .arg(folder.path())
        .arg("--set")
        .arg(at("set.txt"))
        .arg("--page")
        .arg(at("page.md"))
        .status()
        .expect("it runs");
    assert!(status.success());
    let page = fs::read_to_string(at("page.md")).expect("read");
    let expected = "# Rounds\n\n<!-- rounds: begin -->\n\n| site | day | worth | change | prices | broken |\n\
        |---|---|---|---|---|---|\n| one | quiet-1 | 0.963 | +0.063 | 0.034 |  |\n\
        | one | scale-1 | 0.843 | new | 0.027 | LOST 1 |\n\n<!-- rounds: end -->\n\nThe rest.\n";
    assert_eq!(page, expected);
}

#[test]
fn a_round_without_a_played_day_leaves_the_page_as_it_is() {
    let folder = tempfile::tempdir().expect("a folder");
    let at = |name: &str| folder.path().join(name);
    fs::write(at("page.md"), PAGE).expect("written");
    fs::write(at("set.txt"), "folder/one.toml\n").expect("written");
    let status = Command::new(env!("CARGO_BIN_EXE_xtask"))
        .args(["rounds", "--bench", "/bin/true", "--sites", "."])
        .arg("--set")
        .arg(at("set.txt"))
        .arg("--page")
        .arg(at("page.md"))
        .status()
        .expect("it runs");
    assert!(!status.success());
    assert_eq!(fs::read_to_string(at("page.md")).expect("read"), PAGE);
}
