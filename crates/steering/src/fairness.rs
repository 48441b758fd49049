//! Fair queue of the requests of workspaces, with shedding by deadline.
//!
//! The workspaces that have used about the least slot time start next, in order of arrival among
//! them. A start is charged with the expected run time and corrected when the request ends, so that
//! slow and large requests count with the slot time they use.

pub mod workspace_queue;

use base::id::Workspace;
use indexmap::IndexMap;
use std::time::{Duration, Instant};
use workspace_queue::{Entry, WorkspaceQueue};

base::value! {
    /// Settings of a queue.
    #[derive(Copy)]
    pub struct Settings {
        /// Maximum number of concurrent requests.
        pub slots: usize,
        /// Maximum number of queued requests of one workspace.
        pub length: usize,
        /// Expected run time of a workspace's first requests.
        pub expected: Duration,
        /// Maximum slot time by which a workspace that was idle is ahead of the busy ones, so that
        /// a short burst within its rate doesn't queue behind an overload of others.
        pub credit: Duration,
        /// Difference in slot time within which requests start in order of arrival; strict order of
        /// slot time would let workspaces within their rate overtake each other without need.
        pub slack: Duration,
        /// Run time in relation to the others' mean from which a workspace leaves slots free for
        /// them; infinite to disable the reserve.
        pub slow_factor: f64,
        /// Slots left free for the others, in standard deviations of their slot use. A higher value
        /// keeps their latency closer to that without slow requests, a lower one leaves less
        /// capacity idle.
        pub reserve_deviations: f64,
    }

    /// Request to be queued.
    pub struct Request<T> {
        /// Queued item.
        pub item: T,
        /// Id of the key with which the request was authorised.
        pub key: Box<str>,
        /// Minimum run time of the request; it is shed if less than this is left.
        pub min_run_time: Duration,
        /// Slot time in addition to a typical run that is known before the start, such as the
        /// transfer of a large body.
        pub transfer: Duration,
        /// Time by which the request must have finished.
        pub deadline: Instant,
    }

    /// Handle of a queued request, for its cancellation.
    #[derive(Eq)]
    pub struct Ticket {
        workspace: Workspace,
        number: u64,
    }

    /// Slot time charged at the start of a request; to be passed to [`Queue::finish`].
    pub struct Charge {
        workspace: Workspace,
        seconds: f64,
        transfer: Duration,
    }

    /// Next request to leave the queue.
    pub enum Next<T> {
        /// The item starts now and takes one slot.
        Run(T, Charge),
        /// The item can no longer finish in time and is not run.
        Late(T),
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 36,
            length: 256,
            expected: Duration::from_millis(20),
            credit: Duration::from_millis(400),
            slack: Duration::from_millis(350),
            slow_factor: 2.0,
            reserve_deviations: 2.0,
        }
    }
}

/// Why a request is not queued; it has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The workspace's queue is full.
    Full,
    /// The request can't finish in time.
    Late,
}

/// Queued requests of all workspaces.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    workspaces: IndexMap<Workspace, WorkspaceQueue<T>>,
    running: usize,
    virtual_time: f64,
    last_number: u64,
}

