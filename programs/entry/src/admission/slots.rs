//! Slots of a service that this VM may use.

use crate::settings::Settings;
use crate::snapshot::Snapshot;
use operators::service::Service;

/// Returns the slots of a service that this VM may use, at least one of each server; 0 without a
/// server.
///
/// The slots of the local servers are divided evenly among the entries of the data centre. Without
/// local servers, all slots are divided among all entries.
pub fn slots(snapshot: &Snapshot, service: &Service, settings: &Settings) -> usize {
    let data_centre = &settings.data_centre;
    let share = |local: bool| {
        let servers = snapshot.servers(&service.service.value, &service.current);
        let (mut slots, mut count) = (0, 0);
        for server in servers.filter(|s| !local || s.listed.data_centre == *data_centre) {
            slots += server.listed.slots as usize;
            count += 1;
        }
        let nodes = snapshot.nodes().iter();
        let entries = nodes
            .filter(|n| !local || n.data_centre == *data_centre)
            .count();
        (slots / entries.max(1)).max(count)
    };
    match share(true) {
        0 => share(false),
        local => local,
    }
}
