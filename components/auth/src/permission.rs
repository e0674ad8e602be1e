//! What a customer may use.

use base::{AdapterId, CustomerId, ModelId, RouteId};
use config::{Access, Town};

use crate::AuthFault;

/// What a name in a request stands for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetName {
    /// An adapter on its base model.
    Adapter(AdapterId),
    /// A base model.
    Model(ModelId),
}

/// A model, with an adapter or without, that a customer may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Permission {
    /// Base model.
    pub model: ModelId,
    /// Adapter on it.
    pub adapter: Option<AdapterId>,
}

fn resolve(town: &Town, name: &str) -> Option<TargetName> {
    town.model_id(name)
        .map(TargetName::Model)
        .or_else(|| town.adapter_id(name).map(TargetName::Adapter))
}

/// Resolves the name of a model or adapter and checks that `customer` may use it.
///
/// # Errors
///
/// `UnknownModel` or `NotAllowed`.
pub fn permit_model(
    town: &Town,
    customer: CustomerId,
    name: &str,
) -> Result<Permission, AuthFault> {
    let (permission, access) = match resolve(town, name).ok_or(AuthFault::UnknownModel)? {
        TargetName::Model(model) => {
            (Permission { model, adapter: None }, &town.model(model).access)
        }
        TargetName::Adapter(id) => {
            let adapter = town.adapter(id);
            (Permission { model: adapter.model, adapter: Some(id) }, &adapter.access)
        }
    };
    if access.allows(customer) { Ok(permission) } else { Err(AuthFault::NotAllowed) }
}

/// Checks that a caller may use a route; none stands for a caller without a key.
///
/// # Errors
///
/// `UnknownKey` if the route needs a key, `NotAllowed`.
pub fn permit_route(
    town: &Town,
    customer: Option<CustomerId>,
    route: RouteId,
) -> Result<(), AuthFault> {
    match (&town.route(route).access, customer) {
        (Access::All, _) => Ok(()),
        (Access::Customers(_), None) => Err(AuthFault::UnknownKey),
        (access, Some(customer)) if access.allows(customer) => Ok(()),
        (Access::Customers(_), Some(_)) => Err(AuthFault::NotAllowed),
    }
}

/// Names of the models and adapters that `customer` may use, models first.
pub fn permitted_names(town: &Town, customer: CustomerId) -> impl Iterator<Item = &str> {
    let models = town.models.iter().filter(move |m| m.access.allows(customer));
    let adapters = town.adapters.iter().filter(move |a| a.access.allows(customer));
    models.map(|m| m.name.as_str()).chain(adapters.map(|a| a.name.as_str()))
}
