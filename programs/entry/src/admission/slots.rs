//! Slots of a service that this VM may use.

use crate::settings::Settings;
use crate::snapshot::Snapshot;
use operators::service::Service;

/// Returns the slots of a service that this VM may use, at least one of each server; 0 without a
/// server.
///
/// The slots of the local data centre's servers are divided evenly by its entries. A data centre
/// without servers of the service divides all slots by all entries.
pub fn slots(snapshot: &Snapshot, service: &Service, settings: &Settings) -> usize {
    let centre = &settings.data_centre;
    let share = |local: bool| {
        let servers = snapshot.servers(&service.service.value, &service.current);
        let (mut slots, mut count) = (0, 0);
        for server in servers.filter(|s| !local || s.listed.data_centre == *centre) {
            slots += server.listed.slots as usize;
            count += 1;
        }
        let nodes = snapshot.nodes().iter();
        let entries = nodes.filter(|n| !local || n.data_centre == *centre).count();
        (slots / entries.max(1)).max(count)
    };
    match share(true) {
        0 => share(false),
        local => local,
    }
}
