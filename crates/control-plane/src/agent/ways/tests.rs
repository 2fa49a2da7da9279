use super::*;

fn socket() -> (UdpSocket, SocketAddrV4) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let Ok(SocketAddr::V4(at)) = socket.local_addr() else { panic!("an address") };
    (socket, at)
}

fn read(ways: &Ways) -> (Vec<u8>, usize) {
    let (mut planners, mut all) = (Vec::new(), 0);
    let take = |bytes: &[u8]| {
        all += 1;
        planners.extend(Some(bytes[0]).filter(|b| *b > 0));
    };
    ways.read(take, &mut [0; 64], true).expect("read");
    (planners, all)
}

#[test]
fn a_flood_from_elsewhere_takes_no_room_from_planners() {
    let (one, two, stranger) = (socket(), socket(), socket());
    let planners = |ports: &[(u8, SocketAddrV4)]| ports.iter().map(|(n, at)| (PlannerId(*n), *at)).collect();
    let mut ways = Ways::open(Ipv4Addr::LOCALHOST, &planners(&[(1, one.1)])).expect("sockets");
    let own = ways.own().expect("an address");
    for _ in 0..5000 {
        stranger.0.send_to(&[0], own).expect("sent");
    }
    one.0.send_to(&[1], own).expect("sent");
    // The other one is no planner yet: it goes by the common way, in which there is no room.
    two.0.send_to(&[2], own).expect("sent");
    ways.wait(Duration::from_secs(1)).expect("waited");
    assert_eq!(read(&ways), (vec![1], 1 + MOST_READ));
    ways.set_planners(&planners(&[(1, one.1), (2, two.1)]));
    two.0.send_to(&[2], own).expect("sent");
    one.0.send_to(&[1], own).expect("sent");
    ways.wait(Duration::from_secs(1)).expect("waited");
    assert_eq!(read(&ways).0, [1, 2]);
    assert_eq!(ways.own(), Some(own), "planners know it by that");
}

#[test]
fn a_planner_that_was_down_gets_the_first_letter_when_it_is_back() {
    let (planner, at) = socket();
    let ways = Ways::open(Ipv4Addr::LOCALHOST, &BTreeMap::from([(PlannerId(1), at)])).expect("sockets");
    drop(planner);
    for _ in 0..3 {
        ways.send(PlannerId(1), at, &[1]).expect("as good as sent");
    }
    let planner = UdpSocket::bind(at).expect("the same port");
    planner.set_read_timeout(Some(Duration::from_secs(5))).expect("a timeout");
    ways.send(PlannerId(1), at, &[7]).expect("sent");
    let mut bytes = [0; 8];
    assert_eq!(planner.recv(&mut bytes).map(|n| bytes[..n].to_vec()).expect("a letter"), [7]);
}
