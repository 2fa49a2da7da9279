//! Every error of these crates has a sentence that tells an operator what to do.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use granitelb_control_plane::{config_error, planner, storage};
use granitelb_coordination::component::Remediation;
use granitelb_coordination::{Member, PlannerId};
use granitelb_coordination::{counterfactual, endpoint_health, leases, membership, message, shard_growth};

/// All values of an error type. The match in it fails to compile when a variant is added, which has to be added here as
/// well.
macro_rules! all {
    ($type:ty: $($value:expr => $pattern:pat),+ $(,)?) => {{
        let is_listed = |error: &$type| match error { $($pattern => ()),+ };
        let errors: Vec<$type> = vec![$($value),+];
        errors.iter().for_each(is_listed);
        let named = |error| NamedError { type_name: stringify!($type), error: Box::new(error) };
        errors.into_iter().map(named).collect::<Vec<_>>()
    }};
}

struct NamedError {
    type_name: &'static str,
    error: Box<dyn Remediation>,
}

fn syntax_error() -> Box<toml::de::Error> {
    Box::new(serde::de::Error::custom("x"))
}

fn trouble() -> std::io::Error {
    std::io::Error::other("trouble")
}

fn every_error() -> Vec<NamedError> {
    use config_error::{ConfigError, ConfigErrorKind as File};
    use counterfactual::CounterfactualError as Judged;
    use endpoint_health::HealthError as Verdicts;
    use leases::LeaseError as Leases;
    use membership::MembershipError;
    use message::EnvelopeError as Message;
    use planner::{ComponentCreateError, PlannerError as Planner, RateLimitError};
    use shard_growth::{GrowthError as Growth, SnapshotError};
    use storage::{PersistError, StorageError as Store};
    let address = "127.0.0.1:1".parse().expect("an address");
    let file = || ConfigError { path: "f".into(), line: Some(1), kind: File::Syntax(syntax_error()) };
    [
        all!(Message:
            Message::ShortSecret => Message::ShortSecret, Message::UnknownProtocol => Message::UnknownProtocol,
            Message::UnsupportedVersion(1) => Message::UnsupportedVersion(_), Message::InvalidSignature => Message::InvalidSignature,
            Message::UnknownKind(9) => Message::UnknownKind(_), Message::Malformed => Message::Malformed,
            Message::TooLong(9) => Message::TooLong(_)),
        all!(MembershipError:
            MembershipError::OwnName => MembershipError::OwnName, MembershipError::StaleIncarnation => MembershipError::StaleIncarnation, MembershipError::Duplicate => MembershipError::Duplicate,
            MembershipError::TooOld => MembershipError::TooOld, MembershipError::DeclaredFailed => MembershipError::DeclaredFailed, MembershipError::CapacityExceeded => MembershipError::CapacityExceeded,
            MembershipError::UnauthorizedSender => MembershipError::UnauthorizedSender),
        all!(File:
            File::Unreadable(trouble()) => File::Unreadable(_), File::Syntax(syntax_error()) => File::Syntax(_),
            File::Value { key: "k", reason: "w".into() } => File::Value { .. }),
        all!(Store:
            Store::Directory { path: "f".into(), cause: trouble() } => Store::Directory { .. }, Store::InUse => Store::InUse,
            Store::Corrupt("x".into()) => Store::Corrupt(_), Store::UnsupportedVersion { found: 0 } => Store::UnsupportedVersion { .. },
            Store::WrongOwner { own: 1, reason: "w".into() } => Store::WrongOwner { .. },
            Store::WriteFailed("x".into()) => Store::WriteFailed(_),
            Store::Removed { path: "f".into() } => Store::Removed { .. }, Store::WriterEnded => Store::WriterEnded),
        all!(PersistError: PersistError::from(Store::InUse) => _),
        all!(Planner:
            Planner::Config(file()) => Planner::Config(_),
            Planner::Bind { address: "127.0.0.1:1".parse().expect("an address"), source: trouble() } => Planner::Bind { .. },
            Planner::Store(Store::InUse) => Planner::Store(_),
            Planner::SystemResources(trouble()) => Planner::SystemResources(_),
            Planner::ComponentTimedOut(message::ComponentKind::ShardGrowth) => Planner::ComponentTimedOut(_),
            Planner::RouterStopped => Planner::RouterStopped),
        all!(RateLimitError:
            RateLimitError::Address(address) => RateLimitError::Address(_),
            RateLimitError::UnknownAddresses(address) => RateLimitError::UnknownAddresses(_),
            RateLimitError::Member(Member::Planner(PlannerId(1))) => RateLimitError::Member(_)),
        all!(ComponentCreateError: ComponentCreateError::Disabled => ComponentCreateError::Disabled),
        all!(ConfigError: file() => ConfigError { .. }),
        all!(counterfactual::NoSupport: counterfactual::NoSupport => counterfactual::NoSupport),
        all!(Verdicts:
            Verdicts::InvalidFigure => Verdicts::InvalidFigure, Verdicts::Stale => Verdicts::Stale, Verdicts::CapacityExceeded => Verdicts::CapacityExceeded,
            Verdicts::InvalidFragment => Verdicts::InvalidFragment, Verdicts::UnauthorizedSender => Verdicts::UnauthorizedSender),
        all!(Leases:
            Leases::Outdated => Leases::Outdated, Leases::TooManyEntries => Leases::TooManyEntries, Leases::UnknownPlanner => Leases::UnknownPlanner,
            Leases::UnsolicitedGrant => Leases::UnsolicitedGrant, Leases::UnexpectedMessage => Leases::UnexpectedMessage, Leases::NoMembers => Leases::NoMembers,
            Leases::SharesExceedCapacity => Leases::SharesExceedCapacity, Leases::InvalidDurations => Leases::InvalidDurations),
        all!(Growth:
            Growth::UnexpectedSender => Growth::UnexpectedSender, Growth::InvalidValue => Growth::InvalidValue, Growth::DayClosed => Growth::DayClosed,
            Growth::CapacityExceeded => Growth::CapacityExceeded),
        all!(SnapshotError:
            SnapshotError::OtherVersion(0) => SnapshotError::OtherVersion(_), SnapshotError::Corrupt => SnapshotError::Corrupt),
        all!(Judged:
            Judged::InvalidValue => Judged::InvalidValue, Judged::NotSampled => Judged::NotSampled,
            Judged::WrongRole => Judged::WrongRole),
    ]
    .into_iter()
    .flatten()
    .collect()
}

