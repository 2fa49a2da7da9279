//! Duplicate responses, and responses that are equal by nature.

use std::io::Read;

use granitelb_balancer::AttemptOutcome;

use crate::fixture::{Fixture, read_head, response, write};
use test_case::test_case;

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

/// An endpoint sheds a request, and its 503 is sent twice, the second time some milliseconds late. A request that must not
/// run twice is out on that connection by then: it takes the copy for its own answer, which says that nothing ran, and is
/// sent again although it runs. No byte tells the copy from an answer, and so the connection is not used for such a request
/// while a copy may still come. The same goes for the 404 of a cache miss, also where another answer came in between.
#[test_case("HTTP/1.1 503 Service Unavailable\r\nx-not-processed: 1\r\nContent-Length: 0\r\n\r\n", 503; "shed")]
#[test_case("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", 404; "cache miss")]
fn late_copy_of_a_denial_is_given_to_no_request_that_must_not_run_twice(denial: &str, status: u16) {
    for answers_between in [0, 1] {
        let mut fixture = Fixture::new();
        let mut stream = fixture.connection_with_varied_responses();
        let denied = fixture.send_read();
        read_head(&mut stream).expect("a request");
        write(&mut stream, denial);
        let outcome = if status == 404 { AttemptOutcome::CacheMiss } else { AttemptOutcome::Rejected };
        assert_eq!(fixture.wait_for_outcome(denied), outcome);
        for _ in 0..answers_between {
            fixture.advance_ms(25);
            let read = fixture.send_read();
            read_head(&mut stream).expect("a request");
            write(&mut stream, &response("between"));
            assert_eq!(fixture.wait_for_outcome(read), AttemptOutcome::Fulfilled);
            fixture.poll_final_response(read);
        }
        fixture.advance_ms(30);
        let once = fixture.send_non_idempotent();
        let mut other = fixture.accept();
        fixture.run_turn();
        read_head(&mut other).expect("a request");
        write(&mut stream, denial);
        write(&mut other, &response("done"));
        assert_eq!(fixture.wait_for_outcome(once), AttemptOutcome::Fulfilled);
        assert_eq!(fixture.poll_final_response(once), Some(b"done".to_vec()));
    }
}

/// Once no copy can come any more, and for all that may run twice, the connection serves on.
#[test]
fn connection_of_a_denial_serves_reads_at_once_and_all_requests_later() {
    let mut fixture = Fixture::new();
    let mut stream = fixture.connection_with_varied_responses();
    let denied = fixture.send_read();
    read_head(&mut stream).expect("a request");
    write(&mut stream, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(fixture.wait_for_outcome(denied), AttemptOutcome::CacheMiss);
    fixture.advance_ms(30);
    let read = fixture.send_read();
    read_head(&mut stream).expect("a request");
    write(&mut stream, &response("read"));
    assert_eq!(fixture.wait_for_outcome(read), AttemptOutcome::Fulfilled);
    fixture.poll_final_response(read);
    fixture.advance_ms(250);
    let once = fixture.send_non_idempotent();
    read_head(&mut stream).expect("a request");
    write(&mut stream, &response("done"));
    assert_eq!(fixture.wait_for_outcome(once), AttemptOutcome::Fulfilled);
}
