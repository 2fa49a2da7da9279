use super::*;

#[test]
fn the_list_grows_with_what_is_in_it() {
    // 0.04 alone of four is not enough; with three that are it is.
    assert_eq!(found(&[0.04, 0.5, 0.6, 0.9], 0.05), [false; 4]);
    assert_eq!(found(&[0.001, 0.002, 0.03, 0.04], 0.05), [true; 4]);
    assert_eq!(found(&[0.9, 0.012, 0.5, 0.7], 0.05), [false, true, false, false]);
    assert!(found(&[], 0.05).is_empty());
}

/// At nothing but chance a bet yields `n` or more once in `n`: one in a hundred of two is not found by 150.
#[test]
fn bets_are_held_against_how_many_there_are() {
    assert_eq!(found_by_bets(&[150.0, 0.0], 0.01), [false; 2]);
    assert_eq!(found_by_bets(&[150.0, 110.0], 0.01), [true; 2]);
    assert_eq!(found_by_bets(&[1.0, 250.0, 0.0], 0.01), [false; 3]);
    assert_eq!(found_by_bets(&[1.0, 350.0, 0.0], 0.01), [false, true, false]);
}

fn estimate(mean: f64) -> Result<Estimate, NoSupport> {
    let (low, high) = (mean - 0.03, mean + 0.03);
    Ok(Estimate { mean, low, high, by_chance: 0.0, shared: true, calls: 100, over: Vec::new() })
}

#[test]
fn one_finding_changes_nothing_and_a_standing_is_left_slowly() {
    let settings = Settings::default();
    let mut track = Track::default();
    assert!(track.judge(&settings, Scale::Share, estimate(0.0), false));
    assert_eq!(track.standing, Standing::AsGood);
    assert!(!track.judge(&settings, Scale::Share, estimate(0.2), true));
    assert!(!track.judge(&settings, Scale::Share, estimate(0.0), false));
    for n in 1..=settings.enters_after {
        assert_eq!(track.judge(&settings, Scale::Share, estimate(0.2), true), n == settings.enters_after);
    }
    assert_eq!(track.standing, Standing::Worse);
    // Out of the list, but the interval is still above nothing.
    assert!(!track.judge(&settings, Scale::Share, estimate(0.05), false));
    for n in 1..=settings.leaves_after {
        assert_eq!(track.judge(&settings, Scale::Share, estimate(0.01), false), n == settings.leaves_after);
    }
    assert_eq!(track.standing, Standing::AsGood);
}
