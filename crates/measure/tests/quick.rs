//! Runs all in-process measurements at the smallest sizes, so that a change that breaks one is
//! noticed without a full run, and checks the linear fit.

use hickorychute_measure as measure;

/// Quantities that a run without real processes must report.
const REQUIRED_QUANTITIES: [&str; 6] = [
    "decision_us_p99",
    "decisions_per_s_core",
    "control_kb_per_s",
    "store_writes_per_100_placements",
    "takeover_s",
    "release_in_force_s",
];

/// Target for a release to be in force, and for a takeover after the lease has expired.
const MAX_DURATION_S: f64 = 3.0;

#[test]
fn quick_run_reports_all_quantities() {
    let report = measure::run(&measure::Scale::quick(), None).unwrap();
    for name in REQUIRED_QUANTITIES {
        let mut values = report
            .measurements()
            .iter()
            .filter(|measurement| measurement.name == name);
        assert!(
            values.all(|measurement| measurement.value.is_finite()),
            "{name}"
        );
        assert!(
            report.measurements().iter().any(|f| f.name == name),
            "{name}"
        );
    }
    for name in ["takeover_s", "release_in_force_s"] {
        let values = report
            .measurements()
            .iter()
            .filter(|measurement| measurement.name == name);
        for measurement in values {
            assert!(measurement.value <= MAX_DURATION_S, "{measurement:?}");
        }
    }
    let json: serde_json::Value = serde_json::from_str(&report.to_json().unwrap()).unwrap();
    for measurement in json.as_array().unwrap() {
        let fields: Vec<&String> = measurement.as_object().unwrap().keys().collect();
        assert_eq!(fields, ["name", "size", "unit", "value"]);
    }
}

struct FitCase {
    points: &'static [(f64, f64)],
    line: Option<(f64, f64, f64)>,
}

#[test]
fn linear_fit_returns_intercept_slope_and_residual() {
    let cases = [
        FitCase {
            points: &[(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)],
            line: Some((1.0, 2.0, 0.0)),
        },
        FitCase {
            points: &[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)],
            line: Some((1.0, 0.0, 2.0 / 3.0)),
        },
        FitCase {
            points: &[(5.0, 1.0), (5.0, 2.0)],
            line: None,
        },
        FitCase {
            points: &[],
            line: None,
        },
    ];
    for case in cases {
        let line = measure::LinearFit::fit(case.points);
        assert_eq!(line.is_some(), case.line.is_some(), "{:?}", case.points);
        let (Some(line), Some((intercept, slope, residual))) = (line, case.line) else {
            continue;
        };
        let approx_eq = |a: f64, b: f64| (a - b).abs() < 1e-9;
        assert!(approx_eq(line.intercept, intercept), "{line:?}");
        assert!(approx_eq(line.slope, slope), "{line:?}");
        assert!(approx_eq(line.residual, residual), "{line:?}");
    }
}
