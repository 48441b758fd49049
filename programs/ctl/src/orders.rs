//! Summary of the orders in the store of the users' platform, for `check`.

use adapter::desired::{self, Unreadable};
use adapter::store::Row;
use base::id::{DataCentre, Label, Service, Version};

base::message! {
    /// Order for the takeover of a service by a version.
    pub struct Release {
        /// Service.
        pub service: Service,
        /// Version that takes over.
        pub label: Label,
        /// Seconds from the order to its deadline.
        pub term_s: f64,
    }

    /// Summary of all orders.
    pub struct Orders {
        /// Version of the configuration; none without a configuration that can be decoded.
        pub version: Option<Version>,
        /// Number of routes.
        pub routes: usize,
        /// Number of workspaces.
        pub workspaces: usize,
        /// Number of services.
        pub services: usize,
        /// Releases.
        pub releases: Vec<Release>,
        /// Data centres whose servers get no requests.
        pub evacuated: Vec<DataCentre>,
        /// Rows that can't be decoded.
        pub unreadable: Vec<Unreadable>,
    }
}

impl Orders {
    /// Summarises the rows of the table of orders.
    pub fn of(rows: &[Row]) -> Self {
        let (operations, unreadable) = desired::read(rows);
        let configuration = operations.configuration.as_ref();
        let releases = operations.takeovers.iter().map(|order| Release {
            service: order.service.clone(),
            label: order.label.clone(),
            term_s: order.term.as_secs_f64(),
        });
        Self {
            version: configuration.map(|c| c.version),
            routes: configuration.map_or(0, |c| c.routes.len()),
            workspaces: configuration.map_or(0, |c| c.accounts.len()),
            services: configuration.map_or(0, |c| c.services.len()),
            releases: releases.collect(),
            evacuated: operations.evacuated.clone(),
            unreadable,
        }
    }
}
