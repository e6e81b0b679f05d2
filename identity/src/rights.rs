//! What a caller may do: tenants and their roles, grants by index and act, delegation for a time. A denial goes
//! before any grant, and what nobody grants is denied.

use std::collections::{BTreeMap, BTreeSet};

use regex::Regex;
use ternpick::types::{CustomerNo, Micros};

use crate::config::{ConfigError, GrantConfig, IdentityConfig};
use crate::names::{Act, Caller, Role, Subject, Tenant};

/// All indexes, in a grant.
const ANY_INDEX: &str = "*";

struct TenantRights {
    number: CustomerNo,
    /// The roles that its callers may have; a token that claims another has it in vain.
    roles: Option<BTreeSet<Role>>,
}

struct Delegation {
    subject: Subject,
    tenant: Tenant,
    roles: Vec<Role>,
    until: Micros,
}

/// Told from what a node will run: a statement of an index that matches does these acts.
struct StatementPattern {
    index: String,
    acts: Vec<Act>,
    statement: Regex,
}

#[derive(Default)]
pub struct Rights {
    tenants: BTreeMap<Tenant, TenantRights>,
    roles: BTreeMap<Role, Vec<GrantConfig>>,
    delegations: Vec<Delegation>,
    statement_patterns: Vec<StatementPattern>,
}

/// Why something may be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allowed {
    pub tenant: CustomerNo,
    pub granted_by: String,
    pub until: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    #[error("the tenant is not known")]
    Tenant,
    #[error("no delegation to that tenant holds")]
    Delegation,
    #[error("role {role} denies {act} here", act = .act.name())]
    Denies { role: Role, act: Act },
    #[error("no role grants {act} here", act = .act.name())]
    NotGranted { act: Act },
}

/// One line of what a caller may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainedRight {
    pub index: String,
    pub act: Act,
    pub allowed: Result<String, String>,
    pub until: Option<Micros>,
}

impl Rights {
    /// Takes new terms. A tenant that was known keeps its number.
    pub fn update(&mut self, config: &IdentityConfig) -> Result<(), ConfigError> {
        let mut statement_patterns = Vec::new();
        for (position, of) in config.acts.iter().enumerate() {
            let statement =
                Regex::new(&of.statement).map_err(|_| ConfigError::Pattern { position })?;
            statement_patterns.push(StatementPattern {
                index: of.index.clone(),
                acts: of.acts.clone(),
                statement,
            });
        }
        let mut delegations = Vec::new();
        for of in &config.delegations {
            let until = crate::config::time(&of.until)?;
            if !config.tenants.contains_key(&*of.tenant.0) {
                return Err(ConfigError::UnknownTenant {
                    name: of.tenant.to_string(),
                });
            }
            let (subject, tenant, roles) =
                (of.subject.clone(), of.tenant.clone(), of.roles.clone());
            delegations.push(Delegation {
                subject,
                tenant,
                roles,
                until,
            });
        }
        let of_tenants = config
            .tenants
            .values()
            .flat_map(|of| of.roles.iter().flatten());
        let of_delegations = config.delegations.iter().flat_map(|of| &of.roles);
        let of_certificates = config.certificates.iter().flat_map(|of| &of.roles);
        for role in of_tenants.chain(of_delegations).chain(of_certificates) {
            if !config.roles.contains_key(&*role.0) {
                return Err(ConfigError::UnknownRole {
                    name: role.to_string(),
                });
            }
        }
        let mut next_number = self
            .tenants
            .values()
            .map(|of| of.number.0 + 1)
            .max()
            .unwrap_or(0);
        let mut tenants = BTreeMap::new();
        for (name, of) in &config.tenants {
            let name = Tenant::from(name.as_str());
            let number = match self.tenants.get(&name) {
                Some(known) => known.number,
                None => {
                    let number = CustomerNo(next_number);
                    next_number = next_number
                        .checked_add(1)
                        .ok_or(ConfigError::TooManyTenants)?;
                    number
                }
            };
            let roles = of
                .roles
                .as_ref()
                .map(|roles| roles.iter().cloned().collect());
            tenants.insert(name, TenantRights { number, roles });
        }
        let roles = config
            .roles
            .iter()
            .map(|(name, of)| (Role::from(name.as_str()), of.grants.clone()));
        *self = Rights {
            tenants,
            roles: roles.collect(),
            delegations,
            statement_patterns,
        };
        Ok(())
    }

    /// The tenants by number, for what is kept by tenant elsewhere.
    pub fn tenants(&self) -> impl Iterator<Item = (&Tenant, CustomerNo)> {
        self.tenants.iter().map(|(name, of)| (name, of.number))
    }

