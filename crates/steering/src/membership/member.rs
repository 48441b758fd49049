//! State of one VM, as known from heartbeats and the platform's list.

use base::id::{DataCentre, Incarnation, Region, Vm};
use std::time::{Duration, Instant};

/// Hash that stands for an incarnation of a VM and its leaving flag in heartbeats. Two of 38 VMs
/// collide with a probability of 2 in 10 million; until one of them restarts, its heartbeats count
/// for the other.
pub type Tag = u32;

base::label! {
    /// State of a VM as another VM sees it.
    #[serde(rename_all = "kebab-case")]
    pub enum State {
        /// Its heartbeats arrive.
        Live,
        /// It announced, or the list states, that it is about to stop.
        Leaving,
        /// No new heartbeat arrived for [`suspect_after`](super::Settings::suspect_after), or none
        /// ever did.
        Suspected,
        /// The list no longer contains it.
        Gone,
    }
}

base::message! {
    /// Heartbeat of a VM, relayed by others.
    #[serde(rename = "Beat")]
    pub struct Heartbeat {
        /// VM.
        pub vm: Vm,
        /// Incarnation of its control process.
        pub incarnation: Incarnation,
        /// Increases while the process runs.
        pub counter: u64,
        /// The VM is stopping.
        pub leaving: bool,
    }

    /// Heartbeats of a data centre. Most identify their VM by a tag of 4 bytes; with names and
    /// incarnations, heartbeats of 38 VMs took 21 bytes each and most of a VM's traffic.
    #[derive(Default)]
    #[serde(rename = "Pulse")]
    pub struct HeartbeatBatch {
        /// Tags and counters.
        pub ticks: Vec<(Tag, u64)>,
        /// Tags that the sender doesn't know.
        pub unknown: Vec<Tag>,
        /// Heartbeats with names, among them those of tags that the receiver requested.
        pub beats: Vec<Heartbeat>,
    }

    /// A VM on the platform's list.
    #[serde(rename = "Listed")]
    pub struct ListedVm {
        /// VM.
        pub vm: Vm,
        /// Its data centre.
        pub data_centre: DataCentre,
        /// Region of the data centre.
        pub region: Region,
        /// The list states that it is about to be stopped.
        pub leaving: bool,
    }
}

base::value! {
    /// A VM of the local data centre.
    pub(super) struct Member {
        pub incarnation: Option<Incarnation>,
        pub counter: u64,
        /// Incarnations that were replaced by a later one; their late heartbeats are dropped.
        pub replaced: Vec<Incarnation>,
        pub tag: Option<Tag>,
        pub leaving: bool,
        /// The VM itself announced that it leaves.
        pub announced: bool,
        /// The list has contained the VM at some time.
        pub listed: bool,
        pub gone: Option<Instant>,
        pub last_advance: Option<Instant>,
        /// Sequence number of the latest heartbeat among those of all members.
        pub update: u64,
        /// Number of times that the latest heartbeat was relayed.
        pub relayed: u32,
        /// Number of times that the VM was relayed with its name since its tag changed.
        pub introduced: u32,
    }
}

/// Number of replaced incarnations that are remembered per VM.
const MAX_REPLACED: usize = 4;

impl Heartbeat {
    /// Returns the tag of the VM's incarnation. It changes when the VM starts to leave, so that the
    /// change propagates like a new incarnation.
    pub fn tag(&self) -> Tag {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.incarnation.to_le_bytes());
        hasher.update(&[u8::from(self.leaving)]);
        hasher.update(self.vm.as_bytes());
        let mut first = [0; 4];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
        Tag::from_le_bytes(first)
    }
}

impl Member {
    pub(super) fn new() -> Self {
        Self {
            incarnation: None,
            counter: 0,
            replaced: Vec::new(),
            tag: None,
            leaving: false,
            announced: false,
            listed: false,
            gone: None,
            last_advance: None,
            update: 0,
            relayed: 0,
            introduced: 0,
        }
    }

    /// Records a heartbeat; returns whether it is new.
    pub(super) fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> bool {
        let same = self.incarnation == Some(heartbeat.incarnation);
        if self.replaced.contains(&heartbeat.incarnation)
            || (same && heartbeat.counter <= self.counter)
        {
            return false;
        }
        // Resources reclaimed from a gone incarnation can't be restored to it.
        if same && self.gone.is_some() {
            return false;
        }
        if !same {
            if let Some(old) = self.incarnation.replace(heartbeat.incarnation) {
                if self.replaced.len() == MAX_REPLACED {
                    self.replaced.remove(0);
                }
                self.replaced.push(old);
                self.leaving = false;
            }
            // A VM that was recreated with the same name isn't on the lagging list yet.
            if self.gone.take().is_some() {
                self.listed = false;
            }
        }
        self.counter = heartbeat.counter;
        if self.tag.replace(heartbeat.tag()) != self.tag {
            self.introduced = 0;
        }
        self.announced = heartbeat.leaving;
        self.leaving |= heartbeat.leaving;
        self.last_advance = Some(now);
        true
    }

    /// Returns the last heartbeat of the VM, with its name.
    pub(super) fn last_heartbeat(&self, vm: &Vm) -> Option<Heartbeat> {
        let (vm, leaving) = (vm.clone(), self.announced);
        self.incarnation.map(|incarnation| Heartbeat {
            vm,
            incarnation,
            counter: self.counter,
            leaving,
        })
    }

    pub(super) fn state(&self, now: Instant, silence: Duration) -> State {
        let is_overdue = self
            .last_advance
            .is_none_or(|at| now.saturating_duration_since(at) > silence);
        match self {
            _ if self.gone.is_some() => State::Gone,
            _ if is_overdue => State::Suspected,
            _ if self.leaving => State::Leaving,
            _ => State::Live,
        }
    }
}
