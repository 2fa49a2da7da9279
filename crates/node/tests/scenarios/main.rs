//! Plays the node's scenarios: text files in a notation of our own, on the program itself with a few scripted
//! clients, caches and a discovery on loopback, or on the readers alone.
//!
//! Before `start`: `settings K=JSON ...` (keys of the settings, a dot goes deeper), `limits sockets=N`,
//! `known NAME ...`. Then, in order, each line waiting for what it names:
//!
//! `watched [after=N] [within=MS]` the node asks for the list, so soon after the last line; `list NAME ...`, `change NAME ...` tell it, a name may carry
//! `:STATE`, `@BOOT_MS` (`@now-MS`) and `~ZONE#CELL` (nothing: none is told), and before them `=OTHER`, at whose address it is; `beat`, `garble` send an empty line and one that is no list; `unlisted` refuses,
//! `unwatched` ends the watch; `called` is `watched` with no answer yet, and `while=drips` or `while=beats` goes on writing what is no whole line,
//! or empty lines, on the watch before; `hints` answers that one is on its way, `heads` with a head alone; `waits MS` the call is left open and no other
//! made; `spread NAME ...` is `change` over lines as in the protocol's examples, `half NAME ...` the first half of it; `back-to N` the next list follows revision N. `reload [K=JSON ...]` changes the configuration's file and has it read again; with
//! `move-discovery` it names another address from the next time on, and `former-change NAME ...`, `former-ended` are as
//! before on the watch at the last one; so they are after `silenced`, by which nothing more is said on the watch. `call CLIENT PRODUCT KEY id=ID [timeout=MS] [put=BODY] [close]`, `send CLIENT TEXT`
//! write; `leave CLIENT` closes, `tear CLIENT` resets, `half-close CLIENT` ends its sending; `withhold CLIENT` is one that reads nothing, with little room for it,
//! until `read-on CLIENT`. `calm MS` the node hardly uses its core. `shot CACHE ID [put=BODY] [left=MS]` a shot arrives, with no more time told than that, an upper-case name standing for
//! whichever cache it is first seen at, `any` for any; `reply ID STATUS [body=TEXT] [HEADER: VALUE]`, `part ID TEXT`, `reset ID`
//! act on its connection, `cut ID` sees it ended. `answer CLIENT STATUS [body=TEXT]`, `ended CLIENT`, `kept CLIENT`
//! (still open). `opened CACHE N` counts the connections made so far. `quiet MS` nothing happens; `wait MS`.
//! `die CACHE`, `deaf CACHE` (what knocks hears nothing; also `discovery`), `hear CACHE`; `idle N`, `halves N`, `asked N`, `crowd N` clients come,
//! with nothing, half a message, a question that is no call, a call each; `starve N` the system gives the node no more than N descriptors; `stop`, `exits`, `freeze`, `thaw`. `faulty KEY JSON says KEY` checks a configuration, `report TEXT [says NAME=FIGURE ...]` reads a load report, `fate END half|whole OUTCOME` what
//! the module hears of a shot whose connection ended like that, written to its end or not.
//!
//! `read SIDE TEXT` and the pieces that follow as `> ...` try a reader: whole, byte by byte, and cut everywhere.

mod connection;
mod in_process;
mod notation;
mod stage;

use stage::Stage;
use test_case::test_case;

