//! The post: owns the letters' socket, the members, and who can be reached where. It opens what comes, asks the members
//! whether it is news, and puts it into its faculty's mailbox; it seals what faculties write, numbers it, and sends it.
//! It tells all tasks who lives and under which life this planner goes on.
//!
//! It has a thread of its own, so that no faculty can hold up beats, and sees to it that each faculty still comes back from
//! its calls; see `watch`. How much of a flood is read is `door`'s to say.
//!
//! It waits for nobody. A mailbox that is full of letters that must not be shed makes it leave the next ones in the socket
//! while all else goes on, so a faculty that waits for the post never waits for itself.

use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::{Component, Remediation};
use granitelb_coordination::membership::{Members, MembershipError};
use granitelb_coordination::message::{self, ComponentKind, MOST_BYTES, Message};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::desk::Outgoing;
use super::door::Door;
use super::faculties::Counters;
use super::mailbox::Full;
use super::situation::Situation;
use super::tally::Tally;
use super::watch::Finding;
use crate::clock::Clock;
use crate::fleet_config::FleetConfig;
use crate::storage::StorageWriter;

pub const MINUTE: Span = Span::from_millis(60_000);
/// Letters that are read or written before all else gets its turn.
const BATCH: usize = 64;
/// All members are gone through to see who has become silent: so often, not with each letter.
const LOOKS: Span = Span::from_millis(100);

/// What could not be kept is tried again so often.
const RETRY: Duration = Duration::from_secs(1);

pub enum Order {
    /// Other files are in force.
    Reload(Arc<FleetConfig>),
    /// All faculties are to end; letters still go out.
    Stop,
    /// All faculties have ended.
    End,
}

pub struct Post {
    me: PlannerId,
    socket: UdpSocket,
    clock: Clock,
    members: Members,
    incarnation: Incarnation,
    number: u64,
    /// Where forwarders wrote from last; of those that live.
    forwarders: BTreeMap<ForwarderId, SocketAddrV4>,
    counters: Counters,
    door: Door,
    /// Told of a faculty that never came back.
    lost: mpsc::Sender<ComponentKind>,
    /// A letter that found its mailbox full.
    held: Option<(Sender, Message)>,
    situation: watch::Sender<Situation>,
    /// The last life is to be kept.
    lives: watch::Sender<Incarnation>,
    tally: Tally,
    told: Time,
    /// When to look next who lives.
    look_at: Time,
}

/// What the post is asked to do.
pub struct Asked {
    pub out: mpsc::Receiver<Outgoing>,
    pub orders: mpsc::Receiver<Order>,
    pub renewals: mpsc::Receiver<()>,
}

impl Post {
    pub fn new(
        me: PlannerId,
        socket: UdpSocket,
        clock: Clock,
        counters: Counters,
        lost: mpsc::Sender<ComponentKind>,
        situation: watch::Sender<Situation>,
        keeper: StorageWriter,
    ) -> Post {
        let now = clock.now();
        let (incarnation, operator) = (situation.borrow().incarnation, situation.borrow().operator.clone());
        let mut members = Members::new(Member::Planner(me), incarnation, now);
        members.set_planners(now, operator.planners.keys().copied());
        Post {
            me,
            socket,
            clock,
            members,
            incarnation,
            number: 0,
            forwarders: BTreeMap::new(),
            counters,
            door: Door::new(now),
            lost,
            held: None,
            situation,
            lives: keep_lives(keeper, incarnation),
            tally: Tally::default(),
            told: now,
            look_at: now,
        }
    }

