//! The task of one faculty: it owns its state and does nothing but take letters, let time pass, and pull. One that panics
//! is named in the log and made anew, with what was kept of it; the others go on.
//!
//! What a letter rests on is on disk before the letter goes out: letters that were pulled wait until the state after
//! them is kept. Where it can't be kept they are let go, as if the network had lost them, and the state is tried again
//! before anything else goes out.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::{Component, Remediation};
use granitelb_coordination::message::{ComponentKind, Message};
use granitelb_coordination::{Incarnation, Member};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::board::{self, Board};
use super::mailbox::Mailbox;
use super::situation::Situation;
use crate::clock::Clock;
use crate::fleet_config::FleetConfig;
use crate::storage::StorageWriter;

/// Letters that are taken before pulling, and pulled before sending: neither side starves the other.
const BATCH: usize = 256;
/// A faculty that is to be made anew waits so long, and twice as long each time that it dies soon again.
const PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(10);
const RETRY: Duration = Duration::from_secs(1);
/// Where a faculty wants to be woken at once, over and over, others get their turn.
const LEAST_SLEEP: Duration = Duration::from_millis(1);
const BOARD_BEAT: Duration = Duration::from_micros(board::HEARTBEAT_INTERVAL.0);

/// A letter to go out, and the life in which it was written.
pub struct Outgoing {
    pub incarnation: Incarnation,
    pub to: Member,
    pub letter: Message,
}

/// Makes a faculty, with what was kept of it.
pub type Make<F> =
    Box<dyn Fn(&FleetConfig, Incarnation, Time, Option<&[u8]>) -> Result<F, Refusal> + Send + Sync>;
/// Why it is not made.
pub type Refusal = Box<dyn Remediation + Send + Sync>;

/// Says to other faculties of this planner what they have to know, and takes what they say; called over and over.
pub type Share<F> = Box<dyn Fn(&mut F, Time, &FleetConfig, &Board) + Send + Sync>;

/// What a faculty's task works with; the state is made in it.
pub struct Desk<F: Component> {
    pub kind: ComponentKind,
    pub make: Make<F>,
    pub wrap: fn(F::Message) -> Message,
    pub unwrap: fn(Message) -> Option<F::Message>,
    /// None for one that the others have nothing to do with.
    pub share: Option<Share<F>>,
    pub board: Board,
    pub mailbox: Arc<Mailbox>,
    pub situation: watch::Receiver<Situation>,
    pub out: mpsc::Sender<Outgoing>,
    /// Asks for a new life of the whole planner.
    pub renewal: mpsc::Sender<()>,
    pub keeper: StorageWriter,
    pub clock: Clock,
    /// In a trial: it never comes back from the first letter that it hears.
    pub hangs: bool,
}

enum Ended {
    Stopped,
    /// The situation asks for a new one.
    Renewed,
    /// It can't be made by this operator's file: it is off until all are made anew.
    Unmade(u64),
    /// What was kept of it can't be read now.
    Unread,
}

/// What is promised to others by a number of this life: forgotten, the whole planner has to be a new one.
fn binds(kind: ComponentKind) -> bool {
    matches!(kind, ComponentKind::Leases | ComponentKind::ShardGrowth)
}

