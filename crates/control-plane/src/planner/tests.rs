//! Full mailboxes, and tasks whose component panics or whose state can't be stored.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::counterfactual::{
    CounterfactualMessage, How, PlannerComponent, SampledRequest, Settings, is_sampled,
};
use granitelb_coordination::endpoint_health::{HealthMessage, Part, Plan};
use granitelb_coordination::membership::MembershipError;
use granitelb_coordination::message::{ComponentKind, Message};
use granitelb_coordination::shard_growth::form::FormVersion;
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender, Version};
use proptest::prelude::*;
use redb::StorageBackend;
use redb::backends::FileBackend;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use super::component_status::ComponentStatus;
use super::component_task::{ComponentSpec, ComponentTask, OutgoingMessage, TaskHandles};
use super::components::forget_samples_of_old_shard_maps;
use super::mailbox::{Mailbox, MailboxFull, ReceivedMessage};
use super::shared_context::SharedContext;
use crate::clock::Clock;
use crate::config_error::ConfigSource;
use crate::fleet_config::FleetConfig;
use crate::storage::{self, StateFile, StorageWriter, StoreError};

const FORWARDER: Member = Member::Forwarder(ForwarderId(1));
const PLANNER: Member = Member::Planner(PlannerId(2));

fn health_message(number: u64) -> HealthMessage {
    HealthMessage::Plan(Plan {
        version: Version(number),
        part: Part::WHOLE,
        forwarders: 0,
        verdicts: Vec::new(),
    })
}

fn message_from(member: Member, number: u64) -> ReceivedMessage {
    ReceivedMessage {
        sender: Sender { member, incarnation: Incarnation(1), number },
        message: Message::EndpointHealth(health_message(number)),
    }
}

fn fleet_config() -> FleetConfig {
    let text = "secret = \"000102030405060708090a0b0c0d0e0f\"\nforwarders = 1\n[[planner]]\nnumber = 1\nletters = \"127.0.0.1:1\"";
    let source = ConfigSource { file: "operator.toml".into(), text: text.into() };
    FleetConfig::read(&source).expect("the configuration is valid")
}

proptest! {
    #[test]
    fn full_mailbox_sheds_the_oldest_observations_and_nothing_else(
        observations in prop::collection::vec(any::<bool>(), 0..60), capacity in 1usize..20,
    ) {
        let mailbox = Mailbox::new(capacity);
        let mut blocked = None;
        let mut pushed = 0;
        for (number, is_observation) in observations.iter().enumerate() {
            pushed += 1;
            let member = if *is_observation { FORWARDER } else { PLANNER };
            if let Err(MailboxFull(full)) = mailbox.push(message_from(member, number as u64)) {
                blocked = Some(full.sender.number);
                break;
            }
        }
        let received: Vec<_> =
            std::iter::from_fn(|| mailbox.try_receive()).map(|received| received.sender.number).collect();
        prop_assert!(received.is_sorted() && received.len() <= capacity);
        let accepted = (0..pushed as u64).filter(|n| Some(*n) != blocked);
        let (commands, observed): (Vec<_>, Vec<_>) = accepted.partition(|n| !observations[*n as usize]);
        prop_assert!(commands.iter().all(|n| received.contains(n)), "a message that must not be shed is lost");
        let left: Vec<_> = observed.iter().copied().filter(|n| received.contains(n)).collect();
        let newest = &observed[observed.len() - left.len()..];
        prop_assert!(blocked.is_some() || left == newest, "{left:?} of {observed:?}");
        prop_assert_eq!(mailbox.take_shed_count() as usize, observed.len() - left.len());
    }
}

/// Panics at every third message. It sends how many messages it got since it was first created, and persists that.
struct PanickingComponent {
    received: u8,
    has_changed: bool,
}

impl Component for PanickingComponent {
    type Message = HealthMessage;
    type Error = MembershipError;

    fn on_message(&mut self, _: Time, from: Sender, _: HealthMessage) -> Result<(), MembershipError> {
        assert!(!from.number.is_multiple_of(3), "an intended panic");
        self.received += 1;
        self.has_changed = true;
        Ok(())
    }

    fn on_membership_change(&mut self, _: Time, _: &[Member]) {}

