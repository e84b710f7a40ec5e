//! The rule for whether a run is stopped for more urgent work, and which run is stopped first.

use hickorychute_cell::contention::{Claimant, StopCost, Victim, stop_rank};

const COST: StopCost = StopCost {
    stop_timeout_ms: 1_000,
    restore_ms: 600,
};

/// A gang in time, in a queue of the middle priority.
const CLAIMANT: Claimant = Claimant {
    priority: 1,
    lateness: 0,
};

/// A run that meets every condition.
const VICTIM: Victim = Victim {
    priority: 2,
    lateness: 0,
    over_share: false,
    resumes: true,
    gang: false,
    remaining_ms: 10_000,
    slack_ms: 20_000,
    preemptions: 0,
};

/// A run and whether it is stopped for a claimant.
#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    claimant: Claimant,
    victim: Victim,
    is_stopped: bool,
}

fn case(name: &'static str, victim: Victim, is_stopped: bool) -> Case {
    Case {
        name,
        claimant: CLAIMANT,
        victim,
        is_stopped,
    }
}

fn check(cases: impl IntoIterator<Item = Case>) {
    for case in cases {
        let rank = stop_rank(case.claimant, &case.victim, &COST);
        assert_eq!(rank.is_some(), case.is_stopped, "{}", case.name);
    }
}

/// Guards against a stop that costs more than it gains, and against runs that are spared without
/// need.
#[test]
fn a_run_is_stopped_only_if_every_condition_holds() {
    let priority = |priority| Victim { priority, ..VICTIM };
    let remaining = |remaining_ms| Victim {
        remaining_ms,
        ..VICTIM
    };
    let preemptions = |preemptions| Victim {
        preemptions,
        ..VICTIM
    };
    let slack = |slack_ms| Victim { slack_ms, ..VICTIM };
    let no_checkpoint = Victim {
        resumes: false,
        ..VICTIM
    };
    let member = Victim {
        gang: true,
        ..VICTIM
    };
    check([
        case("every condition holds", VICTIM, true),
        case("same priority", priority(1), false),
        case("higher priority", priority(0), false),
        case("no checkpoint", no_checkpoint, false),
        case("member of a gang", member, false),
        case("ends within twice the cost", remaining(3_200), false),
        case("ends just after that", remaining(3_201), true),
        case("stopped once", preemptions(1), true),
        case("stopped twice", preemptions(2), false),
        case("slack for the stop and a further wait", slack(4_100), true),
        case("just too little slack", slack(4_099), false),
    ]);
}

/// Guards against sparing runs that have nothing to lose, and against stopping late runs whatever
/// the other conditions say.
#[test]
fn late_runs_and_runs_over_a_share_need_no_slack() {
    let without_slack = Victim {
        slack_ms: 0,
        ..VICTIM
    };
    let late = |victim| Victim {
        lateness: 1,
        ..victim
    };
    let valueless = |victim| Victim {
        lateness: 2,
        ..victim
    };
    let over_share = |victim| Victim {
        over_share: true,
        ..victim
    };
    let no_checkpoint = Victim {
        resumes: false,
        ..without_slack
    };
    let member = Victim {
        gang: true,
        ..without_slack
    };
    let stopped_twice = Victim {
        preemptions: 2,
        ..without_slack
    };
    let same_priority = Victim {
        priority: 1,
        ..without_slack
    };
    let ends_soon = Victim {
        remaining_ms: 3_200,
        ..without_slack
    };
    check([
        case("in time", without_slack, false),
        case("late", late(without_slack), true),
        case("without value", valueless(without_slack), true),
        case("over its share", over_share(without_slack), true),
        case("late without a checkpoint", valueless(no_checkpoint), false),
        case("late member of a gang", valueless(member), false),
        case("late and stopped twice", valueless(stopped_twice), false),
        case("late and ends soon", valueless(ends_soon), false),
        case("late, same priority", valueless(same_priority), false),
        case(
            "over its share, same priority",
            over_share(same_priority),
            false,
        ),
    ]);
}

/// Guards against stopping work that can still earn its value for work that is late.
#[test]
fn no_run_is_stopped_for_a_later_claimant() {
    let for_late = |name, lateness, is_stopped| Case {
        claimant: Claimant {
            lateness: 1,
            ..CLAIMANT
        },
        ..case(name, Victim { lateness, ..VICTIM }, is_stopped)
    };
    check([
        for_late("in time", 0, false),
        for_late("as late", 1, true),
        for_late("later", 2, true),
    ]);
}

/// Guards against a constant in place of the cell's limits: a stop that takes longer needs a longer
/// run and more slack.
#[test]
fn both_parts_of_the_cost_count() {
    struct Case {
        name: &'static str,
        cost: StopCost,
        remaining_ms: u64,
        slack_ms: u64,
        is_stopped: bool,
    }
    let long_stop = StopCost {
        stop_timeout_ms: 5_000,
        restore_ms: 0,
    };
    let long_restore = StopCost {
        stop_timeout_ms: 0,
        restore_ms: 5_000,
    };
    let case = |name, cost, remaining_ms, slack_ms, is_stopped| Case {
        name,
        cost,
        remaining_ms,
        slack_ms,
        is_stopped,
    };
    let cases = [
        case("long stop", long_stop, 10_001, 7_500, true),
        case("long stop, short run", long_stop, 10_000, 7_500, false),
        case("long stop, little slack", long_stop, 10_001, 7_499, false),
        case("long restore", long_restore, 10_001, 7_500, true),
        case(
            "long restore, short run",
            long_restore,
            10_000,
            7_500,
            false,
        ),
        case(
            "long restore, little slack",
            long_restore,
            10_001,
            7_499,
            false,
        ),
    ];
    for case in cases {
        let victim = Victim {
            remaining_ms: case.remaining_ms,
            slack_ms: case.slack_ms,
            ..VICTIM
        };
        let rank = stop_rank(CLAIMANT, &victim, &case.cost);
        assert_eq!(rank.is_some(), case.is_stopped, "{}", case.name);
    }
}

/// Guards against stopping work that can still earn its value while work without value goes on.
#[test]
fn runs_that_lose_least_are_stopped_first() {
    let victim = |lateness, over_share, slack_ms| Victim {
        lateness,
        over_share,
        slack_ms,
        ..VICTIM
    };
    // In the order in which they are stopped.
    let ordered = [
        ("without value", victim(2, false, 0)),
        ("late, over its share", victim(1, true, 1)),
        ("late", victim(1, false, 0)),
        ("over its share, more slack", victim(0, true, 9_000)),
        ("over its share, no slack", victim(0, true, 0)),
        ("most slack", victim(0, false, 50_000)),
        ("more slack", victim(0, false, 9_000)),
        ("least slack", victim(0, false, 4_100)),
    ];
    for pair in ordered.windows(2) {
        let [(earlier_name, earlier), (later_name, later)] = pair else {
            unreachable!("windows of two");
        };
        let earlier = stop_rank(CLAIMANT, earlier, &COST);
        let later = stop_rank(CLAIMANT, later, &COST);
        assert!(earlier.is_some() && later.is_some());
        assert!(earlier < later, "{earlier_name} before {later_name}");
    }
}
