//! Data that endpoints send before the request is complete, and incomplete responses.

use std::io::Read;

use granitelb_balancer::AttemptOutcome;
use rustix::net::Shutdown;

use crate::fixture::{Fixture, read_head, reset, response, write};

/// The length of a body that does not fit into the buffers of the sockets, in bytes.
const LONG_BODY_BYTES: usize = 16 << 20;

fn long_body() -> Vec<u8> {
    vec![b'v'; LONG_BODY_BYTES]
}

/// Once the end of a connection has arrived, nothing more of a request is written to it. A request that must
/// not be executed twice may then be sent to another endpoint.
#[test]
fn request_is_not_written_to_a_connection_that_its_endpoint_has_closed() {
    let mut fixture = Fixture::new();
    let (request, _) = fixture.send("PUT", b"value".to_vec());
    drop(fixture.accept());
    assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::Unreachable);

    // The rest of a request that was started is not written either.
    let mut fixture = Fixture::new();
    let (request, _) = fixture.send("PUT", long_body());
    let stream = fixture.accept();
    fixture.run_turn();
    rustix::net::shutdown(&stream, Shutdown::Write).expect("a connection");
    assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::Unreachable);
}

/// A response that arrived before the request was written, or before its last byte was written, answers
/// another request and must reach no client.
#[test]
fn response_before_the_complete_request_is_given_to_nobody() {
    let mut fixture = Fixture::new();
    let request = fixture.send_read();
    let mut stream = fixture.accept();
    write(&mut stream, &response("stale"));
    assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::Unreachable);
    assert_eq!(fixture.poll_final_response(request), None);
    assert_eq!(read_head(&mut stream), None);

    let mut fixture = Fixture::new();
    let (request, _) = fixture.send("PUT", long_body());
    let mut stream = fixture.accept();
    fixture.run_turn();
    read_head(&mut stream).expect("a request");
    write(&mut stream, &response("stale"));
    assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::Unreachable);
    assert_eq!(fixture.poll_final_response(request), None);

    // The first bytes of this response arrive before the end of the request and the rest after it. The
    // endpoint may have executed the request by then, so the outcome is `Errored`.
    let mut fixture = Fixture::new();
    let (request, _) = fixture.send("PUT", long_body());
    let mut stream = fixture.accept();
    fixture.run_turn();
    read_head(&mut stream).expect("a request");
    let stale = response("stale");
    write(&mut stream, &stale[..20]);
    fixture.wait_until_read();
    let endpoint = std::thread::spawn(move || {
        stream.read_exact(&mut vec![0; LONG_BODY_BYTES]).expect("a body");
        write(&mut stream, &stale[20..]);
        stream
    });
    assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::Errored);
    assert_eq!(fixture.poll_final_response(request), None);
    drop(endpoint.join());
}

/// An interim response precedes the response and may arrive at any time. It must not count as early data,
/// which would fail the attempt.
#[test]
fn interim_response_may_arrive_before_the_request_is_written() {
    let mut fixture = Fixture::new();
    let (request, _) = fixture.send("PUT", long_body());
    let mut stream = fixture.accept();
    fixture.run_turn();
    read_head(&mut stream).expect("a request");
    write(&mut stream, "HTTP/1.1 100 Continue\r\n\r\n");
    fixture.wait_until_read();
    let endpoint = std::thread::spawn(move || {
        stream.read_exact(&mut vec![0; LONG_BODY_BYTES]).expect("a body");
        write(&mut stream, &response("done"));
        stream
    });
    assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::Fulfilled);
    assert_eq!(fixture.poll_final_response(request), Some(b"done".to_vec()));
    drop(endpoint.join());
}

/// An endpoint may reject a request before it has received the request: nothing was executed. The response is
/// accepted although it arrives early.
#[test]
fn rejection_may_arrive_before_the_request_is_written() {
    let mut fixture = Fixture::new();
    let request = fixture.send_read();
    let mut stream = fixture.accept();
    write(&mut stream, "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::Rejected);
    assert_eq!(read_head(&mut stream), None);
}

/// Only the orderly end of a connection completes a response without a length. No end completes a response
/// that announces its length, or a chunked one.
#[test]
fn reset_or_early_end_completes_no_response() {
    let start = "HTTP/1.1 200 OK\r\n";
    let cases = [
        ("\r\nall", false, AttemptOutcome::Fulfilled),
        ("\r\nall", true, AttemptOutcome::Reset),
        ("\r\n", true, AttemptOutcome::Reset),
        ("Content-Length: 4\r\n\r\nall", false, AttemptOutcome::Reset),
        ("Transfer-Encoding: chunked\r\n\r\n3\r\nall\r\n", false, AttemptOutcome::Reset),
        ("Transfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n", false, AttemptOutcome::Reset),
        ("Content-Le", false, AttemptOutcome::Reset),
    ];
    for (rest, is_reset, expected) in cases {
        let mut fixture = Fixture::new();
        let request = fixture.send_read();
        let mut stream = fixture.accept();
        fixture.run_turn();
        read_head(&mut stream).expect("a request");
        write(&mut stream, &format!("{start}{rest}"));
        fixture.run_turn();
        if is_reset {
            reset(stream);
        } else {
            drop(stream);
        }
        assert_eq!(fixture.wait_for_outcome(request), expected, "{rest:?}, reset: {is_reset}");
        let is_served = expected == AttemptOutcome::Fulfilled;
        let body = fixture.poll_final_response(request);
        assert_eq!(body, is_served.then_some(b"all".to_vec()), "{rest:?}, reset: {is_reset}");
    }
}
