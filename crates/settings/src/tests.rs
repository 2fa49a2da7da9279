use granitelb_balancer::ids::KindId;
use granitelb_balancer::settings::Settings;

use super::{DecodedSettings, SettingsError, decode};

fn decode_with(rules: &str, specifics: &str) -> Result<Settings, SettingsError> {
    let text =
        format!("{{\"Bounds\":{{}},\"Products\":[],\"Rules\":{{{rules}}},\"Specifics\":{{{specifics}}}}}");
    decode(text.as_bytes()).map(|decoded| decoded.balancer_settings)
}

#[test]
fn only_draining_binds_follows_its_key() {
    let only_draining_binds = |rules| {
        let settings = decode_with(rules, "\"Mode\":\"through\",\"OriginKind\":-1");
        settings.map(|settings| settings.only_draining_excludes)
    };
    assert!(!only_draining_binds("").expect("settings"));
    assert!(only_draining_binds("\"OnlyDrainingBinds\":true").expect("settings"));
    let error = only_draining_binds("\"OnlyDrainingBinds\":1").expect_err("not a boolean");
    assert_eq!(error.key, "Rules.OnlyDrainingBinds");
}

#[test]
fn origin_kind_is_required_in_cache_aside_mode_only() {
    let origin = |specifics| decode_with("", specifics).map(|settings| settings.origin);
    assert_eq!(origin("\"Mode\":\"through\",\"OriginKind\":-1").expect("settings"), None);
    assert_eq!(origin("\"Mode\":\"aside\",\"OriginKind\":1").expect("settings"), Some(KindId(1)));
    assert_eq!(
        origin("\"Mode\":\"aside\",\"OriginKind\":-1").expect_err("no position").key,
        "Specifics.OriginKind"
    );
    assert_eq!(origin("\"Mode\":\"beside\"").expect_err("no mode").key, "Specifics.Mode");
}

/// Settings with request classes of these names and latency objectives (in microseconds).
fn with_classes(classes: &[(&str, u64)], zones: &str) -> DecodedSettings {
    let classes: Vec<String> = classes
        .iter()
        .map(|(name, slo)| {
            format!(
                "{{\"Name\":\"{name}\",\"Effect\":\"read_like\",\"LatencySloUs\":{slo},\"ClientTimeoutUs\":9}}"
            )
        })
        .collect();
    let text = format!(
        "{{\"Bounds\":{{}},\"Products\":[{}],\"Rules\":{{}},\"Specifics\":{{\"Mode\":\"through\"}},\"Zones\":[{zones}]}}",
        classes.join(",")
    );
    decode(text.as_bytes()).expect("settings")
}

/// Whether each request class is offered, by position.
fn offered(settings: &DecodedSettings) -> Vec<bool> {
    settings.balancer_settings.request_classes.iter().map(|class| class.is_offered).collect()
}

#[test]
fn reload_keeps_positions_and_adds_changed_classes_as_new_ones() {
    let running = with_classes(&[("a", 1), ("b", 2)], "");
    let merged = with_classes(&[("b", 3), ("a", 1)], "").merged_into(&running).expect("reloadable");
    assert_eq!(merged.names.request_classes, ["a", "\nb", "b"]);
    assert_eq!(offered(&merged), [true, false, true]);
    let back = with_classes(&[("b", 2)], "").merged_into(&merged).expect("reloadable");
    assert_eq!(back.names.request_classes, ["\na", "b", "\nb"]);
    assert_eq!(offered(&back), [false, true, false]);
    assert_eq!(back.client_timeouts.len(), 3);
}

#[test]
fn reload_reports_the_key_that_requires_a_restart() {
    let running = with_classes(&[("a", 1)], "\"x\",\"y\"");
    let error =
        with_classes(&[("a", 1)], "\"y\"").merged_into(&running).expect_err("zones changed positions");
    assert_eq!(error.key, "Zones");
    assert!(with_classes(&[("a", 1)], "\"x\",\"y\",\"z\"").merged_into(&running).is_ok());
}

#[test]
fn reload_limits_the_number_of_request_classes() {
    let mut running = with_classes(&[("a", 0)], "");
    for slo in 1..256 {
        running = with_classes(&[("a", slo)], "").merged_into(&running).expect("reloadable");
    }
    assert_eq!(with_classes(&[("a", 256)], "").merged_into(&running).expect_err("too many").key, "Products");
    assert!(
        with_classes(&[("a", 7)], "").merged_into(&running).is_ok(),
        "a known class takes no new position"
    );
}

#[test]
fn values_out_of_range_are_reported_with_their_key() {
    let key = |rules| decode_with(rules, "\"Mode\":\"through\"").expect_err("out of range").to_string();
    assert_eq!(key("\"ColdFrom\":1.5"), "Rules.ColdFrom: 1.5 is out of range; set a number from 0 to 1");
    assert_eq!(
        key("\"FallMultiple\":-1"),
        "Rules.FallMultiple: -1 is out of range; set a number of 0 or more"
    );
}
