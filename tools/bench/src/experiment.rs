//! Experiments in simulated time that compare the decision logic with baselines.

pub mod answers;
pub mod balance;
pub mod config;
pub mod crashes;
pub mod fairness;
pub mod lease;
pub mod limits;
pub mod overload;
pub mod placement;
pub mod quarantine;
pub mod release;
pub mod spill;

/// Name of an experiment and the function that runs it.
type Experiment = (&'static str, fn() -> Box<str>);

const EXPERIMENTS: [Experiment; 12] = [
    ("answers", answers::report),
    ("balance", balance::report),
    ("config", config::report),
    ("crashes", crashes::report),
    ("fairness", fairness::report),
    ("lease", lease::report),
    ("limits", limits::report),
    ("overload", overload::report),
    ("placement", placement::report),
    ("quarantine", quarantine::report),
    ("release", release::report),
    ("spill", spill::report),
];

/// Runs an experiment, or all of them, and returns its report.
///
/// # Errors
///
/// Fails if there is no experiment of this name.
pub fn report(name: &str) -> Result<Box<str>, Box<str>> {
    let selected = EXPERIMENTS
        .iter()
        .filter(|(known, _)| name == "all" || name == *known);
    let reports: Vec<Box<str>> = selected.map(|(_, report)| report()).collect();
    if reports.is_empty() {
        let names: Vec<&str> = EXPERIMENTS.iter().map(|(known, _)| *known).collect();
        let names = names.join(", ");
        return Err(format!("no experiment `{name}`, expected `all` or one of {names}").into());
    }
    Ok(reports.join("\n").into())
}
