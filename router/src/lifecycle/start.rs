//! Starts a router from its configuration and runs it until it has stopped or handed over to a new process.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use async_executor::Task;
use async_io::Async;
use futures_lite::future;
use serde_json::Value;
use ternpick::watch_schedule::WatchSchedule;

use crate::fleet::event_loop;
use crate::lifecycle::build::{BuildError, RouterBuilder};
use crate::lifecycle::capacity_share::CapacityShare;
use crate::lifecycle::config::RouterConfig;
use crate::lifecycle::control::{self, Control};
use crate::lifecycle::parent::{self, Ended, ParentError};
use crate::lifecycle::reload::StartupFiles;
use crate::lifecycle::settings::{ControlConfig, Settings};
use crate::lifecycle::signals::{SignalError, Signals};
use crate::lifecycle::sockets::{self, ListenError};
use crate::lifecycle::takeover::{PreviousProcess, TakeoverError};
use crate::lifecycle::tls::{self, Tls, TlsError};
use crate::lifecycle::upgrade::{self, LaunchSpec, Upgrades};
use crate::lifecycle::{
    endpoint_list, key_sources, logging, requests, run, signals, takeover, watch,
};
use crate::router::Router;
use crate::stages::{dispatch, listener};
use crate::state::turns::Stage;

