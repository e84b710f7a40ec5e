//! Golden tests of notes.
//!
//! Every `notes/*.toml` is applied on top of `notes/base/cell.toml` and checked
//! against the cell below; the result is compared with the file of the same
//! name that ends in `.expected`.

use std::fs;
use std::path::Path;

use hickorychute_release as release;
use indexmap::IndexMap;
use kernel::ids;
use kernel::work;

const BASE: &[u8] = include_bytes!("notes/base/cell.toml");

/// Two zones with eight workers of 16 cores and 32 GB each, and one with unknown workers.
fn cell() -> release::CellLimits {
    let shape = release::WorkerShape {
        capacity: work::Resources::new(16_000, 32_768, 2),
        workers: 8,
    };
    let zones = IndexMap::from([
        (ids::ZoneId::new("muc-ost"), vec![shape]),
        (ids::ZoneId::new("ros-nord"), vec![shape]),
        (ids::ZoneId::new("lan-sued"), Vec::new()),
    ]);
    release::CellLimits { zones }
}

fn answer(bytes: &[u8]) -> Result<String, release::note::Faults> {
    let base_note = release::note::parse(BASE)?;
    let base = release::apply(&work::Release::default(), &base_note)?;
    let note = release::note::parse(bytes)?;
    let next = release::apply(&base, &note)?;
    release::check(&note, &next, &cell())?;
    let changes = release::diff(&base, &next);
    Ok(format!(
        "accepted\nadded: {}\nchanged: {}\nwithdrawn: {}",
        changes.added.join(", "),
        changes.changed.join(", "),
        changes.withdrawn.join(", ")
    ))
}

fn result_matches_expected_file(path: &Path) -> datatest_stable::Result<()> {
    let seen = answer(&fs::read(path)?).unwrap_or_else(|faults| faults.to_string());
    let expected = fs::read_to_string(path.with_extension("expected"))?;
    assert_eq!(seen.trim_end(), expected.trim_end(), "{}", path.display());
    Ok(())
}

datatest_stable::harness! {
    { test = result_matches_expected_file, root = "tests/notes", pattern = r"^[a-z-]+\.toml$" },
}
