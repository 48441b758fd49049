//! Behaviour that tests change while the stand-in runs.

base::message! {
    /// Behaviour in force; `PUT /switch` replaces it.
    #[serde(deny_unknown_fields, default)]
    pub struct Behaviour {
        /// Factor on the time of each request.
        pub slowdown: f64,
        /// Whether new work is refused because the server is leaving.
        pub leaving: bool,
        /// Part of the requests that fail with status 500, from 0 to 1.
        pub failures: f64,
        /// Load that the load endpoint reports instead of the true one.
        pub reported_load: Option<f64>,
        /// Health that the health endpoint reports instead of the true one.
        pub reported_health: Option<bool>,
    }

    /// Counts since the start.
    #[derive(Default)]
    pub struct Counts {
        /// Requests that ran to their end.
        pub served: u64,
        /// Requests refused because all slots were taken or the server is leaving.
        pub shed: u64,
        /// Requests given up because the caller left.
        pub cancelled: u64,
        /// Most requests in progress at once.
        pub peak: usize,
        /// Requests that carried a workspace key; must stay 0.
        pub keys_seen: u64,
    }
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            leaving: false,
            failures: 0.0,
            reported_load: None,
            reported_health: None,
        }
    }
}
