use super::{SLOTS, SlotTable};
use crate::ids::EndpointId;

fn table(sizes: &[f64]) -> SlotTable<3> {
    let mut table = SlotTable::new();
    table.set_endpoints(sizes.iter().enumerate().map(|(n, s)| (EndpointId(n as u64), *s)).collect());
    table
}

#[test]
fn endpoint_with_quarter_size_ranks_first_in_about_a_quarter_as_many_slots() {
    let firsts = |t: &SlotTable<3>, n| (0..SLOTS).filter(|s| t.ranks(*s)[0] == Some(EndpointId(n))).count();
    let uneven = table(&[0.25, 1.0, 1.0, 1.0, 1.0, 1.0]);
    let share = firsts(&uneven, 0) as f64 / firsts(&uneven, 1) as f64;
    assert!((0.15..0.4).contains(&share), "{share}");
}

#[test]
fn endpoints_of_equal_size_have_similar_shares_of_the_slots() {
    let even = table(&[1.0; 200]);
    let mut firsts = [0.0f64; 200];
    (0..SLOTS).for_each(|s| firsts[even.ranks(s)[0].expect("an endpoint").0 as usize] += 1.0);
    let mean = SLOTS as f64 / 200.0;
    let variance = firsts.iter().map(|n| (n - mean) * (n - mean)).sum::<f64>() / 200.0;
    // With 1,024 slots the deviation is 0.44.
    assert!(variance.sqrt() / mean < 0.2, "{}", variance.sqrt() / mean);
}

#[test]
fn growing_endpoint_changes_no_slot_that_it_is_not_a_candidate_of() {
    let (before, after) = (table(&[0.25, 1.0, 1.0, 1.0, 1.0]), table(&[0.5, 1.0, 1.0, 1.0, 1.0]));
    for slot in 0..SLOTS {
        if !after.ranks(slot).contains(&Some(EndpointId(0))) {
            assert_eq!(before.ranks(slot), after.ranks(slot));
        }
    }
}
