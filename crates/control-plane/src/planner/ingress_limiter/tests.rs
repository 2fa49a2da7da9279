use std::net::SocketAddr;

use granitelb_balancer::time::Time;
use granitelb_coordination::{ForwarderId, Member};

use super::{IngressLimiter, MAX_UNKNOWN_ADDRESSES};

const MICROS_PER_S: u64 = 1_000_000;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Sends `per_s` datagrams a second for ten seconds, and returns the share of them that is admitted.
fn admitted_share(limiter: &mut IngressLimiter, per_s: u64, from: impl Fn(u64) -> SocketAddr) -> f64 {
    let total = per_s * 10;
    let is_admitted = |n: &u64| limiter.admit_address(Time(n * MICROS_PER_S / per_s), from(*n)).is_ok();
    let admitted = (0..total).filter(is_admitted).count();
    admitted as f64 / total as f64
}

#[test]
fn known_address_is_admitted_during_flood_from_unknown_addresses() {
    let mut limiter = IngressLimiter::new(Time(0));
    limiter.on_message(Time(0), address(1));
    // Every hundredth message comes from the member's address, the others from many unknown addresses.
    let mut admitted = 0;
    for n in 0..100_000u64 {
        let now = Time(n * 20);
        if n % 100 == 0 {
            assert_eq!(limiter.admit_address(now, address(1)), Ok(()), "{n}");
            limiter.on_message(now, address(1));
        } else {
            admitted += u64::from(limiter.admit_address(now, address(2 + (n % 60_000) as u16)).is_ok());
        }
    }
    // Two seconds at the total rate of unknown addresses, and the burst.
    assert!((10_000..=15_100).contains(&admitted), "{admitted}");
    assert!(limiter.unknown_addresses.len() <= MAX_UNKNOWN_ADDRESSES);
}

#[test]
fn flood_is_limited_by_address_and_by_member() {
    let mut limiter = IngressLimiter::new(Time(0));
    let unknown = admitted_share(&mut limiter, 20_000, |_| address(2));
    assert!((0.0009..0.0012).contains(&unknown), "{unknown}");
    let mut limiter = IngressLimiter::new(Time(0));
    limiter.on_message(Time(0), address(2));
    let known = admitted_share(&mut limiter, 20_000, |_| address(2));
    assert!((0.04..0.06).contains(&known), "{known}");
    let mut limiter = IngressLimiter::new(Time(0));
    let member = Member::Forwarder(ForwarderId(1));
    let signed = (0..10_000u64).filter(|n| limiter.admit_member(Time(n * 100), member).is_ok()).count();
    assert!((1900..=2000).contains(&signed), "{signed}");
}
