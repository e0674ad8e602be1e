//! Authorization of customers for models, adapters and routes.

use base::{AdapterId, CustomerId, ModelId, RouteId};
use config::{Access, FleetConfig};

use crate::AuthFault;

/// What the model name of a request refers to.
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

fn resolve(config: &FleetConfig, name: &str) -> Option<TargetName> {
    config
        .model_id(name)
        .map(TargetName::Model)
        .or_else(|| config.adapter_id(name).map(TargetName::Adapter))
}

/// Resolves the name of a model or adapter and checks that `customer` may use it.
///
/// # Errors
///
/// `UnknownModel` or `NotAllowed`.
pub fn permit_model(
    config: &FleetConfig,
    customer: CustomerId,
    name: &str,
) -> Result<Permission, AuthFault> {
    let (permission, access) = match resolve(config, name).ok_or(AuthFault::UnknownModel)? {
        TargetName::Model(model) => {
            (Permission { model, adapter: None }, &config.model(model).access)
        }
        TargetName::Adapter(id) => {
            let adapter = config.adapter(id);
            (Permission { model: adapter.model, adapter: Some(id) }, &adapter.access)
        }
    };
    if access.allows(customer) { Ok(permission) } else { Err(AuthFault::NotAllowed) }
}

/// Checks that a caller may use a route; `None` is a caller without a key.
///
/// # Errors
///
/// `UnknownKey` if the route needs a key, `NotAllowed`.
pub fn permit_route(
    config: &FleetConfig,
    customer: Option<CustomerId>,
    route: RouteId,
) -> Result<(), AuthFault> {
    match (&config.route(route).access, customer) {
        (Access::All, _) => Ok(()),
        (Access::Customers(_), None) => Err(AuthFault::UnknownKey),
        (access, Some(customer)) if access.allows(customer) => Ok(()),
        (Access::Customers(_), Some(_)) => Err(AuthFault::NotAllowed),
    }
}

/// Names of the models and adapters that `customer` may use, models first.
pub fn permitted_names(config: &FleetConfig, customer: CustomerId) -> impl Iterator<Item = &str> {
    let models = config.models.iter().filter(move |m| m.access.allows(customer));
    let adapters = config.adapters.iter().filter(move |a| a.access.allows(customer));
    models.map(|m| m.name.as_str()).chain(adapters.map(|a| a.name.as_str()))
}
