use super::Lease;
use crate::time::{Span, Time};

#[test]
fn quota_changes_linearly_to_the_quota_after_expiry() {
    let at = |ms| Time(1_000_000) + Span::from_millis(ms);
    let lease = Lease { quota: 10.0, expires_at: at(2000), quota_after_expiry: 2.0 };
    assert_eq!(lease.quota_at(at(0)), 10.0);
    assert_eq!(lease.quota_at(at(1500)), 10.0);
    assert_eq!(lease.quota_at(at(1750)), 6.0);
    assert_eq!(lease.quota_at(at(2000)), 2.0);
    assert_eq!(lease.quota_at(at(9000)), 2.0);
}
