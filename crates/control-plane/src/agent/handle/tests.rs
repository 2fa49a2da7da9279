use granitelb_balancer::ids::{AttemptNumber, EndpointId, RequestId};
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{AttemptOutcome, AttemptResult, ControlPlaneUpdate};

use super::super::observations::{RawObservation, TimedObservation};
use super::{AgentChannel, Disconnected, UPDATE_MAX_AGE, channel};

fn finished_attempt(n: u64) -> RawObservation {
    let result = AttemptResult {
        number: AttemptNumber(0),
        endpoint: EndpointId(1),
        outcome: AttemptOutcome::Fulfilled,
        latency: Span::ZERO,
        answered: true,
    };
    RawObservation::AttemptFinished { request: RequestId(n), result, bytes: 0 }
}

/// Counts of the observations that were received from the channel.
#[derive(Default)]
struct Received {
    attempts: u64,
    last_endpoints_at: u64,
}

impl Received {
    fn drain(&mut self, channel: &mut AgentChannel) {
        while let Ok(Some(TimedObservation { at, observation })) = channel.try_recv() {
            if let RawObservation::EndpointsChanged(_) = observation {
                self.last_endpoints_at = at.0;
            } else {
                self.attempts += 1;
            }
        }
    }
}

#[test]
fn stalled_agent_loses_observations_but_no_endpoint_list() {
    let (mut handle, mut channel) = channel();
    let attempts = 50_000;
    for n in 0..attempts {
        handle.record(Time(n), finished_attempt(n));
        if n % 100 == 0 {
            handle.record(Time(n), RawObservation::EndpointsChanged(Vec::new()));
        }
        handle.end_iteration();
    }
    let mut received = Received::default();
    received.drain(&mut channel);
    handle.end_iteration();
    received.drain(&mut channel);
    assert_eq!(received.last_endpoints_at, attempts - 100, "the latest endpoint list");
    assert_eq!(received.attempts + channel.take_dropped(), attempts);
    drop(handle);
    assert!(matches!(channel.try_recv(), Err(Disconnected)));
}

#[test]
fn latest_update_is_delivered_once_and_loses_endpoint_health_when_old() {
    let (mut handle, channel) = channel();
    let update =
        |n| ControlPlaneUpdate { failing: vec![(EndpointId(n), Time(0))], ..ControlPlaneUpdate::default() };
    assert_eq!(handle.begin_iteration(Time(0)), None);
    channel.publish(Time(0), update(1));
    assert!(!channel.is_update_applied(), "an iteration is running that began without the update");
    channel.publish(Time(5), update(2));
    handle.end_iteration();
    assert!(channel.is_update_applied(), "the next iteration begins with the update");
    assert_eq!(handle.begin_iteration(Time(10)), Some(update(2)));
    handle.end_iteration();
    assert_eq!(handle.begin_iteration(Time(10)), None);
    handle.end_iteration();
    channel.publish(Time(10), update(3));
    assert!(channel.is_update_applied());
    let old = handle.begin_iteration(Time(10) + UPDATE_MAX_AGE);
    assert_eq!(old, Some(ControlPlaneUpdate::default()), "the process was suspended in between");
}