impl<F> Desk<F>
where
    F: Component + Send,
    F::Message: Send,
    F::Error: Send,
{
    /// Serves until the planner stops.
    pub async fn run(mut self) {
        let kind = self.kind;
        let mut pause = PAUSE;
        loop {
            let began = self.clock.now();
            match AssertUnwindSafe(self.serve()).catch_unwind().await {
                Ok(Ended::Stopped) => return,
                Ok(Ended::Renewed) => pause = PAUSE,
                Ok(Ended::Unmade(then)) => {
                    // Not with each member that comes: it would only be said again that it is off.
                    let mut situation = self.situation.clone();
                    let anew =
                        async move { situation.wait_for(|s| s.made != then || s.stopping).await.map(drop) };
                    if self.away(anew).await.is_err() {
                        return;
                    }
                }
                Ok(Ended::Unread) => {
                    self.away(sleep(pause)).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
                Err(_) => {
                    log::error!(event = "task_died", task = kind.name(); "the task of {kind} died and is made anew in {} ms. Report the lines before this one.", pause.as_millis());
                    if binds(kind) {
                        let _ = self.renewal.try_send(());
                    }
                    self.away(sleep(pause)).await;
                    let stood = Duration::from_micros((self.clock.now() - began).0);
                    pause = if stood > LONGEST_PAUSE { PAUSE } else { (pause * 2).min(LONGEST_PAUSE) };
                }
            }
        }
    }

    /// Waits for something while nobody is at the desk: what comes meanwhile is for one that is no more, and must not
    /// hold up what comes for others.
    async fn away<T>(&self, until: impl Future<Output = T>) -> T {
        let nobody = async {
            loop {
                self.mailbox.take().await;
            }
        };
        tokio::select! {
            came = until => came,
            () = nobody => unreachable!("it takes letters for ever"),
        }
    }

    async fn serve(&mut self) -> Ended {
        let situation = self.situation.borrow_and_update().clone();
        if situation.stopping {
            return Ended::Stopped;
        }
        let mut state = match self.made(&situation).await {
            Ok(state) => state,
            Err(ended) => return ended,
        };
        state.faculty.on_membership_change(self.clock.now(), &situation.alive);
        loop {
            self.share(&mut state, &situation.operator);
            self.pull(&mut state).await;
            let now = self.clock.now();
            let wake = state.faculty.poll_timeout(now).map(|at| Duration::from_micros((at - now).0));
            let wake = if state.unkept.is_some() { Some(wake.unwrap_or(RETRY).max(RETRY)) } else { wake };
            let wake = self.share.as_ref().map(|_| BOARD_BEAT).into_iter().chain(wake).min();
            let nap = async {
                match wake {
                    Some(span) => sleep(span.max(LEAST_SLEEP)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                // Who lives is told before what they say.
                biased;
                changed = self.situation.changed() => {
                    let new = self.situation.borrow_and_update().clone();
                    if changed.is_err() || new.stopping {
                        self.pull(&mut state).await;
                        return Ended::Stopped;
                    }
                    if new.made != situation.made {
                        return Ended::Renewed;
                    }
                    state.faculty.on_membership_change(self.clock.now(), &new.alive);
                }
                first = self.mailbox.take() => {
                    let more = std::iter::from_fn(|| self.mailbox.try_take()).take(BATCH - 1);
                    for (from, letter) in std::iter::once(first).chain(more) {
                        let Some(message) = (self.unwrap)(letter) else { continue };
                        if self.hangs {
                            crate::fault_injection::hang();
                        }
                        if let Err(fault) = state.faculty.on_message(self.clock.now(), from, message) {
                            state.passed_over += 1;
                            log::debug!(event = "passed_over", task = self.kind.name(); "{}: {fault}", from.member);
                            state.last_fault = Some(format!("{fault}. {}", fault.remediation()));
                        }
                    }
                }
                () = nap => {}
            }
            self.say(&mut state);
        }
    }

    /// Made anew, with what was kept.
    async fn made(&self, situation: &Situation) -> Result<State<F>, Ended> {
        let kind = self.kind;
        let kept = match self.keeper.read(kind).await {
            Ok(kept) => kept,
            Err(fault) => {
                log::error!(event = "task_off", task = kind.name(); "{kind} waits, its state can't be read: {fault}. {}", fault.remediation());
                return Err(Ended::Unread);
            }
        };
        let now = self.clock.now();
        // A faculty that died and is made anew in the same life of the planner is a later one.
        let incarnation = Incarnation(situation.incarnation.0.max(now.0));
        match (self.make)(&situation.operator, incarnation, now, kept.as_deref()) {
            Ok(faculty) => Ok(State {
                faculty,
                incarnation: situation.incarnation,
                unkept: None,
                retry_at: now,
                said_unkept: false,
                passed_over: 0,
                last_fault: None,
                said: now,
                share_at: now,
            }),
            Err(fault) => {
                log::info!(event = "task_off", task = kind.name(); "{kind} is off: {fault}. {}", fault.remediation());
                Err(Ended::Unmade(situation.made))
            }
        }
    }

    fn share(&self, state: &mut State<F>, operator: &FleetConfig) {
        let now = self.clock.now();
        if let Some(share) = &self.share
            && now >= state.share_at
        {
            state.share_at = now + board::HEARTBEAT_INTERVAL;
            share(&mut state.faculty, now, operator, &self.board);
        }
    }

    /// Pulls what is to go out, has kept what it rests on, and sends it.
    async fn pull(&self, state: &mut State<F>) {
        loop {
            let before = state.faculty.poll_snapshot();
            let now = self.clock.now();
            let letters: Vec<_> =
                std::iter::from_fn(|| state.faculty.poll_message(now)).take(BATCH).collect();
            // What is kept is the last whole state; an earlier one is void by it.
            let after = state.faculty.poll_snapshot();
            state.unkept = after.or(before).or(state.unkept.take());
            if !self.keep(state).await {
                return;
            }
            let more = letters.len() == BATCH;
            for (to, message) in letters {
                let letter = (self.wrap)(message);
                // The post ends after all desks; a letter that it no longer takes is as good as lost.
                let _ = self.out.send(Outgoing { incarnation: state.incarnation, to, letter }).await;
            }
            if !more {
                return;
            }
        }
    }

    /// Whether all that was to be kept is.
    async fn keep(&self, state: &mut State<F>) -> bool {
        let Some(bytes) = state.unkept.take() else { return true };
        if self.clock.now() < state.retry_at {
            // Not with each letter that comes: a store that failed is checked whole before it is written again.
            state.unkept = Some(bytes);
            return false;
        }
        match self.keeper.persist(self.kind, bytes.clone()).await {
            Ok(()) => {
                if std::mem::take(&mut state.said_unkept) {
                    log::info!(event = "kept_again", task = self.kind.name(); "the state of {} is kept again", self.kind);
                }
                true
            }
            Err(lost) => {
                if !std::mem::replace(&mut state.said_unkept, true) {
                    log::error!(event = "not_kept", task = self.kind.name(); "{}: {lost}. {} Nothing of {} goes out until it is kept.", self.kind, lost.remediation(), self.kind);
                }
                state.unkept = Some(bytes);
                state.retry_at = self.clock.now() + Span::from_millis(RETRY.as_millis() as u64);
                false
            }
        }
    }

    fn say(&self, state: &mut State<F>) {
        while let Some(remark) = state.faculty.poll_event() {
            super::log_remark(self.kind.name(), &remark);
        }
        let now = self.clock.now();
        if now - state.said >= super::post::MINUTE {
            state.said = now;
            if let Some(last) = state.last_fault.take() {
                let count = std::mem::take(&mut state.passed_over);
                log::warn!(event = "passed_over", task = self.kind.name(), count = count; "{} passed {count} letters over; the last one: {last}", self.kind);
            }
        }
    }
}

struct State<F> {
    faculty: F,
    /// Of the planner, which letters bear.
    incarnation: Incarnation,
    unkept: Option<Vec<u8>>,
    /// Where it could not be kept: not again before.
    retry_at: Time,
    said_unkept: bool,
    passed_over: u64,
    last_fault: Option<String>,
    said: Time,
    /// When others are told next, and asked.
    share_at: Time,
}
