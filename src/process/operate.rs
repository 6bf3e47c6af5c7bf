//! Changes of the configuration by operators.

use std::sync::Arc;

use super::config::{Accepted, Proposal};
use super::follow::{self, CLASSES_KEY};
use super::{Instance, Object, ObjectKey};
use crate::error::{ErrorKind, Refusal};
use crate::types::ObjectVersion;
use crate::version::ClassesWire;

impl Instance {
    /// Applies a change of a class, and completes it even if the operator disconnects. An
    /// accepted change is in force on this instance before the operator receives the reply.
    ///
    /// # Errors
    /// The refusal to send to the operator.
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
                who = %accepted.change.who, "accepted a class change"
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
