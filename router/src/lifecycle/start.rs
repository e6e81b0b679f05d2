//! Start: from a configuration to a router that serves.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use event_listener::Event;
use futures_lite::future;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use serde_json::Value;
use ternpick::routing::RoutingEngine;
use ternpick::watch_schedule::WatchSchedule;

use crate::fleet::{event_loop, Fleet};
use crate::lifecycle::clock::Clock;
use crate::lifecycle::config::RouterConfig;
use crate::lifecycle::control::{self, Control};
use crate::lifecycle::hot_restart_link::Link;
use crate::lifecycle::reload::Source;
use crate::lifecycle::settings::{ControlTerms, Settings};
use crate::lifecycle::tls::{self, Tls};
use crate::lifecycle::upgrade::{self, Share, Start};
use crate::lifecycle::{key_sources, logging, signals, stop, takeover, watch};
use crate::router::{Decisions, Router};
use crate::stages::auth_filter::AuthFilter;
use crate::stages::completion::EffectQueue;
use crate::stages::{dispatch, listener};
use crate::state::budget::Budget;
use crate::state::client_transfer::ClientTransfer;
use crate::state::descriptors::Descriptors;
use crate::state::discovery::DiscoveryState;
use crate::state::listener::ListenerState;
use crate::state::shutdown::ShutdownState;

/// The descriptors that the process may really hold; its own limit is raised as far as wanted and allowed.
fn descriptors(wanted: usize) -> usize {
    let limit = getrlimit(Resource::Nofile);
    let most = limit
        .maximum
        .map_or(wanted, |most| wanted.min(most as usize));
    let current = limit.current.map_or(wanted, |now| now as usize);
    let raised = Rlimit {
        current: Some(most as u64),
        ..limit
    };
    if current >= wanted || setrlimit(Resource::Nofile, raised).is_ok() {
        return most;
    }
    tracing::warn!("only {current} of {wanted} descriptors may be held");
    current
}

fn bind(listen: SocketAddr, sockets: usize) -> Result<TcpListener, String> {
    let listener = TcpListener::bind(listen).and_then(|listener| {
        // Connections that wait to be accepted are the router's already, so there is room for all it may hold.
        rustix::net::listen(&listener, i32::try_from(sockets).unwrap_or(i32::MAX))?;
        Ok(listener)
    });
    listener.map_err(|e| format!("cannot listen on {listen}: {e}"))
}

/// The digest of what a router runs on, for the process that is to take its place.
fn digest(source: &Source) -> u64 {
    let settings = source
        .settings
        .as_ref()
        .and_then(|path| std::fs::read(path).ok())
        .unwrap_or_default();
    let fixed: String = source.fixed.iter().map(Value::to_string).collect();
    u64::from(crc32fast::hash(fixed.as_bytes())) << 32 | u64::from(crc32fast::hash(&settings))
}

/// Both listeners, the plain one first.
fn bind_all(
    listen: SocketAddr,
    tls: Option<&Rc<Tls>>,
    sockets: usize,
) -> Result<Vec<TcpListener>, String> {
    let addresses = std::iter::once(listen).chain(tls.map(|tls| tls.listen));
    addresses.map(|address| bind(address, sockets)).collect()
}

/// How a router starts: on its own, or in another process's place.
pub enum From {
    Nothing,
    /// The link to it, and its number.
    Process(Link, u32),
}

