//! Tests of component tasks whose component panics or whose snapshot can't be stored.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use granitelb_balancer::time::Time;
use granitelb_coordination::component::Component;
use granitelb_coordination::endpoint_health::HealthMessage;
use granitelb_coordination::membership::MembershipError;
use granitelb_coordination::message::{ComponentKind, Message};
use granitelb_coordination::{Incarnation, Member, PlannerId, Sender};
use redb::StorageBackend;
use redb::backends::FileBackend;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use super::{ComponentSpec, ComponentTask, OutgoingMessage, TaskHandles};
use crate::clock::Clock;
use crate::planner::component_status::ComponentStatus;
use crate::planner::mailbox::Mailbox;
use crate::planner::shared_context::SharedContext;
use crate::planner::test_support::{FORWARDER, PLANNER, fleet_config, health_message, message_from};
use crate::storage::{StateFile, StorageError, StorageWriter};

/// A component that panics at every third message. It sends and persists how many messages it got since it
/// was first created.
struct PanickingComponent {
    received: u8,
    has_changed: bool,
}

impl Component for PanickingComponent {
    type Message = HealthMessage;
    type Error = MembershipError;

    fn on_message(&mut self, _: Time, from: Sender, _: HealthMessage) -> Result<(), MembershipError> {
        assert!(!from.sequence.is_multiple_of(3), "an intended panic");
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

/// The mailbox of a component's task, and the other ends of the task's channels.
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

    /// The count in the next message; `None` if no message is sent within 700 ms.
    async fn next_count(&mut self) -> Option<u64> {
        let sent = timeout(Duration::from_millis(700), self.outgoing.recv()).await.ok()??;
        match sent.message {
            Message::EndpointHealth(HealthMessage::Update(update)) => Some(update.version.0),
            _ => None,
        }
    }
}

static DISK_HAS_SPACE: AtomicBool = AtomicBool::new(true);

/// A disk that is full while [`DISK_HAS_SPACE`] is false.
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
    let (storage, _) = StorageWriter::start(open_state_file(&file), || Err(StorageError::WriterEnded))
        .expect("the thread starts");
    let mut fixture = TaskFixture::spawn(storage);
    for number in [1, 2, 3] {
        fixture.deliver(number);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!((fixture.next_count().await, fixture.next_count().await), (Some(1), Some(2)));
    tokio::time::sleep(Duration::from_millis(300)).await;
    fixture.deliver(4);
    assert_eq!(
        fixture.next_count().await,
        Some(3),
        "two messages were counted in the snapshot before the panic"
    );
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
        "the snapshot counts both messages; the message that depended on the failed write counts as lost"
    );
}
