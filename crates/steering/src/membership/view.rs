//! View of one VM on the members of its data centre and its contacts in others.

mod heartbeats;

use super::member::{Heartbeat, ListedVm, Member, State, Tag};
use super::rendezvous;
use base::id::{DataCentre, Incarnation, Region, Vm};
use indexmap::IndexMap;
use rand::{Rng, RngExt};
use std::time::{Duration, Instant};

base::label! {
    /// Role of a VM in reading the store for its data centre.
    pub enum Role {
        /// Reads the store.
        Reader,
        /// Reads the store less often, and becomes the reader when that one is suspected.
        Standby,
        /// Doesn't read the store.
        Member,
    }
}

base::value! {
    /// Settings of a view.
    #[derive(Copy)]
    pub struct Settings {
        /// Time without a new heartbeat after which a VM is suspected. It must exceed the time that
        /// heartbeats take to spread in a data centre of 38 VMs; until then the standby stands in
        /// for a reader that doesn't respond.
        pub suspect_after: Duration,
        /// Time for which gone VMs are remembered, so that late heartbeats don't make them live
        /// again.
        pub gone_retention: Duration,
        /// Maximum number of relayed heartbeats in one message. With 16 of 38, some live VMs were
        /// suspected after 10 s.
        pub max_relayed: usize,
        /// Share of exchanges with other data centres that stay in the same region.
        pub same_region_share: f64,
        /// VMs of the local data centre that are notified at once of a change. With 2, a version
        /// took 2.1 s to reach all 38 VMs of a data centre.
        pub local_fanout: usize,
        /// VMs of other data centres that the reader and its standby notify at once.
        pub remote_fanout: usize,
        /// Bytes per second that a VM may spend on reading the platform's list.
        pub list_bytes_per_second: f64,
    }

    /// Identity of this VM.
    pub struct Identity {
        /// Name.
        pub vm: Vm,
        /// Data centre.
        pub data_centre: DataCentre,
        /// Region.
        pub region: Region,
        /// Incarnation of the control process.
        pub incarnation: Incarnation,
    }

    /// VM through which another data centre is contacted.
    pub struct Contact {
        /// VM.
        pub vm: Vm,
        /// Region of the data centre.
        pub region: Region,
        /// Number of contacts in this data centre that didn't answer since one last did. It
        /// selects the next candidate from the list.
        pub failures: usize,
    }

    /// Members of the local data centre and contacts in others, as known to one VM.
    pub struct View {
        identity: Identity,
        settings: Settings,
        counter: u64,
        leaving: bool,
        members: IndexMap<Vm, Member>,
        contacts: IndexMap<DataCentre, Contact>,
        updates: u64,
        /// Unknown tags, with the number of times that each was requested.
        unknown: IndexMap<Tag, u32>,
    }
}

/// Minimum time between two reads of the list by the VMs of a data centre.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(5);

impl Default for Settings {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_secs(6),
            gone_retention: Duration::from_hours(2),
            max_relayed: 40,
            same_region_share: 0.25,
            local_fanout: 4,
            remote_fanout: 2,
            list_bytes_per_second: 1_500.0,
        }
    }
}

impl View {
    /// Starts with no members but this VM.
    pub fn new(identity: Identity, settings: Settings) -> Self {
        Self {
            identity,
            settings,
            counter: 0,
            leaving: false,
            members: IndexMap::new(),
            contacts: IndexMap::new(),
            updates: 0,
            unknown: IndexMap::new(),
        }
    }

    /// Returns the identity of this VM.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Announces that this VM is stopping.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Applies the platform's list. A VM that was listed before and no longer is, is gone; one that
    /// was never listed may have started after the lagging list was made. Presence proves nothing.
    /// An empty list is ignored, because at least its reader runs.
    ///
    /// Returns the VMs of the local data centre that are newly gone.
    pub fn apply_list(&mut self, list: &[ListedVm], now: Instant) -> Vec<Vm> {
        if list.is_empty() {
            return Vec::new();
        }
        let own = &self.identity.data_centre;
        for listed in list
            .iter()
            .filter(|listed| listed.data_centre == *own && listed.vm != self.identity.vm)
        {
            let member = self
                .members
                .entry(listed.vm.clone())
                .or_insert_with(Member::new);
            member.listed = true;
            member.leaving |= listed.leaving;
        }
        let listed_vms: indexmap::IndexSet<&Vm> = list.iter().map(|listed| &listed.vm).collect();
        let mut gone = Vec::new();
        for (vm, member) in &mut self.members {
            if member.listed && member.gone.is_none() && !listed_vms.contains(vm) {
                member.gone = Some(now);
                gone.push(vm.clone());
            }
        }
        let retention = self.settings.gone_retention;
        self.members.retain(|_, member| {
            member
                .gone
                .is_none_or(|at| now.saturating_duration_since(at) < retention)
        });
        self.choose_contacts(list, &listed_vms);
        gone
    }

