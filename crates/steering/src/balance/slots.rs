//! Allocation of the slots or connections of backend servers to the VMs of one data centre.
//!
//! Each unit of a server is assigned to one VM by rendezvous hashing over the live VMs. A VM that
//! loses a unit holds it until its last request on it has ended. A VM that gains a unit uses it
//! only after every other live VM has stated, under the same membership, that it doesn't hold the
//! unit, and after the requests of removed VMs must have ended.

use base::id::{Incarnation, Server, Vm};
use indexmap::{IndexMap, IndexSet};
use std::time::{Duration, Instant};

base::label! {
    /// One slot of a server, or one block of its connections.
    pub struct Unit(pub u32);
}

base::message! {
    /// Units that one VM holds, as sent to the other VMs of its data centre.
    pub struct Notice {
        /// Sender.
        pub vm: Vm,
        /// Run of the sender.
        pub incarnation: Incarnation,
        /// Increases with each notice of this run, so that reordered notices are dropped.
        pub sequence: u64,
        /// Increases with each membership or set of servers that the sender applies.
        pub epoch: u64,
        /// Digest of the membership and the servers that the sender applies.
        pub view: u64,
        /// Units that the sender may be using, lent ones included.
        pub held: Vec<(Server, Unit)>,
        /// Incarnation and epoch of the last notice received from each other VM.
        pub seen: IndexMap<Vm, (Incarnation, u64)>,
    }

    /// A unit lent for one request to a VM that has no free unit.
    pub struct Loan {
        /// Backend server.
        pub server: Server,
        /// Unit that is lent.
        pub unit: Unit,
        /// Id of the loan, so that a late return of an expired loan doesn't end a newer one.
        pub id: u64,
        /// Time in which the request must end, counted by the borrower from before its request for
        /// the loan.
        pub term: Duration,
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Usage {
    Idle,
    Busy,
    Lent { until: Instant, id: u64 },
}

/// Units of this VM for one resource (slots or blocks of connections) of the servers.
#[derive(Debug)]
pub struct Slots {
    vm: Vm,
    incarnation: Incarnation,
    settle: Duration,
    servers: IndexMap<Server, u32>,
    members: IndexMap<Vm, Incarnation>,
    epoch: u64,
    sequence: u64,
    last_loan: u64,
    /// Time from which no request of a removed VM can be left on a server.
    free_from: Instant,
    notices: IndexMap<Vm, Notice>,
    held: IndexMap<(Server, Unit), Usage>,
    /// Units assigned to this VM; changes with the epoch, as does `view`.
    assigned: IndexSet<(Server, Unit)>,
    view: u64,
}

impl Slots {
    /// Creates the state of one run of a VM, with no unit.
    ///
    /// `settle` is the time after which the requests of a removed VM have ended on the servers, and
    /// so the maximum run time of a request and the maximum term of a loan.
    pub fn new(
        vm: impl Into<Vm>,
        incarnation: Incarnation,
        settle: Duration,
        now: Instant,
    ) -> Self {
        Self {
            vm: vm.into(),
            incarnation,
            settle,
            servers: IndexMap::new(),
            members: IndexMap::new(),
            epoch: 0,
            sequence: 0,
            last_loan: 0,
            free_from: now + settle,
            notices: IndexMap::new(),
            held: IndexMap::new(),
            assigned: IndexSet::new(),
            view: 0,
        }
    }

    /// Applies the servers with their number of units and the live VMs of the data centre.
    ///
    /// An unreachable VM stays a member until the platform's list no longer holds it: two VMs that
    /// each considered themselves the only member would both take all units.
    pub fn apply(
        &mut self,
        servers: IndexMap<Server, u32>,
        mut members: IndexMap<Vm, Incarnation>,
        now: Instant,
    ) {
        members.sort_unstable_keys();
        if members == self.members && servers == self.servers {
            return;
        }
        let removed = |(vm, run): (&Vm, &Incarnation)| members.get(vm) != Some(run);
        if self.members.iter().any(removed) {
            self.free_from = self.free_from.max(now + self.settle);
        }
        self.notices
            .retain(|vm, notice| members.get(vm) == Some(&notice.incarnation));
        self.members = members;
        self.servers = servers;
        self.epoch += 1;
        self.assigned = self.assign().collect();
        self.view = self.digest();
        self.update(now);
    }

    /// Processes the notice of another VM.
    pub fn apply_notice(&mut self, notice: Notice, now: Instant) {
        let known = self.members.get(&notice.vm) == Some(&notice.incarnation);
        let newer = (self.notices.get(&notice.vm)).is_none_or(|n| n.sequence < notice.sequence);
        if known && newer {
            self.notices.insert(notice.vm.clone(), notice);
            self.update(now);
        }
    }

    /// Returns the notice for the other VMs of the data centre; to be sent several times a second.
    pub fn notice(&mut self, now: Instant) -> Notice {
        self.update(now);
        self.sequence += 1;
        let seen = |(vm, n): (&Vm, &Notice)| (vm.clone(), (n.incarnation, n.epoch));
        Notice {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            epoch: self.epoch,
            view: self.view,
            held: self.held.keys().cloned().collect(),
            seen: self.notices.iter().map(seen).collect(),
        }
    }

    /// Returns the number of idle units.
    pub fn free(&self, server: &str) -> usize {
        self.idle(server).count()
    }

    /// Returns the number of units that this VM holds, idle or in use.
    pub fn held(&self, server: &str) -> usize {
        self.held.keys().filter(|(s, _)| &**s == server).count()
    }

    /// Takes a unit for one request.
    pub fn take(&mut self, server: &str) -> Option<Unit> {
        let unit = self.idle(server).next()?;
        self.held.insert((server.into(), unit), Usage::Busy);
        Some(unit)
    }

    /// Releases the unit of a request that ended on the server.
    pub fn release(&mut self, server: &str, unit: Unit) {
        let key = (Server::from(server), unit);
        if self.assigned.contains(&key) {
            self.held.insert(key, Usage::Idle);
        } else {
            self.held.shift_remove(&key);
        }
    }

    /// Lends an idle unit for one request of another VM, which ends within half of `settle`.
    ///
    /// A loan that is not returned ends after the whole of `settle`: the margin covers the drift of
    /// the clocks and the time that cancellation takes.
    pub fn lend(&mut self, server: &str, now: Instant) -> Option<Loan> {
        self.lend_for(server, self.settle / 2, now)
    }

    /// Lends an idle unit for one request that ends within `term`; the loan ends after twice that.
    pub fn lend_for(&mut self, server: &str, term: Duration, now: Instant) -> Option<Loan> {
        let unit = self.idle(server).next()?;
        let until = now + term * 2;
        self.last_loan += 1;
        let id = self.last_loan;
        self.held
            .insert((server.into(), unit), Usage::Lent { until, id });
        Some(Loan {
            server: server.into(),
            unit,
            id,
            term,
        })
    }

    /// Ends a loan whose request has ended, as reported by the borrower.
    pub fn return_loan(&mut self, loan: &Loan) {
        let key = (loan.server.clone(), loan.unit);
        if matches!(self.held.get(&key), Some(Usage::Lent { id, .. }) if *id == loan.id) {
            self.release(&loan.server, loan.unit);
        }
    }

    /// Ends expired loans, releases units assigned to other VMs and takes units that became free.
    pub fn update(&mut self, now: Instant) {
        for usage in self.held.values_mut() {
            if matches!(usage, Usage::Lent { until, .. } if *until <= now) {
                *usage = Usage::Idle;
            }
        }
        (self.held).retain(|key, usage| *usage != Usage::Idle || self.assigned.contains(key));
        if now < self.free_from || !self.is_acknowledged() {
            return;
        }
        for key in &self.assigned {
            if !self.notices.values().any(|n| n.held.contains(key)) {
                self.held.entry(key.clone()).or_insert(Usage::Idle);
            }
        }
    }

    /// Returns whether every other live VM has acknowledged this VM's epoch under the same view.
    fn is_acknowledged(&self) -> bool {
        let own = Some(&(self.incarnation, self.epoch));
        self.members.keys().filter(|vm| **vm != self.vm).all(|vm| {
            let notice = self.notices.get(vm);
            notice.is_some_and(|n| n.view == self.view && n.seen.get(&self.vm) == own)
        })
    }

    /// Returns the units that rendezvous hashing assigns to this VM.
    fn assign(&self) -> impl Iterator<Item = (Server, Unit)> {
        self.servers.iter().flat_map(|(server, units)| {
            let mut ranked: Vec<_> = self.members.keys().collect();
            ranked.sort_by_key(|vm| digest([server.as_bytes(), vm.as_bytes()]));
            let rank = ranked.iter().position(|vm| **vm == self.vm);
            let count = ranked.len();
            (0..*units)
                .filter(move |unit| rank.is_some_and(|r| *unit as usize % count == r))
                .map(|unit| (server.clone(), Unit(unit)))
        })
    }

    fn idle(&self, server: &str) -> impl Iterator<Item = Unit> {
        let server = Server::from(server);
        (self.held.iter())
            .filter(move |((name, _), usage)| *name == server && **usage == Usage::Idle)
            .map(|((_, unit), _)| *unit)
    }

    fn digest(&self) -> u64 {
        let members = self.members.iter();
        let servers = self.servers.iter();
        let parts = members
            .map(|(vm, run)| (vm, run.to_le_bytes()))
            .chain(servers.map(|(name, units)| (name, u64::from(*units).to_le_bytes())));
        let entries: Vec<_> = parts.collect();
        digest(
            entries
                .iter()
                .flat_map(|(name, n)| [name.as_bytes(), &n[..]]),
        )
    }
}

fn digest<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
