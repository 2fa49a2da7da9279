//! Tests of probe assignments: they are even, they stay stable when members join and fail, and the rate of
//! probes does not depend on the fleet's size.

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::ForwarderId;
use granitelb_coordination::probe_scheduling::{
    ProbeOutcome, ProbeScheduler, Settings, Task, Window, assignees,
};
use test_case::test_case;

const ENDPOINT: EndpointId = EndpointId(7);
const WINDOW_MS: u64 = 2000;

fn ms(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

fn members(count: u64) -> Vec<ForwarderId> {
    let mut all: Vec<_> = (0..count).map(|k| ForwarderId::of_name(&format!("forwarder {k}"))).collect();
    all.sort_unstable();
    all
}

fn tasks(count: u64) -> Vec<Task> {
    let task = |n| if n % 3 == 0 { Task::Connect(EndpointId(n)) } else { Task::Probe(EndpointId(n)) };
    (0..count).map(task).collect()
}

fn scheduler(members: &[ForwarderId], planners_ahead: usize) -> ProbeScheduler {
    let mut scheduler = ProbeScheduler::new(Settings::default(), ms(0));
    scheduler.on_membership_change(members.to_vec(), planners_ahead);
    scheduler
}

fn assigned(scheduler: &mut ProbeScheduler, at: Time, members: &[ForwarderId]) -> Vec<ForwarderId> {
    members.iter().copied().filter(|member| scheduler.is_assigned(at, ENDPOINT, *member)).collect()
}

fn assigned_in(scheduler: &mut ProbeScheduler, window: u64, members: &[ForwarderId]) -> usize {
    assigned(scheduler, ms(window * WINDOW_MS), members).len()
}

/// Returns Jain's fairness index of the numbers of assignments per member.
fn fairness(counts: &[f64]) -> f64 {
    let sum: f64 = counts.iter().sum();
    let squares: f64 = counts.iter().map(|count| count * count).sum();
    sum * sum / (counts.len() as f64 * squares)
}

#[test_case(20, 20; "twenty tasks, twenty members")]
#[test_case(40, 60; "forty tasks, sixty members")]
#[test_case(30, 10; "thirty tasks, ten members")]
fn assignments_are_even_over_a_minute(task_count: u64, member_count: u64) {
    let all = members(member_count);
    let mut counts = vec![0.0; all.len()];
    for window in 500..530 {
        for task in tasks(task_count) {
            for assignee in assignees(task, Window(window), &all, 1) {
                counts[all.binary_search(&assignee).expect("a member")] += 1.0;
            }
        }
    }
    let index = fairness(&counts);
    assert!(index >= 0.9, "{index}");
}

#[test]
fn a_membership_change_moves_only_the_tasks_of_the_changed_member() {
    let all = members(25);
    let tasks = tasks(50);
    for window in (900..910).map(Window) {
        let mut moved = 0;
        for index in 0..all.len() {
            let mut remaining = all.clone();
            let removed = remaining.remove(index);
            for task in &tasks {
                let before = assignees(*task, window, &all, 2);
                let after = assignees(*task, window, &remaining, 2);
                let stayed = before.iter().filter(|assignee| after.contains(assignee)).count();
                assert_eq!(stayed, if before.contains(&removed) { 1 } else { 2 });
                moved += 2 - stayed;
            }
        }
        // Each task has two assignees, so all removals together move twice as many assignments as there are
        // tasks.
        assert_eq!(moved, 2 * tasks.len());
    }
}

#[test]
fn a_smaller_choice_is_a_prefix_of_a_larger_one() {
    let all = members(100);
    let ten = assignees(Task::PollDiscovery, Window(3), &all, 10);
    assert_eq!(assignees(Task::PollDiscovery, Window(3), &all, 4), ten[..4]);
    assert_eq!(assignees(Task::PollDiscovery, Window(3), &all, 1000).len(), 100);
    assert!(assignees(Task::PollDiscovery, Window(3), &all, 0).is_empty());
    assert!(assignees(Task::PollDiscovery, Window(3), &[], 3).is_empty());
    assert_ne!(assignees(Task::PollDiscovery, Window(4), &all, 10), ten);
}

#[test]
fn assignees_grow_without_probes_and_shrink_with_too_many() {
    let all = members(300);
    let mut scheduler = scheduler(&all, 0);
    scheduler.on_endpoint_failing(ms(0), ENDPOINT, 30.0);
    // The initial assignees together send the target number of probes, by the rate of all forwarders before
    // the failure.
    let initial = (300.0 * Settings::default().target_probes / 60.0).ceil() as usize;
    assert_eq!(assigned_in(&mut scheduler, 0, &all), initial);
    // Attempts in the first window are not counted, because they were sent before the failure was known.
    scheduler.on_probes(ms(100), ENDPOINT, 80.0, ProbeOutcome::Unanswered);
    let grown = [1, 2, 3, 4, 5].map(|window| assigned_in(&mut scheduler, window, &all));
    assert_eq!(grown[0], initial);
    assert!(grown.windows(2).all(|w| w[0] < w[1] && w[1] <= 2 * w[0]), "{grown:?}");
    assert!(grown[4] >= 4 * initial, "{grown:?}");
    // More probes than the target reduce the number of assignees.
    scheduler.on_probes(ms(5 * WINDOW_MS + 10), ENDPOINT, 9.0, ProbeOutcome::Unanswered);
    let fewer = assigned_in(&mut scheduler, 6, &all);
    assert!(fewer < grown[4] / 2, "{fewer} of {grown:?}");
    // An answer increases the number of assignees at once, so that another one arrives soon. Further answers
    // in the window change nothing.
    scheduler.on_probes(ms(6 * WINDOW_MS + 10), ENDPOINT, 1.0, ProbeOutcome::Answered);
    scheduler.on_probes(ms(6 * WINDOW_MS + 10), ENDPOINT, 1.0, ProbeOutcome::Answered);
    assert_eq!(assigned_in(&mut scheduler, 6, &all), 4 * fewer);
    scheduler.on_endpoint_recovered(ENDPOINT);
    assert_eq!(assigned_in(&mut scheduler, 6, &all), 0);
}

/// Checks the mean number of probes in a window, over many windows with simulated requests.
#[test_case(3, 40.0; "three members with many requests")]
#[test_case(30, 1.0; "thirty members")]
#[test_case(300, 0.05; "three hundred members with few requests")]
fn the_rate_of_probes_does_not_depend_on_the_fleet_size(member_count: u64, requests_per_window: f64) {
    const WINDOWS: u64 = 400;
    let all = members(member_count);
    let mut scheduler = scheduler(&all, 0);
    scheduler.on_endpoint_failing(ms(0), ENDPOINT, member_count as f64 * requests_per_window / 2.0);
    let mut random = 7_u64;
    let mut sum = 0.0;
    for window in 0..WINDOWS {
        for _ in assigned(&mut scheduler, ms(window * WINDOW_MS), &all) {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            // An assignee sends one probe in a window if it has a request for the endpoint.
            let has_request = (random >> 11) as f64 / (1_u64 << 53) as f64 > (-requests_per_window).exp();
            let probes = f64::from(u8::from(has_request));
            let at = ms(window * WINDOW_MS + 500);
            scheduler.on_probes(at, ENDPOINT, probes, ProbeOutcome::Unanswered);
            sum += probes;
        }
    }
    let mean = sum / WINDOWS as f64;
    assert!((mean / Settings::default().target_probes - 1.0).abs() < 0.35, "{mean} in a window");
}

#[test]
fn a_failed_assignee_is_replaced_as_soon_as_the_failure_is_known() {
    let mut all = members(40);
    let mut scheduler = scheduler(&all, 0);
    scheduler.on_endpoint_failing(ms(0), ENDPOINT, 4000.0);
    for window in 0..50 {
        let now = ms(window * WINDOW_MS);
        let [assignee] = assigned(&mut scheduler, now, &all)[..] else { panic!("not exactly one assignee") };
        if window % 2 == 0 {
            all.retain(|member| *member != assignee);
            scheduler.on_membership_change(all.clone(), 0);
            assert_eq!(assigned(&mut scheduler, now, &all).len(), 1, "at once");
        }
        scheduler.on_probes(now + Span(1), ENDPOINT, 9.0, ProbeOutcome::Unanswered);
    }
}

#[test]
fn a_standby_planner_assigns_only_while_nobody_probes() {
    let all = members(40);
    let mut standby = scheduler(&all, 1);
    standby.on_endpoint_failing(ms(0), ENDPOINT, 4000.0);
    for window in 0..6 {
        assert_eq!(assigned_in(&mut standby, window, &all), 0);
        standby.on_probes(ms(window * WINDOW_MS + 1), ENDPOINT, 1.0, ProbeOutcome::Unanswered);
    }
    // The first planner stops assigning.
    let took_over = (6..12).find(|window| assigned_in(&mut standby, *window, &all) > 0);
    assert_eq!(took_over, Some(8));
    // The first planner assigns again: there are twice as many probes as the target.
    standby.on_probes(ms(8 * WINDOW_MS + 1), ENDPOINT, 4.0, ProbeOutcome::Unanswered);
    assert_eq!(assigned_in(&mut standby, 9, &all), 0);
    // The first planner has failed.
    standby.on_membership_change(all.clone(), 0);
    assert_eq!(assigned_in(&mut standby, 9, &all), 1);
}

#[test]
fn failing_endpoints_are_bounded() {
    let settings = Settings { max_endpoints: 2, ..Settings::default() };
    let mut scheduler = ProbeScheduler::new(settings, ms(0));
    scheduler.on_membership_change(members(3), 0);
    for id in 0..9 {
        scheduler.on_endpoint_failing(ms(0), EndpointId(id), 0.0);
    }
    assert_eq!(scheduler.entries(), 3 + 2 * 2);
}
