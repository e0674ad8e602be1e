//! Sorted map against a model, rendezvous hashing and timestamps.

use std::collections::BTreeMap;

use base::{SortedMap, Timestamp, rank_members};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

proptest! {
    #![proptest_config(Config {
        cases: 300,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..Config::default()
    })]

    #[test]
    fn sorted_map_agrees_with_a_tree_map(
        steps in proptest::collection::vec((0_u8..4, 0_u16..30, any::<u32>()), 0..120)
    ) {
        let mut map = SortedMap::new();
        let mut model = BTreeMap::new();
        for (step, key, value) in steps {
            match step {
                0 | 1 => prop_assert_eq!(map.insert(key, value), model.insert(key, value)),
                2 => prop_assert_eq!(map.remove(&key), model.remove(&key)),
                _ => prop_assert_eq!(map.get(&key), model.get(&key)),
            }
        }
        let pairs: Vec<_> = map.iter().map(|(k, v)| (*k, *v)).collect();
        prop_assert_eq!(pairs, model.into_iter().collect::<Vec<_>>());
    }

    /// Removing a member must not move keys between the remaining members.
    #[test]
    fn removing_a_member_moves_only_its_keys(key in any::<u64>(), removed in 0_usize..8) {
        let members: Vec<String> = (0..8).map(|n| format!("entry-{n}")).collect();
        let key = key.to_le_bytes();
        let before = rank_members(&key, members.iter().map(String::as_str));
        let rest = members.iter().enumerate().filter(|(n, _)| *n != removed).map(|(_, m)| m.as_str());
        let after = rank_members(&key, rest);
        let expected: Vec<&str> = before.into_iter().filter(|m| *m != members[removed]).collect();
        prop_assert_eq!(after, expected);
    }
}

#[test]
fn elapsed_time_since_a_later_timestamp_is_zero() {
    let elapsed = Timestamp::from_millis(1).since(Timestamp::from_millis(5));
    assert_eq!(elapsed.as_micros(), 0);
}
