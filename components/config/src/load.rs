//! Loading of settings files.

use crate::yaml::read_yaml;
use crate::{EntrySettings, Problem, SideSettings, SourceFile};

/// Reads and checks the settings of an entry process.
///
/// # Errors
///
/// All problems found, with their lines where one field is at fault.
pub fn load_entry_settings(source: &SourceFile) -> Result<EntrySettings, Vec<Problem>> {
    let settings: EntrySettings = read_yaml(source).map_err(|problem| vec![problem])?;
    let problems = settings.problems(source);
    if problems.is_empty() { Ok(settings) } else { Err(problems) }
}

/// Reads and checks the settings of a side process.
///
/// # Errors
///
/// All problems found, with their lines where one field is at fault.
pub fn load_side_settings(source: &SourceFile) -> Result<SideSettings, Vec<Problem>> {
    let settings: SideSettings = read_yaml(source).map_err(|problem| vec![problem])?;
    let problems = settings.problems(source);
    if problems.is_empty() { Ok(settings) } else { Err(problems) }
}
