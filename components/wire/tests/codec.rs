//! Decoders under arbitrary bytes.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use base::{Incarnation, Offset, ProcessId, ProcessName, Tokens};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use wire::{
    ForwardDown, ForwardUp, GenerateEvent, GenerateRequest, MAX_FRAME_BYTES, PeerCall, PeerReply,
    SlotId, WireError, decode, encode,
};

const SEED: u64 = 20_261_204;

fn fixed_seed(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    }
}

fn reserve(customer: &str, tokens: u64) -> PeerCall {
    PeerCall::Reserve {
        slot: SlotId { partition: 1, index: 2 },
        customer: customer.into(),
        tokens: Tokens(tokens),
        config_offset: Offset(9),
    }
}

proptest! {
    #![proptest_config(fixed_seed(2_000))]

    /// Guards against a panic or a huge allocation on bytes from a broken peer.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _call = decode::<PeerCall>(&bytes);
        let _reply = decode::<PeerReply>(&bytes);
        let _request = decode::<GenerateRequest>(&bytes);
        let _event = decode::<GenerateEvent>(&bytes);
        let _up = decode::<ForwardUp>(&bytes);
        let _down = decode::<ForwardDown>(&bytes);
    }

    #[test]
    fn calls_survive_a_round_trip(customer in "[a-z]{0,40}", tokens in any::<u64>()) {
        let call = reserve(&customer, tokens);
        prop_assert_eq!(decode::<PeerCall>(&encode(&call).unwrap()), Ok(call));
    }

    /// Guards against a cut message that decodes to a shorter one.
    #[test]
    fn truncated_and_extended_messages_are_malformed(cut in 1_usize..20, extra in any::<u8>()) {
        let mut bytes = encode(&reserve("chapel", 1_000_000)).unwrap();
        let short = &bytes[..bytes.len().saturating_sub(cut)];
        prop_assert_eq!(decode::<PeerCall>(short), Err(WireError::Malformed));
        bytes.push(extra);
        prop_assert_eq!(decode::<PeerCall>(&bytes), Err(WireError::Malformed));
    }
}

#[test]
fn message_above_the_limit_is_not_encoded() {
    let call = ForwardUp::Data(vec![0; MAX_FRAME_BYTES + 1]);
    assert!(matches!(encode(&call), Err(WireError::TooLarge | WireError::Malformed)));
}

/// Guards against a length prefix that claims more than the limit.
#[test]
fn declared_length_above_the_limit_is_malformed() {
    // Variant 1 (`Data`), then a varint length of 2^32.
    let mut bytes = vec![1, 253];
    bytes.extend_from_slice(&(1_u64 << 32).to_le_bytes());
    assert_eq!(decode::<ForwardUp>(&bytes), Err(WireError::Malformed));
}

#[test]
fn process_ids_of_one_name_order_by_incarnation() {
    let id = |run| ProcessId { name: ProcessName::new("side-1"), incarnation: Incarnation(run) };
    assert!(id(1) < id(2));
}
