//! Letters: what was written is read, and nothing else is.

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::Span;
use granitelb_coordination::endpoint_health::{HealthMessage, HealthStatus, Part, Plan, Report, Seen};
use granitelb_coordination::message::{
    ComponentKind, EnvelopeError, MOST_BYTES, Message, Secret, Secrets, open, seal,
};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender, Version};
use proptest::prelude::*;
use test_case::test_case;

const OURS: &[u8] = b"sixteen bytes or more";
const THEIRS: &[u8] = b"another secret of theirs";

fn secrets(new: &[u8], old: Option<&[u8]>) -> Secrets {
    let secret = |bytes| Secret::new(bytes).expect("long enough");
    Secrets { new: secret(new), old: old.map(secret) }
}

fn senders() -> impl Strategy<Value = Sender> {
    let planner = any::<u8>().prop_map(|n| Member::Planner(PlannerId(n)));
    let member = prop_oneof![planner, any::<u64>().prop_map(|n| Member::Forwarder(ForwarderId(n)))];
    (member, any::<u64>(), any::<u64>()).prop_map(|(member, incarnation, number)| Sender {
        member,
        incarnation: Incarnation(incarnation),
        number,
    })
}

fn reports() -> impl Strategy<Value = Message> {
    let seen = (any::<u64>(), 0u16.., 0u16.., 0u16..).prop_map(|(cache, answered, failed, out)| Seen {
        cache: EndpointId(cache),
        answered: answered.into(),
        failed: failed.into(),
        out: out.into(),
    });
    (any::<u64>(), prop::collection::vec(seen, 0..46)).prop_map(|(number, caches)| {
        let report = Report { number, part: Part::WHOLE, caches };
        Message::EndpointHealth(HealthMessage::Report(report))
    })
}

fn plans() -> impl Strategy<Value = Message> {
    let verdict = (any::<u64>(), any::<bool>(), any::<u32>()).prop_map(|(cache, fails, ms)| {
        let ago = Span::from_millis(ms.into());
        (
            EndpointId(cache),
            if fails { HealthStatus::Failing { ago } } else { HealthStatus::Recovered { ago } },
        )
    });
    (any::<u64>(), prop::collection::vec(verdict, 0..46)).prop_map(|(version, verdicts)| {
        let plan = Plan { version: Version(version), part: Part::WHOLE, forwarders: 300, verdicts };
        Message::EndpointHealth(HealthMessage::Plan(plan))
    })
}

fn letters() -> impl Strategy<Value = Message> {
    prop_oneof![reports(), plans()]
}

/// Signed, so that only what stands in it can be at fault.
fn signed(body: &[u8]) -> Vec<u8> {
    use hmac::{Hmac, KeyInit, Mac};
    let mac = Hmac::<sha2::Sha256>::new_from_slice(OURS).expect("any length does");
    let tag = mac.chain_update(body).finalize().into_bytes();
    [body, &tag[..16]].concat()
}

proptest! {
    #[test]
    fn what_is_written_is_read(sender in senders(), letter in letters()) {
        let ours = secrets(OURS, None);
        let bytes = seal(sender, &letter, &ours).expect("a letter");
        prop_assert!(bytes.len() <= MOST_BYTES);
        prop_assert_eq!(open(&bytes, &ours), Ok((sender, letter)));
    }

    #[test]
    fn cut_changed_or_of_others_it_is_refused(
        sender in senders(), letter in letters(), end in any::<prop::sample::Index>(), bit in any::<prop::sample::Index>(),
    ) {
        let ours = secrets(OURS, None);
        let bytes = seal(sender, &letter, &ours).expect("a letter");
        prop_assert!(open(&bytes[..end.index(bytes.len())], &ours).is_err());
        let mut changed = bytes.clone();
        let bit = bit.index(bytes.len() * 8);
        changed[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(open(&changed, &ours).is_err());
        prop_assert_eq!(open(&bytes, &secrets(THEIRS, None)), Err(EnvelopeError::Forged));
    }

    #[test]
    fn whatever_comes_nothing_panics(bytes in prop::collection::vec(any::<u8>(), 0..200), kind in 0u8..8) {
        let ours = secrets(OURS, None);
        prop_assert!(open(&bytes, &ours).is_err());
        // A holder of the secret may err too; what is read then is as long as what was sent, not as what it claims.
        let _ = open(&signed(&[&[b'G', b'L', 2, kind], &bytes[..]].concat()), &ours);
    }
}

#[test]
fn a_secret_is_turned_over_without_a_refusal() {
    let sender = Sender { member: Member::Planner(PlannerId(1)), incarnation: Incarnation(2), number: 3 };
    let letter = Message::Membership(granitelb_coordination::membership::MembershipMessage::Beat);
    let (before, during, after) = (secrets(OURS, None), secrets(THEIRS, Some(OURS)), secrets(THEIRS, None));
    let sealed = |by: &Secrets| seal(sender, &letter, by).expect("a letter");
    assert!(open(&sealed(&before), &during).is_ok());
    assert!(open(&sealed(&during), &during).is_ok());
    assert!(open(&sealed(&during), &after).is_ok());
    assert_eq!(open(&sealed(&before), &after), Err(EnvelopeError::Forged));
}

#[test_case(b"GL\x02\x09", EnvelopeError::UnknownKind(9); "a kind")]
#[test_case(b"GL\x01\x01", EnvelopeError::OtherVersion(1); "a version")]
#[test_case(b"GX\x02\x01", EnvelopeError::Stranger; "another protocol")]
#[test_case(b"GL\x02", EnvelopeError::Stranger; "hardly anything")]
#[test_case(b"GL\x02\x02", EnvelopeError::Unreadable; "no body")]
#[test_case(b"GL\x02\x02\x00\x01\x01\x01\x00\x01\x01\x01\x00x", EnvelopeError::Unreadable; "a byte too many")]
#[test_case(b"GL\x02\x02\x00\x01\x01\x01\x00\x01\x01\x01\xff\xff\xff\xff\x0f", EnvelopeError::Unreadable; "too many promised")]
fn a_faulty_letter_is_refused(body: &[u8], fault: EnvelopeError) {
    assert_eq!(open(&signed(body), &secrets(OURS, None)), Err(fault));
}

#[test]
fn what_can_not_be_sent_is_said() {
    let seen = |n: u64| Seen { cache: EndpointId(n << 50), answered: 1.0, failed: 0.0, out: 0.0 };
    let report = Report { number: 1, part: Part::WHOLE, caches: (0..200).map(seen).collect() };
    let sender = Sender { member: Member::Forwarder(ForwarderId(1)), incarnation: Incarnation(1), number: 1 };
    let letter = Message::EndpointHealth(HealthMessage::Report(report));
    assert_eq!(letter.kind(), ComponentKind::EndpointHealth);
    assert!(matches!(seal(sender, &letter, &secrets(OURS, None)), Err(EnvelopeError::TooLong(_))));
    assert_eq!(Secret::new(b"short").err(), Some(EnvelopeError::ShortSecret));
}
