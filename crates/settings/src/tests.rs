use super::*;

fn decoded(rules: &str, specifics: &str) -> Result<Settings, Fault> {
    let text =
        format!("{{\"Bounds\":{{}},\"Products\":[],\"Rules\":{{{rules}}},\"Specifics\":{{{specifics}}}}}");
    decode(text.as_bytes()).map(|d| d.decisions)
}

#[test]
fn only_draining_binds_where_it_is_said() {
    let said =
        |rules| decoded(rules, "\"Mode\":\"through\",\"OriginKind\":-1").map(|s| s.only_draining_binds);
    assert!(!said("").expect("settings"));
    assert!(said("\"OnlyDrainingBinds\":true").expect("settings"));
    assert_eq!(said("\"OnlyDrainingBinds\":1").expect_err("no yes or no").key, "Rules.OnlyDrainingBinds");
}

#[test]
fn an_origin_is_named_where_caches_do_not_fetch() {
    let origin = |specifics| decoded("", specifics).map(|s| s.origin);
    assert_eq!(origin("\"Mode\":\"through\",\"OriginKind\":-1").expect("settings"), None);
    assert_eq!(origin("\"Mode\":\"aside\",\"OriginKind\":1").expect("settings"), Some(KindId(1)));
    assert_eq!(
        origin("\"Mode\":\"aside\",\"OriginKind\":-1").expect_err("no place").key,
        "Specifics.OriginKind"
    );
    assert_eq!(origin("\"Mode\":\"beside\"").expect_err("no mode").key, "Specifics.Mode");
}