    /// Chooses a contact in each other data centre. VMs of one data centre choose different ones,
    /// so that the load is spread.
    fn choose_contacts(&mut self, list: &[ListedVm], listed_vms: &indexmap::IndexSet<&Vm>) {
        let mut centres: IndexMap<&DataCentre, (&Region, Vec<&Vm>)> = IndexMap::new();
        for listed in list
            .iter()
            .filter(|listed| listed.data_centre != self.identity.data_centre)
        {
            let centre = centres
                .entry(&listed.data_centre)
                .or_insert_with(|| (&listed.region, Vec::new()));
            centre.1.push(&listed.vm);
        }
        self.contacts
            .retain(|centre, _| centres.contains_key(centre));
        for (centre, (region, vms)) in centres {
            let failures = self
                .contacts
                .get(centre)
                .map_or(0, |contact| contact.failures);
            let current = self
                .contacts
                .get(centre)
                .filter(|contact| contact.failures == 0 && listed_vms.contains(&contact.vm));
            if current.is_none() {
                let order = rendezvous::order(&self.identity.vm, vms);
                let vm = order[failures % order.len()].clone();
                let contact = Contact {
                    vm,
                    region: region.clone(),
                    failures,
                };
                self.contacts.insert(centre.clone(), contact);
            }
        }
    }

    /// Records heartbeats of VMs of the local data centre.
    pub fn record_heartbeats(&mut self, heartbeats: &[Heartbeat], now: Instant) {
        for heartbeat in heartbeats
            .iter()
            .filter(|heartbeat| heartbeat.vm != self.identity.vm)
        {
            let member = self
                .members
                .entry(heartbeat.vm.clone())
                .or_insert_with(Member::new);
            self.unknown.swap_remove(&heartbeat.tag());
            if member.record_heartbeat(heartbeat, now) {
                self.updates += 1;
                member.update = self.updates;
                member.relayed = 0;
            }
        }
    }

    /// Records whether the contact in another data centre answered.
    pub fn record_contact(&mut self, centre: &str, answered: bool) {
        if let Some(contact) = self.contacts.get_mut(centre) {
            contact.failures = if answered { 0 } else { contact.failures + 1 };
        }
    }

    /// Returns the state of a VM of the local data centre; `None` if the VM is unknown.
    pub fn state(&self, vm: &str, now: Instant) -> Option<State> {
        if *vm == *self.identity.vm {
            return Some(if self.leaving {
                State::Leaving
            } else {
                State::Live
            });
        }
        Some(
            self.members
                .get(vm)?
                .state(now, self.settings.suspect_after),
        )
    }

    /// Returns the incarnation of a VM of the local data centre, if a heartbeat arrived.
    pub fn incarnation(&self, vm: &str) -> Option<Incarnation> {
        self.members.get(vm)?.incarnation
    }

    /// Returns the VMs of the local data centre, including this one, that are in `state`.
    pub fn members(&self, state: State, now: Instant) -> impl Iterator<Item = &Vm> {
        std::iter::once(&self.identity.vm)
            .chain(self.members.keys())
            .filter(move |vm| self.state(vm, now) == Some(state))
    }

    /// Returns the contacts in the other data centres.
    pub fn contacts(&self) -> &IndexMap<DataCentre, Contact> {
        &self.contacts
    }

    /// Returns the role of this VM in reading the store. Two VMs whose views differ may both be
    /// readers, which costs only additional reads.
    pub fn role(&self, now: Instant) -> Role {
        let live = self.members(State::Live, now);
        if self.leaving && self.members(State::Live, now).next().is_some() {
            return Role::Member;
        }
        match rendezvous::rank(&self.identity.data_centre, &self.identity.vm, live) {
            0 => Role::Reader,
            1 => Role::Standby,
            _ => Role::Member,
        }
    }

