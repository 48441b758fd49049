//! Behaviour of the stand-in, which tests change while it runs.

base::message! {
    /// Behaviour in force; `PUT /switch` replaces it.
    #[serde(deny_unknown_fields, default)]
    pub struct Behaviour {
        /// Factor on the service time of each request.
        pub slowdown: f64,
        /// Whether new requests are refused because the server is leaving.
        pub leaving: bool,
        /// Share of the requests that fail with status 500, from 0 to 1.
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
        /// Requests aborted because the caller closed its connection.
        pub cancelled: u64,
        /// Most requests in flight at once.
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
