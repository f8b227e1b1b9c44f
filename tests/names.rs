//! Names of the platform's protocol occur only in `platform/` and `deploy/`.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Directories that may use the platform's names or contain no source.
const EXCLUDED: [&str; 6] = ["platform", "deploy", "target", "journal", "docs", ".git"];

/// Names that only the platform uses, split in two so that this file does not contain them.
const NAMES: [(&str, &str); 16] = [
    ("Request", "-Id"),
    ("Deadline", "-Ms"),
    ("Prompt", "-Prefix"),
    ("Server", "-Stamp"),
    ("Expect", "-Instance"),
    ("Not", "-Executed"),
    ("Kv", "-From"),
    ("Kv", "-Backup"),
    ("Token", "-Usage"),
    ("Target", "LatencyMs"),
    ("Gap", "TargetMs"),
    ("Api", "Keys"),
    ("kv", "-move"),
    ("kv", "-watch"),
    ("op", "/config"),
    ("Cold", "LeftMs"),
];

/// Collects Rust, TOML and INI files below `folder`.
fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder)
        .expect("the repository can be read")
        .flatten()
    {
        let path = entry.path();
        let name = entry.file_name();
        if path.is_dir() {
            if !EXCLUDED.iter().any(|excluded| name == *excluded) {
                collect_sources(&path, found);
            }
        } else if path
            .extension()
            .is_some_and(|extension| extension == "rs" || extension == "toml" || extension == "ini")
        {
            found.push(path);
        }
    }
}

/// Returns the platform names that occur in `text`, ignoring case.
fn platform_names_in(text: &str) -> Vec<String> {
    let text = text.to_ascii_lowercase();
    let names = NAMES
        .iter()
        .map(|(first, second)| format!("{first}{second}").to_ascii_lowercase());
    names.filter(|name| text.contains(name)).collect()
}

#[test]
fn names_of_the_platform_stand_in_its_folder_only() {
    let mut found = Vec::new();
    collect_sources(Path::new(env!("CARGO_MANIFEST_DIR")), &mut found);
    assert!(found.len() > 200, "the search found the sources");
    for path in found {
        let text = fs::read_to_string(&path).expect("sources are text");
        assert_eq!(
            platform_names_in(&text),
            Vec::<String>::new(),
            "in {}",
            path.display()
        );
    }
}

#[test]
fn the_search_finds_names() {
    let header = format!(
        "headers.get(\"{}{}\")",
        NAMES[0].0.to_ascii_lowercase(),
        NAMES[0].1
    );
    assert_eq!(platform_names_in(&header).len(), 1);
}