    /// Returns up to `count` random VMs of the local data centre to exchange with. Suspected VMs
    /// are included, so that a VM becomes live again after a network partition.
    pub fn random_members(&self, count: usize, rng: &mut impl Rng) -> Vec<&Vm> {
        let known = self
            .members
            .iter()
            .filter(|(_, member)| member.gone.is_none());
        draw(known.map(|(vm, _)| vm).collect(), count, rng)
    }

    /// Returns up to `count` data centres to exchange with, a share of them in the same region.
    pub fn random_contacts(
        &self,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<(&DataCentre, &Contact)> {
        let (same_region, other_regions): (Vec<_>, Vec<_>) = self
            .contacts
            .iter()
            .partition(|(_, contact)| contact.region == self.identity.region);
        let (same_region, other_regions) =
            (responsive(same_region, rng), responsive(other_regions, rng));
        let same_region_count = (0..count)
            .filter(|_| rng.random_bool(self.settings.same_region_share))
            .count();
        let same_region_count = if other_regions.is_empty() {
            count
        } else {
            same_region_count
        };
        let mut chosen = draw(same_region, same_region_count, rng);
        let remaining = count - chosen.len();
        chosen.extend(draw(other_regions, remaining, rng));
        chosen
    }

    /// Returns the time until this VM reads the platform's list again, given the size of the last
    /// one. The VMs of a data centre take turns in reading it and notify each other of gone VMs,
    /// because a list of 5,400 VMs exceeds the byte budget of one VM for minutes. `None` for the
    /// reader of the store and its standby, whose traffic is the highest, if there are others.
    pub fn next_list(&self, bytes: usize, now: Instant, rng: &mut impl Rng) -> Option<Duration> {
        let others = self.members(State::Live, now).count().saturating_sub(2);
        if others > 0 && self.role(now) != Role::Member {
            return None;
        }
        let shared = MIN_LIST_INTERVAL * u32::try_from(others.max(1)).unwrap_or(u32::MAX);
        let afforded = Duration::from_secs_f64(bytes as f64 / self.settings.list_bytes_per_second);
        Some(
            shared
                .max(afforded)
                .mul_f64(0.75 + 0.5 * rng.random::<f64>()),
        )
    }

    /// Returns the gone incarnations of the local data centre, for notifications to its other VMs.
    pub fn gone(&self) -> Vec<(Vm, Incarnation)> {
        let gone = self
            .members
            .iter()
            .filter(|(_, member)| member.gone.is_some());
        gone.filter_map(|(vm, member)| Some((vm.clone(), member.incarnation?)))
            .collect()
    }

    /// Records the notification of another VM that an incarnation is gone.
    pub fn record_gone(&mut self, vm: &str, incarnation: Incarnation, now: Instant) {
        if let Some(member) = self.members.get_mut(vm)
            && member.incarnation == Some(incarnation)
        {
            member.gone.get_or_insert(now);
        }
    }

    /// Returns the number of VMs for which state is kept.
    pub fn tracked(&self) -> usize {
        self.members.len() + self.contacts.len()
    }
}

/// Share of draws that include contacts which didn't answer last time, to detect the end of a
/// partition.
const RETRY_SHARE: f64 = 0.25;

/// Removes contacts that didn't answer. During a partition between half of the data centres, draws
/// from all contacts took longer than 4 s to reach a VM in 1 of 150 runs.
fn responsive<'a>(
    contacts: Vec<(&'a DataCentre, &'a Contact)>,
    rng: &mut impl Rng,
) -> Vec<(&'a DataCentre, &'a Contact)> {
    if rng.random_bool(RETRY_SHARE) {
        return contacts;
    }
    contacts
        .into_iter()
        .filter(|(_, contact)| contact.failures == 0)
        .collect()
}

/// Draws up to `count` different items.
fn draw<T>(mut items: Vec<T>, count: usize, rng: &mut impl Rng) -> Vec<T> {
    let count = count.min(items.len());
    (0..count)
        .map(|_| items.swap_remove(rng.random_range(0..items.len())))
        .collect()
}
