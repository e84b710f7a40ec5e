//! Assignment of tasks to workers.

use hickorychute_cell::{
    pace_choice::PaceChoice,
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
        pace_percent: 100,
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
    pace: PaceChoice::Any,
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

/// Workers of different paces: `(pace, free cores)`.
fn paced(workers: &[(u32, u64)]) -> Vec<Candidate<'static>> {
    let of = |(number, &(pace_percent, free)): (usize, &(u32, u64))| Candidate {
        pace_percent,
        ..candidate(number, 16_000 - free * 1_000, "r1")
    };
    workers.iter().enumerate().map(of).collect()
}

/// Guards against gangs that advance at the pace of a single slow member.
#[test]
fn gangs_use_workers_of_one_pace() {
    let gang = |pace, count| Request {
        all_or_nothing: true,
        count,
        pace,
        ..REQUEST
    };
    check(vec![
        Case {
            name: "fast workers have room",
            request: gang(PaceChoice::Fast, 2),
            candidates: paced(&[(195, 4), (100, 4), (195, 8), (100, 8)]),
            placed: vec![1, 3],
        },
        Case {
            name: "no fast worker is pulled into a slow set",
            request: gang(PaceChoice::Fast, 3),
            candidates: paced(&[(195, 4), (100, 4), (195, 8), (100, 4)]),
            placed: vec![0, 2, 2],
        },
        Case {
            name: "fits only mixed",
            request: gang(PaceChoice::Fast, 4),
            candidates: paced(&[(195, 4), (100, 8), (195, 8)]),
            placed: vec![0, 2, 2, 1],
        },
        Case {
            name: "the slowest member is as fast as possible",
            request: gang(PaceChoice::Fast, 3),
            candidates: paced(&[(195, 8), (100, 8), (125, 4)]),
            placed: vec![2, 1, 1],
        },
        Case {
            name: "with slack on slow workers",
            request: gang(PaceChoice::Slow, 2),
            candidates: paced(&[(100, 8), (195, 8), (125, 16)]),
            placed: vec![1, 1],
        },
        Case {
            name: "with slack where it fits on one pace",
            request: gang(PaceChoice::Slow, 2),
            candidates: paced(&[(100, 8), (195, 4), (125, 4)]),
            placed: vec![0, 0],
        },
        Case {
            name: "does not fit",
            request: gang(PaceChoice::Fast, 3),
            candidates: paced(&[(100, 4), (195, 4)]),
            placed: vec![],
        },
    ]);
}

#[test]
fn independent_tasks_use_workers_by_their_slack() {
    let request = |pace| Request { pace, ..REQUEST };
    check(vec![
        Case {
            name: "near the objective",
            request: request(PaceChoice::Fast),
            candidates: paced(&[(195, 4), (100, 8), (195, 4)]),
            placed: vec![1, 1],
        },
        Case {
            name: "with slack",
            request: request(PaceChoice::Slow),
            candidates: paced(&[(195, 4), (100, 8), (195, 8)]),
            placed: vec![0, 2],
        },
        Case {
            name: "fast workers are full",
            request: request(PaceChoice::Fast),
            candidates: paced(&[(195, 4), (100, 4)]),
            placed: vec![1, 0],
        },
    ]);
}

/// Guards against a change in cells of equal workers.
#[test]
fn equal_paces_are_placed_as_before() {
    for all_or_nothing in [false, true] {
        for same_rack in [false, true] {
            let place = |pace: PaceChoice, pace_percent: u32| {
                let request = Request {
                    count: 5,
                    all_or_nothing,
                    same_rack,
                    pace,
                    ..REQUEST
                };
                let mut candidates: Vec<Candidate<'_>> = [9_000, 0, 4_000, 13_000, 2_000]
                    .into_iter()
                    .enumerate()
                    .map(|(number, used)| Candidate {
                        pace_percent,
                        ..candidate(number, used, ["r1", "r2"][number % 2])
                    })
                    .collect();
                placement::place(&request, &mut candidates)
            };
            let before = place(PaceChoice::Any, 100);
            for pace in [PaceChoice::Fast, PaceChoice::Slow] {
                assert_eq!(place(pace, 100), before);
                assert_eq!(place(pace, 195), before);
            }
        }
    }
}
