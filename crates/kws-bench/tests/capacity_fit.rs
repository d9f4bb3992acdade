//! Lines through measured points.

use kws_bench::capacity::fit::{FitPoint, LinearFit};
use rstest::rstest;

const ROUNDING: f64 = 1e-9;

#[rstest]
#[case::exact(&[(1, 5.0), (2, 7.0), (4, 11.0)], 3.0, 2.0)]
#[case::scattered(&[(0, 1.0), (1, 0.0), (2, 5.0)], 0.0, 2.0)]
#[case::level(&[(10, 4.0), (20, 4.0), (30, 4.0)], 4.0, 0.0)]
#[case::one_size(&[(10, 3.0), (10, 5.0)], 4.0, 0.0)]
#[case::nothing(&[], 0.0, 0.0)]
fn least_squares(#[case] measured: &[(usize, f64)], #[case] base: f64, #[case] slope: f64) {
    let points: Vec<FitPoint> = measured
        .iter()
        .map(|(size, value)| FitPoint::new(*size, *value))
        .collect();
    let fit = LinearFit::least_squares(&points);
    assert!((fit.base - base).abs() < ROUNDING, "{fit:?}");
    assert!((fit.slope - slope).abs() < ROUNDING, "{fit:?}");
    assert!((fit.at(100.0) - (base + 100.0 * slope)).abs() < ROUNDING * 100.0);
}
