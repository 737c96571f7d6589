//! Selection of the cell that runs a request's stages, and of the cell's owner.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::direct::peers::members::{Member, Members};
use crate::direct::peers::message::JobReason;
use crate::direct::published::cells::Cells;
use crate::direct::published::model::Name;
use crate::direct::published::table::Table;
use crate::direct::requests::Requests;
use crate::direct::requests::stages::MAX_OWNERS;
use crate::message::Timestamp;

/// Maximum number of cells that the stages of a request are submitted to: the preferred one and one
/// alternative.
const MAX_CELLS: usize = 2;
/// Maximum time for which a cell counts as refusing. Calls end there every few milliseconds, which
/// frees capacity.
const REFUSAL_TTL: Duration = Duration::from_millis(100);

/// The owners of all cells and their successors. Ranked once for each change of the members or
/// cells rather than for each request.
#[derive(Debug, Default)]
pub(super) struct OwnerRanking {
    changes: Option<u64>,
    cells: Cells,
    ranked: BTreeMap<Name, Vec<Member>>,
}

impl OwnerRanking {
    /// Updates the ranking if members or cells changed.
    pub(super) fn update(&mut self, members: &Members, table: &Table) {
        let changes = Some(members.changes());
        if self.changes == changes && self.cells == *table.cells() {
            return;
        }
        self.changes = changes;
        self.cells = table.cells().clone();
        let names: Vec<Name> = self.cells.names().cloned().collect();
        self.ranked = members.owners(&names, MAX_OWNERS + 1);
    }

    /// The owners of all cells and their first successors.
    fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.ranked.values().flat_map(|ranked| ranked.iter().take(2).map(|m| m.address))
    }

    /// The first owner of a cell that is not among the skipped ones.
    pub(super) fn owner_of(&self, cell: &str, skipped_owners: &[SocketAddr]) -> Option<Member> {
        let ranked = self.ranked.get(cell)?;
        ranked.iter().find(|o| !skipped_owners.contains(&o.address)).cloned()
    }
}

impl Requests {
    /// The owners of all cells and their first successors, as ranked for the last request.
    pub fn owner_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.owners.addresses()
    }

    /// The cell for the stages of a request that will run in `data_centre`, where their results
    /// will be fetched: that of the data centre, unless the request was moved to another cell.
    pub(super) fn cell_for(&mut self, caller: u64, data_centre: &str, table: &Table) -> Name {
        let own = table.cells().of_data_centre(data_centre);
        let Some(request) = self.requests.get_mut(&caller) else {
            return own;
        };
        let last = request.cells.last().filter(|last| table.cells().names().any(|c| c == *last));
        if let Some(last) = last {
            return last.clone();
        }
        request.cells.push(own.clone());
        own
    }

    /// A cell that the request was not submitted to and that has not refused recently. A hash of
    /// the request's id spreads the requests that one cell refuses over the other cells.
    fn other_cell(
        &self,
        request: &str,
        tried: &[Name],
        table: &Table,
        now: Timestamp,
    ) -> Option<Name> {
        let is_refusing =
            |cell: &Name| self.refusing_cells.get(cell).is_some_and(|until| now < *until);
        let others =
            table.cells().names().filter(|cell| !tried.contains(cell) && !is_refusing(cell));
        let others: Vec<&Name> = others.collect();
        let index = xxh3_64(request.as_bytes()) % others.len().max(1) as u64;
        others.get(index as usize).map(|cell| (*cell).clone())
    }

    /// Selects another cell for a job that its cell refused without starting it. Returns whether
    /// there is one.
    pub(super) fn try_another_cell(
        &mut self,
        caller: u64,
        reason: JobReason,
        retry_after: Duration,
        table: &Table,
        now: Timestamp,
    ) -> bool {
        let lacks_capacity =
            matches!(reason, JobReason::WouldBeLate | JobReason::NoRoom | JobReason::NoEndpoint);
        let Some(request) = self.requests.get(&caller).filter(|_| lacks_capacity) else {
            return false;
        };
        let can_move = request.cells.len() < MAX_CELLS && !request.holds_results;
        let other = self.other_cell(&request.incoming.id, &request.cells, table, now);
        if let Some(last) = request.cells.last() {
            self.refusing_cells.insert(last.clone(), now + retry_after.min(REFUSAL_TTL));
        }
        let Some(other) = other.filter(|_| can_move) else {
            return false;
        };
        if let Some(request) = self.requests.get_mut(&caller) {
            request.cells.push(other);
        }
        true
    }
}
