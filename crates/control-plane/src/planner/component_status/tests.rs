use std::collections::BTreeSet;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::Time;
use granitelb_coordination::leases::Surplus;

use super::{ComponentStatus, STATUS_EXPIRY};

#[test]
fn fleet_status_is_unknown_while_a_component_that_it_depends_on_is_silent() {
    let status = ComponentStatus::new();
    let now = Time(1_000_000);
    let spare = Surplus { fetches_per_second: 50.0, has_unmet_demand: false };
    assert_eq!(status.fleet_status(now, true, Some(10.0)), None);
    status.publish_failing_endpoints(now, BTreeSet::from([EndpointId(1)]));
    assert_eq!(status.fleet_status(now, true, Some(10.0)), None, "the spare capacity is unknown");
    assert_eq!(status.fleet_status(now, false, None), None);
    assert_eq!(status.fleet_status(now, false, Some(10.0)).map(|f| f.spare_fetches_per_second), Some(10.0));
    status.publish_spare_capacity(now, Some(spare));
    assert_eq!(status.fleet_status(now, true, None).map(|f| f.spare_fetches_per_second), Some(50.0));
    assert_eq!(status.fleet_status(now, true, Some(10.0)).map(|f| f.spare_fetches_per_second), Some(10.0));
    assert_eq!(status.fleet_status(now + STATUS_EXPIRY, true, Some(10.0)), None, "the entries have expired");
    status.publish_spare_capacity(now, None);
    assert_eq!(
        status.fleet_status(now, true, None),
        None,
        "the spare capacity is unknown while leases wait after a start"
    );
}
