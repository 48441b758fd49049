//! The VMs as one VM sees them.

mod pulse;

use super::member::{Heartbeat, ListedVm, Member, State, Tag};
use super::rendezvous;
use base::id::{DataCentre, Incarnation, Region, Vm};
use indexmap::IndexMap;
use rand::{Rng, RngExt};
use std::time::{Duration, Instant};

base::label! {
    /// Part of a VM in reading the store for its data centre.
    pub enum Role {
        /// Reads.
        Reader,
        /// Reads less often, and becomes the reader when that one falls silent.
        Standby,
        /// Leaves reading to the others.
        Member,
    }
}

base::value! {
    /// Settings of a view.
    #[derive(Copy)]
    pub struct Settings {
        /// Time without a new heartbeat after which a VM is suspected. It has to exceed the time
        /// that heartbeats take through a data centre of 38 VMs; the stand-by covers for a
        /// silent reader until then.
        pub suspect_after: Duration,
        /// Time for which gone VMs are remembered, so that late heartbeats don't bring them back.
        pub gone_retention: Duration,
        /// Heartbeats passed on in one message, next to the own one. With 16 of 38, some live
        /// VMs were suspected after 10 s.
        pub max_relayed: usize,
        /// Share of exchanges across data centres that go to the own region.
        pub same_region_share: f64,
        /// VMs of the own data centre that are told at once of something new. With 2, a version
        /// took 2.1 s through a data centre of 38 VMs.
        pub local_fanout: usize,
        /// VMs of other data centres that are told at once, by the reader and its stand-by.
        pub remote_fanout: usize,
        /// Bytes per second that a VM may spend on reading the platform's list.
        pub list_bytes_per_second: f64,
    }

    /// The VM itself.
    pub struct Identity {
        /// Name.
        pub vm: Vm,
        /// Data centre.
        pub data_centre: DataCentre,
        /// Region.
        pub region: Region,
        /// This run of the control process.
        pub incarnation: Incarnation,
    }

    /// The VM through which another data centre is reached.
    pub struct Contact {
        /// VM.
        pub vm: Vm,
        /// Region of the data centre.
        pub region: Region,
        /// Times that a contact in this data centre didn't answer, since one last did. It
        /// selects the next candidate from the list.
        pub failures: usize,
    }

    /// View of one VM.
    pub struct View {
        identity: Identity,
        settings: Settings,
        counter: u64,
        leaving: bool,
        members: IndexMap<Vm, Member>,
        contacts: IndexMap<DataCentre, Contact>,
        news: u64,
        /// Tags that are not known, with the times that they were asked for.
        unknown: IndexMap<Tag, u32>,
    }
}

