//! Loading of a directory of declarations.

use crate::prelude::*;

/// Loads the declarations of a directory.
pub(crate) struct DeclarationDirectory;

impl DeclarationDirectory {
    /// Maximum size of a file, in bytes.
    const MAX_FILE_BYTES: u64 = 4 << 20;

    /// Loads all `.toml` files directly in `directory`; returns all findings if there are errors.
    pub(crate) fn read(directory: &Path) -> Result<DeclarationSet, Vec<CheckFinding>> {
        let paths = Self::toml_paths(directory)?;
        let mut files = Vec::new();
        let mut findings = Vec::new();
        for path in paths {
            match Self::read_file(&path) {
                Ok(file) => files.push(file),
                Err(more) => findings.extend(more),
            }
        }
        match DeclarationSet::read(&files) {
            Ok(set) if findings.is_empty() => Ok(set),
            Ok(_) => Err(findings),
            Err(more) => Err(findings.into_iter().chain(more).collect()),
        }
    }

    fn toml_paths(directory: &Path) -> Result<Vec<PathBuf>, Vec<CheckFinding>> {
        let name = directory.display().to_string();
        let unreadable = |error: std::io::Error| {
            vec![CheckFinding::of_file(
                &name,
                &error.to_string(),
                "a directory that can be read",
            )]
        };
        let mut paths = Vec::new();
        for entry in std::fs::read_dir(directory).map_err(unreadable)? {
            let path = entry.map_err(unreadable)?.path();
            if path
                .extension()
                .is_some_and(|extension| extension == "toml")
            {
                paths.push(path);
            }
        }
        paths.sort();
        match paths.is_empty() {
            true => Err(vec![CheckFinding::of_file(
                &name,
                "",
                "at least one .toml file",
            )]),
            false => Ok(paths),
        }
    }

    fn read_file(path: &Path) -> Result<SourceFile, Vec<CheckFinding>> {
        let name = path.display().to_string();
        let file_findings =
            |found: &str, expected| vec![CheckFinding::of_file(&name, found, expected)];
        let unreadable =
            |error: std::io::Error| file_findings(&error.to_string(), "a file that can be read");
        let length = std::fs::metadata(path).map_err(unreadable)?.len();
        if length > Self::MAX_FILE_BYTES {
            return Err(file_findings(
                &format!("{length} bytes"),
                "at most 4194304 bytes",
            ));
        }
        let bytes = std::fs::read(path).map_err(unreadable)?;
        match String::from_utf8(bytes) {
            Ok(text) => Ok(SourceFile::new(&name, &text)),
            Err(_) => Err(file_findings("invalid bytes", "text in UTF-8")),
        }
    }
}
