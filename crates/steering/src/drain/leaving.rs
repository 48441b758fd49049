//! Detection of backend servers that are leaving.

use base::id::{Incarnation, Server};
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Age that a sign of leaving must have before a health answer can clear it. Health endpoints lag,
/// so an earlier answer may stem from before the server began to leave.
const HEALTH_LAG: Duration = Duration::from_secs(5);

base::value! {
    /// Backend servers that are leaving, by any one of three signs: the server refused a request,
    /// its health answer said so, or the platform's list does.
    ///
    /// A server returns only by a health answer that was requested after the last sign, while it is
    /// not listed as leaving. The list alone never brings a server back, because it lags.
    #[derive(Default)]
    pub struct LeavingServers {
        servers: IndexMap<Server, ServerState>,
    }

    #[derive(Default)]
    struct ServerState {
        /// Time of the last sign; none if the server may get new work.
        last_sign: Option<Instant>,
        is_listed: bool,
        /// Incarnation that last returned, and the time of the health request that showed it.
        returned: Option<(Incarnation, Instant)>,
    }
}

impl LeavingServers {
    /// Records that a server refused a request, sent at `sent`, because it is leaving.
    ///
    /// A late refusal by an earlier incarnation has no effect.
    pub fn record_refusal(&mut self, server: &str, by: Incarnation, sent: Instant, now: Instant) {
        let state = self.state(server);
        let is_late = state
            .returned
            .is_some_and(|(current, asked)| current != by && sent < asked);
        if !is_late {
            state.last_sign = Some(now);
        }
    }

    /// Records a health answer that was requested at `asked`.
    pub fn record_health(
        &mut self,
        server: &str,
        by: Incarnation,
        asked: Instant,
        now: Instant,
        leaving: bool,
    ) {
        if leaving {
            self.record_refusal(server, by, asked, now);
        } else if let Some(state) = self.servers.get_mut(server)
            && !state.is_listed
            && state.last_sign.is_some_and(|at| asked >= at + HEALTH_LAG)
        {
            state.last_sign = None;
            state.returned = Some((by, asked));
        }
    }

    /// Records whether the platform's list calls the server leaving.
    pub fn record_listed(&mut self, server: &str, now: Instant, leaving: bool) {
        if leaving {
            let state = self.state(server);
            state.is_listed = true;
            state.last_sign = Some(now);
        } else if let Some(state) = self.servers.get_mut(server) {
            state.is_listed = false;
        }
    }

    /// Removes a server that the platform no longer lists.
    pub fn remove(&mut self, server: &str) {
        self.servers.shift_remove(server);
    }

    /// Returns whether a server may get new work.
    pub fn may_start(&self, server: &str) -> bool {
        self.servers
            .get(server)
            .is_none_or(|state| state.last_sign.is_none())
    }

    fn state(&mut self, server: &str) -> &mut ServerState {
        self.servers.entry(server.into()).or_default()
    }
}