#[test]
fn every_error_has_a_description_and_a_remediation() {
    for NamedError { type_name, error } in every_error() {
        let (description, remediation) = (error.to_string(), error.remediation());
        assert!(!description.is_empty() && !description.ends_with('.'), "{type_name}: {description:?}");
        let is_sentence = remediation.len() > 10
            && remediation.starts_with(char::is_uppercase)
            && remediation.ends_with('.');
        assert!(
            is_sentence && remediation != description,
            "{type_name}, {description}: {remediation:?} is no sentence to an operator"
        );
    }
}

/// The types above are as many as the sources declare.
#[test]
fn every_error_type_is_listed() {
    let mut declared = Vec::new();
    for folder in ["../coordination/src", "src"] {
        find_error_types(&Path::new(env!("CARGO_MANIFEST_DIR")).join(folder), &mut declared);
    }
    let listed: BTreeSet<_> = every_error().into_iter().map(|named| named.type_name).collect();
    assert_eq!(listed.len(), declared.len(), "listed: {listed:#?}, declared in: {declared:#?}");
}

/// Adds the files that declare an error type, each as often as it does.
fn find_error_types(folder: &Path, declared: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("the folder is read").flatten() {
        let path = entry.path();
        if path.is_dir() {
            find_error_types(&path, declared);
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("the source is read");
        declared.extend(text.lines().filter(|line| declares_error(line)).map(|_| path.clone()));
    }
}

fn declares_error(line: &str) -> bool {
    let is_derived = line.trim().strip_prefix("#[derive(").is_some_and(|derive| derive.contains("Error)"));
    is_derived || line.contains("Error for ") && line.contains("impl std::error::")
}
