//! Tests of deployments other than the one on which the node is measured. Each site file under `deploy/sites`
//! is converted into a node's configuration, which `granitelb check` has to accept and decode as intended. A
//! wrong value has to be rejected with its key named.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use granitelb_balancer::settings::{DedupScope, Effect};
use granitelb_balancer::time::Span;
use granitelb_settings::decode;
use serde_json::{Value, json};
use test_case::test_case;

/// The longest time, in microseconds, without a request for the endpoint list, where lists come on request.
/// Site files do not set this time.
const MAX_LIST_REQUEST_INTERVAL_US: u64 = 10_000_000;

fn site_files() -> Vec<PathBuf> {
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

/// The value at a JSON pointer; null if there is none.
fn at<'a>(site: &'a Value, path: &str) -> &'a Value {
    site.pointer(path).unwrap_or(&Value::Null)
}

/// The lower end of a range; a single value stands for both ends.
fn lowest(value: &Value) -> Value {
    value.as_array().and_then(|r| r.first()).unwrap_or(value).clone()
}

/// The upper end of a range.
fn highest(value: &Value) -> Value {
    value.as_array().and_then(|r| r.last()).unwrap_or(value).clone()
}

/// A duration in microseconds. A value that is not a number stays as it is, for the node to reject.
fn duration_us(value: &Value, unit_us: f64) -> Value {
    value.as_f64().map_or_else(|| value.clone(), |v| json!((v * unit_us).round() as i64))
}

/// The settings' name for a choice, given the site file's name for that choice.
fn translate(value: &Value, names: &[(&str, &str)]) -> Value {
    let found = names.iter().find(|(in_site, _)| value == in_site).map(|(_, in_settings)| *in_settings);
    json!(found.unwrap_or_else(|| panic!("no setting for {value}")))
}

