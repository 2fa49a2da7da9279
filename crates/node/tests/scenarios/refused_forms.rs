//! Requests in forms that no client sends, in each state of the node.

use test_case::test_case;

use crate::harness::Harness;

/// The usual headers of a read, without its identifier and of a write to `once`.
const READ: &str = "Host:\\sn\\r\\nX-Priority-Class:\\sread\\r\\nX-Timeout-Ms:\\s1200\\r\\n";
const WRITE: &str = "Host:\\sn\\r\\nX-Priority-Class:\\sonce\\r\\nX-Timeout-Ms:\\s1200\\r\\n";

/// The forms: start line, usual headers, what is unusual, and the status of the response.
const FORMS: [(&str, &str, &str, u16); 20] = [
    ("GET\\s/read/k", READ, "X-Cost:\\s-5\\r\\n\\r\\n", 400),
    ("GET\\s/read/k", READ, "X-Cost:\\smany\\r\\n\\r\\n", 400),
    ("GET\\s/read/k", READ, "X-Retried:\\s2\\r\\n\\r\\n", 400),
    ("GET\\s/read/k", READ, "X-Timeout-Ms:\\s5\\r\\n\\r\\n", 400),
    ("GET\\s/read/k", READ, "X-Request-ID:\\sother\\r\\n\\r\\n", 400),
    ("GET\\s/read/k", READ, "TE:\\schunked\\r\\n\\r\\n", 400),
    ("GET\\s/read/k", READ, "Expect:\\smore\\r\\n\\r\\n", 417),
    ("GET\\s/read/k", READ, "Content-Length:\\s2\\r\\n\\r\\nok", 400),
    ("GET\\s/read/k", READ, "Connection:\\sx-request-id\\r\\n\\r\\n", 400),
    ("GET\\s/read/", READ, "\\r\\n", 400),
    ("GET\\s/read/%00", READ, "\\r\\n", 400),
    ("GET\\s/read/%zz", READ, "\\r\\n", 400),
    ("GET\\s/nothing/k", READ, "\\r\\n", 404),
    ("GET\\s/once/k", READ, "\\r\\n", 400),
    ("POST\\s/read/k", READ, "\\r\\n", 405),
    ("GET\\s/read/k", "Host:\\sn\\r\\nX-Timeout-Ms:\\s1200\\r\\n", "\\r\\n", 400),
    ("PUT\\s/once/k", WRITE, "\\r\\n", 411),
    ("PUT\\s/once/k", WRITE, "Content-Length:\\s60000000\\r\\n\\r\\n", 413),
    ("PUT\\s/once/k", WRITE, "Content-Length:\\s1\\r\\nTransfer-Encoding:\\schunked\\r\\n\\r\\n", 400),
    ("PUT\\s/once/k", WRITE, "Content-Length:\\s1\\r\\nContent-Length:\\s1\\r\\n\\r\\nx", 400),
];
const HEALTH_CHECK: &str = "GET\\s/health/live\\sHTTP/1.1\\r\\nHost:\\sn\\r\\n\\r\\n";
/// The number of requests before a refused one that is late on its connection.
const EARLIER_REQUESTS: usize = 49;

/// What happens while the requests are sent.
#[derive(Clone, Copy, Debug)]
enum State {
    Calm,
    /// A read is in progress that no cache answers.
    HungCaches,
    /// As many requests are pending as the node can serve.
    Overload,
    /// The configuration is read again before each request.
    Reloads,
    /// After the stop signal, with a request in progress.
    Stopping,
    /// The request stands behind many others on its connection.
    LateOnConnection,
}

fn begin(harness: &mut Harness, state: State) {
    let lines: &[&str] = match state {
        State::HungCaches => &["request h1 read k1 id=h1 timeout=9000", "attempt any h1 left=9000"],
        State::Overload => &["request-clients 60"],
        State::Stopping => {
            &["request s1 read k1 id=s1 timeout=9000", "attempt any s1 left=9000", "stop", "wait 20"]
        }
        State::Calm | State::Reloads | State::LateOnConnection => &[],
    };
    for line in lines {
        harness.run(line);
    }
}

/// Guards against a request that is served, or not answered, in one state of the node though it is refused in another.
#[test_case(State::Calm)]
#[test_case(State::HungCaches)]
#[test_case(State::Overload)]
#[test_case(State::Reloads)]
#[test_case(State::Stopping)]
#[test_case(State::LateOnConnection)]
fn forms_that_no_client_sends_are_refused(state: State) {
    let mut harness = Harness::new();
    let times = "settings Products.0.LatencySloUs=10000000 Products.0.ClientTimeoutUs=10000000";
    for line in ["limits sockets=150", times, "start", "watch", "list a b origin"] {
        harness.run(line);
    }
    begin(&mut harness, state);
    let earlier = if matches!(state, State::LateOnConnection) { EARLIER_REQUESTS } else { 0 };
    for (number, (start, headers, rest, _)) in FORMS.iter().enumerate() {
        if matches!(state, State::Reloads) {
            harness.run(&format!("reload settings.Products.1.LatencySloUs={}", 600_000 + number));
        }
        let request = format!("{start}\\sHTTP/1.1\\r\\n{headers}X-Request-ID:\\sform{number}\\r\\n{rest}");
        harness.run(&format!("send c{number} {}{request}", HEALTH_CHECK.repeat(earlier)));
    }
    for (number, (.., status)) in FORMS.iter().enumerate() {
        for _ in 0..earlier {
            harness.run(&format!("response c{number} 200"));
        }
        harness.run(&format!("response c{number} {status}"));
    }
    assert_eq!(harness.count_attempts("form"), 0, "{state:?}");
}
