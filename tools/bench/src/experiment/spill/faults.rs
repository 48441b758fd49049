//! Failures and surges by scenario, and direction changes of weights.

use super::Scenario;

/// Steps of the simulation in a second.
pub const TICKS_PER_SECOND: usize = 20;
/// Ticks after which callers leave a failed data centre or return to it (2 s).
const FAILOVER_TICKS: usize = 40;
/// Smallest reverse movement of a weight that counts as a change of direction.
const MIN_TURN: f64 = 0.05;

/// Returns whether a data centre is up.
pub fn alive(scenario: Scenario, site: usize, tick: usize) -> bool {
    let second = tick / TICKS_PER_SECOND;
    let centre_down = match scenario {
        Scenario::Failures => site == 0 && (20..80).contains(&second),
        Scenario::Overlap => site == 0 && (20..170).contains(&second),
        Scenario::ColdSurge { .. } => return true,
    };
    let region_down = site / 2 == 1 && (110..170).contains(&second);
    !centre_down && !region_down
}

/// Returns the data centre to which the callers of `site` go.
pub fn entry(scenario: Scenario, site: usize, tick: usize) -> usize {
    if alive(scenario, site, tick.saturating_sub(FAILOVER_TICKS)) {
        return site;
    }
    let other = if site == 0 { 1 } else { site % 2 };
    match alive(scenario, other, tick.saturating_sub(FAILOVER_TICKS)) {
        true => other,
        false => 1,
    }
}

/// Returns the seconds of a data centre's full load after which a cache of another region
/// misses less by a factor of e.
pub fn warming(scenario: Scenario) -> f64 {
    match scenario {
        Scenario::Failures | Scenario::Overlap => 6.0,
        Scenario::ColdSurge { warming } => f64::from(warming),
    }
}

/// Returns the factor on the load of a data centre.
pub fn surge(scenario: Scenario, site: usize, tick: usize) -> f64 {
    let during = (20..80).contains(&(tick / TICKS_PER_SECOND));
    match (scenario, site / 2) {
        (Scenario::Failures | Scenario::Overlap, _) => 1.0,
        (_, 2) => 0.5,
        (_, _) if during => 2.0,
        (_, _) => 1.0,
    }
}

/// Updates the state of a weight: direction (0 at first), last extreme and number of direction
/// changes.
pub fn turn((direction, extreme, turns): (f64, f64, usize), weight: f64) -> (f64, f64, usize) {
    let moved = weight - extreme;
    if moved * direction > 0.0 {
        (direction, weight, turns)
    } else if moved.abs() >= MIN_TURN {
        let turned = usize::from(direction != 0.0);
        (moved.signum(), weight, turns + turned)
    } else {
        (direction, extreme, turns)
    }
}
