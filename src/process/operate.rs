//! What operators ask of an instance.

use std::sync::Arc;

use super::config::{Accepted, Proposal};
use super::follow::{self, CLASSES_KEY};
use super::{Instance, Object, ObjectKey};
use crate::error::{ErrorKind, Refusal};
use crate::types::ObjectVersion;
use crate::version::ClassesWire;

impl Instance {
    /// Makes a change; it goes on to its end when the operator hangs up. Once it is
    /// accepted it is in force here before the operator is told.
    ///
    /// # Errors
    /// The refusal for the operator.
    pub(crate) async fn change_class(
        self: &Arc<Self>,
        proposal: Proposal,
    ) -> Result<Accepted, Refusal> {
        let instance = Arc::clone(self);
        async_std::task::spawn(async move {
            let accepted = instance.config.apply(&proposal).await?;
            instance.adopt_accepted(&accepted)?;
            tracing::info!(
                change = %accepted.change.number, class = %accepted.change.name,
                who = %accepted.change.who, "a change of classes is accepted"
            );
            Ok(accepted)
        })
        .await
    }

    fn adopt_accepted(&self, accepted: &Accepted) -> Result<(), Refusal> {
        let wire = ClassesWire::from(&accepted.classes);
        let value = serde_json::to_vec(&wire)
            .map_err(|error| Refusal::new(ErrorKind::Internal, error.to_string()))?;
        let object = Object {
            key: ObjectKey::new(CLASSES_KEY),
            version: ObjectVersion(accepted.version.0),
            value,
        };
        follow::adopt(self, &object);
        Ok(())
    }
}
