use super::*;

#[test]
fn every_name_is_a_day() {
    assert!(NAMES.iter().all(|name| named(name).is_some()));
}
