use granitelb_balancer::time::Span;
use test_case::test_case;

use super::{DecodedRequest, RequestClassTerms, RequestDecoder, RequestError};
use crate::http::{Headers, MessageHead, RequestTarget};

const CLIENT_TIMEOUT: Span = Span::from_millis(1200);
const ID: (&str, &str) = ("X-Request-ID", "r1");
const CLASS: (&str, &str) = ("X-Priority-Class", "read");
const TIMEOUT: (&str, &str) = ("X-Timeout-Ms", "700");
const KEY: (&str, &str) = ("Idempotency-Key", "\"k 1\"");

fn decode_request(
    method: &str,
    class: &str,
    headers: &[(&str, &str)],
) -> Result<DecodedRequest, RequestError> {
    let terms = |name: &str, is_keyed| RequestClassTerms {
        name: name.into(),
        client_timeout: CLIENT_TIMEOUT,
        is_keyed,
    };
    let decoder = RequestDecoder::new(vec![terms("read", false), terms("post", true)]);
    let head = MessageHead {
        method: method.into(),
        target: RequestTarget::parse(&format!("/{class}/k")).expect("a target"),
        headers: Headers::from_iter(headers.iter().copied()),
        ..MessageHead::default()
    };
    decoder.decode(&head)
}

/// Decodes a read with these headers. A class and a timeout are added where there is none.
fn decode(headers: &[(&str, &str)]) -> Result<DecodedRequest, RequestError> {
    let has = |name: &str| headers.iter().any(|(other, _)| *other == name);
    let added = [CLASS, TIMEOUT].into_iter().filter(|(name, _)| !has(name));
    let headers: Vec<_> = headers.iter().copied().chain(added).collect();
    decode_request("GET", "read", &headers)
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
#[test_case(&[ID, ("X-Timeout-Ms", "86400001")] => Some(RequestError::InvalidTimeout); "more than a day")]
#[test_case(&[ID, ("X-Timeout-Ms", "1000000000000000000")] => Some(RequestError::InvalidTimeout); "timeout of ages")]
#[test_case(&[ID, ("X-Cost", "-1")] => Some(RequestError::InvalidWorkHint); "negative work")]
#[test_case(&[ID, ("X-Cost", "+1")] => Some(RequestError::InvalidWorkHint); "work with a sign")]
#[test_case(&[ID, ("X-Cost", "nan")] => Some(RequestError::InvalidWorkHint); "work that is no number")]
#[test_case(&[ID, ("X-Cost", "much")] => Some(RequestError::InvalidWorkHint); "work in words")]
#[test_case(&[ID, ("X-Cost", "")] => Some(RequestError::InvalidWorkHint); "empty work")]
#[test_case(&[ID, ("X-Cost", "1.")] => Some(RequestError::InvalidWorkHint); "work with half a fraction")]
#[test_case(&[ID, ("X-Cost", "1"), ("X-Cost", "1")] => Some(RequestError::InvalidWorkHint); "work twice")]
#[test_case(&[ID, ("X-Retried", "2")] => Some(RequestError::InvalidRetryMark); "other retry mark")]
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
#[test_case(&[ID, CLASS, KEY, ("X-Timeout-Ms", "00700"), ("X-Retried", "1"), ("X-Cost", "5")] => None; "all headers")]
#[test_case(&[ID, ("X-Attrs", "a=1.5, b=-2,c=x=y")] => None; "attributes")]
#[test_case(&[ID, ("X-Attrs", "")] => None; "no attributes")]
#[test_case(&[ID, ("X-Other", "a"), ("X-Other", ""), ("Connection", "x-other, TE")] => None; "headers that the protocol does not name")]
fn request_is_refused_if_hops_could_read_it_differently(headers: &[(&str, &str)]) -> Option<RequestError> {
    decode(headers).err()
}

/// Guards against requests without what the protocol has every client send.
#[test_case("GET", "read", &[ID, TIMEOUT] => Some(RequestError::MissingClass); "no class")]
#[test_case("GET", "read", &[ID, CLASS] => Some(RequestError::MissingTimeout); "no timeout")]
#[test_case("PUT", "post", &[ID, TIMEOUT, ("X-Priority-Class", "post")] => Some(RequestError::MissingIdempotencyKey); "keyed write without a key")]
#[test_case("PUT", "post", &[ID, TIMEOUT, KEY, ("X-Priority-Class", "post")] => None; "keyed write")]
#[test_case("GET", "post", &[ID, TIMEOUT, ("X-Priority-Class", "post")] => None; "read of a keyed class")]
#[test_case("PUT", "read", &[ID, TIMEOUT, CLASS] => None; "write of another class")]
#[test_case("PUT", "read", &[ID, TIMEOUT, CLASS, KEY] => None; "write of another class with a key")]
fn request_is_refused_without_what_every_client_sends(
    method: &str,
    class: &str,
    headers: &[(&str, &str)],
) -> Option<RequestError> {
    decode_request(method, class, headers).err()
}

/// Guards against identifiers of any length, which all maps and logs would carry.
#[test_case(256 => true)]
#[test_case(257 => false)]
fn identifier_has_a_bounded_length(length: usize) -> bool {
    decode(&[("X-Request-ID", &"x".repeat(length))]).is_ok()
}
