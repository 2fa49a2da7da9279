use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::time::Duration;

use granitelb_coordination::PlannerId;

use super::{MAX_DATAGRAMS_PER_SOCKET, ReadScope, Sockets};

/// The first byte of the flood's datagrams; planners send other values.
const FLOOD: u8 = 0;

fn socket() -> (UdpSocket, SocketAddrV4) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let Ok(SocketAddr::V4(address)) = socket.local_addr() else { panic!("an address") };
    (socket, address)
}

/// Reads all sockets, and returns the first bytes of planners' datagrams and the number of all datagrams.
fn read(sockets: &Sockets) -> (Vec<u8>, usize) {
    let mut from_planners = Vec::new();
    let mut count = 0;
    let on_datagram = |datagram: &[u8]| {
        count += 1;
        if datagram[0] != FLOOD {
            from_planners.push(datagram[0]);
        }
    };
    sockets.read(ReadScope::All, &mut [0; 64], on_datagram).expect("read");
    (from_planners, count)
}

#[test]
fn flood_from_other_addresses_does_not_displace_planner_messages() {
    let (planner_1, planner_2, flooder) = (socket(), socket(), socket());
    let planners = |addresses: &[(u8, SocketAddrV4)]| {
        addresses.iter().map(|(number, address)| (PlannerId(*number), *address)).collect()
    };
    let mut sockets = Sockets::open(Ipv4Addr::LOCALHOST, &planners(&[(1, planner_1.1)])).expect("sockets");
    let local = sockets.local_address().expect("an address");
    for _ in 0..5000 {
        flooder.0.send_to(&[FLOOD], local).expect("sent");
    }
    planner_1.0.send_to(&[1], local).expect("sent");
    // The second planner is not configured yet: its datagram goes to the common socket, whose buffer is full.
    planner_2.0.send_to(&[2], local).expect("sent");
    sockets.wait(Duration::from_secs(1)).expect("waited");
    assert_eq!(read(&sockets), (vec![1], 1 + MAX_DATAGRAMS_PER_SOCKET));
    sockets.set_planners(&planners(&[(1, planner_1.1), (2, planner_2.1)]));
    planner_2.0.send_to(&[2], local).expect("sent");
    planner_1.0.send_to(&[1], local).expect("sent");
    sockets.wait(Duration::from_secs(1)).expect("waited");
    assert_eq!(read(&sockets).0, [1, 2]);
    assert_eq!(sockets.local_address(), Some(local), "planners know the agent by this address");
}

#[test]
fn first_message_to_a_restarted_planner_is_delivered() {
    let (planner, address) = socket();
    let sockets =
        Sockets::open(Ipv4Addr::LOCALHOST, &BTreeMap::from([(PlannerId(1), address)])).expect("sockets");
    drop(planner);
    for _ in 0..3 {
        sockets.send(PlannerId(1), address, &[1]).expect("a planner that is down is no error");
    }
    let planner = UdpSocket::bind(address).expect("the same port");
    planner.set_read_timeout(Some(Duration::from_secs(5))).expect("a timeout");
    sockets.send(PlannerId(1), address, &[7]).expect("sent");
    let mut buffer = [0; 8];
    let received = planner.recv(&mut buffer).map(|length| buffer[..length].to_vec()).expect("a datagram");
    assert_eq!(received, [7]);
}
