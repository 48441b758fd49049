//! Reading of steering files from a directory.

use operators::bundle::Files;
use std::io;
use std::path::Path;

/// Extension of steering files.
const EXTENSION: &str = "yaml";

/// Reads all steering files of a directory, in the order of their names.
///
/// # Errors
///
/// Fails if the directory or a file can't be read.
pub fn read(directory: &Path) -> io::Result<Files> {
    let mut files = Files::new();
    for entry in std::fs::read_dir(directory)? {
        let path = entry?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == EXTENSION)
            && let Some(name) = path.file_name().and_then(|name| name.to_str())
        {
            files.insert(name.into(), std::fs::read_to_string(&path)?.into());
        }
    }
    files.sort_unstable_keys();
    Ok(files)
}
