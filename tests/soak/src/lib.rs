//! Randomized soak: real gateway processes, faults from outside them, and promises checked by what
//! callers and backend servers see.
//!
//! [`run::run`] plays one seed. [`proxy`] delays, resets, silences and cuts connections one way;
//! [`process`] signals gateway processes and [`place`] says where they listen; [`plan`] draws the faults; [`promise`] checks.

pub mod caller;
pub mod place;
pub mod plan;
pub mod process;
pub mod promise;
pub mod proxy;
pub mod run;
