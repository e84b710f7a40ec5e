//! Links between the pages of the repository.

use std::fs;
use std::path::{Path, PathBuf};

/// All pages below a folder, without what is built.
fn pages(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("an entry").path();
        let hidden = path.file_name().is_some_and(|name| {
            let name = name.to_string_lossy();
            name.starts_with('.') || name == "target"
        });
        if hidden {
            continue;
        }
        if path.is_dir() {
            pages(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            found.push(path);
        }
    }
}

/// The targets of a page's relative links.
fn links(text: &str) -> impl Iterator<Item = &str> {
    text.split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next())
        .map(|target| target.split('#').next().unwrap_or_default())
        .filter(|target| !target.is_empty() && !target.contains("://"))
}

#[test]
fn every_relative_link_leads_somewhere() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    pages(root, &mut found);
    assert!(found.len() > 10, "only {found:?}");
    let mut broken = Vec::new();
    for page in &found {
        let text = fs::read_to_string(page).expect("the page is text");
        let folder = page.parent().expect("a page has a folder");
        broken.extend(
            links(&text)
                .filter(|target| !folder.join(target).exists())
                .map(|target| format!("{}: {target}", page.display())),
        );
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
