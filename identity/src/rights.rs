//! What a caller may do: tenants and their roles, grants by index and act, delegation for a time. A denial goes
//! before any grant, and what nobody grants is denied.

use std::collections::{BTreeMap, BTreeSet};

use regex::Regex;
use ternpick::types::{CustomerNo, Micros};

use crate::names::{Act, Caller, Role, Subject, Tenant};
use crate::terms::{GrantTerms, Terms, TermsFault};

/// All indexes, in a grant.
const ANY_INDEX: &str = "*";

struct OfTenant {
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
struct Telling {
    index: String,
    acts: Vec<Act>,
    statement: Regex,
}

#[derive(Default)]
pub struct Rights {
    tenants: BTreeMap<Tenant, OfTenant>,
    roles: BTreeMap<Role, Vec<GrantTerms>>,
    delegations: Vec<Delegation>,
    tellings: Vec<Telling>,
}

/// Why something may be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allowed {
    pub tenant: CustomerNo,
    pub by: String,
    pub until: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    #[error("the tenant is not known")]
    Tenant,
    #[error("no delegation to that tenant holds")]
    Delegation,
    #[error("role {role} denies {act} here", act = .act.word())]
    Denies { role: Role, act: Act },
    #[error("no role grants {act} here", act = .act.word())]
    NotGranted { act: Act },
}

/// One line of what a caller may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explained {
    pub index: String,
    pub act: Act,
    pub allowed: Result<String, String>,
    pub until: Option<Micros>,
}

impl Rights {
    /// Takes new terms. A tenant that was known keeps its number.
    pub fn told_of(&mut self, terms: &Terms) -> Result<(), TermsFault> {
        let mut tellings = Vec::new();
        for (at, of) in terms.acts.iter().enumerate() {
            let statement = Regex::new(&of.statement).map_err(|_| TermsFault::Pattern { at })?;
            tellings.push(Telling {
                index: of.index.clone(),
                acts: of.acts.clone(),
                statement,
            });
        }
        let mut delegations = Vec::new();
        for of in &terms.delegations {
            let until = crate::terms::time(&of.until)?;
            if !terms.tenants.contains_key(&*of.tenant.0) {
                return Err(TermsFault::UnknownTenant {
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
        let of_tenants = terms
            .tenants
            .values()
            .flat_map(|of| of.roles.iter().flatten());
        let of_delegations = terms.delegations.iter().flat_map(|of| &of.roles);
        let of_certificates = terms.certificates.iter().flat_map(|of| &of.roles);
        for role in of_tenants.chain(of_delegations).chain(of_certificates) {
            if !terms.roles.contains_key(&*role.0) {
                return Err(TermsFault::UnknownRole {
                    name: role.to_string(),
                });
            }
        }
        let mut next = self
            .tenants
            .values()
            .map(|of| of.number.0 + 1)
            .max()
            .unwrap_or(0);
        let mut tenants = BTreeMap::new();
        for (name, of) in &terms.tenants {
            let name = Tenant::from(name.as_str());
            let number = match self.tenants.get(&name) {
                Some(known) => known.number,
                None => {
                    let number = CustomerNo(next);
                    next = next.checked_add(1).ok_or(TermsFault::TooManyTenants)?;
                    number
                }
            };
            let roles = of
                .roles
                .as_ref()
                .map(|roles| roles.iter().cloned().collect());
            tenants.insert(name, OfTenant { number, roles });
        }
        let roles = terms
            .roles
            .iter()
            .map(|(name, of)| (Role::from(name.as_str()), of.grants.clone()));
        *self = Rights {
            tenants,
            roles: roles.collect(),
            delegations,
            tellings,
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
        let told = self
            .tellings
            .iter()
            .filter(|telling| telling.index == index);
        let acts: BTreeSet<Act> = told
            .filter(|telling| telling.statement.is_match(statement))
            .flat_map(|telling| telling.acts.iter().copied())
            .collect();
        match (acts.is_empty(), idempotent) {
            (false, _) => acts.into_iter().collect(),
            (true, true) => vec![Act::Read],
            (true, false) => vec![Act::Read, Act::Set, Act::Clear],
        }
    }

    /// On whose account and in which roles a caller asks, and until when: its own tenant's, or as one delegated.
    fn standing<'a>(
        &'a self,
        caller: &'a Caller,
        behalf: Option<&str>,
        now: Micros,
    ) -> Result<(&'a OfTenant, Vec<&'a Role>, Micros), Denied> {
        let Some(behalf) = behalf.filter(|name| **name != *caller.tenant.0) else {
            let tenant = self.tenants.get(&caller.tenant).ok_or(Denied::Tenant)?;
            let may = |role: &&Role| {
                tenant
                    .roles
                    .as_ref()
                    .is_none_or(|roles| roles.contains(role))
            };
            return Ok((
                tenant,
                caller.roles.iter().filter(may).collect(),
                caller.until,
            ));
        };
        let holds = |of: &&Delegation| {
            of.subject == caller.subject && *of.tenant.0 == *behalf && of.until > now
        };
        let last = self
            .delegations
            .iter()
            .filter(holds)
            .max_by_key(|of| of.until);
        let of = last.ok_or(Denied::Delegation)?;
        let tenant = self.tenants.get(&of.tenant).ok_or(Denied::Tenant)?;
        Ok((
            tenant,
            of.roles.iter().collect(),
            of.until.min(caller.until),
        ))
    }

    /// Whether a caller may do an act on an index, and by which role.
    fn judge(&self, roles: &[&Role], index: &str, act: Act) -> Result<String, Denied> {
        let here = |grant: &&GrantTerms| {
            (grant.index == ANY_INDEX || grant.index == index) && grant.acts.contains(&act)
        };
        let mut granted = None;
        for role in roles {
            for grant in self.roles.get(*role).into_iter().flatten().filter(here) {
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
        let (tenant, roles, until) = self.standing(caller, behalf, now)?;
        let mut by = String::new();
        for act in acts {
            by = self.judge(&roles, index, *act)?;
        }
        if let Some(behalf) = behalf.filter(|name| **name != *caller.tenant.0) {
            by = format!("{by}, delegated by {behalf}");
        }
        Ok(Allowed {
            tenant: tenant.number,
            by,
            until,
        })
    }

    /// All that a caller may and may not do, on every index that any grant names.
    pub fn explain(&self, caller: &Caller, behalf: Option<&str>, now: Micros) -> Vec<Explained> {
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
                    Ok(allowed) => (Ok(allowed.by), Some(allowed.until)),
                    Err(denied) => (Err(denied.to_string()), None),
                };
                Explained {
                    index: index.to_owned(),
                    act,
                    allowed,
                    until,
                }
            })
            .collect()
    }
}
