//! Capacity: cost per unit of each kind of state, as slopes over several sizes.

mod blocks;
mod config;
mod fit;
mod limits;
mod memory;
mod node;

use bincode::Options;
pub use fit::{Fit, Point};

/// Slope of one cost over the size of one kind of state.
#[derive(Debug, Clone, PartialEq)]
pub struct Slope {
    /// What is measured, with its unit.
    pub what: &'static str,
    /// What the size counts.
    pub per: &'static str,
    /// Measured values by size.
    pub points: Vec<Point>,
}

/// A kind of state with its measurement.
type Part = (&'static str, fn() -> Vec<Slope>);

/// Kinds of state by name. Each is measured in a process of its own, because memory that an
/// earlier measurement has freed would hide the growth of the next.
const PARTS: [Part; 6] = [
    ("blocks", blocks::measure),
    ("config", config::measure),
    ("holders", limits::holders),
    ("granter", limits::granter),
    ("keys", limits::keys),
    ("node", node::measure),
];

/// Size of a message as tarpc's bincode frames encode it, in bytes.
fn wire_size(message: &impl serde::Serialize) -> f64 {
    let size = bincode::DefaultOptions::new().serialized_size(message);
    size.map_or(0.0, |size| size as f64)
}

/// Measures one kind of state in one thread and returns the table of slopes with their fits.
///
/// # Errors
///
/// Fails if there is no kind of this name.
pub fn report(name: &str) -> Result<Box<str>, Box<str>> {
    let Some((_, measure)) = PARTS.iter().find(|(known, _)| *known == name) else {
        let names = PARTS.map(|(known, _)| known).join(", ");
        return Err(format!("no measurement `{name}`, expected one of {names}").into());
    };
    let mut text = String::new();
    for slope in measure() {
        let points: Vec<String> = slope
            .points
            .iter()
            .map(|p| format!("{}: {:.4}", p.size, p.value))
            .collect();
        let fit = Fit::of(&slope.points);
        text += &format!(
            "| {} | {} | {} | {:.4} | {:.6} | {:.3} |\n",
            slope.what,
            slope.per,
            points.join(", "),
            fit.intercept,
            fit.slope,
            fit.r2
        );
    }
    Ok(text.into())
}