/// Why a router cannot start, or fails.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    /// The signal handlers cannot be registered.
    #[error("{0}")]
    Signals(#[from] SignalError),
    /// TLS files cannot be used.
    #[error("{0}")]
    Tls(#[from] TlsError),
    /// The router cannot be built from its configuration and settings.
    #[error("{0}")]
    Build(#[from] BuildError),
    /// A listening socket cannot be opened.
    #[error("{0}")]
    Listen(#[from] ListenError),
    /// The process cannot take over from the old one.
    #[error("{0}")]
    Takeover(#[from] TakeoverError),
    /// The control socket cannot be opened.
    #[error("{0}")]
    Control(String),
    /// The path of this process's program, which upgrades need, is not known.
    #[error("cannot determine the path of this program: {0}")]
    Program(io::Error),
    /// The new process, whose parent this one stayed, has failed.
    #[error("{0}")]
    Parent(#[from] ParentError),
}

/// How a router starts.
pub(crate) enum Origin {
    /// As the first process.
    Fresh,
    /// As the new process of a hot restart.
    Replaces(PreviousProcess),
}

/// The origin of the listeners.
enum ListenerSource {
    /// This process has bound them.
    Bound(Vec<TcpListener>),
    /// The old process passes them on.
    Previous(PreviousProcess),
}

/// Serves until the router has stopped and all admitted queries are answered, or until a new process has taken over.
pub(crate) fn serve(
    mut config: RouterConfig,
    settings: Settings,
    files: StartupFiles,
    origin: Origin,
) -> Result<(), StartError> {
    logging::start(&settings.log);
    let settings = settings.for_router(&config.name);
    let signals = signals::listen()?;
    let digest = digest(&files);
    let descriptor_limit = sockets::raise_descriptor_limit(config.descriptor_limit);
    let tls = settings.tls.map(Tls::new).transpose()?;
    let addresses = std::iter::once(config.listen).chain(tls.as_ref().map(|tls| tls.listen));
    let addresses: Vec<SocketAddr> = addresses.collect();
    let listeners = match origin {
        Origin::Fresh => ListenerSource::Bound(sockets::bind_all(&addresses, descriptor_limit)?),
        Origin::Replaces(previous) => ListenerSource::Previous(previous),
    };
    let known_endpoints = config.known_endpoints.take();
    let discovery_is_polled = config.platform.discovery_is_polled;
    let schedule = WatchSchedule::new(config.bounds.max_poll_interval, !config.seed);
    let name = config.name.clone();
    let builder = RouterBuilder {
        config,
        identity: settings.identity,
        fleet: settings.fleet,
        descriptor_limit,
        list_version: known_endpoints["index"].as_u64().unwrap_or(0),
        replaces_process: matches!(listeners, ListenerSource::Previous(_)),
    };
    let router = Rc::new(builder.build()?);
    let executor = Rc::clone(&router.executor);
    let serving = Serving {
        share: Rc::new(CapacityShare::of(&router)),
        router,
        name,
        addresses,
        descriptor_limit,
        tls,
        known_endpoints,
        discovery_is_polled,
        files,
        digest,
    };
    let router = Rc::clone(&serving.router);
    let serving = serving.run(listeners, schedule, settings.control, signals);
    // A task of its own: the executor polls the future that it runs only after every 200 turns of tasks, which would
    // delay the handling of signals.
    let serving = router.spawn(Stage::Signals, 0, serving);
    // The executor is not dropped before the process ends, so the remaining tasks are not dropped either.
    let ended = future::block_on(executor.run(serving))?;
    Ok(parent::end(&router, ended)?)
}

/// Returns the digest of the fixed configuration fields and the settings file. The processes of a hot restart compare
/// it.
fn digest(files: &StartupFiles) -> u64 {
    let settings = files
        .settings
        .as_ref()
        .and_then(|path| std::fs::read(path).ok())
        .unwrap_or_default();
    let fixed: String = files.fixed.iter().map(Value::to_string).collect();
    u64::from(crc32fast::hash(fixed.as_bytes())) << 32 | u64::from(crc32fast::hash(&settings))
}

/// A router that is starting or serving.
struct Serving {
    router: Rc<Router>,
    share: Rc<CapacityShare>,
    name: String,
    /// The addresses of the listeners, the plain one first.
    addresses: Vec<SocketAddr>,
    descriptor_limit: usize,
    tls: Option<Rc<Tls>>,
    /// The endpoint list of the configuration; null if there is none.
    known_endpoints: Value,
    /// Whether the routing engine requests the endpoint list when it needs it. Otherwise the list is watched from the
    /// start.
    discovery_is_polled: bool,
    files: StartupFiles,
    /// The digest of configuration and settings, see [`digest`].
    digest: u64,
}

impl Serving {
    /// Starts all tasks and waits for the end.
    async fn run(
        self,
        listeners: ListenerSource,
        schedule: WatchSchedule,
        control: Option<ControlConfig>,
        mut signals: Signals,
    ) -> Result<Ended, StartError> {
        let watch = watch::watch(Rc::clone(&self.router), schedule);
        self.spawn(Stage::Discovery, watch);
        let client_turns = Rc::clone(&self.router.client_turns);
        let grant = async move { client_turns.grant().await };
        self.spawn(Stage::Dispatch, grant);
        let dispatch = dispatch::run_turns(Rc::clone(&self.router));
        self.spawn(Stage::Dispatch, dispatch);
        // Lets the tasks register their listeners first: applying an endpoint list may request the watch at once.
        future::yield_now().await;
        let replaces_process = matches!(listeners, ListenerSource::Previous(_));
        let listeners = match listeners {
            ListenerSource::Bound(listeners) => {
                self.apply_known_endpoints();
                listeners
            }
            ListenerSource::Previous(previous) => {
                self.take_over(previous, control.as_ref(), &mut signals)
                    .await?
            }
        };
        if !self.discovery_is_polled {
            self.router.discovery.request_watch();
        }
        let nodes = self.router.decisions.borrow().effects.nodes.count();
        let address = self.addresses[0];
        tracing::info!(router = self.name, %address, nodes, "serving");
        key_sources::start(&self.router);
        if let Some(fleet) = &self.router.fleet {
            let event_loop = event_loop::run(Rc::clone(&self.router), Rc::clone(fleet));
            self.spawn(Stage::Fleet, event_loop);
        }
        let listeners = self.poll_listeners(listeners)?;
        let control = control
            .map(|settings| self.open_control(settings, &listeners, replaces_process))
            .transpose()?;
        let accepting = self.accept(listeners);
        run::until_stopped(&self.router, &mut signals, &self.files, accepting).await;
        let successor = control
            .as_ref()
            .and_then(|control| control.upgrades.successor.take());
        Ok(Ended {
            successor,
            stays_as_parent: control.is_some_and(|control| control.config.stays_as_parent),
            signals,
        })
    }

    fn spawn(&self, stage: Stage, task: impl std::future::Future<Output = ()> + 'static) {
        self.router.spawn(stage, 0, task).detach();
    }

    /// Applies the endpoint list of the configuration, so that a start does not depend on discovery.
    fn apply_known_endpoints(&self) {
        if self.known_endpoints.is_null() {
            return;
        }
        if let Err(error) = endpoint_list::apply_endpoint_list(&self.router, &self.known_endpoints)
        {
            tracing::warn!(%error, "endpoint list of the configuration ignored");
        }
    }

    /// Takes over from the old process and returns the listeners.
    async fn take_over(
        &self,
        previous: PreviousProcess,
        control: Option<&ControlConfig>,
        signals: &mut Signals,
    ) -> Result<Vec<TcpListener>, StartError> {
        let timeouts = control.map(upgrade::step_timeouts).unwrap_or_default();
        let taking_over =
            takeover::take_over(&self.router, &self.share, previous, timeouts, self.digest);
        let told_to_exit = async {
            requests::handle_before_takeover(&self.router, signals).await;
            Err(TakeoverError::NotTakenOver)
        };
        let taken = future::or(taking_over, told_to_exit).await?;
        let listeners = match taken.listeners {
            Some(listeners) => listeners,
            None => sockets::bind_all(&self.addresses, self.descriptor_limit)?,
        };
        // Without a usable snapshot, for example after the old process died, the list of the configuration is used.
        if taken.list_version.is_none() {
            self.apply_known_endpoints();
        }
        let follow = takeover::follow(Rc::clone(&self.router), Rc::clone(&self.share), taken.old);
        self.spawn(Stage::HotRestart, follow);
        Ok(listeners)
    }

    /// Opens the control socket and writes the pid file.
    ///
    /// If the socket cannot be opened, a first start fails. The new process of an upgrade serves already: it keeps
    /// serving and retries.
    fn open_control(
        &self,
        settings: ControlConfig,
        listeners: &[Rc<Async<TcpListener>>],
        replaces_process: bool,
    ) -> Result<Rc<Control>, StartError> {
        let launch_spec = LaunchSpec {
            program: std::env::current_exe().map_err(StartError::Program)?,
            config: self.files.config.clone(),
            settings: self.files.settings.clone().unwrap_or_default(),
        };
        let upgrades = Upgrades::new(&self.share, &settings, self.digest, listeners.to_vec());
        let control = Rc::new(Control::new(settings, launch_spec, upgrades, &self.name));
        let router = Rc::clone(&self.router);
        match control::open(&control) {
            Ok(socket) => {
                let serve = control::serve(router, Rc::clone(&control), socket);
                self.spawn(Stage::Control, serve);
            }
            Err(error) if replaces_process => {
                tracing::warn!(%error, "control: cannot be opened yet");
                let open = control::open_later(router, Rc::clone(&control));
                self.spawn(Stage::Control, open);
            }
            Err(error) => return Err(StartError::Control(error.to_string())),
        }
        Ok(control)
    }

    /// Registers the listeners with the poller.
    fn poll_listeners(
        &self,
        listeners: Vec<TcpListener>,
    ) -> Result<Vec<Rc<Async<TcpListener>>>, StartError> {
        let polled = listeners
            .into_iter()
            .map(|listener| Async::new(listener).map(Rc::new));
        let polled = polled.collect::<Result<Vec<_>, _>>();
        let address = self.addresses[0];
        Ok(polled.map_err(|source| ListenError { address, source })?)
    }

    /// Accepts clients. The returned task ends once all listeners are closed. The first listener is plain, the second
    /// one TLS.
    fn accept(&self, listeners: Vec<Rc<Async<TcpListener>>>) -> Task<()> {
        let mut accepting = Vec::new();
        for (position, listener) in listeners.into_iter().enumerate() {
            let tls = self.tls.clone().filter(|_| position > 0);
            if let Some(tls) = &tls {
                tracing::info!(router = self.name, address = %tls.listen, "serving TLS");
                // Applied here, not in the task: no connection may be accepted before the lists are in use.
                tls.apply_revocation_lists(&self.router);
                let watch = tls::watch(Rc::clone(&self.router), Rc::clone(tls));
                self.spawn(Stage::Identity, watch);
            }
            let task = listener::accept(Rc::clone(&self.router), listener, tls);
            accepting.push(self.router.spawn(Stage::Accept, 0, task));
        }
        self.router.executor.spawn(async {
            for task in accepting {
                task.await;
            }
        })
    }
}
