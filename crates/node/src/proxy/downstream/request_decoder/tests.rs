use granitelb_balancer::time::Span;
use granitelb_settings::Names;
use test_case::test_case;

use super::{DecodedRequest, RequestDecoder, RequestError};
use crate::http::{Headers, MessageHead, RequestTarget};

const CLIENT_TIMEOUT: Span = Span::from_millis(1200);
const ID: (&str, &str) = ("X-Request-ID", "r1");
const CLASS: (&str, &str) = ("X-Priority-Class", "read");
const KEY: (&str, &str) = ("Idempotency-Key", "\"k 1\"");

fn decode(headers: &[(&str, &str)]) -> Result<DecodedRequest, RequestError> {
    let names = Names { request_classes: vec!["read".into()], ..Names::default() };
    let decoder = RequestDecoder::new(names, vec![CLIENT_TIMEOUT]);
    let head = MessageHead {
        method: "GET".into(),
        target: RequestTarget::parse("/read/k").expect("a target"),
        headers: Headers::from_iter(headers.iter().copied()),
        ..MessageHead::default()
    };
    decoder.decode(&head)
}

fn decode_work(hint: &str) -> Option<Span> {
    let decoded = decode(&[("X-Request-ID", "r1"), ("X-Cost", hint), ("X-Timeout-Ms", "5")]);
    decoded.expect("a request of a known class").request.work
}

/// Guards against one hint that is far too large: the work that caches accept would seem to be huge, and caches
/// in warm-up would be granted any amount.
#[test_case("18446744073709551615")]
#[test_case("1200001")]
fn work_hint_is_limited_to_the_time_that_clients_wait(hint: &str) {
    assert_eq!(decode_work(hint), Some(CLIENT_TIMEOUT));
}

#[test_case("1200000", Some(Span(1_200_000)); "at the limit")]
#[test_case("0", Some(Span(0)); "no work")]
#[test_case("18446744073709551616", None; "too large to be parsed")]
#[test_case("-1", None; "negative")]
#[test_case("+1", None; "with a sign")]
#[test_case("1.5", None; "fraction")]
fn work_hint_is_taken_or_ignored(hint: &str, expected: Option<Span>) {
    assert_eq!(decode_work(hint), expected);
}

/// Guards against requests that hops could read differently: a header of the protocol that is repeated, in no valid
/// form, or named by `Connection`, so that a hop removes it.
#[test_case(&[] => Some(RequestError::InvalidRequestId); "no identifier")]
#[test_case(&[("X-Request-ID", "")] => Some(RequestError::InvalidRequestId); "empty identifier")]
#[test_case(&[("X-Request-ID", "a b")] => Some(RequestError::InvalidRequestId); "identifier with a space")]
#[test_case(&[("X-Request-ID", "a,b")] => Some(RequestError::InvalidRequestId); "list of identifiers")]
#[test_case(&[("X-Request-ID", "\u{e9}")] => Some(RequestError::InvalidRequestId); "identifier beyond ASCII")]
#[test_case(&[("X-Request-ID", "a"), ("x-request-id", "a")] => Some(RequestError::InvalidRequestId); "two identifiers")]
#[test_case(&[ID, ("X-Priority-Class", "write")] => Some(RequestError::AmbiguousClass); "other class")]
#[test_case(&[ID, CLASS, CLASS] => Some(RequestError::AmbiguousClass); "two classes")]
#[test_case(&[ID, ("X-Timeout-Ms", "+1000")] => Some(RequestError::InvalidTimeout); "timeout with a sign")]
#[test_case(&[ID, ("X-Timeout-Ms", "0")] => Some(RequestError::InvalidTimeout); "no time")]
#[test_case(&[ID, ("X-Timeout-Ms", "1.5")] => Some(RequestError::InvalidTimeout); "fraction of a millisecond")]
#[test_case(&[ID, ("X-Timeout-Ms", "1 0")] => Some(RequestError::InvalidTimeout); "timeout with a space")]
#[test_case(&[ID, ("X-Timeout-Ms", "\u{a0}10")] => Some(RequestError::InvalidTimeout); "timeout after a wide space")]
#[test_case(&[ID, ("X-Timeout-Ms", "")] => Some(RequestError::InvalidTimeout); "empty timeout")]
#[test_case(&[ID, ("X-Timeout-Ms", "5"), ("X-Timeout-Ms", "5")] => Some(RequestError::InvalidTimeout); "two timeouts")]
#[test_case(&[ID, ("Idempotency-Key", "")] => Some(RequestError::InvalidIdempotencyKey); "empty key")]
#[test_case(&[ID, KEY, KEY] => Some(RequestError::InvalidIdempotencyKey); "two keys")]
#[test_case(&[ID, ("X-Retried", "yes")] => Some(RequestError::InvalidRetryMark); "retry mark in words")]
#[test_case(&[ID, ("X-Retried", "1"), ("X-Retried", "0")] => Some(RequestError::InvalidRetryMark); "two retry marks")]
#[test_case(&[ID, ("X-Attrs", "a")] => Some(RequestError::InvalidAttributes); "attribute without a value")]
#[test_case(&[ID, ("X-Attrs", "=1")] => Some(RequestError::InvalidAttributes); "attribute without a name")]
#[test_case(&[ID, ("X-Attrs", "a=1,,b=2")] => Some(RequestError::InvalidAttributes); "empty attribute")]
#[test_case(&[ID, ("X-Attrs", "a=1,a=2")] => Some(RequestError::InvalidAttributes); "attribute with two values")]
#[test_case(&[ID, ("X-Attrs", "a=1"), ("X-Attrs", "b=2")] => Some(RequestError::InvalidAttributes); "two lists")]
#[test_case(&[ID, ("Connection", "X-Request-ID")] => Some(RequestError::ConnectionNamesEndToEndHeader); "identifier for one hop")]
#[test_case(&[ID, KEY, ("Connection", "close, idempotency-key")] => Some(RequestError::ConnectionNamesEndToEndHeader); "key for one hop")]
#[test_case(&[ID] => None; "identifier alone")]
#[test_case(&[("X-Request-ID", "0b8f-2c1e+/==;\"'")] => None; "identifier of any visible characters")]
#[test_case(&[ID, CLASS, KEY, ("X-Timeout-Ms", "00700"), ("X-Retried", "2")] => None; "all headers")]
#[test_case(&[ID, ("X-Attrs", "a=1.5, b=-2,c=x=y")] => None; "attributes")]
#[test_case(&[ID, ("X-Attrs", "")] => None; "no attributes")]
#[test_case(&[ID, ("X-Other", "a"), ("X-Other", ""), ("Connection", "x-other, TE")] => None; "headers that the protocol does not name")]
fn request_is_refused_if_hops_could_read_it_differently(headers: &[(&str, &str)]) -> Option<RequestError> {
    decode(headers).err()
}
