//! What is known about one VM.

use base::id::{DataCentre, Incarnation, Region, Vm};
use std::time::{Duration, Instant};

/// Short name of one state of one run of a VM. Two of 38 VMs get the same one with a probability
/// of 2 in 10 million; until one of them restarts, its heartbeats count for the other.
pub type Tag = u32;

base::label! {
    /// State of a VM as another VM sees it.
    #[serde(rename_all = "kebab-case")]
    pub enum State {
        /// Its heartbeats arrive.
        Live,
        /// It said, or the list says, that it is about to stop.
        Leaving,
        /// No heartbeat arrived for a while, or none ever did.
        Suspected,
        /// The list no longer names it.
        Gone,
    }
}

base::message! {
    /// Heartbeat of a VM, passed on by others.
    #[serde(rename = "Beat")]
    pub struct Heartbeat {
        /// VM.
        pub vm: Vm,
        /// Run of its control process.
        pub incarnation: Incarnation,
        /// Grows while the process runs.
        pub counter: u64,
        /// The VM is stopping.
        pub leaving: bool,
    }

    /// Heartbeats of a data centre. A heartbeat names its VM by a tag of 4 bytes; with names and
    /// incarnations, heartbeats of 38 VMs took 21 bytes each and most of a VM's traffic.
    #[derive(Default)]
    #[serde(rename = "Pulse")]
    pub struct HeartbeatBatch {
        /// Tags and counters.
        pub ticks: Vec<(Tag, u64)>,
        /// Tags that the sender doesn't know.
        pub unknown: Vec<Tag>,
        /// The VMs behind tags that the receiver asked for.
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
        /// The list says that it is about to be stopped.
        pub leaving: bool,
    }
}

base::value! {
    /// A VM of the own data centre.
    pub(super) struct Member {
        pub incarnation: Option<Incarnation>,
        pub counter: u64,
        /// Incarnations that were replaced by a later one; their late heartbeats are dropped.
        pub replaced: Vec<Incarnation>,
        pub tag: Option<Tag>,
        pub leaving: bool,
        /// The VM itself said that it leaves.
        pub announced: bool,
        /// The list named the VM at some time.
        pub listed: bool,
        pub gone: Option<Instant>,
        pub advanced: Option<Instant>,
        /// The order in which heartbeats advanced, latest highest.
        pub news: u64,
        /// Times that the latest heartbeat was passed on.
        pub sent: u32,
        /// Times that the VM was passed on with its name since its tag changed.
        pub introduced: u32,
    }
}

/// Incarnations of a VM that are remembered as replaced.
const REPLACED: usize = 4;

impl Heartbeat {
    /// Returns the tag of the VM's run. It changes when the VM starts to leave, so that this
    /// spreads like a new run does.
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
            advanced: None,
            news: 0,
            sent: 0,
            introduced: 0,
        }
    }

    /// Takes a heartbeat; returns whether it is news.
    pub(super) fn beat(&mut self, beat: &Heartbeat, now: Instant) -> bool {
        let same = self.incarnation == Some(beat.incarnation);
        if self.replaced.contains(&beat.incarnation) || (same && beat.counter <= self.counter) {
            return false;
        }
        // What was reclaimed from a gone incarnation can't be given back to it.
        if same && self.gone.is_some() {
            return false;
        }
        if !same {
            if let Some(old) = self.incarnation.replace(beat.incarnation) {
                if self.replaced.len() == REPLACED {
                    self.replaced.remove(0);
                }
                self.replaced.push(old);
                self.leaving = false;
            }
            // A VM that was made again under its name isn't on the lagging list yet.
            if self.gone.take().is_some() {
                self.listed = false;
            }
        }
        self.counter = beat.counter;
        if self.tag.replace(beat.tag()) != self.tag {
            self.introduced = 0;
        }
        self.announced = beat.leaving;
        self.leaving |= beat.leaving;
        self.advanced = Some(now);
        true
    }

    /// Returns the last heartbeat with the VM's name.
    pub(super) fn named(&self, vm: &Vm) -> Option<Heartbeat> {
        let (vm, leaving) = (vm.clone(), self.announced);
        self.incarnation.map(|incarnation| Heartbeat {
            vm,
            incarnation,
            counter: self.counter,
            leaving,
        })
    }

    pub(super) fn state(&self, now: Instant, silence: Duration) -> State {
        let silent = self
            .advanced
            .is_none_or(|at| now.saturating_duration_since(at) > silence);
        match self {
            _ if self.gone.is_some() => State::Gone,
            _ if silent => State::Suspected,
            _ if self.leaving => State::Leaving,
            _ => State::Live,
        }
    }
}
