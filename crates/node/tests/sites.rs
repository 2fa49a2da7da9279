//! Deployments other than the one that the node is measured on: each site file under `deploy/sites` is put into a node's
//! configuration, which `granitelb check` has to take and has to read as it was meant; one with a wrong value has to be
//! refused with the key named.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use granitelb_balancer::settings::{DedupScope, Effect};
use granitelb_balancer::time::Span;
use granitelb_settings::decode;
use serde_json::{Value, json};
use test_case::test_case;

/// How long a node without a watch may go without asking, where lists come on request; site files don't say.
const MUST_ASK_IN_US: u64 = 10_000_000;

fn sites() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sites");
    let entries = fs::read_dir(folder).expect("a folder of sites").map(|e| e.expect("an entry").path());
    let mut sites: Vec<_> = entries.filter(|p| p.extension().is_some_and(|e| e == "toml")).collect();
    sites.sort();
    assert!(sites.len() >= 2, "{sites:?}");
    sites
}

fn name(site: &Path) -> String {
    site.file_stem().expect("a name").to_string_lossy().into_owned()
}

fn text(site: &Path) -> String {
    fs::read_to_string(site).expect("a site file")
}

/// The value at a path of keys and places; what isn't there is null.
fn at<'a>(site: &'a Value, path: &str) -> &'a Value {
    site.pointer(path).unwrap_or(&Value::Null)
}

/// A value that a range may stand for: its end that binds a node.
fn lowest(value: &Value) -> Value {
    value.as_array().and_then(|r| r.first()).unwrap_or(value).clone()
}

fn highest(value: &Value) -> Value {
    value.as_array().and_then(|r| r.last()).unwrap_or(value).clone()
}

/// A time in microseconds; what is no number is passed on as it stands, for the node to refuse.
fn time(value: &Value, unit_us: f64) -> Value {
    value.as_f64().map_or_else(|| value.clone(), |v| json!((v * unit_us).round() as i64))
}

/// A site's word for something in the words of the settings.
fn word(value: &Value, words: &[(&str, &str)]) -> Value {
    let found = words.iter().find(|(theirs, _)| value == theirs).map(|(_, ours)| *ours);
    json!(found.unwrap_or_else(|| panic!("no word {value}")))
}

/// The settings by which the bench starts a node of this site, as far as a node reads them. A key that the site leaves out
/// is left out.
fn settings(site: &Value) -> Value {
    let list = |path| at(site, path).as_array().cloned().unwrap_or_default();
    let allow = |key: &str| at(site, &format!("/allow/{key}")).clone();
    let tier = |key: &str| at(site, &format!("/tier/0/{key}"));
    let kinds = tier("kind").as_array().cloned().unwrap_or_default();
    let mut shapes: Vec<_> = kinds.iter().map(|k| k["name"].clone()).collect();
    shapes.push(json!("origin"));
    let request_classes = list("/class").into_iter().map(|class| {
        let effects = [("safe", "read_like"), ("keyed", "idempotency_key"), ("unsafe", "non_idempotent")];
        without_null(json!({
            "Name": class["name"],
            "Effect": word(&class["effect"], &effects),
            "LatencySloUs": time(&class["aim_ms"], 1e3),
            "ClientTimeoutUs": time(&class["deadline_ms"], 1e3),
            "BilledValue": class["worth"],
            "TardyBilledValue": class["late_worth"],
            "DedupScope": class["group"],
            "WindowUs": time(&class["window_ms"], 1e3),
        }))
    });
    let asked = at(site, "/discovery/mode") == "ask";
    let cache = kinds.first().cloned().unwrap_or_default();
    json!({
        "BilledValuePer": at(site, "/load/worth_by"),
        "Bounds": without_null(json!({
            "ConnectTimeoutUs": time(tier("conn/connect_timeout_ms"), 1e3),
            "KeepaliveUs": time(tier("conn/idle_s"), 1e6),
            "MaxRetryAfterUs": time(at(site, "/clients/max_retry_after_ms"), 1e3),
            "MayCancel": allow("cancel"),
            "MostShots": allow("max_attempts"),
            "RetryAfter": allow("retry_after"),
            "SecondCopies": allow("second_copies"),
        })),
        "Discovery": at(site, "/discovery/mode"),
        "Products": request_classes.collect::<Vec<_>>(),
        "Rules": without_null(json!({
            "ColdFrom": lowest(&cache["cold_from"]),
            "WarmAfterUs": time(&highest(&cache["cold_s"]), 1e6),
            "FallMultiple": at(site, "/rules/fall_multiple"),
            "FallUs": time(at(site, "/rules/fall_ms"), 1e3),
            "MustAskInUs": if asked { MUST_ASK_IN_US } else { 0 },
        })),
        "Shapes": shapes,
        "Siblings": highest(at(site, "/scale/balancers")),
        "Specifics": { "Mode": at(site, "/fam/mode"), "OriginKind": shapes.len() - 1 },
        "WeightKind": word(tier("weights"), &[
            ("none", "silent"), ("nominal", "nominal"), ("rough", "rough"), ("live", "live"),
        ]),
        "Zones": at(site, "/net/zones"),
    })
}

