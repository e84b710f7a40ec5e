//! Plays the regression set on the users' bench and writes its table.
//!
//! For who has the bench: it is a program of the users' and not part of this repository. The set is
//! `deploy/rounds.txt`, a site file a line, below the folder given with `--sites`. The page's table stands between two
//! marks; what stands there before a round is what it is compared with.

use std::{
    error::Error,
    fs, io,
    path::{Path, PathBuf},
    process::{Command, Stdio},
};

use clap::Args;
use indexmap::IndexMap;

/// Marks around the table in the page.
const BEGIN: &str = "<!-- rounds: begin -->";
const END: &str = "<!-- rounds: end -->";

/// What to play, and where to write it.
#[derive(Debug, Args)]
pub struct Settings {
    /// The bench's program.
    #[arg(long, env = "HICKORY_BENCH")]
    bench: PathBuf,
    /// The folder below which the site files are.
    #[arg(long, env = "HICKORY_SITES")]
    sites: PathBuf,
    /// The list of site files.
    #[arg(long, default_value = "deploy/rounds.txt")]
    set: PathBuf,
    /// The page with the table.
    #[arg(long, default_value = "docs/BENCH.md")]
    page: PathBuf,
    /// Days to play at a time.
    #[arg(long, default_value_t = 3)]
    jobs: u32,
    /// A line for the bench's journal.
    #[arg(long, default_value = "Round of the regression set")]
    why: String,
}

/// One played day.
#[derive(Clone, Debug, PartialEq)]
struct Day {
    worth: f64,
    prices: String,
    broken: String,
}

type Table = IndexMap<(String, String), Day>;

/// Plays the set; fails if a day could not be played or the page not be written.
pub fn run(settings: &Settings) -> Result<(), Box<dyn Error>> {
    let page = fs::read_to_string(&settings.page)?;
    let (before, old_table, after) = split_page(&page)?;
    let last = read_table(old_table);
    let mut played = Table::new();
    for line in fs::read_to_string(&settings.set)?.lines() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let output = play(settings, &settings.sites.join(line))?;
        let site = Path::new(line).file_stem().unwrap_or_default();
        let site = site.to_string_lossy().into_owned();
        for (name, day) in days(&output) {
            println!(
                "{}",
                row(&site, &name, &day, last.get(&(site.clone(), name.clone())))
            );
            played.insert((site.clone(), name), day);
        }
    }
    if played.is_empty() {
        return Err("no day was played".into());
    }
    let table = write_table(&played, &last);
    fs::write(
        &settings.page,
        format!("{before}{BEGIN}\n{table}{END}{after}"),
    )?;
    Ok(())
}

fn play(settings: &Settings, site: &Path) -> io::Result<String> {
    let output = Command::new(&settings.bench)
        .arg("score")
        .arg(site)
        .args(["--jobs", &settings.jobs.to_string(), "--why", &settings.why])
        .stderr(Stdio::inherit())
        .output()?;
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}

/// The rows of the bench's table of days, drawn days left out: they differ each time.
fn days(output: &str) -> Vec<(String, Day)> {
    let rows = output.lines().skip_while(|line| !line.starts_with("day "));
    rows.skip(1)
        .map_while(day)
        .filter(|(name, _)| !name.starts_with("fresh-"))
        .collect()
}

/// Reads `NAME OWN/SRV SCORE WORTH SERVED REFUSED FAILED REMARKS`.
fn day(line: &str) -> Option<(String, Day)> {
    let mut words = line.split_whitespace();
    let name = words.next()?.to_owned();
    let worth = words.nth(2)?.parse().ok()?;
    let prices = line.split("prices ").nth(1)?;
    let prices = prices.split([',', ' ']).next()?.to_owned();
    let broken = line.split("BROKEN: ").nth(1).unwrap_or_default();
    let broken = broken.split(" (").next().unwrap_or_default().to_owned();
    let day = Day {
        worth,
        prices,
        broken,
    };
    Some((name, day))
}

fn split_page(page: &str) -> Result<(&str, &str, &str), Box<dyn Error>> {
    let (before, rest) = page
        .split_once(BEGIN)
        .ok_or("the page lacks its first mark")?;
    let (table, after) = rest
        .split_once(END)
        .ok_or("the page lacks its second mark")?;
    Ok((before, table, after))
}

fn read_table(text: &str) -> Table {
    let row = |line: &str| {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let [_, site, name, worth, _, prices, broken, _] = cells.as_slice() else {
            return None;
        };
        let day = Day {
            worth: worth.parse().ok()?,
            prices: (*prices).to_owned(),
            broken: (*broken).to_owned(),
        };
        Some((((*site).to_owned(), (*name).to_owned()), day))
    };
    text.lines().filter_map(row).collect()
}

fn row(site: &str, name: &str, day: &Day, last: Option<&Day>) -> String {
    let change = last.map_or("new".to_owned(), |last| {
        format!("{:+.3}", day.worth - last.worth)
    });
    format!(
        "| {site} | {name} | {:.3} | {change} | {} | {} |",
        day.worth, day.prices, day.broken
    )
}

fn write_table(played: &Table, last: &Table) -> String {
    let mut table = String::from(
        "\n| site | day | worth | change | prices | broken |\n|---|---|---|---|---|---|\n",
    );
    for ((site, name), day) in played {
        let before = last.get(&(site.clone(), name.clone()));
        table.push_str(&row(site, name, day, before));
        table.push('\n');
    }
    table.push('\n');
    table
}
