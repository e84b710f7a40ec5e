//! Bodies of jobs, from the ordinary one to the most expensive ones that are legal.

/// Largest legal body, in bytes.
const BODY_BYTES: usize = 262_144;

/// What a job consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// One step of one task.
    Ordinary,
    /// As many steps of one task as a body of legal size has room for.
    ManySteps,
    /// The same with the shortest text of a step.
    ShortestSteps,
    /// One step with more tasks than any machine has memory for.
    EndlessCount,
    /// One step that is due again and again, without pause and nearly without end.
    EndlessTimes,
    /// One step that was due many times already.
    ManyTimes,
    /// One step of many tasks that need next to nothing.
    ManyTasks,
    /// Two steps, of which one waits for the other as often as there is room for.
    LongAfter,
}

impl Shape {
    /// The body of a submission.
    pub fn body(self) -> String {
        match self {
            Self::Ordinary => job(r#"{"count":1,"cpu":100,"mem_mb":1,"estimate_ms":10}"#, ""),
            Self::ManySteps => filled(r#"{"count":1,"cpu":10,"mem_mb":1,"estimate_ms":9}"#),
            Self::ShortestSteps => filled(r#"{"count":1}"#),
            Self::EndlessCount => job(r#"{"count":4000000000,"cpu":1,"mem_mb":1}"#, ""),
            Self::EndlessTimes => job(
                r#"{"count":1,"cpu":1,"mem_mb":1,"estimate_ms":10}"#,
                r#","times":4000000000,"start_at_ms":1,"interval_ms":0"#,
            ),
            Self::ManyTimes => job(
                r#"{"count":1,"cpu":1,"mem_mb":1,"estimate_ms":10}"#,
                r#","times":100000,"start_at_ms":1,"interval_ms":0"#,
            ),
            Self::ManyTasks => job(r#"{"count":20000,"cpu":1,"mem_mb":1,"estimate_ms":10}"#, ""),
            Self::LongAfter => {
                let step = r#"{"count":1,"cpu":100,"mem_mb":1,"estimate_ms":10}"#;
                let other = job(&format!(r#"{step},{{"count":1,"after":[0]}}"#), "").len();
                let after = "0,".repeat((BODY_BYTES - other) / 2) + "0";
                job(&format!(r#"{step},{{"count":1,"after":[{after}]}}"#), "")
            }
        }
    }
}

fn job(steps: &str, fields: &str) -> String {
    format!(r#"{{"spec":"run=10 cpu=1","steps":[{steps}]{fields}}}"#)
}

/// A body of legal size with this step as often as there is room for.
fn filled(step: &str) -> String {
    let count = (BODY_BYTES - job("", "").len()) / (step.len() + 1);
    job(&vec![step; count].join(","), "")
}