    fn poll_message(&mut self, _: Time) -> Option<(Member, HealthMessage)> {
        if !self.has_changed {
            return None;
        }
        self.has_changed = false;
        Some((PLANNER, health_message(self.received.into())))
    }

    fn poll_timeout(&self, _: Time) -> Option<Time> {
        None
    }

    fn poll_snapshot(&mut self) -> Option<Vec<u8>> {
        if self.has_changed { Some(vec![self.received]) } else { None }
    }

    fn entries(&self) -> usize {
        1
    }
}

/// A component's task, and the other ends of its channels.
struct TaskFixture {
    mailbox: Arc<Mailbox>,
    outgoing: mpsc::Receiver<OutgoingMessage>,
    context: watch::Sender<SharedContext>,
}

impl TaskFixture {
    fn spawn(storage: StorageWriter) -> TaskFixture {
        let (context, context_updates) = watch::channel(SharedContext {
            incarnation: Incarnation(1),
            alive_members: Arc::from([]),
            fleet_config: Arc::new(fleet_config()),
            generation: 0,
            is_stopping: false,
        });
        let (outgoing_sender, outgoing) = mpsc::channel(16);
        let mailbox = Arc::new(Mailbox::new(16));
        let spec = ComponentSpec {
            kind: ComponentKind::EndpointHealth,
            create: Box::new(|context| {
                let received = context.snapshot.map_or(0, |snapshot| snapshot[0]);
                Ok(PanickingComponent { received, has_changed: false })
            }),
            wrap: Message::EndpointHealth,
            unwrap: |message| match message {
                Message::EndpointHealth(message) => Some(message),
                _ => None,
            },
            exchange_status: None,
        };
        let handles = TaskHandles {
            status: ComponentStatus::new(),
            context: context_updates,
            outgoing: outgoing_sender,
            renewal_requests: mpsc::channel(1).0,
            storage,
            clock: Clock::start(),
        };
        let task = ComponentTask { spec, handles, mailbox: mailbox.clone(), hangs_on_message: false };
        tokio::spawn(task.run());
        TaskFixture { mailbox, outgoing, context }
    }

    fn deliver(&self, number: u64) {
        self.mailbox.push(message_from(FORWARDER, number)).expect("the mailbox has room");
    }

    /// The count in the next message, if one is sent soon.
    async fn next_count(&mut self) -> Option<u64> {
        let sent = timeout(Duration::from_millis(700), self.outgoing.recv()).await.ok()??;
        match sent.message {
            Message::EndpointHealth(HealthMessage::Plan(plan)) => Some(plan.version.0),
            _ => None,
        }
    }
}

static DISK_HAS_SPACE: AtomicBool = AtomicBool::new(true);

/// A disk that is full at times.
#[derive(Debug)]
struct FlakyDisk(FileBackend);

impl StorageBackend for FlakyDisk {
    fn len(&self) -> std::io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> std::io::Result<()> {
        self.0.set_len(len)
    }

    fn sync_data(&self) -> std::io::Result<()> {
        self.0.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        if DISK_HAS_SPACE.load(Ordering::Relaxed) {
            self.0.write(offset, data)
        } else {
            Err(std::io::ErrorKind::StorageFull.into())
        }
    }
}

fn open_state_file(file: &Path) -> StateFile {
    StateFile::open(file, PlannerId(1)).expect("the store opens")
}

#[tokio::test]
async fn panicking_component_resumes_from_its_last_snapshot() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("store");
    let (storage, _) =
        StorageWriter::start(open_state_file(&file), || Err(StoreError::Ended)).expect("the thread starts");
    let mut fixture = TaskFixture::spawn(storage);
    for number in [1, 2, 3] {
        fixture.deliver(number);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!((fixture.next_count().await, fixture.next_count().await), (Some(1), Some(2)));
    tokio::time::sleep(Duration::from_millis(300)).await;
    fixture.deliver(4);
    assert_eq!(fixture.next_count().await, Some(3), "two were stored before the panic");
    fixture.context.send_modify(|context| context.is_stopping = true);
    assert!(fixture.outgoing.recv().await.is_none(), "the task ends when the planner stops");
}

