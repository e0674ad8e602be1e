//! `check`: validates configuration and settings files.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use base::Offset;
use config::{
    FleetConfig, KeyEdits, Problem, SourceFile, Sources, load_entry_settings, load_side_settings,
};
use lexopt::prelude::*;

use crate::cli::usage_error;
use crate::cmd::files::read_as_given;

const HELP: &str = "\
Check configuration and settings files.

Usage: plantainbeam check [--base FILE [--overlay FILE]...] [--entry FILE]... [--side FILE]...

Prints each problem as FILE:LINE: SENTENCE. With --base, settings are also checked against it.

Options:
      --base FILE     base file of the deployment
      --overlay FILE  overlay for the site that it names
      --entry FILE    settings of an entry process
      --side FILE     settings of a side process
  -h, --help          show this text

Exit code: 0 if there is no problem, 1 otherwise, 2 for wrong usage.
";

#[derive(Default)]
struct Options {
    base: Option<PathBuf>,
    overlays: Vec<PathBuf>,
    entries: Vec<PathBuf>,
    sides: Vec<PathBuf>,
}

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> ExitCode {
    let options = match parse(parser) {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => return usage_error(&error.to_string(), HELP),
    };
    let problems = check(&options);
    for problem in &problems {
        println!("{problem}");
    }
    if problems.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Options>, lexopt::Error> {
    let mut options = Options::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("base") if options.base.is_some() => {
                return Err("--base given twice; there is one base file".into());
            }
            Long("base") => options.base = Some(parser.value()?.into()),
            Long("overlay") => options.overlays.push(parser.value()?.into()),
            Long("entry") => options.entries.push(parser.value()?.into()),
            Long("side") => options.sides.push(parser.value()?.into()),
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(argument.unexpected()),
        }
    }
    if options.base.is_none() && !options.overlays.is_empty() {
        return Err("--overlay without --base".into());
    }
    if options.base.is_none() && options.entries.is_empty() && options.sides.is_empty() {
        return Err("no file given".into());
    }
    Ok(Some(options))
}

fn check(options: &Options) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut config = None;
    if let Some(base) = &options.base {
        match load_config(base, &options.overlays) {
            Ok(loaded) => config = Some(loaded),
            Err(found) => problems.extend(found),
        }
    }
    for path in &options.entries {
        let load = |source: &SourceFile| {
            let settings = load_entry_settings(source)?;
            Ok(config
                .as_ref()
                .map_or_else(Vec::new, |config| settings.check_against(config, source)))
        };
        problems.extend(check_settings(path, load));
    }
    for path in &options.sides {
        let load = |source: &SourceFile| {
            let settings = load_side_settings(source)?;
            Ok(config
                .as_ref()
                .map_or_else(Vec::new, |config| settings.check_against(config, source)))
        };
        problems.extend(check_settings(path, load));
    }
    problems
}

fn check_settings(
    path: &Path,
    load: impl Fn(&SourceFile) -> Result<Vec<Problem>, Vec<Problem>>,
) -> Vec<Problem> {
    match read_as_given(path) {
        Ok(source) => load(&source).unwrap_or_else(|problems| problems),
        Err(problem) => vec![problem],
    }
}

/// Reads the base file and overlays, validates them for every site and compiles the base file.
fn load_config(base: &Path, overlays: &[PathBuf]) -> Result<FleetConfig, Vec<Problem>> {
    let mut problems = Vec::new();
    let mut read = |path: &Path| {
        read_as_given(path).unwrap_or_else(|problem| {
            problems.push(problem);
            SourceFile::default()
        })
    };
    let base = read(base);
    let overlays = overlays.iter().map(|path| read(path)).collect();
    if !problems.is_empty() {
        return Err(problems);
    }
    let sources = Sources { base, overlays, keys: KeyEdits::default() };
    Ok(sources.check_and_compile("", Offset::default())?.config)
}
