//! The page of settings against what the daemon says about itself.

use std::collections::BTreeSet;
use std::process::Command;

const PAGE: &str = include_str!("../docs/operators/settings.md");

/// One setting as the page and `--help` state it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Setting {
    flag: String,
    variable: String,
    default: Option<String>,
}

/// The text between two marks.
fn between<'a>(text: &'a str, start: &str, end: &str) -> Option<&'a str> {
    let (_, rest) = text.split_once(start)?;
    Some(rest.split_once(end)?.0)
}

fn of_help(help: &str) -> BTreeSet<Setting> {
    let (_, options) = help.split_once("Options:").expect("a list of options");
    // Each setting starts in a line of its own; what follows may be wrapped.
    let joined = options.split_whitespace().collect::<Vec<_>>().join(" ");
    let starts = joined.match_indices(" --").map(|(at, _)| at + 1);
    let starts: Vec<usize> = std::iter::once(0).chain(starts).collect();
    let mut settings = BTreeSet::new();
    let mut flag = String::new();
    for (index, start) in starts.iter().enumerate() {
        let end = starts.get(index + 1).copied().unwrap_or(joined.len());
        let part = &joined[*start..end];
        // A flag that takes a value is a declaration; others are mentioned in a text.
        if let Some((name, _)) = part
            .strip_prefix("--")
            .and_then(|rest| rest.split_once(" <"))
        {
            name.clone_into(&mut flag);
        }
        let Some(variable) = between(part, "[env: ", "=") else {
            continue;
        };
        settings.insert(Setting {
            flag: flag.clone(),
            variable: variable.to_owned(),
            default: between(part, "[default: ", "]")
                .filter(|default| *default != "\"\"")
                .map(str::to_owned),
        });
    }
    settings
}

fn of_page() -> BTreeSet<Setting> {
    PAGE.lines()
        .filter(|line| line.starts_with("| `--"))
        .map(|line| {
            let cells: Vec<&str> = line.split('|').map(str::trim).collect();
            Setting {
                flag: cells[1]
                    .trim_matches('`')
                    .trim_start_matches("--")
                    .to_owned(),
                variable: cells[2].trim_matches('`').to_owned(),
                default: Some(cells[3])
                    .filter(|cell| cell.starts_with('`'))
                    .map(|cell| cell.trim_matches('`').to_owned()),
            }
        })
        .collect()
}

#[test]
fn the_page_lists_every_setting_with_its_default() {
    let output = Command::new(env!("CARGO_BIN_EXE_hickoryd"))
        .args(["serve", "--help"])
        .output()
        .expect("the daemon runs");
    let help = String::from_utf8(output.stdout).expect("text");
    assert_eq!(of_page(), of_help(&help), "{help}");
}

#[test]
fn every_wrong_setting_is_named_in_one_run() {
    let output = Command::new(env!("CARGO_BIN_EXE_hickoryd"))
        .args(["serve", "--zones", "a=r", "--zone", "b", "--shards", "0"])
        .args(["--listen", "here", "--request-timeout-ms", "10"])
        .env("HICKORY_CONNECTION_LIMIT", "many")
        .output()
        .expect("the daemon runs");
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8(output.stderr).expect("text");
    for flag in [
        "--zone",
        "--shards",
        "--listen",
        "--platform-address",
        "--request-timeout-ms",
        "--connection-limit",
    ] {
        let named = errors
            .lines()
            .any(|line| line.contains(&format!("{flag} (")));
        assert!(named, "{flag} is not named: {errors}");
    }
}