#[tokio::test]
async fn no_message_is_sent_while_the_snapshot_it_depends_on_is_not_stored() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("store");
    let open = move || {
        let file = std::fs::File::options().read(true).write(true).create(true).truncate(false).open(&file);
        let disk = FlakyDisk(FileBackend::new(file.expect("the file opens")).expect("the file is free"));
        StateFile::on(disk, PlannerId(1))
    };
    let (storage, _) =
        StorageWriter::start(open().expect("the store opens"), open).expect("the thread starts");
    DISK_HAS_SPACE.store(false, Ordering::Relaxed);
    let mut fixture = TaskFixture::spawn(storage);
    fixture.deliver(1);
    assert_eq!(fixture.next_count().await, None);
    DISK_HAS_SPACE.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(1200)).await;
    fixture.deliver(2);
    assert_eq!(
        fixture.next_count().await,
        Some(2),
        "the state is complete; the message before counts as lost"
    );
}

#[tokio::test]
async fn removed_store_is_recreated_with_all_snapshots() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let state_folder = folder.path().join("state");
    let opened = storage::open(&state_folder, PlannerId(1)).expect("the store opens");
    let reopened_folder = state_folder.clone();
    let reopen = move || storage::open(&reopened_folder, PlannerId(1)).map(|opened| opened.shelf);
    let (writer, thread) =
        StorageWriter::start_at(Some(opened.file), opened.shelf, reopen).expect("the thread starts");
    writer.keep(ComponentKind::Membership, vec![1]).await.expect("the snapshot is stored");
    writer.keep(ComponentKind::ShardGrowth, vec![2]).await.expect("the snapshot is stored");
    std::fs::remove_dir_all(&state_folder).expect("the folder exists");
    // A file in its place, too.
    std::fs::write(&state_folder, "no folder").expect("the file is written");
    for _ in 0..2 {
        let stored = writer.keep(ComponentKind::ShardGrowth, vec![3]).await;
        assert!(stored.is_err(), "a removed file is not durable");
    }
    assert_eq!(
        writer.read(ComponentKind::ShardGrowth).await.expect("the snapshot is known"),
        Some(vec![2]),
        "the last snapshot that was stored"
    );
    std::fs::remove_file(&state_folder).expect("the file exists");
    writer.keep(ComponentKind::ShardGrowth, vec![3]).await.expect("the snapshot is stored again");
    drop(writer);
    thread.join().expect("the thread ends");
    let state_file = storage::open(&state_folder, PlannerId(1)).expect("the store opens").shelf;
    let read = |kind| state_file.read(kind).expect("the store is intact");
    assert_eq!(
        (read(ComponentKind::Membership), read(ComponentKind::ShardGrowth)),
        (Some(vec![1]), Some(vec![3]))
    );
}

fn sampled_request(call: u64) -> SampledRequest {
    SampledRequest {
        call,
        key: 1,
        request_class: 0,
        class: 0,
        candidates: vec![1, 2, 3],
        place: 0,
        how: How::Hit,
        took: 100,
        slo: 500,
        out: 0,
        ago: 0,
    }
}

#[test]
fn counterfactual_component_forgets_its_samples_once_at_each_new_shard_map() {
    let start = Time(1_000_000_000);
    let mut planner = PlannerComponent::new(Settings::default(), PlannerId(1), Incarnation(1), start);
    let status = ComponentStatus::new();
    let exchange_status = forget_samples_of_old_shard_maps();
    let fleet_config = fleet_config();
    let samples_after = |planner: &mut PlannerComponent, first_call: u64, seconds: u64| {
        let now = start + Span::from_millis(seconds * 1000);
        let call = (first_call..).find(|call| is_sampled(*call)).expect("one of two is sampled");
        let from = Sender { member: FORWARDER, incarnation: Incarnation(1), number: call };
        let message = CounterfactualMessage::Seen(vec![sampled_request(call)]);
        planner.on_message(now, from, message).expect("the message is valid");
        exchange_status(planner, now, &fleet_config, &status);
        planner.support()
    };
    assert_eq!(samples_after(&mut planner, 100, 1), 1, "shard growth has published nothing");
    status.publish_shard_map_version(FormVersion(0));
    assert_eq!(samples_after(&mut planner, 200, 2), 2, "shard growth has seen no new map");
    status.publish_shard_map_version(FormVersion(7));
    assert_eq!(samples_after(&mut planner, 300, 3), 0);
    assert_eq!(samples_after(&mut planner, 400, 4), 1, "a new map is notified once");
}