fn without_null(mut object: Value) -> Value {
    object.as_object_mut().expect("an object").retain(|_, value| !value.is_null());
    object
}

fn parsed(text: &str) -> Value {
    let site: toml::Value = toml::from_str(text).expect("TOML");
    serde_json::to_value(site).expect("JSON")
}

/// Runs `granitelb check` on a node's configuration with these settings.
fn check(name: &str, settings: &Value) -> Output {
    let config = json!({
        "name": name, "listen": "127.0.0.1:5000", "discovery": "127.0.0.1:8500",
        "limits": { "sockets": 256 }, "settings": settings,
    });
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("site-{name}.json"));
    fs::write(&file, config.to_string()).expect("a file");
    let mut check = Command::new(env!("CARGO_BIN_EXE_granitelb"));
    check.args(["check", "--config"]).arg(&file).output().expect("the program")
}

fn us(value: &Value, unit_us: f64) -> Span {
    Span((value.as_f64().expect("a number") * unit_us).round() as u64)
}

#[test]
fn each_site_is_taken_by_the_check() {
    for site in sites() {
        let name = name(&site);
        let site = parsed(&text(&site));
        let output = check(&name, &settings(&site));
        let (said, wrong) =
            (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        assert!(output.status.success(), "{name}: {wrong}");
        let classes = site["class"].as_array().expect("classes");
        let names: Vec<_> = classes.iter().map(|c| c["name"].as_str().expect("a name")).collect();
        assert!(said.trim_end().ends_with(&format!("serves {}", names.join(", "))), "{name}: {said}");
    }
}

/// That the check takes a text says little of what it comes to: an effect that is not known, say, is held to be harmful.
#[test]
fn each_site_is_read_as_it_is_meant() {
    for file in sites() {
        let (name, site) = (name(&file), parsed(&text(&file)));
        let decoded =
            decode(settings(&site).to_string().as_bytes()).unwrap_or_else(|e| panic!("{name}: {e}"));
        let decisions = &decoded.decisions;
        let classes = site["class"].as_array().expect("classes");
        assert_eq!(decisions.request_classes.len(), classes.len(), "{name}");
        for (n, (class, request_class)) in classes.iter().zip(&decisions.request_classes).enumerate() {
            let whose = format!("{name}, {}", class["name"]);
            let scope = match class["group"].as_str() {
                Some("all") => DedupScope::All,
                Some("zone") => DedupScope::Zone,
                _ => DedupScope::Cell,
            };
            let effect = match class["effect"].as_str() {
                Some("safe") => Effect::Idempotent,
                Some("keyed") => Effect::Deduplicated { scope, window: us(&class["window_ms"], 1e3) },
                _ => Effect::NonIdempotent,
            };
            assert_eq!(request_class.effect, effect, "{whose}");
            assert_eq!(request_class.slo, us(&class["aim_ms"], 1e3), "{whose}");
            assert_eq!(decoded.client_timeouts[n], us(&class["deadline_ms"], 1e3), "{whose}");
            assert_eq!(Some(request_class.billed_value), class["worth"].as_f64(), "{whose}");
            assert_eq!(Some(request_class.value_after_slo), class["late_worth"].as_f64(), "{whose}");
            assert_eq!(decoded.names.request_classes[n], class["name"].as_str().expect("a name"), "{whose}");
            // An SLO beyond the client timeout could never be missed.
            assert!(request_class.slo <= decoded.client_timeouts[n], "{whose}");
        }
        let (allow, tier, rules) = (&site["allow"], &site["tier"][0], &site["rules"]);
        assert_eq!(Some(decisions.may_cancel), allow["cancel"].as_bool(), "{name}");
        assert_eq!(Some(decisions.hedged_requests), allow["second_copies"].as_bool(), "{name}");
        assert_eq!(Some(u64::from(decisions.max_attempts)), allow["max_attempts"].as_u64(), "{name}");
        assert_eq!(decisions.max_retry_after, us(&site["clients"]["max_retry_after_ms"], 1e3), "{name}");
        assert_eq!(decoded.connect_limit, us(&tier["conn"]["connect_timeout_ms"], 1e3), "{name}");
        assert_eq!(decoded.keepalive, us(&tier["conn"]["idle_s"], 1e6), "{name}");
        assert_eq!(Some(decisions.fall_multiple), rules["fall_multiple"].as_f64(), "{name}");
        assert_eq!(decisions.fall_window, us(&rules["fall_ms"], 1e3), "{name}");
        assert_eq!(decisions.list_on_request, site["discovery"]["mode"] == "ask", "{name}");
        assert_eq!(decisions.value_by_work, site["load"]["worth_by"] == "work", "{name}");
        assert_eq!(decisions.steady_sizes, tier["weights"] != "none", "{name}");
        assert_eq!(json!(decoded.names.zones), site["net"]["zones"], "{name}");
        // The origin is the last kind, none of the caches'.
        let origin = decisions.origin.map(|kind| usize::from(kind.0));
        assert_eq!(origin, Some(tier["kind"].as_array().expect("kinds").len()), "{name}");
    }
}

/// Each fault is made in the site file's text, so that it takes the same way as the values that are right.
#[test_case("late-worth", "late_worth = ", "1.5", "settings.Products[N].TardyBilledValue")]
#[test_case("worth", "worth = ", "-1", "settings.Products[N].BilledValue")]
#[test_case("aim", "aim_ms = ", "\"soon\"", "settings.Products[N].LatencySloUs")]
#[test_case("deadline", "deadline_ms = ", "-5", "settings.Products[N].ClientTimeoutUs")]
#[test_case("window", "window_ms = ", "\"long\"", "settings.Products[N].WindowUs")]
#[test_case("attempts", "max_attempts = ", "300", "settings.Bounds.MostShots")]
#[test_case("cancel", "cancel = ", "\"yes\"", "settings.Bounds.MayCancel")]
#[test_case("connect", "connect_timeout_ms = ", "-250", "settings.Bounds.ConnectTimeoutUs")]
#[test_case("fall", "fall_multiple = ", "-2", "settings.Rules.FallMultiple")]
#[test_case("cold", "cold_from = ", "[1.4, 2]", "settings.Rules.ColdFrom")]
#[test_case("mode", "mode = \"aside\"", "\nmode = \"beside\"", "settings.Specifics.Mode")]
#[test_case("weights", "weights = ", "\"live\"", "settings.WeightKind")]
#[test_case("zones", "zones = ", "\"everywhere\"", "settings.Zones")]
fn a_fault_in_a_site_is_told_by_its_key(fault: &str, key: &str, value: &str, told: &str) {
    for site in sites() {
        let (name, right) = (name(&site), text(&site));
        let mut lines: Vec<_> = right.lines().map(str::to_string).collect();
        let line =
            lines.iter().position(|l| l.starts_with(key)).unwrap_or_else(|| panic!("{name} has no {key}"));
        // A whole line takes the place of one whose key stands in several tables.
        lines[line] = value.strip_prefix('\n').map_or_else(|| format!("{key}{value}"), str::to_string);
        let class = lines[..line].iter().filter(|l| *l == "[[class]]").count().saturating_sub(1);
        let told = told.replace("[N]", &format!("[{class}]"));
        let output = check(&format!("{name}-{fault}"), &settings(&parsed(&lines.join("\n"))));
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{name}: taken with {key}{value}");
        assert!(said.contains(&format!("configuration, {told}:")), "{name}, {told}: {said}");
    }
}

#[test]
#[should_panic(expected = "no word \"harmless\"")]
fn an_effect_that_is_not_known_is_no_site() {
    let wrong = text(&sites()[0]).replacen("effect = \"safe\"", "effect = \"harmless\"", 1);
    settings(&parsed(&wrong));
}
