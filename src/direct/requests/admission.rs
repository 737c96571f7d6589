//! Whether a request may run: its route, its organisation and its headers.

use crate::direct::event::{IncomingRequest, Refused};
use crate::direct::published::model::{Organisation, Route};
use crate::direct::published::table::Table;

/// Route and organisation of a request that may run.
type Admissible<'a> = (&'a Route, Option<&'a Organisation>);

/// Finds route and organisation of a request, or the reason to refuse it before anything runs.
pub(super) fn admissible<'a>(
    incoming: &IncomingRequest,
    table: &'a Table,
    is_configured: bool,
) -> Result<Admissible<'a>, Refused> {
    if !is_configured {
        return Err(Refused::NoConfiguration);
    }
    let route = table.route(&incoming.host, &incoming.path).ok_or(Refused::UnknownRoute)?;
    let needs_key = !route.public && !table.deployment.organisations.is_empty();
    let organisation = incoming.key.as_deref().and_then(|key| table.organisation(key));
    if needs_key && organisation.is_none() {
        return Err(Refused::UnknownKey);
    }
    if !route.stages.is_empty() && incoming.pieces.len() != route.stages.len() {
        return Err(Refused::BadRequest("a count of pieces for each stage is required"));
    }
    Ok((route, organisation))
}
