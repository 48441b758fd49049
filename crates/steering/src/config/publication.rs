//! A publication from the operator's side.

use super::head::{EARLIER_OPERATIONS, Head, Manifest};
use base::id::{Operation, Version, Vm};
use indexmap::IndexSet;

base::value! {
    /// WriteResult to the write of the row `head`.
    pub enum WriteResult {
        /// The write took effect.
        Written,
        /// The row has another version than expected.
        Conflict,
        /// No answer; the write may have taken effect, or may still do so.
        Lost,
    }

    /// How far a publication is.
    pub enum Stage {
        /// Not written yet; write it (again) with the same operation id.
        Proposed,
        /// The write's outcome is not known; read the row `head` back.
        Unknown,
        /// Another publication came first.
        Conflict {
            /// Version to review again.
            review: Version,
        },
        /// So many publications followed that the row no longer tells whether this one took
        /// effect; its changes have to be compared with the version in force.
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

    /// VMs on which a version is in force. Data centres report one each; they are merged.
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
            .fold(Self::default(), |mut force, (vm, has)| {
                force.total += 1;
                if has >= version {
                    force.adopted += 1;
                } else {
                    force.missing.insert(vm.clone());
                }
                force
            })
    }

    /// Adds the count of another data centre.
    pub fn merge(&mut self, other: Self) {
        self.adopted += other.adopted;
        self.total += other.total;
        self.missing.extend(other.missing);
    }
}

impl Publication {
    /// Proposes `manifest` against the reviewed head and its manifest (`None` and an empty one
    /// for the first publication).
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

    /// Returns how far the publication is.
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// Takes the answer to a write. A conflict is settled by reading back too, because an earlier
    /// write of this publication may be what it conflicts with.
    pub fn record_write(&mut self, answer: &WriteResult) {
        match answer {
            WriteResult::Written => self.stage = Stage::Accepted,
            WriteResult::Conflict | WriteResult::Lost => self.stage = Stage::Unknown,
        }
    }

    /// Settles an unknown outcome by the row as read back (`None` if it doesn't exist). A row
    /// that still has the base version allows the same write again: writes of one operation
    /// expect the same row version, so at most one of them takes effect.
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

    /// Takes the count of VMs that have the version; ignored before the publication is accepted.
    pub fn record_adoption(&mut self, force: Adoption) {
        if matches!(self.stage, Stage::Accepted | Stage::InForce(_)) {
            self.stage = match force.adopted {
                0 => Stage::Accepted,
                on if on == force.total => Stage::Done,
                _ => Stage::InForce(force),
            };
        }
    }
}
