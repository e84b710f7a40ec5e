//! Detection of a congested link, at which the coordinator lets other hosts write the jobs they
//! accepted.

use hickorychute_cell::link_budget::LinkBudget;

#[test]
fn link_is_congested_while_much_of_it_is_used() {
    struct Case {
        name: &'static str,
        bytes_per_tick: u64,
        ticks: u64,
        checked_ms: u64,
        congested: bool,
    }
    // Ticks are 10 ms apart; the link carries 250,000 bytes a second.
    let cases = [
        Case {
            name: "nothing sent",
            bytes_per_tick: 0,
            ticks: 100,
            checked_ms: 1_000,
            congested: false,
        },
        Case {
            name: "10 percent of the capacity",
            bytes_per_tick: 250,
            ticks: 100,
            checked_ms: 1_000,
            congested: false,
        },
        Case {
            name: "50 percent of the capacity",
            bytes_per_tick: 1_250,
            ticks: 100,
            checked_ms: 1_000,
            congested: true,
        },
        Case {
            name: "burst that has just begun",
            bytes_per_tick: 10_000,
            ticks: 5,
            checked_ms: 60,
            congested: true,
        },
        Case {
            name: "50 percent of the capacity, earlier",
            bytes_per_tick: 1_250,
            ticks: 100,
            checked_ms: 2_600,
            congested: false,
        },
    ];
    for case in cases {
        let mut link = LinkBudget::default();
        for tick in 0..case.ticks {
            link.record_sent(case.bytes_per_tick, tick * 10);
        }
        let congested = link.is_congested(250_000, case.checked_ms);
        assert_eq!(congested, case.congested, "{}", case.name);
    }
}
