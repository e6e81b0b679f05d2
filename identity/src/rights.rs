//! The rights of callers: tenants and their roles, grants by index and act, and delegations with an end. A denial
//! overrides any grant, and what no role grants is denied.

use std::collections::{BTreeMap, BTreeSet};

use regex::Regex;
use ternpick::types::{CustomerNo, Micros};

use crate::config::{ConfigError, GrantConfig, IdentityConfig};
use crate::names::{Act, Caller, Role, Subject, Tenant};

/// The index name that stands for all indexes in a grant.
const ANY_INDEX: &str = "*";

/// A tenant.
struct TenantRights {
    number: CustomerNo,
    /// The roles that the tenant's callers may have; other roles in a token are ignored. None permits all roles.
    roles: Option<BTreeSet<Role>>,
}

/// Permits a subject to act on behalf of a tenant, in these roles and until this time.
struct Delegation {
    subject: Subject,
    tenant: Tenant,
    roles: Vec<Role>,
    until: Micros,
}

/// Derives acts from a statement: a statement of the index that matches the pattern performs these acts.
struct StatementPattern {
    index: String,
    acts: Vec<Act>,
    statement: Regex,
}

/// The rights as configured.
#[derive(Default)]
pub struct Rights {
    tenants: BTreeMap<Tenant, TenantRights>,
    roles: BTreeMap<Role, Vec<GrantConfig>>,
    delegations: Vec<Delegation>,
    statement_patterns: Vec<StatementPattern>,
}

/// The decision that a caller may do something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allowed {
    pub tenant: CustomerNo,
    /// The role that grants it, and the tenant that delegated it, if any.
    pub granted_by: String,
    pub until: Micros,
}

/// Why a caller may not do something. The texts are sent to clients.
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

/// Whether a caller may perform one act on one index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainedRight {
    pub index: String,
    pub act: Act,
    /// The grant, or the reason of the denial.
    pub allowed: Result<String, String>,
    pub until: Option<Micros>,
}

impl Rights {
    /// Applies new settings. A tenant that is already known keeps its number.
    pub fn update(&mut self, config: &IdentityConfig) -> Result<(), ConfigError> {
        let mut statement_patterns = Vec::new();
        for (position, pattern) in config.acts.iter().enumerate() {
            let statement =
                Regex::new(&pattern.statement).map_err(|_| ConfigError::Pattern { position })?;
            statement_patterns.push(StatementPattern {
                index: pattern.index.clone(),
                acts: pattern.acts.clone(),
                statement,
            });
        }
        let mut delegations = Vec::new();
        for delegation in &config.delegations {
            let until = crate::config::time(&delegation.until)?;
            if !config.tenants.contains_key(&*delegation.tenant.0) {
                return Err(ConfigError::UnknownTenant {
                    name: delegation.tenant.to_string(),
                });
            }
            let (subject, tenant, roles) = (
                delegation.subject.clone(),
                delegation.tenant.clone(),
                delegation.roles.clone(),
            );
            delegations.push(Delegation {
                subject,
                tenant,
                roles,
                until,
            });
        }
        let tenant_roles = config
            .tenants
            .values()
            .flat_map(|tenant| tenant.roles.iter().flatten());
        let delegation_roles = config
            .delegations
            .iter()
            .flat_map(|delegation| &delegation.roles);
        let certificate_roles = config
            .certificates
            .iter()
            .flat_map(|certificate| &certificate.roles);
        for role in tenant_roles
            .chain(delegation_roles)
            .chain(certificate_roles)
        {
            if !config.roles.contains_key(&*role.0) {
                return Err(ConfigError::UnknownRole {
                    name: role.to_string(),
                });
            }
        }
        let mut next_number = self
            .tenants
            .values()
            .map(|tenant| tenant.number.0 + 1)
            .max()
            .unwrap_or(0);
        let mut tenants = BTreeMap::new();
        for (name, tenant) in &config.tenants {
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
            let roles = tenant
                .roles
                .as_ref()
                .map(|roles| roles.iter().cloned().collect());
            tenants.insert(name, TenantRights { number, roles });
        }
        let roles = config
            .roles
            .iter()
            .map(|(name, role)| (Role::from(name.as_str()), role.grants.clone()));
        *self = Rights {
            tenants,
            roles: roles.collect(),
            delegations,
            statement_patterns,
        };
        Ok(())
    }

    /// Returns the tenants and their numbers, which index the state of tenants elsewhere.
    pub fn tenants(&self) -> impl Iterator<Item = (&Tenant, CustomerNo)> {
        self.tenants
            .iter()
            .map(|(name, tenant)| (name, tenant.number))
    }

    /// Returns the acts of a request: those of all patterns that match its statement, or, if none matches, all acts that
    /// the index may perform. Nothing that the caller declares about the request has any influence.
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

    /// Returns the tenant for which a caller acts, its roles there, and the time until which they are valid: its own
    /// tenant, or the one in `behalf` if a delegation permits it.
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
        let is_valid = |delegation: &&Delegation| {
            delegation.subject == caller.subject
                && *delegation.tenant.0 == *behalf
                && delegation.until > now
        };
        let longest = self
            .delegations
            .iter()
            .filter(is_valid)
            .max_by_key(|delegation| delegation.until);
        let delegation = longest.ok_or(Denied::Delegation)?;
        let tenant = self.tenants.get(&delegation.tenant).ok_or(Denied::Tenant)?;
        Ok((
            tenant,
            delegation.roles.iter().collect(),
            delegation.until.min(caller.until),
        ))
    }

    /// Returns which of the roles grants an act on an index, unless any of them denies it.
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

    /// Decides whether a caller may perform all these acts on an index.
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

    /// Lists for each act on each index that any grant names whether a caller may perform it.
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
