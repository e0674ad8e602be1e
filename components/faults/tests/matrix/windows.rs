//! Oracle for I6 at a constant rate.

use base::Timestamp;

/// Tokens taken at a time; later settled to those used.
#[derive(Clone, Copy, Debug)]
pub struct Debit {
    pub at: Timestamp,
    pub tokens: u64,
}

/// Checks admitted <= burst + rate x t for every window that starts and ends at a debit; other windows
/// admit no more in no less time.
pub fn check_windows(debits: &[Debit], rate: u64, burst: u64) -> Result<(), String> {
    let mut debits = debits.to_vec();
    debits.sort_by_key(|debit| debit.at);
    for (first, start) in debits.iter().enumerate() {
        let mut admitted = 0;
        for end in &debits[first..] {
            admitted += u128::from(end.tokens) * 1_000_000;
            let time = end.at.since(start.at).as_micros();
            let allowed = u128::from(burst) * 1_000_000 + u128::from(rate) * time;
            if admitted > allowed {
                let (from, to) = (start.at.micros, end.at.micros);
                return Err(format!(
                    "I6: admitted {admitted} of {allowed} micro-tokens in [{from}, {to}] us"
                ));
            }
        }
    }
    Ok(())
}
