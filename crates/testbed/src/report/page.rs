//! One page a run that needs nothing beside itself.

use std::fmt::Write as _;

use super::plots;
use crate::audit::AuditResult;
use crate::event_log::{Event, Timestamp};
use crate::experiment::Experiment;

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The page.
///
/// # Errors
/// Says what could not be drawn.
pub fn page(
    experiment: &Experiment,
    seed: u64,
    verdict: &AuditResult,
    events: &[(Timestamp, Event)],
) -> Result<String, String> {
    let mut page = String::new();
    let f = &verdict.figures;
    let name = escaped(&experiment.name);
    let word = if verdict.holds() { "all bars held" } else { "fell short" };
    // Writing to a text can't fail.
    let _ = write!(
        page,
        "<!doctype html><html lang=en><meta charset=utf-8><title>{name}, seed {seed}</title>\
         <style>body{{font:15px sans-serif;max-width:980px;margin:2em auto;padding:0 1em}}\
         td,th{{padding:.15em .8em;text-align:left;border-bottom:1px solid #ddd}}.bad{{color:#b00}}</style>\
         <h1>{name}, seed {seed}: {word}</h1><p>{}</p>",
        escaped(&experiment.about)
    );
    for breach in &verdict.breaches {
        let _ = write!(
            page,
            "<p class=bad>rule {:?} broken: {} ({} times): {}</p>",
            breach.rule,
            breach.kind,
            breach.count,
            escaped(&breach.examples.join("; "))
        );
    }
    for short in &verdict.shortfalls {
        let _ =
            write!(page, "<p class=bad>{}: {:.3}, asked {:.3}</p>", short.bar, short.measured, short.asked);
    }
    let rows = [
        ("calls, tries", format!("{}, {}", f.calls, f.tries)),
        ("service", format!("{:.4}", f.service)),
        ("fulfilled, rate-limited, errored, lost tries", {
            format!("{}, {}, {}, {}", f.fulfilled, f.rate_limited, f.errored, f.lost)
        }),
        ("latency p50, p99", format!("{:.1} ms, {:.1} ms", f.p50_ms, f.p99_ms)),
        ("most over mean load of the steady caches", format!("{:.2}", f.max_over_mean)),
        ("the origin's busiest second over its capacity", format!("{:.2}", f.origin_fetches)),
        ("last new shot after a drain was told", format!("{:.0} ms, {} drains", f.drain_stop_ms, f.drains)),
        ("stale reads", f.stale_reads.to_string()),
        ("memory, descriptors of a node at most", format!("{:.1} MB, {}", f.memory_mb, f.descriptors)),
        ("core time a call", format!("{:.0} \u{b5}s", f.cpu_us_a_call)),
        ("the rig's lateness at 99.9%", format!("{:.2} ms", f.rig_late_ms)),
    ];
    page += "<table>";
    for (what, figure) in rows {
        let _ = write!(page, "<tr><td>{what}<td>{figure}");
    }
    page += "</table>";
    for plot in plots::all(experiment, f)? {
        page += &plot;
    }
    page += "<h2>Faults</h2><table><tr><th>fault<th>ended at<th>service back after";
    for r in &f.recoveries {
        let after = r.after_s.map_or("not by the end".into(), |s| format!("{s:.1} s"));
        let _ = write!(page, "<tr><td>{}<td>{:.1} s<td>{after}", r.fault, r.ended_s);
    }
    page += "</table><h2>What happened</h2><table>";
    for (at, event) in events {
        let _ = write!(page, "<tr><td>{:.3} s<td>{}", at.seconds(), escaped(&format!("{event:?}")));
    }
    page += "</table></html>\n";
    Ok(page)
}
