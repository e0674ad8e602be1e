//! Keys of the base file and of edits.

use std::collections::BTreeSet;

use base::CustomerId;

use crate::base_file::{BaseFile, KeyFileEntry};
use crate::compile::resolve;
use crate::report::Report;
use crate::{FleetConfig, KeyEdits, KeyEntry, parse_sha256};

/// Checks the keys and puts those that were not withdrawn into the arena.
pub(crate) fn compile_keys(
    report: &mut Report<'_>,
    base: &BaseFile,
    edits: &KeyEdits,
    config: &mut FleetConfig,
) {
    let withdrawn: BTreeSet<[u8; 32]> = edits.withdrawn.iter().map(|key| key.sha256).collect();
    let mut listed: Vec<([u8; 32], &KeyFileEntry)> = Vec::new();
    for entry in &base.keys {
        let name = &entry.name;
        report.name("key", name);
        let found = config.customer_id(&entry.customer.value).map(|id| id.0);
        let customer = resolve(report, "customer", &entry.customer, found);
        let Some(sha256) = parse_sha256(&entry.sha256.value) else {
            // The text may be a key in the clear, so it is not repeated.
            let message = format!(
                "sha256 of key {} is not 64 hexadecimal digits; write the SHA-256 of the key, never \
                 the key itself",
                name.value
            );
            report.add_at(entry.sha256.file, entry.sha256.line, message);
            continue;
        };
        if !withdrawn.contains(&sha256) {
            listed.push((sha256, entry));
            let customer = CustomerId(customer.unwrap_or_default());
            config.keys.push(KeyEntry { sha256, name: name.value.clone(), customer });
        }
    }
    report.unique("key", base.keys.iter().map(|k| &k.name));
    listed.sort_by_key(|(sha256, entry)| (*sha256, entry.name.line));
    for pair in listed.windows(2) {
        let [(first, one), (second, other)] = pair else { continue };
        if first == second {
            let message = format!(
                "key {} has the hash of key {}; create a key of its own for it",
                other.name.value, one.name.value
            );
            report.add_at(other.sha256.file, other.sha256.line, message);
        }
    }
    added_keys(report, &listed, edits, config);
    config.keys.sort_by_key(|key| key.sha256);
}

/// Adds the keys of edits that the base file does not list.
fn added_keys(
    report: &mut Report<'_>,
    listed: &[([u8; 32], &KeyFileEntry)],
    edits: &KeyEdits,
    config: &mut FleetConfig,
) {
    for added in &edits.added {
        if listed.binary_search_by_key(&added.sha256, |(sha256, _)| *sha256).is_ok() {
            continue;
        }
        let same_name = listed.iter().find(|(_, entry)| entry.name.value == added.name);
        if let Some((_, entry)) = same_name {
            let message = format!(
                "key {} was already added by an edit with another hash; rename the one in this line",
                added.name
            );
            report.add_at(0, entry.name.line, message);
        } else if let Some(customer) = config.customer_id(&added.customer) {
            let (sha256, name) = (added.sha256, added.name.clone());
            config.keys.push(KeyEntry { sha256, name, customer });
        } else {
            let message = format!(
                "there is no customer {}, but the added key {} belongs to it; define the customer \
                 or withdraw the key first",
                added.customer, added.name
            );
            report.add_at(0, 0, message);
        }
    }
}
