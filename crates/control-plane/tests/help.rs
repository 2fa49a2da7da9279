//! Every error of these crates says what an operator can do, in a sentence.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use granitelb_control_plane::{config_error, planner, storage};
use granitelb_coordination::component::Remediation;
use granitelb_coordination::{counterfactual, endpoint_health, leases, membership, message, shard_growth};

/// All values of an error, by a match that a new one breaks: whoever adds one has to give it here as well.
macro_rules! all {
    ($type:ty: $($value:expr => $pattern:pat),+ $(,)?) => {{
        let known = |fault: &$type| match fault { $($pattern => ()),+ };
        let all: Vec<$type> = vec![$($value),+];
        all.iter().for_each(known);
        all.into_iter().map(|fault| (stringify!($type), Box::new(fault) as Box<dyn Remediation>)).collect::<Vec<_>>()
    }};
}

fn trouble() -> std::io::Error {
    std::io::Error::other("trouble")
}

fn every_error() -> Vec<(&'static str, Box<dyn Remediation>)> {
    use config_error::{ConfigError, ConfigErrorKind as File};
    use counterfactual::CounterfactualError as Judged;
    use endpoint_health::HealthError as Verdicts;
    use leases::LeaseError as Leases;
    use membership::MembershipError;
    use message::EnvelopeError as Message;
    use planner::{PlannerError as Planner, Refused, TooOften};
    use shard_growth::{GrowthError as Growth, SnapshotError};
    use storage::StoreError as Store;
    let address = "127.0.0.1:1".parse().expect("an address");
    let file = || ConfigError { file: "f".into(), line: Some(1), fault: File::Form("x".into()) };
    [
        all!(Message:
            Message::ShortSecret => Message::ShortSecret, Message::Stranger => Message::Stranger,
            Message::OtherVersion(1) => Message::OtherVersion(_), Message::Forged => Message::Forged,
            Message::UnknownKind(9) => Message::UnknownKind(_), Message::Unreadable => Message::Unreadable,
            Message::TooLong(9) => Message::TooLong(_)),
        all!(MembershipError:
            MembershipError::Mine => MembershipError::Mine, MembershipError::OlderLife => MembershipError::OlderLife, MembershipError::Twice => MembershipError::Twice,
            MembershipError::TooLate => MembershipError::TooLate, MembershipError::WasGone => MembershipError::WasGone, MembershipError::TooMany => MembershipError::TooMany,
            MembershipError::NotItsWord => MembershipError::NotItsWord),
        all!(File:
            File::Unread(trouble()) => File::Unread(_), File::Form("x".into()) => File::Form(_),
            File::Value { key: "k", what: "w".into() } => File::Value { .. }),
        all!(Store:
            Store::Folder { folder: "f".into(), why: trouble() } => Store::Folder { .. }, Store::InUse => Store::InUse,
            Store::Torn("x".into()) => Store::Torn(_), Store::OtherVersion { found: 0 } => Store::OtherVersion { .. },
            Store::Foreign { own: 1, what: "w".into() } => Store::Foreign { .. },
            Store::Unwritten("x".into()) => Store::Unwritten(_),
            Store::TakenAway { file: "f".into() } => Store::TakenAway { .. }, Store::Ended => Store::Ended),
        all!(Planner:
            Planner::File(file()) => Planner::File(_),
            Planner::Address { address: "127.0.0.1:1".parse().expect("one"), why: trouble() } => Planner::Address { .. },
            Planner::Store(Store::InUse) => Planner::Store(_), Planner::System(trouble()) => Planner::System(_),
            Planner::Hung(message::ComponentKind::ShardGrowth) => Planner::Hung(_), Planner::NoPost => Planner::NoPost),
        all!(TooOften:
            TooOften::Address(address) => TooOften::Address(_), TooOften::Strangers(address) => TooOften::Strangers(_),
            TooOften::Member(granitelb_coordination::Member::Planner(granitelb_coordination::PlannerId(1))) => TooOften::Member(_)),
        all!(Refused: Refused::Off => Refused::Off),
        all!(ConfigError: file() => ConfigError { .. }),
        all!(counterfactual::NoSupport: counterfactual::NoSupport => counterfactual::NoSupport),
        all!(Verdicts:
            Verdicts::Figure => Verdicts::Figure, Verdicts::Old => Verdicts::Old, Verdicts::TooMany => Verdicts::TooMany,
            Verdicts::Part => Verdicts::Part, Verdicts::NotItsWord => Verdicts::NotItsWord),
        all!(Leases:
            Leases::Old => Leases::Old, Leases::TooMany => Leases::TooMany, Leases::Stranger => Leases::Stranger,
            Leases::Unasked => Leases::Unasked, Leases::NotForUs => Leases::NotForUs, Leases::Nobody => Leases::Nobody,
            Leases::Reserve => Leases::Reserve, Leases::Lengths => Leases::Lengths),
        all!(Growth:
            Growth::UnexpectedSender => Growth::UnexpectedSender, Growth::InvalidValue => Growth::InvalidValue, Growth::DayClosed => Growth::DayClosed,
            Growth::CapacityExceeded => Growth::CapacityExceeded),
        all!(SnapshotError:
            SnapshotError::OtherVersion(0) => SnapshotError::OtherVersion(_), SnapshotError::Corrupt => SnapshotError::Corrupt),
        all!(Judged:
            Judged::Figure => Judged::Figure, Judged::NotSampled => Judged::NotSampled,
            Judged::WrongSide => Judged::WrongSide),
    ]
    .into_iter()
    .flatten()
    .collect()
}

#[test]
fn each_says_what_is_wrong_and_what_to_do() {
    let all = every_error();
    for (of, fault) in &all {
        let (what, help) = (fault.to_string(), fault.remediation());
        assert!(!what.is_empty() && !what.ends_with('.'), "{of}: {what:?}");
        let sentence = help.len() > 10 && help.starts_with(char::is_uppercase) && help.ends_with('.');
        assert!(sentence && help != what, "{of}, {what}: {help:?} is no sentence to an operator");
    }
}

/// As many as the sources declare.
#[test]
fn no_error_type_is_left_out() {
    let mut declared = Vec::new();
    for folder in ["../coordination/src", "src"] {
        walk(&Path::new(env!("CARGO_MANIFEST_DIR")).join(folder), &mut declared);
    }
    let given: BTreeSet<_> = every_error().into_iter().map(|(of, _)| of).collect();
    assert_eq!(given.len(), declared.len(), "given: {given:#?}, declared in: {declared:#?}");
}

/// The files with an error type, each as often as it has one.
fn walk(folder: &Path, declared: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
        let path = entry.path();
        if path.is_dir() {
            walk(&path, declared);
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("a source");
        let is_error = |l: &&str| {
            let derived = l.trim().strip_prefix("#[derive(").is_some_and(|d| d.contains("Error)"));
            derived || l.contains("Error for ") && l.contains("impl std::error::")
        };
        declared.extend(text.lines().filter(is_error).map(|_| path.clone()));
    }
}