impl<T> Queue<T> {
    /// Returns an empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            workspaces: IndexMap::new(),
            running: 0,
            virtual_time: 0.0,
            last_number: 0,
        }
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns the item with the reason when the workspace's queue is full or the deadline too
    /// near.
    pub fn push(
        &mut self,
        workspace: &str,
        request: Request<T>,
        now: Instant,
    ) -> Result<Ticket, (T, Refusal)> {
        if now + request.min_run_time > request.deadline {
            return Err((request.item, Refusal::Late));
        }
        let queue = self
            .workspaces
            .entry(workspace.into())
            .or_insert_with(|| WorkspaceQueue::new(self.settings.expected, now));
        if queue.requests.len() >= self.settings.length {
            return Err((request.item, Refusal::Full));
        }
        if queue.requests.is_empty() && queue.running == 0 {
            let credit = self.settings.credit.as_secs_f64();
            queue.served = queue.served.max(self.virtual_time - credit);
        }
        self.last_number += 1;
        queue.requests.push_back(Entry {
            number: self.last_number,
            request,
        });
        Ok(Ticket {
            workspace: workspace.into(),
            number: self.last_number,
        })
    }

    /// Returns the next request to run or to refuse; call until `None` after each change and at
    /// [`Queue::next_expiry`]. A late request behind an earlier one of its workspace is returned
    /// only after that one.
    pub fn next(&mut self, now: Instant) -> Option<Next<T>> {
        if let Some(queue) = self
            .workspaces
            .values_mut()
            .find(|queue| queue.is_late(now))
        {
            return queue
                .requests
                .pop_front()
                .map(|entry| Next::Late(entry.request.item));
        }
        if self.running >= self.settings.slots {
            return None;
        }
        for queue in self.workspaces.values_mut() {
            queue.observe(now);
        }
        let eligible: Vec<usize> = (0..self.workspaces.len())
            .filter(|&index| !self.workspaces[index].requests.is_empty() && self.may_start(index))
            .collect();
        let least = |least: f64, index: &usize| least.min(self.workspaces[*index].served);
        let max_served =
            eligible.iter().fold(f64::INFINITY, least) + self.settings.slack.as_secs_f64();
        let index = eligible
            .into_iter()
            .filter(|&index| self.workspaces[index].served <= max_served)
            .min_by_key(|&index| {
                self.workspaces[index]
                    .requests
                    .front()
                    .map(|entry| entry.number)
            })?;
        let (workspace, queue) = self.workspaces.get_index_mut(index)?;
        let entry = queue.requests.pop_front()?;
        self.virtual_time = self.virtual_time.max(queue.served);
        let transfer = entry.request.transfer;
        let seconds = queue.typical() + transfer.as_secs_f64();
        queue.served += seconds;
        queue.running += 1;
        self.running += 1;
        let charge = Charge {
            workspace: workspace.clone(),
            seconds,
            transfer,
        };
        Some(Next::Run(entry.request.item, charge))
    }

    /// Returns the time by which [`Queue::next`] must be called again to shed late requests.
    pub fn next_expiry(&self) -> Option<Instant> {
        let heads = self
            .workspaces
            .values()
            .filter_map(|queue| queue.requests.front());
        heads
            .filter_map(|entry| {
                entry
                    .request
                    .deadline
                    .checked_sub(entry.request.min_run_time)
            })
            .min()
    }

    /// Frees the slot of a request that ran for `ran`.
    pub fn finish(&mut self, charge: &Charge, ran: Duration, now: Instant) {
        if let Some(queue) = self.workspaces.get_mut(&charge.workspace) {
            queue.observe(now);
            queue.served += ran.as_secs_f64() - charge.seconds;
            queue.end(ran, charge.transfer);
            self.running = self.running.saturating_sub(1);
        }
    }

    /// Removes a queued request whose caller has disconnected; `None` if it has started.
    pub fn cancel(&mut self, ticket: &Ticket) -> Option<T> {
        let queue = &mut self.workspaces.get_mut(&ticket.workspace)?.requests;
        let index = queue
            .binary_search_by_key(&ticket.number, |entry| entry.number)
            .ok()?;
        queue.remove(index).map(|entry| entry.request.item)
    }

    /// Removes the queued requests of a revoked key.
    pub fn remove_key(&mut self, workspace: &str, key: &str) -> Vec<T> {
        let Some(queue) = self.workspaces.get_mut(workspace) else {
            return Vec::new();
        };
        let (gone, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut queue.requests)
            .into_iter()
            .partition(|entry| &*entry.request.key == key);
        queue.requests = kept.into();
        gone.into_iter().map(|entry| entry.request.item).collect()
    }

    /// Returns the number of queued requests of a workspace.
    pub fn queued(&self, workspace: &str) -> usize {
        self.workspaces
            .get(workspace)
            .map_or(0, |queue| queue.requests.len())
    }

    /// Changes the number of slots; running requests beyond it continue.
    pub fn set_slots(&mut self, slots: usize) {
        self.settings.slots = slots;
    }

    /// Returns the expected run time of a workspace's next request.
    pub fn expected(&self, workspace: &str) -> Duration {
        let queue = self.workspaces.get(workspace);
        queue.map_or(self.settings.expected, |queue| {
            Duration::try_from_secs_f64(queue.run).unwrap_or(self.settings.expected)
        })
    }

    /// Removes workspaces that are no longer configured and have no requests.
    pub fn retain(&mut self, configured: impl Fn(&str) -> bool) {
        self.workspaces.retain(|workspace, queue| {
            configured(workspace) || !queue.requests.is_empty() || queue.running > 0
        });
    }

    /// Returns whether a workspace may take a free slot.
    ///
    /// A slow request blocks its slot while others wait. A workspace whose requests run much longer
    /// than the others' may use its fair share of the slots, and beyond that only slots that the
    /// others don't usually need.
    fn may_start(&self, index: usize) -> bool {
        let queue = &self.workspaces[index];
        let others = || {
            let workspaces = self.workspaces.values().enumerate();
            workspaces.filter(|&(other, queue)| other != index && queue.is_recent())
        };
        let usual: f64 = others().map(|(_, queue)| queue.usual()).sum();
        let runs: f64 = others()
            .map(|(_, queue)| queue.typical() * queue.usual())
            .sum();
        let slow = queue.cost() * usual > runs * self.settings.slow_factor;
        let fair = (self.settings.slots / (others().count() + 1)).max(1);
        if !slow || queue.running < fair {
            return true;
        }
        let running: usize = others().map(|(_, queue)| queue.running).sum();
        let wanted = usual + self.settings.reserve_deviations * usual.sqrt() - running as f64;
        let most = (self.settings.slots - fair).saturating_sub(running) as f64;
        let free = (self.settings.slots - self.running) as f64;
        free > wanted.min(most)
    }
}
