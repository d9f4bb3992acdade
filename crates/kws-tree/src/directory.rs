//! A tree as a directory of files, the form in which operators keep it before they publish it.

use crate::{
    Finding, Problem,
    branch::{MAX_VALUE_BYTES, file_finding},
};
use kws_protocol::{PublishedValues, TreeRevision};
use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
    sync::Arc,
};

/// The file that holds the revision as a number; a tree without one has revision 1.
const REVISION_FILE: &str = "revision";
/// The deepest directory that is read.
const MAX_DEPTH: usize = 16;

/// Reads every file below `directory`; its path with `/` is its key. Files with a hidden name count
/// only when they are branches, as the daemon reads them too.
///
/// # Errors
/// All files together that cannot be read, are too large, or hold no UTF-8 text.
pub fn read_directory(directory: &Path) -> Result<PublishedValues, Vec<Finding>> {
    let mut findings = Vec::new();
    let mut paths = Vec::new();
    if let Err(error) = list_files(directory, MAX_DEPTH, &mut paths) {
        let key = directory.display().to_string();
        return Err(vec![unreadable(&key, &error.to_string())]);
    }
    let mut values = BTreeMap::new();
    for path in paths {
        let key = key_of(directory, &path);
        match read_value(&path, &key) {
            Ok(text) => {
                values.insert(key, text);
            }
            Err(finding) => findings.push(finding),
        }
    }
    let revision = take_revision(&mut values, &mut findings);
    if findings.is_empty() {
        return Ok(PublishedValues { revision, values });
    }
    Err(findings)
}

fn list_files(directory: &Path, depth: usize, paths: &mut Vec<PathBuf>) -> io::Result<()> {
    if depth == 0 {
        return Err(io::Error::other("directories are nested too deeply"));
    }
    for entry in fs::read_dir(directory)? {
        let entry = entry?;
        let path = entry.path();
        let hidden = entry.file_name().as_encoded_bytes().starts_with(b".");
        if hidden && path.extension().is_none_or(|ending| ending != "yaml") {
            continue;
        }
        if path.is_dir() {
            list_files(&path, depth - 1, paths)?;
        } else {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(())
}

fn key_of(directory: &Path, path: &Path) -> String {
    let inner = path.strip_prefix(directory).unwrap_or(path);
    let parts: Vec<_> = inner.iter().map(|part| part.to_string_lossy()).collect();
    parts.join("/")
}

fn read_value(path: &Path, key: &str) -> Result<Arc<str>, Finding> {
    let size = fs::metadata(path).map_err(|error| unreadable(key, &error.to_string()))?;
    if size.len() > MAX_VALUE_BYTES {
        let problem = Problem::TooLarge {
            bytes: size.len(),
            limit: MAX_VALUE_BYTES,
        };
        return Err(file_finding(key, problem));
    }
    let bytes = fs::read(path).map_err(|error| unreadable(key, &error.to_string()))?;
    let text = String::from_utf8(bytes).map_err(|_| file_finding(key, Problem::NotText))?;
    Ok(Arc::from(text))
}

fn take_revision(
    values: &mut BTreeMap<String, Arc<str>>,
    findings: &mut Vec<Finding>,
) -> TreeRevision {
    let Some(text) = values.remove(REVISION_FILE) else {
        return TreeRevision::first(1);
    };
    if let Ok(number) = text.trim().parse() {
        return TreeRevision::first(number);
    }
    findings.push(unreadable(REVISION_FILE, "it holds no whole number"));
    TreeRevision::first(1)
}

fn unreadable(key: &str, reason: &str) -> Finding {
    file_finding(key, Problem::Unreadable(reason.to_owned()))
}