#[test_case(include_str!("answers.txt"); "answers")]
#[test_case(include_str!("bad-input.txt"); "bad_input")]
#[test_case(include_str!("cold.txt"); "cold")]
#[test_case(include_str!("configuration.txt"); "configuration")]
#[test_case(include_str!("crowd.txt"); "crowd")]
#[test_case(include_str!("crowd-memory.txt"); "crowd_memory")]
#[test_case(include_str!("deaf-discovery.txt"); "deaf_discovery")]
#[test_case(include_str!("descriptors.txt"); "descriptors")]
#[test_case(include_str!("drained-early.txt"); "drained_early")]
#[test_case(include_str!("drains.txt"); "drains")]
#[test_case(include_str!("wrong-list.txt"); "wrong list")]
#[test_case(include_str!("attempt-ends.txt"); "attempt_ends")]
#[test_case(include_str!("gone-as-it-came-up.txt"); "gone_as_it_came_up")]
#[test_case(include_str!("gone-with-call.txt"); "gone_with_call")]
#[test_case(include_str!("half-answer.txt"); "half_answer")]
#[test_case(include_str!("junk.txt"); "junk")]
#[test_case(include_str!("moved-and-refused.txt"); "moved_and_refused")]
#[test_case(include_str!("never-sent.txt"); "never_sent")]
#[test_case(include_str!("never-up.txt"); "never_up")]
#[test_case(include_str!("one-answer.txt"); "one_answer")]
#[test_case(include_str!("outcomes.txt"); "outcomes")]
#[test_case(include_str!("parsers.txt"); "parsers")]
#[test_case(include_str!("pipelined-times.txt"); "pipelined_times")]
#[test_case(include_str!("refused.txt"); "refused")]
#[test_case(include_str!("late-up.txt"); "late_up")]
#[test_case(include_str!("late-up-gone.txt"); "late_up_gone")]
#[test_case(include_str!("last-look.txt"); "last_look")]
#[test_case(include_str!("last-look-crowd.txt"); "last_look_crowd")]
#[test_case(include_str!("load-reports.txt"); "load_reports")]
#[test_case(include_str!("migrate.txt"); "migrate")]
#[test_case(include_str!("migrate-refused.txt"); "migrate_refused")]
#[test_case(include_str!("reload.txt"); "reload")]
#[test_case(include_str!("rude-crowd.txt"); "rude_crowd")]
#[test_case(include_str!("rude.txt"); "rude")]
#[test_case(include_str!("stop.txt"); "stop")]
#[test_case(include_str!("stop-frozen.txt"); "stop_frozen")]
#[test_case(include_str!("stop-late-call.txt"); "stop_late_call")]
#[test_case(include_str!("stop-rested-late.txt"); "stop_rested_late")]
#[test_case(include_str!("stop-unread.txt"); "stop_unread")]
#[test_case(include_str!("takeover.txt"); "takeover")]
#[test_case(include_str!("same-table.txt"); "same_table")]
#[test_case(include_str!("second-answer.txt"); "second_answer")]
#[test_case(include_str!("sent-much-and-left.txt"); "sent_much_and_left")]
#[test_case(include_str!("silent-cache.txt"); "silent_cache")]
#[test_case(include_str!("silent-watch.txt"); "silent_watch")]
#[test_case(include_str!("starved.txt"); "starved")]
#[test_case(include_str!("stop-idle.txt"); "stop_idle")]
#[test_case(include_str!("torn-answer.txt"); "torn_answer")]
#[test_case(include_str!("unasked.txt"); "unasked")]
#[test_case(include_str!("unnamed-zones.txt"); "unnamed_zones")]
#[test_case(include_str!("watch.txt"); "watch")]
#[test_case(include_str!("watch-broken-off.txt"); "watch_broken_off")]
#[test_case(include_str!("watch-drips.txt"); "watch_drips")]
#[test_case(include_str!("watch-first-beat.txt"); "watch_first_beat")]
#[test_case(include_str!("watch-hinted.txt"); "watch_hinted")]
#[test_case(include_str!("watch-moved-while-refused.txt"); "watch_moved_while_refused")]
#[test_case(include_str!("watch-older-list.txt"); "watch_older_list")]
#[test_case(include_str!("watch-renamed.txt"); "watch_renamed")]
#[test_case(include_str!("watch-slow-answer.txt"); "watch_slow_answer")]
#[test_case(include_str!("watch-spread.txt"); "watch_spread")]
#[test_case(include_str!("watch-unanswered.txt"); "watch_unanswered")]
fn play(text: &str) {
    let mut stage = None;
    let lines: Vec<_> =
        text.lines().map(str::trim).filter(|l| !l.is_empty() && !l.starts_with('#')).collect();
    for (at, line) in lines.iter().enumerate() {
        if let Some(text) = line.strip_prefix("decode ") {
            let follow = lines[at + 1..].iter().map_while(|l| l.strip_prefix("> "));
            in_process::check_decoder(text, &follow.collect::<Vec<_>>());
        } else if !line.starts_with("> ") {
            stage.get_or_insert_with(Stage::new).play(line);
        }
    }
}
