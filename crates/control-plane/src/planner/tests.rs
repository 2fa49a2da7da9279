//! Mailboxes that are full, and desks whose faculty dies or whose state can't be kept.

use std::sync::atomic::{AtomicBool, Ordering};

use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::endpoint_health::{self, Part, Plan};
use granitelb_coordination::message::{ComponentKind, Message};
use granitelb_coordination::{ForwarderId, Member, PlannerId, Sender, Version, membership};
use proptest::prelude::*;
use redb::StorageBackend;
use redb::backends::FileBackend;
use tokio::sync::watch;
use tokio::time::timeout;

use super::desk::{Desk, Outgoing};
use super::mailbox::{Full, Mailbox};
use super::*;
use crate::config_error::ConfigSource;
use crate::fleet_config::FleetConfig;
use crate::storage::StateFile;

fn letter(from: Member, number: u64) -> (Sender, Message) {
    let plan = Plan { version: Version(number), part: Part::WHOLE, forwarders: 0, verdicts: Vec::new() };
    (
        Sender { member: from, incarnation: Incarnation(1), number },
        Message::EndpointHealth(endpoint_health::HealthMessage::Plan(plan)),
    )
}

const SEES: Member = Member::Forwarder(ForwarderId(1));
const PLANS: Member = Member::Planner(PlannerId(2));

proptest! {
    #[test]
    fn a_full_mailbox_sheds_the_oldest_observations_and_nothing_else(
        kinds in prop::collection::vec(any::<bool>(), 0..60), most in 1usize..20,
    ) {
        let mailbox = Mailbox::new(most);
        let mut held = None;
        let mut put = 0;
        for (number, sees) in kinds.iter().enumerate() {
            put += 1;
            if let Err(Full(full)) = mailbox.put(letter(if *sees { SEES } else { PLANS }, number as u64)) {
                held = Some(full.0.number);
                break;
            }
        }
        let came: Vec<_> = std::iter::from_fn(|| mailbox.try_take()).map(|(from, _)| from.number).collect();
        prop_assert!(came.is_sorted() && came.len() <= most);
        let (words, seen): (Vec<_>, Vec<_>) = (0..put as u64).filter(|n| Some(*n) != held).partition(|n| !kinds[*n as usize]);
        prop_assert!(words.iter().all(|n| came.contains(n)), "a word is lost");
        let left: Vec<_> = seen.iter().copied().filter(|n| came.contains(n)).collect();
        let newest = &seen[seen.len() - left.len()..];
        prop_assert!(held.is_some() || left == newest, "{left:?} of {seen:?}");
        prop_assert_eq!(mailbox.take_shed() as usize, seen.len() - left.len());
    }
}

/// Dies of every third letter; says how many it has heard since it was made, and keeps that.
struct Mortal {
    heard: u8,
    changed: bool,
}

impl Component for Mortal {
    type Message = endpoint_health::HealthMessage;
    type Error = membership::MembershipError;

    fn on_message(
        &mut self,
        _: Time,
        from: Sender,
        _: endpoint_health::HealthMessage,
    ) -> Result<(), membership::MembershipError> {
        assert!(!from.number.is_multiple_of(3), "as it is meant to");
        (self.heard, self.changed) = (self.heard + 1, true);
        Ok(())
    }

    fn on_membership_change(&mut self, _: Time, _: &[Member]) {}

    fn poll_message(&mut self, _: Time) -> Option<(Member, endpoint_health::HealthMessage)> {
        let (_, said) = letter(PLANS, self.heard.into());
        let Message::EndpointHealth(message) = said else { return None };
        std::mem::take(&mut self.changed).then_some((PLANS, message))
    }

    fn poll_timeout(&self, _: Time) -> Option<Time> {
        None
    }

    fn poll_snapshot(&mut self) -> Option<Vec<u8>> {
        self.changed.then(|| vec![self.heard])
    }

    fn entries(&self) -> usize {
        1
    }
}

struct Bench {
    mailbox: Arc<Mailbox>,
    out: mpsc::Receiver<Outgoing>,
    situation: watch::Sender<Situation>,
}

fn bench(keeper: StorageWriter) -> Bench {
    let text = "secret = \"000102030405060708090a0b0c0d0e0f\"\nforwarders = 1\n[[planner]]\nnumber = 1\nletters = \"127.0.0.1:1\"";
    let operator = FleetConfig::read(&ConfigSource { file: "operator.toml".into(), text: text.into() });
    let situation = Situation {
        incarnation: Incarnation(1),
        alive: Arc::from([]),
        operator: Arc::new(operator.expect("an operator's file")),
        made: 0,
        stopping: false,
    };
    let (situation, told) = watch::channel(situation);
    let (sent, out) = mpsc::channel(16);
    let mailbox = Arc::new(Mailbox::new(16));
    let desk: Desk<Mortal> = Desk {
        kind: ComponentKind::EndpointHealth,
        make: Box::new(|_, _, _, kept| Ok(Mortal { heard: kept.map_or(0, |k| k[0]), changed: false })),
        wrap: Message::EndpointHealth,
        unwrap: |letter| if let Message::EndpointHealth(message) = letter { Some(message) } else { None },
        share: None,
        board: board::Board::new(),
        mailbox: mailbox.clone(),
        situation: told,
        out: sent,
        renewal: mpsc::channel(1).0,
        keeper,
        clock: Clock::start(),
        hangs: false,
    };
    tokio::spawn(desk.run());
    Bench { mailbox, out, situation }
}

impl Bench {
    async fn says(&mut self) -> Option<u64> {
        let said = timeout(Duration::from_millis(700), self.out.recv()).await.ok()??;
        let Message::EndpointHealth(endpoint_health::HealthMessage::Plan(plan)) = said.letter else {
            return None;
        };
        Some(plan.version.0)
    }
}

