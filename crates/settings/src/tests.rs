use granitelb_balancer::ids::KindId;
use granitelb_balancer::settings::Settings;

use super::{SettingsError, decode};

fn decode_with(rules: &str, specifics: &str) -> Result<Settings, SettingsError> {
    let text =
        format!("{{\"Bounds\":{{}},\"Products\":[],\"Rules\":{{{rules}}},\"Specifics\":{{{specifics}}}}}");
    decode(text.as_bytes()).map(|decoded| decoded.decisions)
}

#[test]
fn only_draining_binds_follows_its_key() {
    let only_draining_binds = |rules| {
        let settings = decode_with(rules, "\"Mode\":\"through\",\"OriginKind\":-1");
        settings.map(|settings| settings.only_draining_binds)
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
