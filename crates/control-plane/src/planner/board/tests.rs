use super::*;

#[test]
fn growth_knows_nothing_while_a_desk_that_it_rests_on_is_silent() {
    let board = Board::new();
    let (now, spare) = (Time(1_000_000), Spare { per_s: 50.0, short: false });
    assert_eq!(board.fleet(now, true, Some(10.0)), None);
    board.write_failing(now, BTreeSet::from([EndpointId(1)]));
    assert_eq!(board.fleet(now, true, Some(10.0)), None, "what is spare is not known");
    assert_eq!(board.fleet(now, false, None), None);
    assert_eq!(board.fleet(now, false, Some(10.0)).map(|f| f.spare_fetches_per_second), Some(10.0));
    board.write_spare(now, Some(spare));
    assert_eq!(board.fleet(now, true, None).map(|f| f.spare_fetches_per_second), Some(50.0));
    assert_eq!(board.fleet(now, true, Some(10.0)).map(|f| f.spare_fetches_per_second), Some(10.0));
    assert_eq!(board.fleet(now + LASTS, true, Some(10.0)), None, "nobody says it any more");
    board.write_spare(now, None);
    assert_eq!(board.fleet(now, true, None), None, "leases wait after a start");
}
