//! Reload: on SIGHUP the configuration file is read again. Discovery's address is taken from it; the rest is
//! what a router is started with, and stays as it is until the next start.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;

use crate::lifecycle::config::{self, RouterConfig, FIXED};
use crate::lifecycle::settings;
use crate::router::Router;

/// The file that a router was started with, and what stood in it that is fixed.
pub struct Source {
    pub path: PathBuf,
    /// The settings file, where there is one.
    pub settings: Option<PathBuf>,
    pub fixed: [Value; FIXED.len()],
}

impl Source {
    /// Reads the file again. One that cannot be used changes nothing.
    pub fn reload(&self, router: &Router) {
        let opening = match config::read(&self.path) {
            Ok(opening) => opening,
            Err(what) => return tracing::warn!("reload: the running configuration stays, {what}"),
        };
        for name in self.changed(&opening) {
            tracing::warn!("reload: '{name}' can't change while running, it stays as it was");
        }
        follow(router, opening.discovery);
        self.terms(router);
    }

    /// Rights, tenants and limits are taken from the settings anew; where keys come from and TLS need a restart.
    fn terms(&self, router: &Router) {
        let (Some(path), Some(gate)) = (&self.settings, &router.auth) else {
            return;
        };
        let told = settings::read(path).and_then(|settings| {
            let terms = settings.identity.ok_or("identity is no longer in it")?;
            let mut desk = router.decisions.borrow_mut();
            let Some(limits) = &mut desk.effects.limits else {
                return Ok(());
            };
            gate.told_of_terms(terms, limits)
                .map_err(|fault| fault.to_string())
        });
        match told {
            Ok(()) => tracing::info!("reload: the terms of identity are read anew"),
            Err(what) => tracing::warn!("reload: the terms of identity stay as they were, {what}"),
        }
    }

    fn changed(&self, opening: &RouterConfig) -> Vec<&'static str> {
        let pairs = self.fixed.iter().zip(&opening.fixed);
        FIXED
            .into_iter()
            .zip(pairs)
            .filter(|(_, (old, new))| old != new)
            .map(|(name, _)| name)
            .collect()
    }
}

fn follow(router: &Router, discovery: SocketAddr) {
    let old = router.discovery.move_to(discovery);
    if old == discovery {
        return tracing::info!("reload: done, discovery still at {discovery}");
    }
    tracing::info!("reload: done, discovery at {discovery}, no longer at {old}");
}

#[cfg(test)]
mod tests;