    /// Serves until it is told to end.
    pub async fn serve(&mut self, asked: &mut Asked) {
        loop {
            let now = self.clock.now();
            self.look(self.look_at <= now);
            let wake = self.members.poll_timeout(now).unwrap_or(now + MINUTE);
            let nap = sleep(Duration::from_micros((wake - now).0.max(1000)));
            let held = self.held.as_ref().map(|(_, letter)| self.counters[&letter.kind()].mailbox.clone());
            let room = async {
                match &held {
                    Some(mailbox) => mailbox.room().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                order = asked.orders.recv() => match order {
                    Some(Order::Reload(operator)) => self.reload(operator),
                    Some(Order::Stop) => {
                        self.situation.send_modify(|s| s.stopping = true);
                    }
                    Some(Order::End) | None => {
                        while let Ok(outgoing) = asked.out.try_recv() {
                            self.send_outgoing(outgoing);
                        }
                        self.tell();
                        return;
                    }
                },
                Some(()) = asked.renewals.recv() => self.renew(),
                Some(outgoing) = asked.out.recv() => {
                    self.send_outgoing(outgoing);
                    for _ in 1..BATCH {
                        let Ok(outgoing) = asked.out.try_recv() else { break };
                        self.send_outgoing(outgoing);
                    }
                }
                () = room => {
                    if let Some(letter) = self.held.take() {
                        self.deliver(letter);
                    }
                }
                ready = self.socket.readable(), if self.held.is_none() => match ready {
                    Ok(()) => self.read(),
                    // Sockets that nobody connected have no errors that last; look again with the next beat.
                    Err(trouble) => self.tally.troubled("unread", &trouble),
                },
                () = nap => {}
            }
        }
    }

    /// After it has died: whatever it did last is void, and so is what it promised.
    pub fn reset(&mut self) {
        let now = self.clock.now();
        self.held = None;
        self.members = Members::new(Member::Planner(self.me), self.incarnation, now);
        let operator = self.operator();
        self.members.set_planners(now, operator.planners.keys().copied());
        self.renew();
    }

    fn operator(&self) -> Arc<FleetConfig> {
        self.situation.borrow().operator.clone()
    }

    /// Lets time pass: beats, who lives, a new life if others took this planner for dead, the minute's line.
    fn look(&mut self, who_lives: bool) {
        let now = self.clock.now();
        for _ in 0..BATCH {
            let Some((to, message)) = self.members.poll_message(now) else { break };
            self.send(to, &Message::Membership(message));
        }
        let changed = who_lives.then(|| self.members.changed(now)).flatten();
        if who_lives {
            self.look_at = now + LOOKS;
            self.look_at_desks(now);
        }
        if let Some(alive) = changed {
            self.forwarders.retain(|id, _| alive.binary_search(&Member::Forwarder(*id)).is_ok());
            self.situation.send_modify(|s| s.alive = alive.into());
        }
        if self.members.must_be_new() {
            self.renew();
        }
        while let Some(remark) = self.members.poll_event() {
            super::log_remark("members", &remark);
        }
        if now - self.told >= MINUTE {
            self.tell();
        }
    }

    /// One that does not come back must not hold up letters for others.
    fn look_at_desks(&mut self, now: Time) {
        for (kind, counter) in &mut self.counters {
            match counter.watch.look(now) {
                None => {}
                Some(Finding::Hangs) => {
                    counter.mailbox.shut(true);
                    log::error!(event = "task_hangs", task = kind.name(); "{kind} does not come back from a call: letters for it are let go, all else goes on. If it stays so this process ends, for its supervisor to start it anew. Report it, with what the planner was given.");
                }
                Some(Finding::GoesOn) => {
                    counter.mailbox.shut(false);
                    log::warn!(event = "task_goes_on", task = kind.name(); "{kind} has come back, and takes letters again");
                }
                // It is told once; it stays lost.
                Some(Finding::Lost) => drop(self.lost.try_send(*kind)),
            }
        }
    }

    fn tell(&mut self) {
        self.told = self.clock.now();
        for (kind, counter) in &self.counters {
            self.tally.shed(*kind, counter.mailbox.take_shed());
        }
        let alive = self.situation.borrow().alive.len();
        self.tally.tell(alive);
    }

    /// Goes on under a greater life: all faculties are made anew.
    fn renew(&mut self) {
        self.incarnation = Incarnation(self.clock.now().0).max(self.members.least_incarnation());
        self.members.renewed(self.incarnation);
        log::warn!(event = "new_life", incarnation = self.incarnation.0; "goes on as a new planner, under life {}", self.incarnation.0);
        // Only a clock that is set back would make a use of it; nothing waits for it.
        let incarnation = self.incarnation;
        self.lives.send_replace(incarnation);
        self.situation.send_modify(|s| (s.incarnation, s.made) = (incarnation, s.made + 1));
    }

    fn reload(&mut self, operator: Arc<FleetConfig>) {
        let anew = !operator.decides_like(&self.operator());
        self.members.set_planners(self.clock.now(), operator.planners.keys().copied());
        self.situation.send_modify(|s| s.operator = operator);
        if anew {
            // What was promised under other figures counts no more, and is waited out.
            self.renew();
        }
    }

    /// Reads what has come, as far as it goes without waiting.
    fn read(&mut self) {
        let mut bytes = [0; MOST_BYTES + 1];
        for _ in 0..BATCH {
            if self.held.is_some() {
                return;
            }
            match self.socket.try_recv_from(&mut bytes) {
                Ok((length, from)) => self.take(&bytes[..length], from),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return,
                // A port that is closed at the other end is told here; others can still be read.
                Err(e) => self.tally.troubled("unread", &e),
            }
        }
    }

    fn take(&mut self, bytes: &[u8], from: SocketAddr) {
        self.tally.read += 1;
        let now = self.clock.now();
        if let Err(flood) = self.door.comes(now, from) {
            return self.tally.refused(flood.name(), &flood);
        }
        let operator = self.operator();
        let (sender, letter) = match message::open(bytes, &operator.secrets) {
            Ok(opened) => opened,
            Err(fault) => return self.tally.refused(fault.name(), &fault),
        };
        if let Err(flood) = self.door.signed(now, sender.member) {
            return self.tally.refused(flood.name(), &flood);
        }
        if let Member::Planner(id) = sender.member
            && !operator.planners.contains_key(&id)
        {
            return self.tally.unlisted(id);
        }
        let taken = self.members.take(now, sender);
        // One that was silent was forgotten, and has to be found to be told that it was gone.
        let is_found = matches!(taken, Ok(_) | Err(MembershipError::WasGone));
        if let (true, Member::Forwarder(id), SocketAddr::V4(from)) = (is_found, sender.member, from) {
            self.forwarders.insert(id, from);
        }
        let is_new = match taken {
            Ok(is_new) => is_new,
            Err(stale) => {
                if stale == MembershipError::OlderLife
                    && let Some(message) = self.members.tell_succeeded(now, sender)
                {
                    self.send_to(from, &Message::Membership(message));
                }
                return self.tally.refused(super::tally::name_of(stale), &stale);
            }
        };
        self.door.on_message(now, from);
        // Who lives is told before what they say.
        if is_new {
            self.look(true);
        }
        if let Message::Membership(message) = letter {
            if let Err(stale) = self.members.on_message(now, sender, message) {
                self.tally.refused(super::tally::name_of(stale), &stale);
            }
            return;
        }
        self.deliver((sender, letter));
    }

    fn deliver(&mut self, letter: (Sender, Message)) {
        let on = self.operator().enables(letter.1.kind());
        let Some(counter) = self.counters.get(&letter.1.kind()).filter(|_| on) else {
            return self.tally.off(letter.1.kind());
        };
        if let Err(Full(letter)) = counter.mailbox.put(letter) {
            self.tally.full(letter.1.kind());
            self.held = Some(*letter);
        }
    }

    fn send_outgoing(&mut self, outgoing: Outgoing) {
        // What an earlier life wrote is void.
        if outgoing.incarnation == self.incarnation {
            self.send(outgoing.to, &outgoing.letter);
        }
    }

    fn send(&mut self, to: Member, letter: &Message) {
        let operator = self.operator();
        let address = match to {
            Member::Planner(id) => operator.planners.get(&id).copied(),
            Member::Forwarder(id) => self.forwarders.get(&id).copied(),
        };
        let Some(address) = address else { return self.tally.nowhere() };
        if self.send_to(SocketAddr::V4(address), letter) {
            self.members.sent(self.clock.now(), to);
        }
    }

    /// Whether it went out.
    fn send_to(&mut self, address: SocketAddr, letter: &Message) -> bool {
        let operator = self.operator();
        self.number += 1;
        let sender =
            Sender { member: Member::Planner(self.me), incarnation: self.incarnation, number: self.number };
        let bytes = match message::seal(sender, letter, &operator.secrets) {
            Ok(bytes) => bytes,
            Err(fault) => {
                self.tally.refused(fault.name(), &fault);
                return false;
            }
        };
        match self.socket.try_send_to(&bytes, address) {
            Ok(_) => self.tally.sent += 1,
            Err(trouble) => {
                self.tally.troubled("unsent", &trouble);
                return false;
            }
        }
        true
    }
}

/// Keeps the last life that it is told of, one after the other, so that none is overwritten by an earlier one.
fn keep_lives(keeper: StorageWriter, first: Incarnation) -> watch::Sender<Incarnation> {
    let (tell, mut told) = watch::channel(first);
    tokio::spawn(async move {
        while told.changed().await.is_ok() {
            let mut said = false;
            loop {
                let incarnation = *told.borrow_and_update();
                let Err(lost) = super::store_incarnation(&keeper, incarnation).await else { break };
                if !std::mem::replace(&mut said, true) {
                    log::error!(event = "not_kept", task = "members"; "life {}: {lost}. {} A restart with a clock that was set back may bear a lesser one until then, and be refused.", incarnation.0, lost.remediation());
                }
                sleep(RETRY).await;
            }
        }
    });
    tell
}
