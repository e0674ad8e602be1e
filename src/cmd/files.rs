//! Reads files given on the command line.

use std::path::Path;

use config::{MAX_FILE_BYTES, Problem, SourceFile};

/// Reads a file; problems refer to it as `name`.
pub fn read_file(path: &Path, name: &str) -> Result<SourceFile, Problem> {
    let problem = |message| Problem { file: name.into(), line: 0, message };
    let bytes = std::fs::read(path)
        .map_err(|error| problem(format!("can't read the file: {error}; correct the path")))?;
    if bytes.len() > MAX_FILE_BYTES {
        let message =
            format!("the file has {} bytes; shorten it to at most {MAX_FILE_BYTES}", bytes.len());
        return Err(problem(message));
    }
    let text = String::from_utf8(bytes)
        .map_err(|_| problem("the file is not UTF-8 text; save it as UTF-8".to_owned()))?;
    Ok(SourceFile::new(name, &text))
}

/// Reads a file; problems refer to it by the given path.
pub fn read_as_given(path: &Path) -> Result<SourceFile, Problem> {
    read_file(path, &path.to_string_lossy())
}
