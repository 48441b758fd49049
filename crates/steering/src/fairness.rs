//! Fair order among the queued requests of workspaces, with shedding by deadline.
//!
//! Workspaces that have used about the least slot time start next, in order of arrival among them.
//! A start is charged with the expected run time and corrected when the run ends, so slow and large
//! requests count for what they take.

pub mod lane;

use base::id::Workspace;
use indexmap::IndexMap;
use lane::{Entry, Lane};
use std::time::{Duration, Instant};

base::value! {
    /// Settings of a queue.
    #[derive(Copy)]
    pub struct Settings {
        /// Requests that may run at once.
        pub slots: usize,
        /// Most queued requests of one workspace.
        pub length: usize,
        /// Run time that is expected of a workspace's first requests.
        pub expected: Duration,
        /// Most slot time by which a workspace that was idle precedes the busy ones, so that a
        /// short burst inside its rate doesn't queue behind a flood.
        pub credit: Duration,
        /// Difference in slot time within which requests start in order of arrival; strict order of
        /// slot time would let workspaces inside their rate overtake each other without need.
        pub slack: Duration,
        /// Run time in relation to the others' mean from which a workspace leaves slots free for
        /// them; infinite to start whatever is queued.
        pub slow_factor: f64,
        /// Standard deviations of the others' slot use that are left free. More keeps their latency
        /// closer to what it is alone; fewer leave less capacity idle.
        pub reserve_deviations: f64,
    }

    /// One request on its way into the queue.
    pub struct Request<T> {
        /// What is queued.
        pub item: T,
        /// Id of the key with which the request was authorised.
        pub key: Box<str>,
        /// Least time the request needs to run; without that much left it is shed.
        pub min_run_time: Duration,
        /// Slot time that is known before the start to come on top of a usual run, such as the
        /// transfer of a large body.
        pub transfer: Duration,
        /// Time by which the request must have finished.
        pub deadline: Instant,
    }

    /// Name of a queued request, with which it is cancelled.
    #[derive(Eq)]
    pub struct Ticket {
        workspace: Workspace,
        number: u64,
    }

    /// What a start was charged; handed back to [`Queue::finish`].
    pub struct Charge {
        workspace: Workspace,
        seconds: f64,
        transfer: Duration,
    }

    /// What comes next.
    pub enum Next<T> {
        /// The item starts now and takes one slot.
        Run(T, Charge),
        /// The item can no longer finish in time and doesn't run.
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

/// Reason why a request isn't queued; the request has not run.
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
    lanes: IndexMap<Workspace, Lane<T>>,
    running: usize,
    virtual_time: f64,
    numbers: u64,
}

impl<T> Queue<T> {
    /// Returns an empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            lanes: IndexMap::new(),
            running: 0,
            virtual_time: 0.0,
            numbers: 0,
        }
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns the item with the reason when the workspace's queue is full or the deadline too near.
    pub fn push(
        &mut self,
        workspace: &str,
        request: Request<T>,
        now: Instant,
    ) -> Result<Ticket, (T, Refusal)> {
        if now + request.min_run_time > request.deadline {
            return Err((request.item, Refusal::Late));
        }
        let lane = self
            .lanes
            .entry(workspace.into())
            .or_insert_with(|| Lane::new(self.settings.expected, now));
        if lane.queue.len() >= self.settings.length {
            return Err((request.item, Refusal::Full));
        }
        if lane.queue.is_empty() && lane.running == 0 {
            let credit = self.settings.credit.as_secs_f64();
            lane.served = lane.served.max(self.virtual_time - credit);
        }
        self.numbers += 1;
        lane.queue.push_back(Entry {
            number: self.numbers,
            request,
        });
        Ok(Ticket {
            workspace: workspace.into(),
            number: self.numbers,
        })
    }

    /// Returns the next request to run or to refuse; call until `None` after each change and at
    /// [`Queue::next_expiry`]. A late request behind an earlier one of its workspace waits for its turn.
    pub fn next(&mut self, now: Instant) -> Option<Next<T>> {
        if let Some(lane) = self.lanes.values_mut().find(|lane| lane.is_late(now)) {
            return lane
                .queue
                .pop_front()
                .map(|entry| Next::Late(entry.request.item));
        }
        if self.running >= self.settings.slots {
            return None;
        }
        for lane in self.lanes.values_mut() {
            lane.observe(now);
        }
        let open: Vec<usize> = (0..self.lanes.len())
            .filter(|&index| !self.lanes[index].queue.is_empty() && self.may_start(index))
            .collect();
        let least = |least: f64, index: &usize| least.min(self.lanes[*index].served);
        let line = open.iter().fold(f64::INFINITY, least) + self.settings.slack.as_secs_f64();
        let index = open
            .into_iter()
            .filter(|&index| self.lanes[index].served <= line)
            .min_by_key(|&index| self.lanes[index].queue.front().map(|entry| entry.number))?;
        let (workspace, lane) = self.lanes.get_index_mut(index)?;
        let entry = lane.queue.pop_front()?;
        self.virtual_time = self.virtual_time.max(lane.served);
        let transfer = entry.request.transfer;
        let seconds = lane.typical() + transfer.as_secs_f64();
        lane.served += seconds;
        lane.running += 1;
        self.running += 1;
        let charge = Charge {
            workspace: workspace.clone(),
            seconds,
            transfer,
        };
        Some(Next::Run(entry.request.item, charge))
    }

    /// Returns the time by which [`Queue::next`] must be called again to shed in time.
    pub fn next_expiry(&self) -> Option<Instant> {
        let heads = self.lanes.values().filter_map(|lane| lane.queue.front());
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
        if let Some(lane) = self.lanes.get_mut(&charge.workspace) {
            lane.observe(now);
            lane.served += ran.as_secs_f64() - charge.seconds;
            lane.end(ran, charge.transfer);
            self.running = self.running.saturating_sub(1);
        }
    }

    /// Removes a queued request whose caller has left; `None` if it has started.
    pub fn cancel(&mut self, ticket: &Ticket) -> Option<T> {
        let queue = &mut self.lanes.get_mut(&ticket.workspace)?.queue;
        let index = queue
            .binary_search_by_key(&ticket.number, |entry| entry.number)
            .ok()?;
        queue.remove(index).map(|entry| entry.request.item)
    }

    /// Removes the queued requests of a revoked key.
    pub fn remove_key(&mut self, workspace: &str, key: &str) -> Vec<T> {
        let Some(lane) = self.lanes.get_mut(workspace) else {
            return Vec::new();
        };
        let (gone, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut lane.queue)
            .into_iter()
            .partition(|entry| &*entry.request.key == key);
        lane.queue = kept.into();
        gone.into_iter().map(|entry| entry.request.item).collect()
    }

    /// Returns the number of queued requests of a workspace.
    pub fn queued(&self, workspace: &str) -> usize {
        self.lanes.get(workspace).map_or(0, |lane| lane.queue.len())
    }

    /// Changes the number of slots; running requests beyond it go on.
    pub fn set_slots(&mut self, slots: usize) {
        self.settings.slots = slots;
    }

    /// Returns the run time to expect of a workspace's next request.
    pub fn expected(&self, workspace: &str) -> Duration {
        let lane = self.lanes.get(workspace);
        lane.map_or(self.settings.expected, |lane| {
            Duration::try_from_secs_f64(lane.run).unwrap_or(self.settings.expected)
        })
    }

    /// Drops what is known of workspaces that are no longer configured and have no requests.
    pub fn retain(&mut self, configured: impl Fn(&str) -> bool) {
        self.lanes.retain(|workspace, lane| {
            configured(workspace) || !lane.queue.is_empty() || lane.running > 0
        });
    }

    /// Reports whether a workspace may take a free slot.
    ///
    /// A slot taken by a slow request stays taken while others wait. A workspace whose requests run
    /// much longer than the others' may use its fair share of the slots, and beyond that only slots
    /// that the others don't usually need.
    fn may_start(&self, index: usize) -> bool {
        let lane = &self.lanes[index];
        let others = || {
            let lanes = self.lanes.values().enumerate();
            lanes.filter(|&(other, lane)| other != index && lane.is_recent())
        };
        let usual: f64 = others().map(|(_, lane)| lane.usual()).sum();
        let runs: f64 = others()
            .map(|(_, lane)| lane.typical() * lane.usual())
            .sum();
        let slow = lane.cost() * usual > runs * self.settings.slow_factor;
        let fair = (self.settings.slots / (others().count() + 1)).max(1);
        if !slow || lane.running < fair {
            return true;
        }
        let running: usize = others().map(|(_, lane)| lane.running).sum();
        let wanted = usual + self.settings.reserve_deviations * usual.sqrt() - running as f64;
        let most = (self.settings.slots - fair).saturating_sub(running) as f64;
        let free = (self.settings.slots - self.running) as f64;
        free > wanted.min(most)
    }
}
