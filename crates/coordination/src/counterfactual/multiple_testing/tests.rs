use super::{benjamini_hochberg, e_benjamini_hochberg};

#[test]
fn thresholds_grow_with_the_number_of_discoveries() {
    // A p-value of 0.04 alone among four is not rejected at a rate of 0.05; with three smaller ones it is.
    assert_eq!(benjamini_hochberg(&[0.04, 0.5, 0.6, 0.9], 0.05), [false; 4]);
    assert_eq!(benjamini_hochberg(&[0.001, 0.002, 0.03, 0.04], 0.05), [true; 4]);
    assert_eq!(benjamini_hochberg(&[0.9, 0.012, 0.5, 0.7], 0.05), [false, true, false, false]);
    assert!(benjamini_hochberg(&[], 0.05).is_empty());
}

/// If its hypothesis is true, an e-value is `n` or more with a probability of at most `1/n`. At a rate of
/// 0.01, one rejection among two hypotheses needs an e-value of 200, so 150 is not enough.
#[test]
fn e_value_thresholds_grow_with_the_number_of_hypotheses() {
    assert_eq!(e_benjamini_hochberg(&[150.0, 0.0], 0.01), [false; 2]);
    assert_eq!(e_benjamini_hochberg(&[150.0, 110.0], 0.01), [true; 2]);
    assert_eq!(e_benjamini_hochberg(&[1.0, 250.0, 0.0], 0.01), [false; 3]);
    assert_eq!(e_benjamini_hochberg(&[1.0, 350.0, 0.0], 0.01), [false, true, false]);
}
