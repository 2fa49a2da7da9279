//! Duplicate responses, and responses that are equal by nature.

use std::io::Read;

use granitelb_balancer::AttemptOutcome;

use crate::fixture::{Fixture, read_head, response, write};

/// The duplicate is on the wire before the next request's own response, however soon that one follows.
#[test]
fn late_duplicate_is_not_given_to_the_next_request() {
    for is_apart in [true, false] {
        let mut fixture = Fixture::new();
        let mut stream = fixture.connection_with_varied_responses();
        let first = fixture.send_read();
        read_head(&mut stream).expect("a request");
        write(&mut stream, &response("one"));
        assert_eq!(fixture.wait_for_outcome(first), AttemptOutcome::Fulfilled);
        assert_eq!(fixture.poll_final_response(first), Some(b"one".to_vec()));
        // It is the only connection, and was idle only for a moment.
        fixture.advance_ms(1);
        let second = fixture.send_read();
        read_head(&mut stream).expect("a request");
        if is_apart {
            write(&mut stream, &response("one"));
            fixture.wait_for_duplicate();
            fixture.advance_ms(3);
            write(&mut stream, &response("two"));
        } else {
            write(&mut stream, &format!("{}{}", response("one"), response("two")));
        }
        assert_eq!(fixture.wait_for_outcome(second), AttemptOutcome::Fulfilled);
        assert_eq!(fixture.poll_final_response(second), Some(b"two".to_vec()));
    }
}

/// Not only of the response just before: the connection may have carried more requests by then.
#[test]
fn duplicate_is_detected_after_another_request_on_its_connection() {
    let mut fixture = Fixture::new();
    let mut stream = fixture.connection_with_varied_responses();
    for body in ["one", "two", "three"] {
        let request = fixture.send_read();
        read_head(&mut stream).expect("a request");
        if body == "three" {
            write(&mut stream, &response("one"));
        }
        write(&mut stream, &response(body));
        assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::Fulfilled);
        assert_eq!(fixture.poll_final_response(request), Some(body.into()));
        fixture.advance_ms(2);
    }
}

/// Where an endpoint's responses are equal by nature, one request is forwarded again for it, and those after
/// it are served at once.
#[test]
fn uniform_responses_cost_one_more_attempt_and_no_more() {
    let mut fixture = Fixture::new();
    let mut stream = fixture.connection_with_varied_responses();
    let first = fixture.send_read();
    read_head(&mut stream).expect("a request");
    write(&mut stream, &response("ok"));
    assert_eq!(fixture.wait_for_outcome(first), AttemptOutcome::Fulfilled);
    assert_eq!(fixture.poll_final_response(first), Some(b"ok".to_vec()));
    let second = fixture.send_read();
    read_head(&mut stream).expect("a request");
    write(&mut stream, &response("ok"));
    fixture.wait_for_duplicate();
    fixture.advance_ms(300);
    assert_eq!(fixture.wait_for_outcome(second), AttemptOutcome::Errored);
    assert_eq!(fixture.poll_final_response(second), None);
    let third = fixture.send_read();
    let mut stream = fixture.accept();
    fixture.run_turn();
    read_head(&mut stream).expect("a request");
    write(&mut stream, &response("ok"));
    assert_eq!(fixture.wait_for_outcome(third), AttemptOutcome::Fulfilled);
    assert_eq!(fixture.poll_final_response(third), Some(b"ok".to_vec()));
    fixture.advance_ms(30);
    let fourth = fixture.send_read();
    read_head(&mut stream).expect("a request");
    write(&mut stream, &response("ok"));
    assert_eq!(fixture.wait_for_outcome(fourth), AttemptOutcome::Fulfilled);
    assert_eq!(fixture.poll_final_response(fourth), Some(b"ok".to_vec()));
}

/// Where each write is answered by the same word, none of them waits, whatever reads are answered.
#[test]
fn responses_that_never_differed_are_served_at_once() {
    let mut fixture = Fixture::new();
    let mut stream = fixture.connection_with_varied_responses();
    for _ in 0..6 {
        let (request, _) = fixture.send("PUT", b"value".to_vec());
        read_head(&mut stream).expect("a request");
        stream.read_exact(&mut [0; 5]).expect("a body");
        write(&mut stream, &response("ok"));
        assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::Fulfilled);
        assert_eq!(fixture.poll_final_response(request), Some(b"ok".to_vec()));
    }
}