    /// What a request does: as its statement tells, or, where it tells nothing, everything that its index could. A
    /// caller's own word on it does not count.
    pub fn acts(&self, index: &str, idempotent: bool, statement: &str) -> Vec<Act> {
        let patterns = self
            .statement_patterns
            .iter()
            .filter(|pattern| pattern.index == index);
        let acts: BTreeSet<Act> = patterns
            .filter(|pattern| pattern.statement.is_match(statement))
            .flat_map(|pattern| pattern.acts.iter().copied())
            .collect();
        match (acts.is_empty(), idempotent) {
            (false, _) => acts.into_iter().collect(),
            (true, true) => vec![Act::Read],
            (true, false) => vec![Act::Read, Act::Set, Act::Clear],
        }
    }

    /// On whose account and in which roles a caller asks, and until when: its own tenant's, or as one delegated.
    fn effective_roles<'a>(
        &'a self,
        caller: &'a Caller,
        behalf: Option<&str>,
        now: Micros,
    ) -> Result<(&'a TenantRights, Vec<&'a Role>, Micros), Denied> {
        let Some(behalf) = behalf.filter(|name| **name != *caller.tenant.0) else {
            let tenant = self.tenants.get(&caller.tenant).ok_or(Denied::Tenant)?;
            let is_permitted = |role: &&Role| {
                tenant
                    .roles
                    .as_ref()
                    .is_none_or(|roles| roles.contains(role))
            };
            return Ok((
                tenant,
                caller.roles.iter().filter(is_permitted).collect(),
                caller.until,
            ));
        };
        let is_valid = |of: &&Delegation| {
            of.subject == caller.subject && *of.tenant.0 == *behalf && of.until > now
        };
        let longest = self
            .delegations
            .iter()
            .filter(is_valid)
            .max_by_key(|of| of.until);
        let of = longest.ok_or(Denied::Delegation)?;
        let tenant = self.tenants.get(&of.tenant).ok_or(Denied::Tenant)?;
        Ok((
            tenant,
            of.roles.iter().collect(),
            of.until.min(caller.until),
        ))
    }

    /// Whether a caller may do an act on an index, and by which role.
    fn grant_for(&self, roles: &[&Role], index: &str, act: Act) -> Result<String, Denied> {
        let applies = |grant: &&GrantConfig| {
            (grant.index == ANY_INDEX || grant.index == index) && grant.acts.contains(&act)
        };
        let mut granted = None;
        for role in roles {
            for grant in self.roles.get(*role).into_iter().flatten().filter(applies) {
                if grant.deny {
                    return Err(Denied::Denies {
                        role: (*role).clone(),
                        act,
                    });
                }
                granted = granted.or(Some(*role));
            }
        }
        granted
            .map(|role| format!("role {role}"))
            .ok_or(Denied::NotGranted { act })
    }

    /// Whether a caller may do all these acts on an index.
    pub fn decide(
        &self,
        caller: &Caller,
        behalf: Option<&str>,
        index: &str,
        acts: &[Act],
        now: Micros,
    ) -> Result<Allowed, Denied> {
        let (tenant, roles, until) = self.effective_roles(caller, behalf, now)?;
        let mut grant = String::new();
        for act in acts {
            grant = self.grant_for(&roles, index, *act)?;
        }
        if let Some(behalf) = behalf.filter(|name| **name != *caller.tenant.0) {
            grant = format!("{grant}, delegated by {behalf}");
        }
        Ok(Allowed {
            tenant: tenant.number,
            granted_by: grant,
            until,
        })
    }

    /// All that a caller may and may not do, on every index that any grant names.
    pub fn explain(
        &self,
        caller: &Caller,
        behalf: Option<&str>,
        now: Micros,
    ) -> Vec<ExplainedRight> {
        let indexes: BTreeSet<&str> = self
            .roles
            .values()
            .flatten()
            .map(|grant| grant.index.as_str())
            .collect();
        let pairs = indexes
            .iter()
            .flat_map(|index| [Act::Read, Act::Set, Act::Clear].map(|act| (*index, act)));
        pairs
            .map(|(index, act)| {
                let (allowed, until) = match self.decide(caller, behalf, index, &[act], now) {
                    Ok(allowed) => (Ok(allowed.granted_by), Some(allowed.until)),
                    Err(denied) => (Err(denied.to_string()), None),
                };
                ExplainedRight {
                    index: index.to_owned(),
                    act,
                    allowed,
                    until,
                }
            })
            .collect()
    }
}
