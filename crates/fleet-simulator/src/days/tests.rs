use super::{DAY_NAMES, faults_of_day};

#[test]
fn every_listed_name_has_faults() {
    assert!(DAY_NAMES.iter().all(|name| faults_of_day(name).is_some()));
}
