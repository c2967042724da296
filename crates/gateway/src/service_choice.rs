//! Which service runs a request: the one that a route's weights select, or the one that another
//! instance has selected for the request that it sends here.

use crate::{prelude::*, relay_terms::RelayTerms};

/// Choice of a service.
#[derive(Debug, PartialEq)]
pub(crate) enum ServiceChoice {
    /// The request goes to this service.
    Selected(String),
    /// The route has no service.
    NoService,
    /// The sending instance has selected a service that the route does not allow here: one of the
    /// two configurations is older.
    OtherConfiguration,
}

/// Chooses the service for a request of `route`.
pub(crate) fn choose(
    node: &GatewayNode,
    route: &RouteRule,
    terms: Option<&RelayTerms>,
) -> ServiceChoice {
    let Some(terms) = terms else {
        return match node.select_service(route) {
            Some(service) => ServiceChoice::Selected(service),
            None => ServiceChoice::NoService,
        };
    };
    let mut services = route.split.iter().map(|weighted| &weighted.service);
    match services.any(|service| *service == terms.service) {
        true => ServiceChoice::Selected(terms.service.clone()),
        false => ServiceChoice::OtherConfiguration,
    }
}

/// The route as the sending instance allows it.
pub(crate) fn limit_route(route: &RouteRule, terms: Option<&RelayTerms>) -> RouteRule {
    let mut route = route.clone();
    if let Some(terms) = terms {
        route.max_attempts = route.max_attempts.min(terms.max_attempts);
        route.idempotent &= terms.is_idempotent;
    }
    route
}
