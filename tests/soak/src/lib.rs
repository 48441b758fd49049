//! Randomized soak test: injects faults into real gateway processes and checks invariants on what
//! callers and backend servers observe.
//!
//! [`run::run`] runs one seed. [`plan`] generates its faults, [`process`] signals gateway
//! processes, [`proxy`] disturbs connections, [`traffic`] starts callers, [`pipeline`] sends
//! requests ahead, [`addresses`] assigns listen addresses and [`invariants`] checks the result.

pub mod addresses;
pub mod caller;
pub mod invariants;
pub mod pipeline;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod run;
pub mod traffic;
