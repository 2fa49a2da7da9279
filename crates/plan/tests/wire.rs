//! Letters between the levels: what was written is read, and nothing else is.

use granitelb::ids::CacheId;
use granitelb::units::Span;
use granitelb_plan::wire::{Fault, Letter, MOST_CACHES, Secret};
use granitelb_plan::{Epoch, ForwarderId, Life, Plan, PlannerId, Report, Seen, Verdict, Version};
use test_case::test_case;

fn secret() -> Secret {
    Secret::new(b"sixteen bytes or more").expect("long enough")
}

fn report(caches: usize) -> Letter {
    let seen = |n: u64| Seen { cache: CacheId(n << 40 | 7), answered: 3.0, failed: 0.0, out: n as f64 };
    let caches = (0..caches as u64).map(seen).collect();
    Letter::Report(Report { from: ForwarderId(u64::MAX), life: Life(1), number: 2, caches })
}

fn plan(caches: usize) -> Letter {
    let said = |n: u64| {
        let ago = Span::from_millis(n * 250);
        (CacheId(n), if n.is_multiple_of(2) { Verdict::Fails { ago } } else { Verdict::Answers { ago } })
    };
    let verdicts = (0..caches as u64).map(said).collect();
    let plan = Plan { epoch: Epoch(9), version: Version(10), forwarders: 300, verdicts };
    Letter::Plan { from: PlannerId(3), plan }
}

/// Signed, so that only the body can be at fault.
fn signed(body: &[u8]) -> Vec<u8> {
    use hmac::{Hmac, KeyInit, Mac};
    let mac = Hmac::<sha2::Sha256>::new_from_slice(b"sixteen bytes or more").expect("any length does");
    let tag = mac.chain_update(body).finalize().into_bytes();
    [body, &tag[..16]].concat()
}

#[test_case(report(0); "an empty report")]
#[test_case(report(40); "a report")]
#[test_case(report(MOST_CACHES); "the longest report")]
#[test_case(plan(0); "an empty plan")]
#[test_case(plan(40); "a plan")]
#[test_case(plan(MOST_CACHES); "the longest plan")]
fn what_is_written_is_read(letter: Letter) {
    let bytes = letter.encode(&secret()).expect("a letter");
    assert!(bytes.len() <= 65_507, "{} bytes go into no datagram", bytes.len());
    assert_eq!(Letter::decode(&bytes, &secret()), Ok(letter));
}

#[test_case(report(3); "a report")]
#[test_case(plan(3); "a plan")]
fn every_cut_and_every_flipped_bit_is_refused(letter: Letter) {
    let bytes = letter.encode(&secret()).expect("a letter");
    for end in 0..bytes.len() {
        assert!(Letter::decode(&bytes[..end], &secret()).is_err(), "cut to {end}");
    }
    for bit in 0..bytes.len() * 8 {
        let mut changed = bytes.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert!(Letter::decode(&changed, &secret()).is_err(), "bit {bit}");
    }
    let other = Secret::new(b"another secret of theirs").expect("long enough");
    assert_eq!(Letter::decode(&bytes, &other), Err(Fault::Forged));
}

// A holder of the secret may err too: signed letters with a faulty body.
#[test_case(b"GL\x01\x07", Fault::UnknownKind(7); "a kind")]
#[test_case(b"GL\x02\x01", Fault::OtherVersion(2); "a version")]
#[test_case(b"GX\x01\x01", Fault::Stranger; "another protocol")]
#[test_case(b"GL\x01", Fault::Length; "nothing at all")]
#[test_case(b"GL\x01\x01aaaaaaaabbbbbbbbcccccccc\x00\x01", Fault::Length; "a cache promised")]
#[test_case(b"GL\x01\x01aaaaaaaabbbbbbbbcccccccc\xff\xff", Fault::TooMany(65_535); "too many promised")]
#[test_case(b"GL\x01\x01aaaaaaaabbbbbbbbcccccccc\x00\x00x", Fault::Length; "a byte too many")]
#[test_case(b"GL\x01\x02\x01aaaaaaaabbbbbbbbcccc\x00\x01dddddddd\x09eeee", Fault::UnknownVerdict(9); "a verdict")]
fn a_faulty_letter_is_refused(body: &[u8], fault: Fault) {
    assert_eq!(Letter::decode(&signed(body), &secret()), Err(fault));
}

#[test]
fn what_can_not_be_sent_is_said() {
    let most = MOST_CACHES + 1;
    assert_eq!(report(most).encode(&secret()), Err(Fault::TooMany(most)));
    assert_eq!(plan(most).encode(&secret()), Err(Fault::TooMany(most)));
    assert_eq!(Secret::new(b"short").err(), Some(Fault::ShortSecret));
}
