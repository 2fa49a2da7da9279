//! A planner's process: tasks that each own their state and talk by bounded queues. The post owns the socket, a desk each
//! faculty, and a thread the store.
//!
//! Each on a thread of its own: a faculty that reckons for a second, or never comes back, must not hold beats up, or others
//! would take the planner for dead. Letters come in through one socket in one task, at some microseconds each.

mod board;
mod crew;
mod desk;
mod door;
mod faculties;
mod file;
mod mailbox;
mod post;
mod situation;
mod tally;
#[cfg(test)]
mod tests;
mod watch;

use std::panic::AssertUnwindSafe;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use granitelb_coordination::Incarnation;
use granitelb_coordination::component::{Event, Remediation};
use granitelb_coordination::message::ComponentKind;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch as told};

pub use self::watch::Patience;
pub use door::TooOften;
pub use faculties::Refused;
pub use file::PlannerConfig;

use crate::clock::Clock;
use crate::config_error::ConfigError;
use crate::storage::{self, StorageWriter};
use board::Board;
use crew::Crew;
use post::{Asked, Order, Post};
use situation::Situation;

/// Letters that wait to be sent.
const OUTGOING: usize = 1024;
/// What a faculty may take to end in order.
const PATIENCE: Duration = Duration::from_secs(2);
/// The post is made anew so long after it died.
const PAUSE: Duration = Duration::from_millis(100);
/// Bytes that wait to be read, as far as the system gives them: a fifth of a second of a flood of 50,000 letters, in which
/// this process may have no core.
const WAITING: usize = 4 << 20;