/// Shortest time between two reads of the list.
const LIST_INTERVAL: Duration = Duration::from_secs(5);

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
    /// Starts with nothing known but the VM itself.
    pub fn new(identity: Identity, settings: Settings) -> Self {
        Self {
            identity,
            settings,
            counter: 0,
            leaving: false,
            members: IndexMap::new(),
            contacts: IndexMap::new(),
            news: 0,
            unknown: IndexMap::new(),
        }
    }

    /// Returns the VM itself.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Announces that the VM itself is stopping.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes the platform's list. Absence means gone, for a VM that was listed before; a VM that
    /// was never listed may have started after the lagging list was made. Presence proves
    /// nothing. A list without any VM is refused, because at least the reader itself runs.
    ///
    /// Returns the VMs of the own data centre that are gone since.
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
        let named: indexmap::IndexSet<&Vm> = list.iter().map(|listed| &listed.vm).collect();
        let mut gone = Vec::new();
        for (vm, member) in &mut self.members {
            if member.listed && member.gone.is_none() && !named.contains(vm) {
                member.gone = Some(now);
                gone.push(vm.clone());
            }
        }
        let kept = self.settings.gone_retention;
        self.members.retain(|_, member| {
            member
                .gone
                .is_none_or(|at| now.saturating_duration_since(at) < kept)
        });
        self.choose_contacts(list, &named);
        gone
    }

    /// Chooses a contact for each other data centre. VMs of one data centre choose different
    /// ones, so that no VM serves all of them.
    fn choose_contacts(&mut self, list: &[ListedVm], named: &indexmap::IndexSet<&Vm>) {
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
            let kept = self
                .contacts
                .get(centre)
                .filter(|contact| contact.failures == 0 && named.contains(&contact.vm));
            if kept.is_none() {
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

    /// Takes heartbeats of VMs of the own data centre.
    pub fn record_heartbeats(&mut self, beats: &[Heartbeat], now: Instant) {
        for beat in beats.iter().filter(|beat| beat.vm != self.identity.vm) {
            let member = self
                .members
                .entry(beat.vm.clone())
                .or_insert_with(Member::new);
            self.unknown.swap_remove(&beat.tag());
            if member.beat(beat, now) {
                self.news += 1;
                member.news = self.news;
                member.sent = 0;
            }
        }
    }

    /// Notes whether the contact in another data centre answered.
    pub fn record_contact(&mut self, centre: &str, answered: bool) {
        if let Some(contact) = self.contacts.get_mut(centre) {
            contact.failures = if answered { 0 } else { contact.failures + 1 };
        }
    }

    /// Returns the state of a VM of the own data centre; `None` if nothing is known about it.
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

    /// Returns the incarnation of a VM of the own data centre, if a heartbeat arrived.
    pub fn incarnation(&self, vm: &str) -> Option<Incarnation> {
        self.members.get(vm)?.incarnation
    }

    /// Returns the VMs of the own data centre, this one included, that are in `state`.
    pub fn members(&self, state: State, now: Instant) -> impl Iterator<Item = &Vm> {
        std::iter::once(&self.identity.vm)
            .chain(self.members.keys())
            .filter(move |vm| self.state(vm, now) == Some(state))
    }

    /// Returns the contacts in the other data centres.
    pub fn contacts(&self) -> &IndexMap<DataCentre, Contact> {
        &self.contacts
    }

    /// Returns the VM's part in reading the store. VMs whose views differ may both read, which
    /// only costs reads.
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

    /// Returns up to `count` random VMs of the own data centre to exchange with. Suspected VMs
    /// are among them: that's how a VM that was cut off comes back.
    pub fn random_members(&self, count: usize, rng: &mut impl Rng) -> Vec<&Vm> {
        let known = self
            .members
            .iter()
            .filter(|(_, member)| member.gone.is_none());
        draw(known.map(|(vm, _)| vm).collect(), count, rng)
    }

    /// Returns up to `count` data centres to exchange with, a share of them in the own region.
    pub fn random_contacts(
        &self,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<(&DataCentre, &Contact)> {
        let (near, far): (Vec<_>, Vec<_>) = self
            .contacts
            .iter()
            .partition(|(_, contact)| contact.region == self.identity.region);
        let (near, far) = (answering(near, rng), answering(far, rng));
        let local = (0..count)
            .filter(|_| rng.random_bool(self.settings.same_region_share))
            .count();
        let local = if far.is_empty() { count } else { local };
        let mut chosen = draw(near, local, rng);
        let rest = count - chosen.len();
        chosen.extend(draw(far, rest, rng));
        chosen
    }

    /// Returns the time until this VM reads the platform's list again, given the size of the last
    /// one. The VMs of a data centre share the reading and tell each other what is gone, because
    /// a list of 5,400 VMs is larger than what one VM may spend in minutes. `None` for the
    /// reader of the store and its stand-by, whose traffic is the highest, if there are others.
    pub fn next_list(&self, bytes: usize, now: Instant, rng: &mut impl Rng) -> Option<Duration> {
        let others = self.members(State::Live, now).count().saturating_sub(2);
        if others > 0 && self.role(now) != Role::Member {
            return None;
        }
        let shared = LIST_INTERVAL * u32::try_from(others.max(1)).unwrap_or(u32::MAX);
        let afforded = Duration::from_secs_f64(bytes as f64 / self.settings.list_bytes_per_second);
        Some(
            shared
                .max(afforded)
                .mul_f64(0.75 + 0.5 * rng.random::<f64>()),
        )
    }

    /// Returns the gone incarnations of the own data centre, to tell the other VMs of it.
    pub fn gone(&self) -> Vec<(Vm, Incarnation)> {
        let gone = self
            .members
            .iter()
            .filter(|(_, member)| member.gone.is_some());
        gone.filter_map(|(vm, member)| Some((vm.clone(), member.incarnation?)))
            .collect()
    }

    /// Takes from another VM of the data centre that an incarnation is gone.
    pub fn record_gone(&mut self, vm: &str, incarnation: Incarnation, now: Instant) {
        if let Some(member) = self.members.get_mut(vm)
            && member.incarnation == Some(incarnation)
        {
            member.gone.get_or_insert(now);
        }
    }

    /// Returns the number of VMs about which state is kept.
    pub fn tracked(&self) -> usize {
        self.members.len() + self.contacts.len()
    }
}

/// Share of draws that include contacts which didn't answer last time, to notice when a partition
/// heals.
const RETRIED: f64 = 0.25;

/// Leaves out contacts that didn't answer. During a partition between half of the data centres,
/// draws from all contacts took longer than 4 s to reach a VM in 1 of 150 runs.
fn answering<'a>(
    contacts: Vec<(&'a DataCentre, &'a Contact)>,
    rng: &mut impl Rng,
) -> Vec<(&'a DataCentre, &'a Contact)> {
    if rng.random_bool(RETRIED) {
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
