//! Recognition of backend servers that leave.

use base::id::{Incarnation, Server};
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Age that a sign of leaving must have before a health answer can end it. Health endpoints lag,
/// and an answer from before the server began to leave would put it back.
const HEALTH_LAG: Duration = Duration::from_secs(5);

base::value! {
    /// Backend servers that leave, by any one of three signs: the server's own refusal of a
    /// request, its health answer, and the platform's list.
    ///
    /// A server returns only on a health answer that was asked for after the last sign, while the
    /// list does not call it leaving. The list alone never puts a server back, because it lags.
    #[derive(Default)]
    pub struct LeavingServers {
        servers: IndexMap<Server, Mark>,
    }

    #[derive(Default)]
    struct Mark {
        /// Time of the last sign.
        sign: Option<Instant>,
        listed: bool,
        /// Incarnation that last returned, and when its health was asked for.
        returned: Option<(Incarnation, Instant)>,
    }
}

impl LeavingServers {
    /// Notes that a server refused a request, sent at `sent`, because it leaves.
    ///
    /// A late refusal by an earlier incarnation has no effect.
    pub fn record_refusal(&mut self, server: &str, by: Incarnation, sent: Instant, now: Instant) {
        let mark = self.mark(server);
        let late = mark
            .returned
            .is_some_and(|(current, asked)| current != by && sent < asked);
        if !late {
            mark.sign = Some(now);
        }
    }

    /// Notes a health answer that was asked for at `asked`.
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
        } else if let Some(mark) = self.servers.get_mut(server)
            && !mark.listed
            && mark.sign.is_some_and(|sign| asked >= sign + HEALTH_LAG)
        {
            mark.sign = None;
            mark.returned = Some((by, asked));
        }
    }

    /// Notes what the platform's list says.
    pub fn record_listed(&mut self, server: &str, now: Instant, leaving: bool) {
        if leaving {
            let mark = self.mark(server);
            mark.listed = true;
            mark.sign = Some(now);
        } else if let Some(mark) = self.servers.get_mut(server) {
            mark.listed = false;
        }
    }

    /// Forgets a server that the platform no longer lists.
    pub fn remove(&mut self, server: &str) {
        self.servers.shift_remove(server);
    }

    /// Returns whether a server may get new work.
    pub fn may_start(&self, server: &str) -> bool {
        self.servers
            .get(server)
            .is_none_or(|mark| mark.sign.is_none())
    }

    fn mark(&mut self, server: &str) -> &mut Mark {
        self.servers.entry(server.into()).or_default()
    }
}
