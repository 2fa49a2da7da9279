//! Runs the node's scenarios: text files of commands, run against the program itself with scripted clients,
//! endpoints and a discovery on loopback, or against the parser alone.
//!
//! Commands are run in order; each waits for the event that it names. Before `start`:
//!
//! - `settings K=JSON ...`, `limits sockets=N`: sets keys of the configuration; a dot separates nested keys.
//! - `known NAME ...`: sets the endpoint list that the node has at the start.
//!
//! Discovery. An endpoint's name may have `:STATE`, `@BOOT_MS` (or `@now-MS`) and `~ZONE#CELL` (nothing after
//! `#`: no cell) after it, and `=OTHER` before these for an endpoint at the address of another; `?` is an
//! invalid entry.
//!
//! - `watch-request [after=N] [within=MS]`: the node requests the watch, at most MS milliseconds after the
//!   last line was sent or the last request was taken; `while=trickle` or `while=heartbeats` writes an
//!   incomplete line, or empty lines, on the former watch meanwhile.
//! - `accept-watch`: answers the watch request with a head. `watch`: `watch-request`, then `accept-watch`.
//!   `interim-response`: answers with a status of 103.
//! - `watch-pending MS`: for this time the node keeps its watch request open and makes no other one.
//!   `refuse-watch`: answers a watch request with 503.
//! - `close-watch`, `silence-watch`: ends the watch, or sends nothing more on it.
//! - `list NAME ...`, `change NAME ...`: sends the complete list, or changes. `change-over-lines`,
//!   `change-indented`: sends changes over several lines. `partial-change`: sends the first half
//!   of a change. `set-revision N`: the next list follows revision N.
//! - `heartbeat`, `malformed-list`, `cut-off-list`: sends an empty line, an invalid list, or only the start
//!   of a list.
//! - `move-discovery`: the next configuration names another address. `former-change NAME ...`,
//!   `former-closed`: sends changes on the former watch; waits until the node has closed the former watch.
//!
//! Clients.
//!
//! - `request CLIENT CLASS KEY id=ID [timeout=MS] [put=BODY] [close]`, `send CLIENT TEXT`: writes a request,
//!   or any text.
//! - `requests CLIENT CLASS COUNT id=PREFIX [timeout=MS] [bytes=LENGTH]`: writes requests at once, with
//!   bodies of a length.
//! - `disconnect`, `reset-client`, `half-close CLIENT`: closes, resets, or closes for writing.
//! - `stop-reading CLIENT`, `resume-reading CLIENT`: connects with a small buffer and reads nothing until
//!   resumed.
//! - `response CLIENT STATUS [body=TEXT] [+ HEADER: VALUE]`, `client-closed CLIENT`, `client-open CLIENT`:
//!   checks the response, or whether the node has closed the client's connection.
//! - `idle-clients N`, `partial-clients N`, `health-clients N`, `request-clients N`: clients connect and send
//!   nothing, part of a request, a health check, a request each; they are named `idle0`, `partial0`,
//!   `health0`, `crowd0` and so on.
//!
//! Endpoints. An upper-case name stands for the endpoint at which the first attempt under this name arrives,
//! `any` for any endpoint.
//!
//! - `attempt ENDPOINT ID [put=BODY] [left=MS] [target=TARGET]`: an attempt arrives, with at most MS milliseconds
//!   left and this target.
//! - `reply ID STATUS [body=TEXT] [+ HEADER: VALUE]`, `reply-part ID TEXT`: answers the attempt,
//!   or writes a part of the answer.
//! - `reset-attempt ID`, `close-attempt ID`: ends the attempt's connection. `attempt-closed ID`: the node has
//!   ended the attempt's connection.
//! - `connection-count ENDPOINT N`: checks the number of connections that the endpoint has accepted so far.
//! - `kill ENDPOINT`, `block ENDPOINT`, `unblock ENDPOINT` (the last two also
//!   `discovery`): connections are refused, left without an answer, or accepted again.
//!
//! The program and time.
//!
//! - `start`, `stop`, `exits [within=MS]` (after the stop signal), `freeze`, `resume`, `reload [K=JSON ...]`, `limit-descriptors N`.
//! - `logged TIMES TEXT ...`: so many lines of the node's log contain all of the texts.
//! - `peak-memory MB`: the node has used at most so much memory since it was started.
//! - `low-cpu MS`: the node uses less than a third of a core. `quiet MS`: no attempt arrives and no client
//!   receives anything or is disconnected. `wait MS`: lets time pass.
//!
//! Without a process.
//!
//! - `invalid KEY JSON says KEY`: checks that a configuration is refused.
//! - `report TEXT [says NAME=VALUE ...]`: parses a load report.
//! - `attempt-end REASON partly-written|fully-written OUTCOME`: checks the outcome of an attempt whose
//!   connection was closed.
//! - `decode request|response TEXT` and the expected messages as `> ...`: decodes a text at once, byte by
//!   byte, and split at each position.

