//! Assignment of tasks to workers.

use hickorychute_cell::{
    placement::{self, Candidate, Request},
    workers::{Demand, Resources},
};

const fn resources(cpu_millicores: u64) -> Resources {
    Resources {
        cpu_millicores,
        memory_mb: 10,
        gpus: 0,
    }
}

fn candidate(worker: usize, used_millicores: u64, rack: &str) -> Candidate<'_> {
    Candidate {
        worker,
        capacity: Resources {
            cpu_millicores: 16_000,
            memory_mb: 32_000,
            gpus: 0,
        },
        used: resources(used_millicores),
        best_effort_millicores: 0,
        rack,
        task_limit: u32::MAX,
    }
}

struct Case {
    name: &'static str,
    request: Request<'static>,
    candidates: Vec<Candidate<'static>>,
    placed: Vec<usize>,
}

/// A request for two tasks of 4 cores without restrictions.
const REQUEST: Request<'static> = Request {
    demand: Demand {
        resources: resources(4_000),
        best_effort_millicores: 0,
        long_running: false,
    },
    count: 2,
    all_or_nothing: false,
    same_rack: false,
    affinity_rack: "",
};

fn check(cases: Vec<Case>) {
    for mut case in cases {
        let placed = placement::place(&case.request, &mut case.candidates);
        assert_eq!(placed, case.placed, "{}", case.name);
    }
}

#[test]
fn tasks_are_packed_near_their_data_and_on_one_rack_where_that_matters() {
    let request = REQUEST;
    let cases = vec![
        Case {
            name: "fullest worker that fits first",
            request,
            candidates: vec![
                candidate(0, 0, "r1"),
                candidate(1, 9_000, "r1"),
                candidate(2, 13_000, "r1"),
            ],
            placed: vec![1, 0],
        },
        Case {
            name: "rack with the data before packing",
            request: Request {
                affinity_rack: "r2",
                ..request
            },
            candidates: vec![candidate(0, 12_000, "r1"), candidate(1, 0, "r2")],
            placed: vec![1, 1],
        },
        Case {
            name: "tightest rack that holds all tasks",
            request: Request {
                same_rack: true,
                ..request
            },
            candidates: vec![
                candidate(0, 12_000, "r1"),
                candidate(1, 4_000, "r2"),
                candidate(2, 0, "r3"),
            ],
            placed: vec![1, 1],
        },
        Case {
            name: "gang that does not fit as a whole",
            request: Request {
                all_or_nothing: true,
                count: 3,
                ..request
            },
            candidates: vec![candidate(0, 8_000, "r1")],
            placed: vec![],
        },
        Case {
            name: "independent tasks placed as far as they fit",
            request: Request {
                count: 3,
                ..request
            },
            candidates: vec![candidate(0, 8_000, "r1")],
            placed: vec![0, 0],
        },
        Case {
            name: "limit per worker",
            request: Request {
                count: 3,
                ..request
            },
            candidates: vec![
                Candidate {
                    task_limit: 1,
                    ..candidate(0, 0, "r1")
                },
                candidate(1, 0, "r1"),
            ],
            placed: vec![0, 1, 1],
        },
        Case {
            name: "worker with a run of unknown size",
            request,
            candidates: vec![Candidate {
                used: Resources::UNKNOWN,
                ..candidate(0, 0, "r1")
            }],
            placed: vec![],
        },
    ];
    check(cases);
}

#[test]
fn best_effort_tasks_are_spread_over_idle_cpu() {
    let best_effort = Request {
        demand: Demand {
            resources: resources(0),
            best_effort_millicores: 5_000,
            long_running: false,
        },
        ..REQUEST
    };
    check(vec![
        Case {
            name: "worker with the most idle CPU first",
            request: best_effort,
            candidates: vec![
                candidate(0, 12_000, "r1"),
                candidate(1, 4_000, "r1"),
                candidate(2, 6_000, "r1"),
            ],
            placed: vec![1, 2],
        },
        Case {
            name: "no idle CPU",
            request: best_effort,
            candidates: vec![
                candidate(0, 16_000, "r1"),
                Candidate {
                    best_effort_millicores: 12_000,
                    ..candidate(1, 4_000, "r1")
                },
            ],
            placed: vec![],
        },
    ]);
}