/// The settings with which the bench starts a node of this site, as far as a node reads them. Keys that the
/// site file leaves out are left out.
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
            "Effect": translate(&class["effect"], &effects),
            "LatencySloUs": duration_us(&class["aim_ms"], 1e3),
            "ClientTimeoutUs": duration_us(&class["deadline_ms"], 1e3),
            "BilledValue": class["worth"],
            "TardyBilledValue": class["late_worth"],
            "DedupScope": class["group"],
            "WindowUs": duration_us(&class["window_ms"], 1e3),
        }))
    });
    let lists_on_request = at(site, "/discovery/mode") == "ask";
    let cache = kinds.first().cloned().unwrap_or_default();
    json!({
        "BilledValuePer": at(site, "/load/worth_by"),
        "Bounds": without_null(json!({
            "ConnectTimeoutUs": duration_us(tier("conn/connect_timeout_ms"), 1e3),
            "KeepaliveUs": duration_us(tier("conn/idle_s"), 1e6),
            "MaxRetryAfterUs": duration_us(at(site, "/clients/max_retry_after_ms"), 1e3),
            "MayCancel": allow("cancel"),
            "MostShots": allow("max_attempts"),
            "RetryAfter": allow("retry_after"),
            "SecondCopies": allow("second_copies"),
        })),
        "Discovery": at(site, "/discovery/mode"),
        "Products": request_classes.collect::<Vec<_>>(),
        "Rules": without_null(json!({
            "ColdFrom": lowest(&cache["cold_from"]),
            "WarmAfterUs": duration_us(&highest(&cache["cold_s"]), 1e6),
            "FallMultiple": at(site, "/rules/fall_multiple"),
            "FallUs": duration_us(at(site, "/rules/fall_ms"), 1e3),
            "MustAskInUs": if lists_on_request { MAX_LIST_REQUEST_INTERVAL_US } else { 0 },
        })),
        "Shapes": shapes,
        "Siblings": highest(at(site, "/scale/balancers")),
        "Specifics": { "Mode": at(site, "/fam/mode"), "OriginKind": shapes.len() - 1 },
        "WeightKind": translate(tier("weights"), &[
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

/// Runs `granitelb check` on a node configuration with these settings.
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
fn check_accepts_each_site() {
    for site in site_files() {
        let name = name(&site);
        let site = parsed(&text(&site));
        let output = check(&name, &settings(&site));
        let (stdout, stderr) =
            (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        assert!(output.status.success(), "{name}: {stderr}");
        let classes = site["class"].as_array().expect("classes");
        let names: Vec<_> = classes.iter().map(|c| c["name"].as_str().expect("a name")).collect();
        assert!(stdout.trim_end().ends_with(&format!("serves {}", names.join(", "))), "{name}: {stdout}");
    }
}

/// Guards against a site file that the check accepts and the node decodes wrongly: an unknown effect, for
/// example, counts as unsafe.
#[test]
fn each_site_decodes_as_intended() {
    for file in site_files() {
        let (name, site) = (name(&file), parsed(&text(&file)));
        let decoded =
            decode(settings(&site).to_string().as_bytes()).unwrap_or_else(|e| panic!("{name}: {e}"));
        let decisions = &decoded.balancer_settings;
        let classes = site["class"].as_array().expect("classes");
        assert_eq!(decisions.request_classes.len(), classes.len(), "{name}");
        for (n, (class, request_class)) in classes.iter().zip(&decisions.request_classes).enumerate() {
            let context = format!("{name}, {}", class["name"]);
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
            assert_eq!(request_class.effect, effect, "{context}");
            assert_eq!(request_class.slo, us(&class["aim_ms"], 1e3), "{context}");
            assert_eq!(decoded.client_timeouts[n], us(&class["deadline_ms"], 1e3), "{context}");
            assert_eq!(Some(request_class.billed_value), class["worth"].as_f64(), "{context}");
            assert_eq!(Some(request_class.value_after_slo), class["late_worth"].as_f64(), "{context}");
            assert_eq!(
                decoded.names.request_classes[n],
                class["name"].as_str().expect("a name"),
                "{context}"
            );
            // An SLO beyond the client timeout could never be missed.
            assert!(request_class.slo <= decoded.client_timeouts[n], "{context}");
        }
        let (allow, tier, rules) = (&site["allow"], &site["tier"][0], &site["rules"]);
        assert_eq!(Some(decisions.may_cancel), allow["cancel"].as_bool(), "{name}");
        assert_eq!(Some(decisions.hedged_requests), allow["second_copies"].as_bool(), "{name}");
        assert_eq!(Some(u64::from(decisions.max_attempts)), allow["max_attempts"].as_u64(), "{name}");
        assert_eq!(decisions.max_retry_after, us(&site["clients"]["max_retry_after_ms"], 1e3), "{name}");
        assert_eq!(decoded.connect_timeout, us(&tier["conn"]["connect_timeout_ms"], 1e3), "{name}");
        assert_eq!(decoded.keepalive, us(&tier["conn"]["idle_s"], 1e6), "{name}");
        assert_eq!(Some(decisions.overload_multiple), rules["fall_multiple"].as_f64(), "{name}");
        assert_eq!(decisions.overload_window, us(&rules["fall_ms"], 1e3), "{name}");
        assert_eq!(decisions.list_on_request, site["discovery"]["mode"] == "ask", "{name}");
        assert_eq!(decisions.is_value_per_work, site["load"]["worth_by"] == "work", "{name}");
        assert_eq!(decisions.sizes_are_capacities, tier["weights"] != "none", "{name}");
        assert_eq!(json!(decoded.names.zones), site["net"]["zones"], "{name}");
        // The origin's kind is the last one, after the kinds of the caches.
        let origin = decisions.origin.map(|kind| usize::from(kind.0));
        assert_eq!(origin, Some(tier["kind"].as_array().expect("kinds").len()), "{name}");
    }
}

/// Each wrong value is put into the site file's text, so that the value passes through the same conversion as
/// correct values.
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
fn fault_in_a_site_is_reported_by_its_key(fault: &str, key: &str, value: &str, reported_key: &str) {
    for site in site_files() {
        let (name, correct) = (name(&site), text(&site));
        let mut lines: Vec<_> = correct.lines().map(str::to_string).collect();
        let line =
            lines.iter().position(|l| l.starts_with(key)).unwrap_or_else(|| panic!("{name} has no {key}"));
        // A value that begins with a line break replaces the whole line, as needed for a key that
        // occurs in several tables.
        lines[line] = value.strip_prefix('\n').map_or_else(|| format!("{key}{value}"), str::to_string);
        let class = lines[..line].iter().filter(|l| *l == "[[class]]").count().saturating_sub(1);
        let reported_key = reported_key.replace("[N]", &format!("[{class}]"));
        let output = check(&format!("{name}-{fault}"), &settings(&parsed(&lines.join("\n"))));
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{name}: the check accepted {key}{value}");
        assert!(
            stderr.contains(&format!("configuration, {reported_key}:")),
            "{name}, {reported_key}: {stderr}"
        );
    }
}

#[test]
#[should_panic(expected = "no setting for \"harmless\"")]
fn unknown_effect_is_rejected() {
    let faulty = text(&site_files()[0]).replacen("effect = \"safe\"", "effect = \"harmless\"", 1);
    settings(&parsed(&faulty));
}