mod connection;
mod crowds;
mod disconnects;
mod harness;
mod in_process;
mod notation;
mod refused_forms;
mod sound_requests;

use harness::Harness;
use test_case::test_case;

#[test_case(include_str!("address-takeover.txt"); "address_takeover")]
#[test_case(include_str!("attempt-ends.txt"); "attempt_ends")]
#[test_case(include_str!("configuration.txt"); "configuration")]
#[test_case(include_str!("connect-timeout.txt"); "connect_timeout")]
#[test_case(include_str!("copied-id-of-open-read.txt"); "copied_id_of_open_read")]
#[test_case(include_str!("copied-id-of-waiting-request.txt"); "copied_id_of_waiting_request")]
#[test_case(include_str!("crowd-of-incomplete-requests.txt"); "crowd_of_incomplete_requests")]
#[test_case(include_str!("delayed-connect-removed-endpoint.txt"); "delayed_connect_removed_endpoint")]
#[test_case(include_str!("delayed-connect.txt"); "delayed_connect")]
#[test_case(include_str!("descriptors-exhausted.txt"); "descriptors_exhausted")]
#[test_case(include_str!("descriptors.txt"); "descriptors")]
#[test_case(include_str!("disconnect-before-connect.txt"); "disconnect_before_connect")]
#[test_case(include_str!("disconnect-while-connecting.txt"); "disconnect_while_connecting")]
#[test_case(include_str!("disconnect-with-request.txt"); "disconnect_with_request")]
#[test_case(include_str!("discovery-moved-and-refused.txt"); "discovery_moved_and_refused")]
#[test_case(include_str!("drained-while-connecting.txt"); "drained_while_connecting")]
#[test_case(include_str!("draining.txt"); "draining")]
#[test_case(include_str!("duplicate-response.txt"); "duplicate_response")]
#[test_case(include_str!("endless-requests.txt"); "endless_requests")]
#[test_case(include_str!("excess-client-input.txt"); "excess_client_input")]
#[test_case(include_str!("excess-input-and-disconnect.txt"); "excess_input_and_disconnect")]
#[test_case(include_str!("final-read-on-eviction.txt"); "final_read_on_eviction")]
#[test_case(include_str!("final-read-on-timeout.txt"); "final_read_on_timeout")]
#[test_case(include_str!("incomplete-list.txt"); "incomplete_list")]
#[test_case(include_str!("incomplete-requests.txt"); "incomplete_requests")]
#[test_case(include_str!("load-reports.txt"); "load_reports")]
#[test_case(include_str!("malformed-requests.txt"); "malformed_requests")]
#[test_case(include_str!("outcomes.txt"); "outcomes")]
#[test_case(include_str!("overload-memory.txt"); "overload_memory")]
#[test_case(include_str!("overload.txt"); "overload")]
#[test_case(include_str!("parsers.txt"); "parsers")]
#[test_case(include_str!("partial-response-while-idle.txt"); "partial_response_while_idle")]
#[test_case(include_str!("pipelined-behind-rejection.txt"); "pipelined_behind_rejection")]
#[test_case(include_str!("pipelined-excess.txt"); "pipelined_excess")]
#[test_case(include_str!("pipelined-incomplete.txt"); "pipelined_incomplete")]
#[test_case(include_str!("pipelined-then-disconnect.txt"); "pipelined_then_disconnect")]
#[test_case(include_str!("pipelined-then-disconnect-while-frozen.txt"); "pipelined_then_disconnect_while_frozen")]
#[test_case(include_str!("pipelined-times.txt"); "pipelined_times")]
#[test_case(include_str!("pushed-list.txt"); "pushed_list")]
#[test_case(include_str!("refused.txt"); "refused")]
#[test_case(include_str!("reload.txt"); "reload")]
#[test_case(include_str!("rejections-in-the-log.txt"); "rejections_in_the_log")]
#[test_case(include_str!("replaced-process.txt"); "replaced_process")]
#[test_case(include_str!("reset-after-response.txt"); "reset_after_response")]
#[test_case(include_str!("responses.txt"); "responses")]
#[test_case(include_str!("returning-ids.txt"); "returning_ids")]
#[test_case(include_str!("settings-change-refused.txt"); "settings_change_refused")]
#[test_case(include_str!("settings-change.txt"); "settings_change")]
#[test_case(include_str!("shutdown-idle-later.txt"); "shutdown_idle_later")]
#[test_case(include_str!("shutdown-idle.txt"); "shutdown_idle")]
#[test_case(include_str!("shutdown-late-request.txt"); "shutdown_late_request")]
#[test_case(include_str!("shutdown-long-timeout.txt"); "shutdown_long_timeout")]
#[test_case(include_str!("shutdown-pipelined-hang.txt"); "shutdown_pipelined_hang")]
#[test_case(include_str!("shutdown-pipelined.txt"); "shutdown_pipelined")]
#[test_case(include_str!("shutdown-suspended.txt"); "shutdown_suspended")]
#[test_case(include_str!("shutdown-unread-response.txt"); "shutdown_unread_response")]
#[test_case(include_str!("shutdown.txt"); "shutdown")]
#[test_case(include_str!("silent-endpoint.txt"); "silent_endpoint")]
#[test_case(include_str!("silent-watch.txt"); "silent_watch")]
#[test_case(include_str!("single-response.txt"); "single_response")]
#[test_case(include_str!("slow-start.txt"); "slow_start")]
#[test_case(include_str!("stable-placement.txt"); "stable_placement")]
#[test_case(include_str!("unnamed-zones.txt"); "unnamed_zones")]
#[test_case(include_str!("unread-request-comes-again.txt"); "unread_request_comes_again")]
#[test_case(include_str!("unsound-between-requests.txt"); "unsound_between_requests")]
#[test_case(include_str!("unsound-messages.txt"); "unsound_messages")]
#[test_case(include_str!("unusual-messages.txt"); "unusual_messages")]
#[test_case(include_str!("unreachable-discovery.txt"); "unreachable_discovery")]
#[test_case(include_str!("used-ids.txt"); "used_ids")]
#[test_case(include_str!("used-ids-under-overload.txt"); "used_ids_under_overload")]
#[test_case(include_str!("used-ids-unforwarded.txt"); "used_ids_unforwarded")]
#[test_case(include_str!("watch-cut-off-list.txt"); "watch_cut_off_list")]
#[test_case(include_str!("watch-first-heartbeat.txt"); "watch_first_heartbeat")]
#[test_case(include_str!("watch-interim-response.txt"); "watch_interim_response")]
#[test_case(include_str!("watch-moved-while-refused.txt"); "watch_moved_while_refused")]
#[test_case(include_str!("watch-multi-line-list.txt"); "watch_multi_line_list")]
#[test_case(include_str!("watch-replaced-endpoint.txt"); "watch_replaced_endpoint")]
#[test_case(include_str!("watch-slow-answer.txt"); "watch_slow_answer")]
#[test_case(include_str!("watch-stale-list.txt"); "watch_stale_list")]
#[test_case(include_str!("watch-trickle.txt"); "watch_trickle")]
#[test_case(include_str!("watch-unanswered.txt"); "watch_unanswered")]
#[test_case(include_str!("watch.txt"); "watch")]
fn run_scenario(text: &str) {
    let mut harness = None;
    let lines: Vec<_> =
        text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#')).collect();
    for (index, line) in lines.iter().enumerate() {
        if let Some(arguments) = line.strip_prefix("decode ") {
            let expected = lines[index + 1..].iter().map_while(|line| line.strip_prefix("> "));
            in_process::check_decoder(arguments, &expected.collect::<Vec<_>>());
        } else if !line.starts_with("> ") {
            harness.get_or_insert_with(Harness::new).run(line);
        }
    }
}
