use super::{SLOTS, SlotTable};
use crate::ids::EndpointId;

fn table(sizes: &[f64]) -> SlotTable<3> {
    let mut table = SlotTable::new();
    table.set_endpoints(sizes.iter().enumerate().map(|(id, size)| (EndpointId(id as u64), *size)).collect());
    table
}

#[test]
fn endpoint_with_quarter_size_ranks_first_in_about_a_quarter_as_many_slots() {
    let uneven = table(&[0.25, 1.0, 1.0, 1.0, 1.0, 1.0]);
    let first_ranks =
        |id| (0..SLOTS).filter(|slot| uneven.ranks(*slot)[0] == Some(EndpointId(id))).count() as f64;
    let share = first_ranks(0) / first_ranks(1);
    assert!((0.15..0.4).contains(&share), "{share}");
}

#[test]
fn endpoints_of_equal_size_have_similar_shares_of_the_slots() {
    let even = table(&[1.0; 200]);
    let mut first_ranks = [0.0f64; 200];
    (0..SLOTS).for_each(|slot| first_ranks[even.ranks(slot)[0].expect("an endpoint").0 as usize] += 1.0);
    let mean = SLOTS as f64 / 200.0;
    let variance = first_ranks.iter().map(|count| (count - mean) * (count - mean)).sum::<f64>() / 200.0;
    // With 1,024 slots instead of 8,192, the relative deviation is 0.44.
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
