//! Publication of a configuration version by an operator.

use super::head::{EARLIER_OPERATIONS, Head, Manifest};
use base::id::{Operation, Version, Vm};
use indexmap::IndexSet;

base::value! {
    /// Result of writing the row `head`.
    pub enum WriteResult {
        /// The write took effect.
        Written,
        /// The row has another version than expected.
        Conflict,
        /// No answer; the write may have taken effect, or may still do so.
        Lost,
    }

    /// Progress of a publication.
    pub enum Stage {
        /// Not written yet; write it (again) with the same operation id.
        Proposed,
        /// The outcome of the write is unknown; read the row `head` back.
        Unknown,
        /// Another publication was written first.
        Conflict {
            /// Version against which the change has to be reviewed again.
            review: Version,
        },
        /// So many publications followed that the row no longer shows whether this one took effect;
        /// its changes have to be compared with the version in force.
        Unsettled {
            /// Version to compare with.
            review: Version,
        },
        /// Written; not known to be in force anywhere.
        Accepted,
        /// In force on a part of the VMs.
        InForce(Adoption),
        /// In force on all VMs.
        Done,
    }

    /// VMs on which a version is in force. Each data centre reports its own; the reports are
    /// merged.
    #[derive(Default)]
    pub struct Adoption {
        /// VMs that have the version or a later one.
        pub adopted: usize,
        /// All VMs that count.
        pub total: usize,
        /// VMs that lack it.
        pub missing: IndexSet<Vm>,
    }

    /// A publication against a base version.
    pub struct Publication {
        head: Head,
        stage: Stage,
    }
}

impl Adoption {
    /// Counts the VMs that have `version`, given the version of each.
    pub fn count<'a>(version: Version, vms: impl IntoIterator<Item = (&'a Vm, Version)>) -> Self {
        vms.into_iter()
            .fold(Self::default(), |mut adoption, (vm, has)| {
                adoption.total += 1;
                if has >= version {
                    adoption.adopted += 1;
                } else {
                    adoption.missing.insert(vm.clone());
                }
                adoption
            })
    }

    /// Adds the report of another data centre.
    pub fn merge(&mut self, other: Self) {
        self.adopted += other.adopted;
        self.total += other.total;
        self.missing.extend(other.missing);
    }
}

impl Publication {
    /// Proposes `manifest` as the successor of the reviewed head and its manifest (`None` and an
    /// empty one for the first publication).
    pub fn propose(
        base: Option<&Head>,
        base_manifest: &Manifest,
        manifest: &Manifest,
        author: impl Into<Box<str>>,
        operation: Operation,
    ) -> Self {
        let version = base.map_or(0, |head| head.version);
        let earlier = base
            .into_iter()
            .flat_map(|head| std::iter::once(&head.operation).chain(&head.earlier))
            .take(EARLIER_OPERATIONS)
            .cloned()
            .collect();
        let head = Head {
            version: version + 1,
            operation,
            author: author.into(),
            base: version,
            manifest: manifest.hash(),
            changed: manifest.diff_from(base_manifest),
            earlier,
        };
        Self {
            head,
            stage: Stage::Proposed,
        }
    }

    /// Returns the head to write; the row must have the version [`Head::base`].
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the progress of the publication.
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// Records the result of a write. A conflict also requires reading the row back, because the
    /// conflicting write may be an earlier one of this publication.
    pub fn record_write(&mut self, result: &WriteResult) {
        match result {
            WriteResult::Written => self.stage = Stage::Accepted,
            WriteResult::Conflict | WriteResult::Lost => self.stage = Stage::Unknown,
        }
    }

    /// Determines an unknown outcome from the row as read back (`None` if it doesn't exist). If the
    /// row still has the base version, the write may be repeated: writes of one operation expect
    /// the same row version, so at most one of them takes effect.
    pub fn read_back(&mut self, row: Option<&Head>) {
        if self.stage != Stage::Unknown {
            return;
        }
        let Some(row) = row.filter(|row| row.version > self.head.base) else {
            self.stage = Stage::Proposed;
            return;
        };
        let review = row.version;
        self.stage = match row.operation_of(self.head.version) {
            Some(operation) if *operation == self.head.operation => Stage::Accepted,
            Some(_) => Stage::Conflict { review },
            None => Stage::Unsettled { review },
        };
    }

    /// Records on which VMs the version is in force; ignored before the publication is accepted.
    pub fn record_adoption(&mut self, adoption: Adoption) {
        if matches!(self.stage, Stage::Accepted | Stage::InForce(_)) {
            self.stage = match adoption.adopted {
                0 => Stage::Accepted,
                adopted if adopted == adoption.total => Stage::Done,
                _ => Stage::InForce(adoption),
            };
        }
    }
}
