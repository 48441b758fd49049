//! Capacity measurements: cost per unit of each kind of state, fitted over several sizes.

mod blocks;
mod config;
mod fit;
mod limits;
mod memory;
mod node;

use bincode::Options;
pub use fit::{Fit, Point};

/// One cost, measured at several sizes of one kind of state.
#[derive(Debug, Clone, PartialEq)]
pub struct Slope {
    /// Measured quantity with its unit of measure.
    pub quantity: &'static str,
    /// Thing that the size counts.
    pub unit: &'static str,
    /// Measured values by size.
    pub points: Vec<Point>,
}

/// Name of a kind of state and the function that measures it.
type Measurement = (&'static str, fn() -> Vec<Slope>);

/// Each measurement runs in its own process, because memory freed by an earlier measurement would
/// be reused and hide the growth in the next one.
const MEASUREMENTS: [Measurement; 6] = [
    ("blocks", blocks::measure),
    ("config", config::measure),
    ("holders", limits::measure_holders),
    ("granter", limits::measure_granter),
    ("keys", limits::measure_keys),
    ("node", node::measure),
];

/// Returns the size of a message in the bincode encoding that tarpc uses, in bytes.
fn wire_size(message: &impl serde::Serialize) -> f64 {
    let size = bincode::DefaultOptions::new().serialized_size(message);
    size.map_or(0.0, |size| size as f64)
}

/// Measures one kind of state in one thread and returns the table rows with the fitted lines.
///
/// # Errors
///
/// Fails if there is no measurement of this name.
pub fn report(name: &str) -> Result<Box<str>, Box<str>> {
    let Some((_, measure)) = MEASUREMENTS.iter().find(|(known, _)| *known == name) else {
        let names = MEASUREMENTS.map(|(known, _)| known).join(", ");
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
            slope.quantity,
            slope.unit,
            points.join(", "),
            fit.intercept,
            fit.slope,
            fit.r2
        );
    }
    Ok(text.into())
}
