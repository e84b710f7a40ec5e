//! The measurements in their smallest form, so that they keep running.

use hickorychute_measure as measure;

/// Figures that are promised by name, but for those of real processes.
const NAMES: [&str; 6] = [
    "decision_us_p99",
    "decisions_per_s_core",
    "control_kb_per_s",
    "store_writes_per_100_placements",
    "takeover_s",
    "release_in_force_s",
];

/// Targets: a release in force, and a takeover after the lease has lapsed.
const WITHIN_S: f64 = 3.0;

#[test]
fn the_smallest_run_gives_all_figures() {
    let report = measure::run(&measure::Scale::quick(), None).unwrap();
    for name in NAMES {
        let mut values = report.figures().iter().filter(|figure| figure.name == name);
        assert!(values.all(|figure| figure.value.is_finite()), "{name}");
        assert!(report.figures().iter().any(|f| f.name == name), "{name}");
    }
    for name in ["takeover_s", "release_in_force_s"] {
        let values = report.figures().iter().filter(|figure| figure.name == name);
        for figure in values {
            assert!(figure.value <= WITHIN_S, "{figure:?}");
        }
    }
    let json: serde_json::Value = serde_json::from_str(&report.to_json().unwrap()).unwrap();
    for figure in json.as_array().unwrap() {
        let fields: Vec<&String> = figure.as_object().unwrap().keys().collect();
        assert_eq!(fields, ["name", "size", "unit", "value"]);
    }
}

struct LineCase {
    points: &'static [(f64, f64)],
    line: Option<(f64, f64, f64)>,
}

#[test]
fn lines_are_fitted_with_their_residual() {
    let cases = [
        LineCase {
            points: &[(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)],
            line: Some((1.0, 2.0, 0.0)),
        },
        LineCase {
            points: &[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)],
            line: Some((1.0, 0.0, 2.0 / 3.0)),
        },
        LineCase {
            points: &[(5.0, 1.0), (5.0, 2.0)],
            line: None,
        },
        LineCase {
            points: &[],
            line: None,
        },
    ];
    for case in cases {
        let line = measure::Line::fit(case.points);
        assert_eq!(line.is_some(), case.line.is_some(), "{:?}", case.points);
        let (Some(line), Some((at_zero, slope, residual))) = (line, case.line) else {
            continue;
        };
        let near = |a: f64, b: f64| (a - b).abs() < 1e-9;
        assert!(near(line.at_zero, at_zero), "{line:?}");
        assert!(near(line.slope, slope), "{line:?}");
        assert!(near(line.residual, residual), "{line:?}");
    }
}
