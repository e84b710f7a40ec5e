//! Packing of tasks whose declared sizes are wrong by a factor of 2 to 10.

use hickorychute_placement::measure;

/// Maximum ratio of workers used to those of first fit decreasing with actual sizes.
const TARGET_RATIO: f64 = 1.05;

#[test]
fn mixes_pack_within_the_target() {
    for mix in measure::Mix::ALL {
        let figures = measure::packing(mix, 1);
        assert!(figures.ratio <= TARGET_RATIO, "{mix}: {figures:?}");
        assert_eq!(figures.tasks, 4_000, "{mix}: every task is placed");
    }
}
