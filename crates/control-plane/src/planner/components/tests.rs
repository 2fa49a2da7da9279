use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::counterfactual::{
    CounterfactualMessage, PlannerComponent, SampledRequest, ServiceOutcome, Settings, is_sampled,
};
use granitelb_coordination::shard_growth::shard_map::ShardMapVersion;
use granitelb_coordination::{Incarnation, PlannerId, Sender};

use super::discard_samples_of_old_shard_maps;
use crate::planner::component_status::ComponentStatus;
use crate::planner::test_support::{FORWARDER, fleet_config};

fn sampled_request(request_hash: u64) -> SampledRequest {
    SampledRequest {
        request_hash,
        key_hash: 1,
        request_class: 0,
        work_class: 0,
        candidates: vec![1, 2, 3],
        position: 0,
        outcome: ServiceOutcome::Hit,
        duration: 100,
        slo: 500,
        in_flight: 0,
        age_ms: 0,
    }
}

#[test]
fn counterfactual_component_discards_its_samples_once_at_each_new_shard_map() {
    let start = Time(1_000_000_000);
    let mut planner = PlannerComponent::new(Settings::default(), PlannerId(1), Incarnation(1), start);
    let status = ComponentStatus::new();
    let exchange_status = discard_samples_of_old_shard_maps();
    let fleet_config = fleet_config();
    let samples_after = |planner: &mut PlannerComponent, first_hash: u64, seconds: u64| {
        let now = start + Span::from_millis(seconds * 1000);
        let hash = (first_hash..).find(|hash| is_sampled(*hash)).expect("one hash of two is sampled");
        let from = Sender { member: FORWARDER, incarnation: Incarnation(1), sequence: hash };
        let message = CounterfactualMessage::Requests(vec![sampled_request(hash)]);
        planner.on_message(now, from, message).expect("the message is valid");
        exchange_status(planner, now, &fleet_config, &status);
        planner.request_count()
    };
    assert_eq!(samples_after(&mut planner, 100, 1), 1, "shard growth has published no version");
    status.publish_shard_map_version(ShardMapVersion(0));
    assert_eq!(samples_after(&mut planner, 200, 2), 2, "version 0 is no new shard map");
    status.publish_shard_map_version(ShardMapVersion(7));
    assert_eq!(samples_after(&mut planner, 300, 3), 0, "a new shard map voids all samples");
    assert_eq!(samples_after(&mut planner, 400, 4), 1, "a new shard map is notified once");
}
