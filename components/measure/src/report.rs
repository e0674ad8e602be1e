//! Tables and JSON of results.

use crate::{Policy, RunResult};

/// Prints results as a table; each is also stated as a share of the oracle's attainment in the same
/// deployment and under the same fault.
pub fn print_table(results: &[RunResult]) {
    println!(
        "{:<12} {:<15} {:<16} {:>8} {:>8} {:>7} {:>6} {:>7} {:>7} {:>6} {:>6} {:>7} {:>7} {:>6}",
        "deployment",
        "fault",
        "policy",
        "requests",
        "att/e/s",
        "/bound",
        "moves",
        "worst",
        "wrongful",
        "busy",
        "broken",
        "excess",
        "ttft95",
        "gap95"
    );
    for result in results {
        let bound = results
            .iter()
            .find(|other| {
                other.deployment == result.deployment
                    && other.fault == result.fault
                    && other.policy == Policy::Oracle.as_str()
            })
            .map_or(0.0, |oracle| result.attained_per_engine_s / oracle.attained_per_engine_s);
        println!(
            "{:<12} {:<15} {:<16} {:>8} {:>8.3} {:>7.3} {:>6} {:>7.3} {:>7} {:>6} {:>6} {:>7} {:>7} {:>6}",
            result.deployment,
            result.fault,
            result.policy,
            result.requests,
            result.attained_per_engine_s,
            bound,
            result.model_moves,
            result.worst_customer.attained_share,
            result.refused_inside_rate,
            result.refused_busy,
            result.broken,
            result.excess_tokens,
            result.first_token_p95_ms,
            result.token_gap_p95_ms
        );
    }
}

/// Prints results as JSON.
///
/// # Errors
///
/// If a figure can't be represented.
pub fn print_json(results: &[RunResult]) -> Result<(), serde_json::Error> {
    println!("{}", serde_json::to_string_pretty(results)?);
    Ok(())
}
