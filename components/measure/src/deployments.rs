//! The two deployments of the repository's fixtures.

use base::Offset;
use config::{Problem, ServiceKind, SourceFile, compile};

use crate::{Deployment, scale_rates};

const CWMCAPSIWN: [(&str, &str); 2] = [
    ("base.yaml", include_str!("../../../fixtures/cwmcapsiwn/base.yaml")),
    ("cymru-de.yaml", include_str!("../../../fixtures/cwmcapsiwn/cymru-de.yaml")),
];
const FUMEIRO: [(&str, &str); 2] = [
    ("base.yaml", include_str!("../../../fixtures/fumeiro/base.yaml")),
    ("norte-pt.yaml", include_str!("../../../fixtures/fumeiro/norte-pt.yaml")),
];
/// Entry processes of each deployment ("a few thin entry VMs").
const ENTRIES: usize = 3;
/// One way between data centres (design page, sizes of today).
const DATA_CENTRE_DELAY_US: u64 = 500;

/// Both deployments, with rates scaled so that `load_percent` of the engines' capacity is inside them.
///
/// # Errors
///
/// The problems of a fixture that does not pass the check.
pub fn deployments(load_percent: u64) -> Result<Vec<Deployment>, Vec<Problem>> {
    Ok(vec![
        deployment("cwmcapsiwn", &CWMCAPSIWN, "cymru-de", load_percent)?,
        deployment("fumeiro", &FUMEIRO, "norte-pt", load_percent)?,
    ])
}

fn deployment(
    name: &'static str,
    files: &[(&str, &str); 2],
    site: &str,
    load_percent: u64,
) -> Result<Deployment, Vec<Problem>> {
    let [base, overlay] = files.map(|(name, text)| SourceFile::new(name, text));
    let mut config = compile(base, &[overlay], site, Offset(1))?;
    // Only model engines are measured. Services keep their positions, since models refer to them.
    for service in config.services.iter_mut().filter(|service| service.kind == ServiceKind::Plain) {
        service.targets.clear();
    }
    scale_rates(&mut config, load_percent);
    Ok(Deployment { name, config, entries: ENTRIES, data_centre_delay_us: DATA_CENTRE_DELAY_US })
}
