use granitelb_balancer::Request;
use granitelb_balancer::ids::{Key, RequestClassId};
use granitelb_balancer::time::Span;
use test_case::test_case;

use super::UnusualForm;
use crate::http::{Headers, MessageHead, RequestTarget};
use crate::proxy::client_request_id::ClientRequestId;
use crate::proxy::downstream::request_decoder::DecodedRequest;

fn names(path: &str, id: &str, work: Option<Span>, headers: &[(&str, &str)]) -> Vec<&'static str> {
    let head = MessageHead {
        target: RequestTarget::parse(path).expect("a target"),
        headers: Headers::from_iter(headers.iter().copied()),
        ..MessageHead::default()
    };
    let request = Request {
        request_class: RequestClassId(0),
        key: Key(0),
        client_timeout: Span::from_millis(1),
        work,
        write: false,
    };
    let client_request_id = ClientRequestId::parse(id).expect("an identifier");
    let decoded = DecodedRequest { request, client_request_id };
    UnusualForm::of(&head, &decoded).map(UnusualForm::name).collect()
}

/// Guards against accepted forms that no count shows, and against counts of what clients usually send.
#[test]
fn each_unusual_form_is_named() {
    let usual = [("Host", "service.internal:80"), ("X-Timeout-Ms", "480"), ("X-Cost", "5")];
    assert!(names("/read/7f3a", "9b1f-03_a.5:c", Some(Span(5)), &usual).is_empty());
    let unusual = [
        ("Host", "n:"),
        ("Content-Length", "00"),
        ("X-Timeout-Ms", "0480"),
        ("Upgrade", "h2c"),
        ("X-Cost", "1.5"),
    ];
    let expected = [
        "length-of-read",
        "leading-zeros",
        "empty-port",
        "encoded-slash",
        "ignored-upgrade",
        "unusual-request-id",
        "ignored-work-hint",
    ];
    assert_eq!(names("/read/a%2Fb", "\"q\"", None, &unusual), expected);
}

#[test_case("/read" => true)]
#[test_case("/read?k" => true)]
#[test_case("/read/k" => false)]
fn path_without_a_key_is_unusual(path: &str) -> bool {
    names(path, "r1", None, &[]) == ["no-key"]
}
