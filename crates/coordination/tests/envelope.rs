//! Tests of envelopes: messages that were sealed with a valid secret can be opened, and all other bytes are
//! rejected.

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::Span;
use granitelb_coordination::endpoint_health::{
    EndpointCounts, Fragment, HealthMessage, HealthReport, HealthStatus, HealthUpdate,
};
use granitelb_coordination::membership::MembershipMessage;
use granitelb_coordination::message::{
    ComponentKind, EnvelopeError, MAX_DATAGRAM_BYTES, Message, Secret, Secrets, open, seal,
};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender, Version};
use hmac::{Hmac, KeyInit, Mac};
use proptest::prelude::*;
use sha2::Sha256;
use test_case::test_case;

const OUR_SECRET: &[u8] = b"sixteen bytes or more";
const OTHER_SECRET: &[u8] = b"another secret of theirs";

fn secrets(current: &[u8], previous: Option<&[u8]>) -> Secrets {
    let secret = |bytes| Secret::new(bytes).expect("long enough");
    Secrets { current: secret(current), previous: previous.map(secret) }
}

fn senders() -> impl Strategy<Value = Sender> {
    let planner = any::<u8>().prop_map(|n| Member::Planner(PlannerId(n)));
    let member = prop_oneof![planner, any::<u64>().prop_map(|n| Member::Forwarder(ForwarderId(n)))];
    (member, any::<u64>(), any::<u64>()).prop_map(|(member, incarnation, sequence)| Sender {
        member,
        incarnation: Incarnation(incarnation),
        sequence,
    })
}

fn reports() -> impl Strategy<Value = Message> {
    let counts =
        (any::<u64>(), 0u16.., 0u16.., 0u16..).prop_map(|(endpoint, answered, failed, in_flight)| {
            EndpointCounts {
                endpoint: EndpointId(endpoint),
                answered: answered.into(),
                failed: failed.into(),
                in_flight: in_flight.into(),
            }
        });
    (any::<u64>(), prop::collection::vec(counts, 0..46)).prop_map(|(sequence, endpoints)| {
        let report = HealthReport { sequence, fragment: Fragment::SINGLE, endpoints };
        Message::EndpointHealth(HealthMessage::Report(report))
    })
}

fn updates() -> impl Strategy<Value = Message> {
    let status = (any::<u64>(), any::<bool>(), any::<u32>()).prop_map(|(endpoint, is_failing, ms)| {
        let ago = Span::from_millis(ms.into());
        let status = if is_failing { HealthStatus::Failing { ago } } else { HealthStatus::Recovered { ago } };
        (EndpointId(endpoint), status)
    });
    (any::<u64>(), prop::collection::vec(status, 0..46)).prop_map(|(version, statuses)| {
        let version = Version(version);
        let update = HealthUpdate { version, fragment: Fragment::SINGLE, forwarders: 300, statuses };
        Message::EndpointHealth(HealthMessage::Update(update))
    })
}

fn messages() -> impl Strategy<Value = Message> {
    prop_oneof![reports(), updates()]
}

/// Signs the bytes with our secret, so that only their content can cause a rejection.
fn sign(bytes: &[u8]) -> Vec<u8> {
    let mac = Hmac::<Sha256>::new_from_slice(OUR_SECRET).expect("any length is valid");
    let tag = mac.chain_update(bytes).finalize().into_bytes();
    [bytes, &tag[..16]].concat()
}

proptest! {
    #[test]
    fn sealed_messages_are_opened_unchanged(sender in senders(), message in messages()) {
        let ours = secrets(OUR_SECRET, None);
        let bytes = seal(sender, &message, &ours).expect("short enough");
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(open(&bytes, &ours), Ok((sender, message)));
    }

    #[test]
    fn truncated_modified_and_foreign_datagrams_are_rejected(
        sender in senders(),
        message in messages(),
        end in any::<prop::sample::Index>(),
        bit in any::<prop::sample::Index>(),
    ) {
        let ours = secrets(OUR_SECRET, None);
        let bytes = seal(sender, &message, &ours).expect("short enough");
        prop_assert!(open(&bytes[..end.index(bytes.len())], &ours).is_err());
        let mut modified = bytes.clone();
        let bit = bit.index(bytes.len() * 8);
        modified[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(open(&modified, &ours).is_err());
        prop_assert_eq!(open(&bytes, &secrets(OTHER_SECRET, None)), Err(EnvelopeError::InvalidSignature));
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), kind in 0u8..8) {
        let ours = secrets(OUR_SECRET, None);
        prop_assert!(open(&bytes, &ours).is_err());
        // A holder of the secret may also send arbitrary bytes. The decoded message is then at most as long
        // as the bytes that were sent, whatever length they claim.
        let _ = open(&sign(&[&[b'G', b'L', 2, kind], &bytes[..]].concat()), &ours);
    }
}

#[test]
fn secrets_are_rotated_without_rejections() {
    let sender = Sender { member: Member::Planner(PlannerId(1)), incarnation: Incarnation(2), sequence: 3 };
    let message = Message::Membership(MembershipMessage::Heartbeat);
    let before = secrets(OUR_SECRET, None);
    let during = secrets(OTHER_SECRET, Some(OUR_SECRET));
    let after = secrets(OTHER_SECRET, None);
    let sealed = |by: &Secrets| seal(sender, &message, by).expect("short enough");
    assert!(open(&sealed(&before), &during).is_ok());
    assert!(open(&sealed(&during), &during).is_ok());
    assert!(open(&sealed(&during), &after).is_ok());
    assert_eq!(open(&sealed(&before), &after), Err(EnvelopeError::InvalidSignature));
}

#[test_case(b"GL\x02\x09", EnvelopeError::UnknownKind(9); "unknown kind")]
#[test_case(b"GL\x01\x01", EnvelopeError::UnsupportedVersion(1); "unsupported version")]
#[test_case(b"GX\x02\x01", EnvelopeError::UnknownProtocol; "another protocol")]
#[test_case(b"GL\x02", EnvelopeError::UnknownProtocol; "incomplete header")]
#[test_case(b"GL\x02\x02", EnvelopeError::Malformed; "no body")]
#[test_case(b"GL\x02\x02\x00\x01\x01\x01\x00\x01\x01\x01\x00x", EnvelopeError::Malformed; "trailing byte")]
#[test_case(b"GL\x02\x02\x00\x01\x01\x01\x00\x01\x01\x01\xff\xff\xff\xff\x0f", EnvelopeError::Malformed; "length beyond the end")]
fn signed_but_invalid_datagrams_are_rejected(body: &[u8], error: EnvelopeError) {
    assert_eq!(open(&sign(body), &secrets(OUR_SECRET, None)), Err(error));
}

#[test]
fn too_long_messages_and_too_short_secrets_are_errors() {
    let counts =
        |n: u64| EndpointCounts { endpoint: EndpointId(n << 50), answered: 1.0, failed: 0.0, in_flight: 0.0 };
    let endpoints = (0..200).map(counts).collect();
    let report = HealthReport { sequence: 1, fragment: Fragment::SINGLE, endpoints };
    let sender =
        Sender { member: Member::Forwarder(ForwarderId(1)), incarnation: Incarnation(1), sequence: 1 };
    let message = Message::EndpointHealth(HealthMessage::Report(report));
    assert_eq!(message.kind(), ComponentKind::EndpointHealth);
    let sealed = seal(sender, &message, &secrets(OUR_SECRET, None));
    assert!(matches!(sealed, Err(EnvelopeError::TooLong(_))));
    assert_eq!(Secret::new(b"short").err(), Some(EnvelopeError::ShortSecret));
}