/// Serves until told to stop and nothing taken is left unanswered.
pub fn serve(
    opening: RouterConfig,
    settings: Settings,
    source: Source,
    from: From,
) -> Result<(), String> {
    logging::start(&settings.log);
    let settings = settings.for_router(&opening.name);
    let signals = signals::listen()?;
    let digest = digest(&source);
    let RouterConfig {
        name,
        listen,
        discovery,
        seed,
        sockets,
        memory,
        known,
        mut tariff,
        bounds,
        ..
    } = opening;
    let sockets = descriptors(sockets);
    let tls = settings.tls.map(Tls::new).transpose()?;
    let bound = match from {
        From::Nothing => Some(bind_all(listen, tls.as_ref(), sockets)?),
        From::Process(..) => None,
    };
    let gate = settings
        .identity
        .as_ref()
        .map(|of| AuthFilter::new(of, seed).map(|(gate, limits)| (gate, limits, of)));
    let (gate, limits) = match gate
        .transpose()
        .map_err(|fault| format!("identity: {fault}"))?
    {
        Some((gate, limits, of)) => {
            tariff.quotas = gate.quotas(of);
            (Some(gate), Some(limits))
        }
        None => (None, None),
    };
    let customers = match &gate {
        Some(gate) => gate.customers(),
        None => bounds.customer_names.clone(),
    };
    let inherits = matches!(from, From::Process(..));
    let clock = Clock::start();
    let lingers = settings
        .fleet
        .as_ref()
        .and_then(|fleet| fleet.works.as_ref())
        .map(|works| works.lingers);
    if let (Some(lingers), Some(longest)) = (lingers, bounds.longest_deadline) {
        if lingers < longest.0 {
            return Err(format!(
                "fleet.works.lingers is {} ms, the longest deadline here is {} ms: a router without a lease could still act \
                 on a machine under a permit",
                lingers / 1000,
                longest.0 / 1000
            ));
        }
    }
    let fleet = settings.fleet.map(|terms| {
        Fleet::new(
            terms,
            &name,
            &tariff,
            &bounds.index_names,
            customers,
            inherits,
            clock.now(),
        )
    });
    let cadence = WatchSchedule::new(bounds.ask_within, !seed);
    let (bounds, asked) = (Rc::new(bounds), tariff.discovery_is_polled);
    let office = EffectQueue {
        bounds: Rc::clone(&bounds),
        limits,
        ..EffectQueue::default()
    };
    let router = Rc::new(Router {
        clock,
        bounds,
        descriptors: Descriptors::new(sockets),
        budget: Budget::new(memory),
        clients: Rc::default(),
        executor: Rc::new(LocalExecutor::new()),
        decisions: RefCell::new(Decisions {
            engine: RoutingEngine::new(tariff, seed),
            effects: office,
        }),
        auth: gate,
        fleet,
        input_applied: Event::new(),
        discovery: DiscoveryState::new(discovery, known["index"].as_u64().unwrap_or(0)),
        shutdown: ShutdownState::default(),
        listener: ListenerState::default(),
        client_transfer: ClientTransfer::default(),
    });
    let share = Rc::new(Share::of(&router));
    let control = settings.control;
    let executor = Rc::clone(&router.executor);
    let heir = future::block_on(executor.run(async {
        executor
            .spawn(watch::watch(Rc::clone(&router), cadence))
            .detach();
        executor.spawn(dispatch::turns(Rc::clone(&router))).detach();
        // The tasks are to listen before they are called upon: taking a list in may ask for the watch at once.
        future::yield_now().await;
        let take_known = || {
            if !known.is_null() {
                watch::take_list(&router, &known).unwrap_or_else(|what| {
                    tracing::warn!("roster: the known list is passed over, {what}");
                    0
                });
            }
        };
        let listeners = match (bound, from) {
            (Some(bound), _) => {
                take_known();
                bound
            }
            (None, From::Nothing) => bind_all(listen, tls.as_ref(), sockets)?,
            (None, From::Process(link, old)) => {
                let patience = control.as_ref().map(upgrade::patience).unwrap_or_default();
                let taken =
                    takeover::take_over(&router, &share, (link, old), patience, digest).await?;
                let listeners = match &taken.listeners {
                    Some(passed) => {
                        let again = passed.iter().map(TcpListener::try_clone);
                        again
                            .collect::<Result<Vec<_>, _>>()
                            .map_err(|e| format!("a listener is spoilt: {e}"))?
                    }
                    None => bind_all(listen, tls.as_ref(), sockets)?,
                };
                // The old one died before it passed its state: the list of the configuration is what there is.
                if taken.version.is_none() {
                    take_known();
                }
                executor
                    .spawn(takeover::follow(
                        Rc::clone(&router),
                        Rc::clone(&share),
                        taken,
                    ))
                    .detach();
                listeners
            }
        };
        if !asked {
            router.discovery.request_watch();
        }
        tracing::info!(
            "{name} serves on {listen}, {} nodes known",
            router.decisions.borrow().effects.nodes.count()
        );
        key_sources::start(&router);
        if let Some(fleet) = &router.fleet {
            executor
                .spawn(event_loop::run(Rc::clone(&router), Rc::clone(fleet)))
                .detach();
        }
        let control = match control {
            Some(terms) => Some(open_control(
                &router, &share, terms, &source, digest, &listeners, &name,
            )?),
            None => None,
        };
        let mut accepting = Vec::new();
        for (at, listener) in listeners.into_iter().enumerate() {
            let listener =
                Async::new(listener).map_err(|e| format!("cannot listen on {listen}: {e}"))?;
            let tls = if at == 0 { None } else { tls.clone() };
            if let Some(tls) = &tls {
                tracing::info!("{name} serves TLS on {}", tls.listen);
                executor
                    .spawn(tls::watch(Rc::clone(&router), Rc::clone(tls)))
                    .detach();
            }
            accepting.push(executor.spawn(listener::accept(Rc::clone(&router), listener, tls)));
        }
        let accepting = executor.spawn(async {
            for task in accepting {
                task.await;
            }
        });
        signals::obey(&router, signals, &source, accepting).await;
        let stays =
            control.filter(|control| control.terms.stays && router.shutdown.is_handed_over());
        Ok::<_, String>(stays.and_then(|control| control.upgrades.heir.take()))
    }))?;
    drop(router);
    match heir {
        Some(heir) => stop::stay(heir),
        None => Ok(()),
    }
}

/// Opens the control socket, and writes down which process serves.
fn open_control(
    router: &Rc<Router>,
    share: &Rc<Share>,
    terms: ControlTerms,
    source: &Source,
    digest: u64,
    listeners: &[TcpListener],
    name: &str,
) -> Result<Rc<Control>, String> {
    let passed = listeners.iter().map(|of| of.try_clone().map(OwnedFd::from));
    let passed = passed
        .collect::<Result<Vec<_>, _>>()
        .map_err(|e| format!("a listener is spoilt: {e}"))?;
    if let Some(path) = &terms.pid_file {
        let text = format!("{}\n", std::process::id());
        ternpick_store::replace_file(path.as_ref(), text.as_bytes())
            .map_err(|fault| fault.to_string())?;
    }
    let socket = control::bind(terms.socket.as_ref())?;
    let start = Start {
        program: std::env::current_exe()
            .map_err(|e| format!("the program is not to be found: {e}"))?,
        config: source.path.clone(),
        settings: source.settings.clone().unwrap_or_default(),
    };
    let upgrades = upgrade::upgrades(share, &terms, digest, passed);
    let control = Rc::new(Control::new(terms, start, upgrades, name));
    let serving = control::serve(Rc::clone(router), Rc::clone(&control), socket);
    router.executor.spawn(serving).detach();
    Ok(control)
}
