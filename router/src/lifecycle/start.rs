//! Start: from a configuration to a router that serves.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use event_listener::Event;
use futures_lite::future;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use ternpick::brain::Brain;

use crate::lifecycle::clock::Clock;
use crate::lifecycle::config::Opening;
use crate::lifecycle::reload::Source;
use crate::lifecycle::settings::Settings;
use crate::lifecycle::tls::{self, Tls};
use crate::lifecycle::{logging, signals, sources, watch};
use crate::memory::budget::Budget;
use crate::memory::descriptors::Descriptors;
use crate::stages::book::Office;
use crate::stages::gate::Gate;
use crate::stages::{route, take_in, Desk, Router};

/// The descriptors that the process may really hold; its own limit is raised as far as wanted and allowed.
fn descriptors(wanted: usize) -> usize {
    let limit = getrlimit(Resource::Nofile);
    let most = limit.maximum.map_or(wanted, |most| wanted.min(most as usize));
    let current = limit.current.map_or(wanted, |now| now as usize);
    let raised = Rlimit { current: Some(most as u64), ..limit };
    if current >= wanted || setrlimit(Resource::Nofile, raised).is_ok() {
        return most;
    }
    tracing::warn!("only {current} of {wanted} descriptors may be held");
    current
}

fn bind(listen: SocketAddr, sockets: usize) -> Result<Async<TcpListener>, String> {
    let listener = TcpListener::bind(listen).and_then(|listener| {
        // Connections that wait to be accepted are the router's already, so there is room for all it may hold.
        rustix::net::listen(&listener, i32::try_from(sockets).unwrap_or(i32::MAX))?;
        Async::new(listener)
    });
    listener.map_err(|e| format!("cannot listen on {listen}: {e}"))
}

/// Serves until told to stop and nothing taken is left unanswered.
pub fn serve(opening: Opening, settings: Settings, source: Source) -> Result<(), String> {
    logging::start(&settings.log);
    let signals = signals::listen()?;
    let Opening { name, listen, discovery, seed, sockets, memory, known, mut tariff, bounds, .. } = opening;
    let sockets = descriptors(sockets);
    let listener = bind(listen, sockets)?;
    let tls = settings.tls.map(Tls::new).transpose()?;
    let tls_listener = tls.as_ref().map(|tls| bind(tls.listen, sockets)).transpose()?;
    let gate =
        settings.identity.as_ref().map(|of| Gate::new(of, seed).map(|(gate, limits)| (gate, limits, of)));
    let (gate, limits) = match gate.transpose().map_err(|fault| format!("identity: {fault}"))? {
        Some((gate, limits, of)) => {
            tariff.quotas = gate.quotas(of);
            (Some(gate), Some(limits))
        }
        None => (None, None),
    };
    let (bounds, asked) = (Rc::new(bounds), tariff.roster_on_request);
    let office = Office { bounds: Rc::clone(&bounds), limits, ..Office::default() };
    let router = Rc::new(Router {
        clock: Clock::start(),
        bounds,
        descriptors: Descriptors::new(sockets),
        budget: Budget::new(memory),
        clients: Rc::default(),
        executor: Rc::new(LocalExecutor::new()),
        desk: RefCell::new(Desk { brain: Brain::new(tariff, seed), office }),
        gate,
        turn: Event::new(),
        watch: Event::new(),
        discovery: Cell::new(discovery),
        moved: Event::new(),
        stopping: Cell::new(None),
        closing: Event::new(),
        accepts_no_more: Cell::new(false),
    });
    let executor = Rc::clone(&router.executor);
    future::block_on(executor.run(async {
        executor.spawn(watch::watch(Rc::clone(&router), known["index"].as_u64().unwrap_or(0))).detach();
        executor.spawn(route::turns(Rc::clone(&router))).detach();
        // The tasks are to listen before they are called upon.
        future::yield_now().await;
        if !known.is_null() {
            watch::take_list(&router, &known).unwrap_or_else(|what| {
                tracing::warn!("roster: the known list is passed over, {what}");
                0
            });
        }
        if !asked {
            router.watch.notify(1);
        }
        tracing::info!(
            "{name} serves on {listen}, {} nodes known",
            router.desk.borrow().office.nodes.count()
        );
        sources::start(&router);
        let mut secure = None;
        if let Some((tls, listener)) = tls.zip(tls_listener) {
            tracing::info!("{name} serves TLS on {}", tls.listen);
            executor.spawn(tls::watch(Rc::clone(&router), Rc::clone(&tls))).detach();
            secure = Some(executor.spawn(take_in::accept(Rc::clone(&router), listener, Some(tls))));
        }
        let plain = executor.spawn(take_in::accept(Rc::clone(&router), listener, None));
        let accepting = executor.spawn(async {
            plain.await;
            if let Some(secure) = secure {
                secure.await;
            }
        });
        signals::obey(&router, signals, &source, accepting).await;
        Ok(())
    }))
}