static WORKS: AtomicBool = AtomicBool::new(true);

/// A disk that is full at times.
#[derive(Debug)]
struct Flaky(FileBackend);

impl StorageBackend for Flaky {
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
        if WORKS.load(Ordering::Relaxed) {
            self.0.write(offset, data)
        } else {
            Err(std::io::ErrorKind::StorageFull.into())
        }
    }
}

fn shelf(file: &Path) -> StateFile {
    StateFile::open(file, PlannerId(1)).expect("a store")
}

#[tokio::test]
async fn a_faculty_that_dies_goes_on_with_what_was_kept_of_it() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("store");
    let (keeper, _) =
        StorageWriter::start(shelf(&file), || Err(storage::StoreError::Ended)).expect("a thread");
    let mut bench = bench(keeper);
    for number in [1, 2, 3] {
        bench.mailbox.put(letter(SEES, number)).expect("room");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!((bench.says().await, bench.says().await), (Some(1), Some(2)));
    tokio::time::sleep(Duration::from_millis(300)).await;
    bench.mailbox.put(letter(SEES, 4)).expect("room");
    assert_eq!(bench.says().await, Some(3), "two were kept before it died");
    bench.situation.send_modify(|s| s.stopping = true);
    assert!(bench.out.recv().await.is_none(), "it ends when it is told to");
}

#[tokio::test]
async fn nothing_goes_out_that_rests_on_what_is_not_kept() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("store");
    let open = move || {
        let file = std::fs::File::options().read(true).write(true).create(true).truncate(false).open(&file);
        StateFile::on(Flaky(FileBackend::new(file.expect("a file")).expect("a store")), PlannerId(1))
    };
    let (keeper, _) = StorageWriter::start(open().expect("a store"), open).expect("a thread");
    WORKS.store(false, Ordering::Relaxed);
    let mut bench = bench(keeper);
    bench.mailbox.put(letter(SEES, 1)).expect("room");
    assert_eq!(bench.says().await, None);
    WORKS.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(1200)).await;
    bench.mailbox.put(letter(SEES, 2)).expect("room");
    assert_eq!(bench.says().await, Some(2), "the state is whole; the letter before is as good as lost");
}

#[tokio::test]
async fn a_store_that_is_taken_away_is_begun_anew_with_all_that_was_kept() {
    let folder = tempfile::tempdir().expect("a folder");
    let place = folder.path().join("state");
    let opened = storage::open(&place, PlannerId(1)).expect("a store");
    let (at, file) = (place.clone(), opened.file.clone());
    let reopen = move || storage::open(&at, PlannerId(1)).map(|opened| opened.shelf);
    let (keeper, thread) = StorageWriter::start_at(Some(file), opened.shelf, reopen).expect("a thread");
    keeper.keep(ComponentKind::Membership, vec![1]).await.expect("kept");
    keeper.keep(ComponentKind::ShardGrowth, vec![2]).await.expect("kept");
    std::fs::remove_dir_all(&place).expect("it was there");
    // Something else stands in its place, too.
    std::fs::write(&place, "no folder").expect("written");
    for _ in 0..2 {
        assert!(keeper.keep(ComponentKind::ShardGrowth, vec![3]).await.is_err(), "it would outlast nothing");
    }
    assert_eq!(
        keeper.read(ComponentKind::ShardGrowth).await.expect("known"),
        Some(vec![2]),
        "the last that was kept"
    );
    std::fs::remove_file(&place).expect("it was there");
    keeper.keep(ComponentKind::ShardGrowth, vec![3]).await.expect("kept again");
    drop(keeper);
    thread.join().expect("it ends");
    let again = storage::open(&place, PlannerId(1)).expect("a store").shelf;
    let read = |kind| again.read(kind).expect("whole");
    assert_eq!(
        (read(ComponentKind::Membership), read(ComponentKind::ShardGrowth)),
        (Some(vec![1]), Some(vec![3]))
    );
}

#[test]
fn hindsight_forgets_what_it_saw_at_each_new_table_once() {
    use granitelb_coordination::counterfactual::{
        CounterfactualMessage, How, PlannerComponent, SampledRequest, Settings, is_sampled,
    };
    use granitelb_coordination::shard_growth::shard_map::ShardMapVersion;
    let now = Time(1_000_000_000);
    let mut planner = PlannerComponent::new(Settings::default(), PlannerId(1), Incarnation(1), now);
    let (board, share) = (Board::new(), super::faculties::forgets_old_tables());
    let text = "secret = \"000102030405060708090a0b0c0d0e0f\"\nforwarders = 1\n\
        [[planner]]\nnumber = 1\nletters = \"127.0.0.1:9\"\n";
    let operator =
        FleetConfig::read(&ConfigSource { file: "operator.toml".into(), text: text.into() }).expect("sound");
    let seen_by = |planner: &mut PlannerComponent, call: u64, seconds: u64| {
        let at = now + Span::from_millis(seconds * 1000);
        let call = (call..).find(|c| is_sampled(*c)).expect("one in two");
        let seen = SampledRequest {
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
        };
        let from = Sender { member: SEES, incarnation: Incarnation(1), number: call };
        planner.on_message(at, from, CounterfactualMessage::Seen(vec![seen])).expect("sound");
        share(planner, at, &operator, &board);
        planner.support()
    };
    assert_eq!(seen_by(&mut planner, 100, 1), 1, "growth says nothing");
    board.write_table(ShardMapVersion(0));
    assert_eq!(seen_by(&mut planner, 200, 2), 2, "it has seen no new table");
    board.write_table(ShardMapVersion(7));
    assert_eq!(seen_by(&mut planner, 300, 3), 0);
    assert_eq!(seen_by(&mut planner, 400, 4), 1, "told once");
}
