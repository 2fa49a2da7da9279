use granitelb_balancer::time::Span;
use granitelb_settings::Names;
use test_case::test_case;

use super::RequestDecoder;
use crate::http::MessageHead;

const CLIENT_TIMEOUT: Span = Span::from_millis(1200);

fn decode_work(hint: &str) -> Option<Span> {
    let names = Names { request_classes: vec!["read".into()], ..Names::default() };
    let decoder = RequestDecoder::new(names, vec![CLIENT_TIMEOUT]);
    let headers = [("X-Request-ID", "r1"), ("X-Cost", hint), ("X-Timeout-Ms", "5")];
    let headers = headers.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
    let head = MessageHead {
        method: "GET".into(),
        target: "/read/k".into(),
        headers: headers.into(),
        ..MessageHead::default()
    };
    let decoded = decoder.decode(&head).map(|decoded| decoded.request.work);
    decoded.expect("a request of a known class")
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
fn work_hint_is_taken_or_ignored(hint: &str, expected: Option<Span>) {
    assert_eq!(decode_work(hint), expected);
}
