//! Reads the published values from a local directory, the default source.

use crate::{PlatformError, PlatformReader, PlatformResponse, ReadFuture};
use kws_protocol::{PublishedValues, TreeRevision};
use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Interval at which a waiting read checks the revision.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// File with the revision; operators raise it after changing other files.
const REVISION_FILE: &str = "revision";
/// Maximum depth of nested directories; deeper ones are an error.
const MAX_DEPTH: u32 = 16;

/// Reads a directory that contains `.yaml` files, `hosts.json` and `revision`.
#[derive(Clone, Debug)]
pub struct DirectoryReader {
    root: PathBuf,
}

impl DirectoryReader {
    /// Creates a reader of the directory `root`.
    pub fn new(root: &Path) -> Self {
        Self {
            root: root.to_path_buf(),
        }
    }

    /// Reads all values at once.
    ///
    /// # Errors
    /// [`PlatformError::File`] with the path that couldn't be read, or
    /// [`PlatformError::Malformed`] if the revision isn't a number or changed during the read.
    pub fn read_all(&self) -> Result<PublishedValues, PlatformError> {
        let revision = self.read_revision()?;
        let mut values = BTreeMap::new();
        collect_values(&self.root, "", 0, &mut values)?;
        // Operators raise the revision last, so an equal revision before and after the read means
        // that no change was published in between.
        if self.read_revision()? != revision {
            return Err(PlatformError::Malformed(
                "the revision changed while the values were read".to_owned(),
            ));
        }
        Ok(PublishedValues { revision, values })
    }

    fn read_revision(&self) -> Result<TreeRevision, PlatformError> {
        let path = self.root.join(REVISION_FILE);
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound && self.root.is_dir() => {
                return Ok(TreeRevision::first(1));
            }
            Err(error) => return Err(file_error(&path, &error)),
        };
        let number = text.trim().parse().map_err(|_| {
            PlatformError::Malformed(format!("{}: not a whole number", path.display()))
        })?;
        Ok(TreeRevision::first(number))
    }

    async fn read_when_changed(
        &self,
        known: TreeRevision,
        wait: Duration,
    ) -> Result<PlatformResponse, PlatformError> {
        let deadline = Instant::now() + wait;
        loop {
            let revision = self.read_revision()?;
            if revision != known {
                return self.read_all().map(values_response);
            }
            if Instant::now() >= deadline {
                return Ok(PlatformResponse::Unchanged { revision, bytes: 0 });
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

impl PlatformReader for DirectoryReader {
    fn read(&mut self, known: TreeRevision, wait: Duration) -> ReadFuture<'_> {
        Box::pin(self.read_when_changed(known, wait))
    }
}

fn values_response(values: PublishedValues) -> PlatformResponse {
    let bytes = values.values.values().map(|value| value.len() as u64).sum();
    PlatformResponse::Values { values, bytes }
}

fn collect_values(
    directory: &Path,
    prefix: &str,
    depth: u32,
    values: &mut BTreeMap<String, Arc<str>>,
) -> Result<(), PlatformError> {
    if depth > MAX_DEPTH {
        return Err(PlatformError::File {
            path: directory.display().to_string(),
            message: format!("nested deeper than {MAX_DEPTH} directories"),
        });
    }
    let entries = fs::read_dir(directory).map_err(|error| file_error(directory, &error))?;
    for entry in entries {
        let entry = entry.map_err(|error| file_error(directory, &error))?;
        let path = entry.path();
        let name = entry.file_name().to_string_lossy().into_owned();
        if path.is_dir() {
            collect_values(&path, &format!("{prefix}{name}/"), depth + 1, values)?;
            continue;
        }
        if !is_value_file(&name) {
            continue;
        }
        let text = fs::read_to_string(&path).map_err(|error| file_error(&path, &error))?;
        values.insert(format!("{prefix}{name}"), Arc::from(text));
    }
    Ok(())
}

fn is_value_file(name: &str) -> bool {
    let suffix = Path::new(name).extension();
    suffix.is_some_and(|suffix| suffix == "yaml") || name == "hosts.json"
}

fn file_error(path: &Path, error: &io::Error) -> PlatformError {
    PlatformError::File {
        path: path.display().to_string(),
        message: error.to_string(),
    }
}
