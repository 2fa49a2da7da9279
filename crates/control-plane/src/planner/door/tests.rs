use granitelb_coordination::ForwarderId;

use super::*;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Of so many a second over ten seconds, the share that is let in.
fn let_in(door: &mut Door, per_s: u64, from: impl Fn(u64) -> SocketAddr) -> f64 {
    let all = per_s * 10;
    let read = (0..all).filter(|n| door.comes(Time(n * 1_000_000 / per_s), from(*n)).is_ok()).count();
    read as f64 / all as f64
}

#[test]
fn whoever_is_known_is_read_however_many_strangers_come() {
    let mut door = Door::new(Time(0));
    door.on_message(Time(0), address(1));
    // Every hundredth letter is the member's, the others come from all over the place.
    let mut read = 0;
    for n in 0..100_000u64 {
        let now = Time(n * 20);
        if n % 100 == 0 {
            assert_eq!(door.comes(now, address(1)), Ok(()), "{n}");
            door.on_message(now, address(1));
        } else {
            read += u64::from(door.comes(now, address(2 + (n % 60_000) as u16)).is_ok());
        }
    }
    // Two seconds' worth, and what may come at once.
    assert!((10_000..=15_100).contains(&read), "{read}");
    assert!(door.strangers.len() <= MOST_STRANGERS);
}

#[test]
fn a_flood_costs_what_its_address_or_its_member_may() {
    let mut door = Door::new(Time(0));
    let stranger = let_in(&mut door, 20_000, |_| address(2));
    assert!((0.0009..0.0012).contains(&stranger), "{stranger}");
    let mut door = Door::new(Time(0));
    door.on_message(Time(0), address(2));
    let known = let_in(&mut door, 20_000, |_| address(2));
    assert!((0.04..0.06).contains(&known), "{known}");
    let mut door = Door::new(Time(0));
    let member = Member::Forwarder(ForwarderId(1));
    let signed = (0..10_000u64).filter(|n| door.signed(Time(n * 100), member).is_ok()).count();
    assert!((1900..=2000).contains(&signed), "{signed}");
}