/// Why a planner can't serve.
#[derive(Debug, Error)]
pub enum PlannerError {
    #[error("configuration, {0}")]
    File(#[from] ConfigError),
    #[error("letters can't be received at {address}: {why}")]
    Address { address: std::net::SocketAddrV4, why: std::io::Error },
    #[error("{0}")]
    Store(#[from] storage::StorageError),
    #[error("the system gives no threads or signals: {0}")]
    System(std::io::Error),
    #[error("{0} never came back from a call")]
    Hung(ComponentKind),
    #[error("letters can no longer be read")]
    NoPost,
}

impl Remediation for PlannerError {
    fn remediation(&self) -> &'static str {
        match self {
            PlannerError::File(trouble) => trouble.remediation(),
            PlannerError::Address { .. } => {
                "Stop whatever holds the port, or name an address of this machine by `listen` in the planner's file."
            }
            PlannerError::Store(fault) => fault.remediation(),
            PlannerError::System(_) => "Raise the limits of processes and descriptors.",
            PlannerError::NoPost => "Look at the lines before this one, and restart the planner.",
            PlannerError::Hung(_) => {
                "Have a supervisor start it anew, and report it with the lines before this one. If it happens again, take \
                 that faculty's section out of the operator's file of all members."
            }
        }
    }
}

pub(crate) fn log_remark(task: &str, remark: &Event) {
    let level = if remark.is_warning { log::Level::Warn } else { log::Level::Info };
    log::log!(level, event = remark.name, task = task; "{}", remark.message);
}

/// Serves as a planner until a stop signal.
///
/// # Errors
/// Whatever keeps it from serving at all.
pub fn run(path: &Path) -> Result<(), PlannerError> {
    let file = PlannerConfig::load(path)?;
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().build().map_err(PlannerError::System)?;
    runtime.block_on(serve(path, file))
}

async fn serve(path: &Path, file: PlannerConfig) -> Result<(), PlannerError> {
    // Before anything is served: a signal that nobody heeds ends the program.
    let mut signals = Signals::heed().map_err(PlannerError::System)?;
    log::info!(event = "starting"; "{file}");
    let trial = file.trial.clone().unwrap_or_default();
    if file.trial.is_some() {
        log::error!(event = "trial"; "this planner is made to do amiss, by [trial] in its file: {trial:?}. Take that out of the file, unless this is a trial.");
    }
    let clock = trial.clock();
    let socket = bound(file.listen)?;
    let (keeper, thread) = open_store(&file)?;

    let first = Situation {
        incarnation: first_incarnation(&keeper, clock).await?,
        alive: Arc::from([]),
        operator: file.operator.clone(),
        made: 0,
        stopping: false,
    };
    let (situation, told) = told::channel(first);
    let (out, outgoing) = mpsc::channel(OUTGOING);
    let (renewal, renewals) = mpsc::channel(1);
    let (order, orders) = mpsc::channel(4);
    let office = faculties::Office {
        me: file.number,
        told,
        out,
        renewal,
        keeper: keeper.clone(),
        clock,
        board: Board::new(),
        trial,
    };
    let (mut desks, mut posts) = (Crew::new(), Crew::new());
    let counters = office.open(&mut desks).map_err(PlannerError::System)?;
    drop(office);
    let (lost, mut hung) = mpsc::channel(1);
    let (number, asked) = (file.number, Asked { out: outgoing, orders, renewals });
    let post = async move {
        // In the runtime that is to read it.
        match UdpSocket::from_std(socket) {
            Ok(socket) => {
                let post = Post::new(number, socket, clock, counters, lost, situation, keeper);
                keep_posting(post, asked).await;
            }
            Err(why) => {
                log::error!(event = "task_died", task = "post"; "letters can't be read: {why}. Raise the limit of descriptors.")
            }
        }
    };
    posts.hire("post", post).map_err(PlannerError::System)?;
    log::info!(event = "ready"; "ready");

    let mut running = file;
    let lost = loop {
        tokio::select! {
            asks = signals.next() => match asks {
                Asks::Stop => break None,
                Asks::Reload => {
                    if let Some(operator) = reload(path, &mut running) {
                        let _ = order.send(Order::Reload(operator)).await;
                    }
                }
            },
            // The post ends after everyone else, unless it can't read at all.
            kind = hung.recv() => break Some(kind.map_or(PlannerError::NoPost, PlannerError::Hung)),
        }
    };
    log::info!(event = "stopping"; "stopping");
    let _ = order.send(Order::Stop).await;
    let all = desks.ended(PATIENCE).await;
    if !all {
        log::warn!(event = "stopped_short"; "not all tasks ended in order");
    }
    let _ = order.send(Order::End).await;
    posts.ended(PATIENCE).await;
    // Nobody asks the keeper any more, so it ends with its last commit; but for who hangs.
    if let Some(thread) = thread.filter(|_| all) {
        let _ = tokio::task::spawn_blocking(move || thread.join()).await;
    }
    match lost {
        Some(fault) => Err(fault),
        None => {
            log::info!(event = "ended"; "ended");
            Ok(())
        }
    }
}

fn bound(address: std::net::SocketAddrV4) -> Result<std::net::UdpSocket, PlannerError> {
    let wrong = |why| PlannerError::Address { address, why };
    let socket = std::net::UdpSocket::bind(address).map_err(wrong)?;
    socket.set_nonblocking(true).map_err(wrong)?;
    // As much as the system allows (`net.core.rmem_max`), and less will do.
    let _ = rustix::net::sockopt::set_socket_recv_buffer_size(&socket, WAITING);
    Ok(socket)
}

/// The way to the store, and the thread that owns it.
fn open_store(
    file: &PlannerConfig,
) -> Result<(StorageWriter, Option<std::thread::JoinHandle<()>>), PlannerError> {
    let Some(folder) = &file.state else { return Ok((StorageWriter::disabled(), None)) };
    let opened = storage::open(folder, file.number)?;
    let say = |opened: &storage::OpenedStorage, then: &str| {
        if let Some(storage::RejectedFile { error: fault, moved_to: aside }) = &opened.rejected {
            log::error!(event = "store_refused", aside = aside.display().to_string().as_str(); "{fault}; it is kept as {}, and {then}. {}", aside.display(), fault.remediation());
        }
    };
    say(&opened, "this planner begins with nothing");
    let (path, number, folder) = (opened.path, file.number, folder.clone());
    // The folder may have been taken away with it.
    let reopen = move || {
        let opened = storage::open(&folder, number)?;
        say(&opened, "all that was kept goes into a new one");
        Ok(opened.state_file)
    };
    let started = StorageWriter::start_at(Some(path), opened.state_file, reopen);
    let (keeper, thread) = started.map_err(PlannerError::System)?;
    Ok((keeper, Some(thread)))
}

/// Later than all before: those of this process by its clock, and those of earlier ones also where the machine's clock
/// was set back since.
async fn first_incarnation(keeper: &StorageWriter, clock: Clock) -> Result<Incarnation, PlannerError> {
    let kept = keeper.read(ComponentKind::Membership).await?;
    let kept = kept.and_then(|bytes| bytes.try_into().ok()).map_or(0, u64::from_be_bytes);
    let incarnation = Incarnation(clock.now().0.max(kept + 1));
    store_incarnation(keeper, incarnation)
        .await
        .map_err(|lost| storage::StorageError::WriteFailed(lost.to_string()))?;
    Ok(incarnation)
}

async fn store_incarnation(
    keeper: &StorageWriter,
    incarnation: Incarnation,
) -> Result<(), storage::PersistError> {
    keeper.persist(ComponentKind::Membership, incarnation.0.to_be_bytes().to_vec()).await
}

/// Serves as the post; one that dies is named, and goes on as that of a new planner.
async fn keep_posting(mut post: Post, mut asked: Asked) {
    while AssertUnwindSafe(post.serve(&mut asked)).catch_unwind().await.is_err() {
        log::error!(event = "task_died", task = "post"; "the post died and is made anew. Report the lines before this one.");
        tokio::time::sleep(PAUSE).await;
        post.reset();
    }
}

/// Reads the files again; a fault in either changes nothing.
fn reload(path: &Path, running: &mut PlannerConfig) -> Option<Arc<crate::fleet_config::FleetConfig>> {
    match PlannerConfig::load(path) {
        Ok(file) => {
            log::info!(event = "reloaded"; "read again: {file}");
            for key in file.for_next_start(running) {
                log::warn!(event = "reload_later", key = key; "configuration, {key}: it differs, and is taken up at the next start only");
            }
            running.operator = file.operator.clone();
            Some(file.operator)
        }
        Err(trouble) => {
            log::error!(event = "reload_refused"; "configuration, {trouble}; the files before it stay in force. {}", trouble.remediation());
            None
        }
    }
}

#[derive(PartialEq)]
enum Asks {
    Reload,
    Stop,
}

struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn heed() -> std::io::Result<Signals> {
        // A file that may grow no further is told by an error; unheeded, this signal ends the program.
        drop(signal(SignalKind::from_raw(rustix::process::Signal::XFSZ.as_raw()))?);
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) -> Asks {
        tokio::select! {
            _ = self.terminate.recv() => Asks::Stop,
            _ = self.interrupt.recv() => Asks::Stop,
            _ = self.hangup.recv() => Asks::Reload,
        }
    }
}
