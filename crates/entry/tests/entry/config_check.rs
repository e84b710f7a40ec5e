//! The command that checks a configuration before it is sent.

use std::{
    fs,
    path::Path,
    process::{Command, Output},
};

use platform_standin::Platform;
use serde_json::{Value, json};

const KEYS: [&str; 3] = ["key-5d1f7a", "key-90ab3c", "key-2e44d0"];

/// A configuration without findings.
fn clean(version: u64) -> Value {
    let mut config = Platform::config(version, &["urgent", "batch"], true);
    config["tenants"] = json!([
        {"name": "a", "api_keys": [KEYS[0], KEYS[1]], "weight": 10},
        {"name": "b", "api_keys": [KEYS[2]], "weight": 10, "max_count": {"cpu": 64_000}},
    ]);
    config
}

fn run(folder: &Path, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hickory-entry"))
        .current_dir(folder)
        .env_remove("HICKORYCHUTE_BOOT")
        .arg("check-config")
        .args(arguments)
        .output()
        .expect("the program runs")
}

struct Case {
    arguments: &'static [&'static str],
    code: i32,
    printed: &'static [&'static str],
}

/// Writes the configurations of the cases.
fn write_files(folder: &Path) {
    let write = |name: &str, text: &str| {
        fs::write(folder.join(name), text).expect("the file is writable");
    };
    write("clean.json", &clean(7).to_string());
    write("older.json", &clean(6).to_string());
    let mut changed = clean(8);
    changed["tenants"][0]["api_keys"] = json!([KEYS[0], "key-new-77f1"]);
    changed["routes"].as_array_mut().expect("a list").pop();
    write("changed.json", &changed.to_string());
    let mut warned = clean(7);
    warned["tenants"][1]["max_count"]["cpu"] = json!(50);
    write("warned.json", &warned.to_string());
    let mut faulty = clean(7);
    faulty["tenants"][1]["api_keys"] = json!([KEYS[0]]);
    faulty["routes"][0]["service"] = json!(KEYS[0]);
    write("faulty.json", &faulty.to_string());
    write("cut.json", &clean(7).to_string().replace(']', ""));
}

/// Guards against exit codes on which a script would send a faulty configuration, and against keys
/// in the output.
#[test]
fn exit_codes_tell_whether_there_are_errors_and_no_key_is_printed() {
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    write_files(folder.path());
    let cases = [
        Case {
            arguments: &["clean.json"],
            code: 0,
            printed: &["summary: errors=0 warnings=0 notes=0\n"],
        },
        Case {
            arguments: &["clean.json", "--in-force", "older.json"],
            code: 0,
            printed: &["summary: errors=0 warnings=0 notes=0\n"],
        },
        Case {
            arguments: &["warned.json"],
            code: 0,
            printed: &[
                "warning: tenants[\"b\"].max_count.cpu: ",
                "errors=0 warnings=1",
            ],
        },
        Case {
            arguments: &["--in-force", "clean.json", "changed.json"],
            code: 0,
            printed: &[
                "note: routes[\"batch\"]: removed\n",
                "note: tenants[\"a\"].api_keys: keys added: 1, removed: 1\n",
                "summary: errors=0 warnings=0 notes=2\n",
            ],
        },
        Case {
            arguments: &["older.json", "--in-force", "clean.json"],
            code: 1,
            printed: &["error: version: 6 is not higher than 7", "errors=1"],
        },
        Case {
            arguments: &["faulty.json"],
            code: 1,
            printed: &[
                "services[name not shown]",
                "of tenants[\"a\"]\n",
                "errors=2",
            ],
        },
        Case {
            arguments: &["cut.json"],
            code: 1,
            printed: &["error: configuration: is not JSON"],
        },
        Case {
            arguments: &["missing.json"],
            code: 2,
            printed: &["cannot read missing.json"],
        },
        Case {
            arguments: &["clean.json", "--in-force", "missing.json"],
            code: 2,
            printed: &["cannot read missing.json"],
        },
        Case {
            arguments: &["clean.json", "--in-force", "cut.json"],
            code: 2,
            printed: &["cannot read cut.json"],
        },
        Case {
            arguments: &[],
            code: 2,
            printed: &["Usage: "],
        },
    ];
    for case in cases {
        let output = run(folder.path(), case.arguments);
        let printed = [output.stdout, output.stderr].concat();
        let printed = String::from_utf8(printed).expect("the output is text");
        let arguments = case.arguments;
        assert_eq!(
            output.status.code(),
            Some(case.code),
            "{arguments:?}: {printed}"
        );
        for expected in case.printed {
            assert!(printed.contains(expected), "{arguments:?}: {printed}");
        }
        for key in KEYS.iter().chain(&["key-new-77f1"]) {
            assert!(!printed.contains(key), "{arguments:?}: {printed}");
        }
    }
}
