//! What an instance knows of evacuated data centres.

use crate::{object_mirror::position_of, prelude::*};

impl GatewayNode {
    /// Part of the drain time and of the evacuation time that is reserved for requests already on
    /// their way.
    const LEAVING_MARGIN: Duration = Duration::from_millis(400);

    /// Whether the platform has evacuations.
    pub(crate) fn takes_evacuations(&self) -> bool {
        self.settings.evacuate_time.is_some()
    }

    /// Whether this instance follows the objects of a kind.
    pub(crate) fn follows(&self, kind: ObjectKind) -> bool {
        kind != ObjectKind::Evacuations || self.takes_evacuations()
    }

    /// Leaves out the revisions of kinds that this instance does not follow: it never gets to know
    /// them.
    pub(crate) fn leave_out_unfollowed(&self, revisions: &mut KindRevisions) {
        if !self.takes_evacuations() {
            revisions[position_of(ObjectKind::Evacuations)] = StoreRevision::ZERO;
        }
    }

    /// Whether the evacuations are known, or there are none on this platform.
    pub(crate) fn knows_evacuations(&self) -> bool {
        !self.takes_evacuations() || self.evacuations.lock().is_known()
    }

    /// How long servers that leave are sent requests for the keys that they own.
    pub(crate) fn leaving_bounds(&self) -> LeavingBounds {
        let evacuate_time = self.settings.evacuate_time.unwrap_or_default();
        LeavingBounds {
            drain_time: self
                .settings
                .drain_time
                .saturating_sub(Self::LEAVING_MARGIN),
            evacuation_time: evacuate_time.saturating_sub(Self::LEAVING_MARGIN),
        }
    }

    /// Whether a service has no server left because of evacuations, so that waiting for one is of no
    /// use.
    pub(crate) fn is_fully_evacuated(&self, service: &str) -> bool {
        self.evacuations.lock().count() > 0 && self.usable_servers(service).is_empty()
    }
}
