//! Every error of the control plane and of its components has a sentence that tells an operator what to do.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use granitelb_control_plane::{config_error, planner, storage};
use granitelb_coordination::component::Remediation;
use granitelb_coordination::{Member, PlannerId};
use granitelb_coordination::{counterfactual, endpoint_health, leases, membership, message, shard_growth};

/// One value of each variant of an error type. If a variant is added to the type, the match in this macro
/// fails to compile until the variant is listed here.
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

fn io_error() -> std::io::Error {
    std::io::Error::other("an I/O error")
}

fn every_error() -> Vec<NamedError> {
    use config_error::{ConfigError, ConfigErrorKind};
    use counterfactual::CounterfactualError;
    use endpoint_health::HealthError;
    use leases::LeaseError;
    use membership::MembershipError;
    use message::EnvelopeError;
    use planner::{ComponentCreateError, PlannerError, RateLimitError};
    use shard_growth::{GrowthError, SnapshotError};
    use storage::{PersistError, StorageError};
    let address = "127.0.0.1:1".parse().expect("an address");
    let file =
        || ConfigError { path: "f".into(), line: Some(1), kind: ConfigErrorKind::Syntax(syntax_error()) };
    [
        all!(EnvelopeError:
            EnvelopeError::ShortSecret => EnvelopeError::ShortSecret,
            EnvelopeError::UnknownProtocol => EnvelopeError::UnknownProtocol,
            EnvelopeError::UnsupportedVersion(1) => EnvelopeError::UnsupportedVersion(_),
            EnvelopeError::InvalidSignature => EnvelopeError::InvalidSignature,
            EnvelopeError::UnknownKind(9) => EnvelopeError::UnknownKind(_),
            EnvelopeError::Malformed => EnvelopeError::Malformed,
            EnvelopeError::TooLong(9) => EnvelopeError::TooLong(_)),
        all!(MembershipError:
            MembershipError::OwnName => MembershipError::OwnName,
            MembershipError::StaleIncarnation => MembershipError::StaleIncarnation,
            MembershipError::Duplicate => MembershipError::Duplicate,
            MembershipError::TooOld => MembershipError::TooOld,
            MembershipError::DeclaredFailed => MembershipError::DeclaredFailed,
            MembershipError::CapacityExceeded => MembershipError::CapacityExceeded,
            MembershipError::UnauthorizedSender => MembershipError::UnauthorizedSender),
        all!(ConfigErrorKind:
            ConfigErrorKind::Unreadable(io_error()) => ConfigErrorKind::Unreadable(_),
            ConfigErrorKind::Syntax(syntax_error()) => ConfigErrorKind::Syntax(_),
            ConfigErrorKind::Value { key: "k", reason: "w".into() } => ConfigErrorKind::Value { .. }),
        all!(StorageError:
            StorageError::Directory { path: "f".into(), cause: io_error() } => StorageError::Directory { .. },
            StorageError::InUse => StorageError::InUse,
            StorageError::Corrupt("x".into()) => StorageError::Corrupt(_),
            StorageError::UnsupportedVersion { found: 0 } => StorageError::UnsupportedVersion { .. },
            StorageError::WrongOwner { own: 1, reason: "w".into() } => StorageError::WrongOwner { .. },
            StorageError::WriteFailed("x".into()) => StorageError::WriteFailed(_),
            StorageError::Removed { path: "f".into() } => StorageError::Removed { .. },
            StorageError::WriterEnded => StorageError::WriterEnded),
        all!(PersistError: PersistError::from(StorageError::InUse) => _),
        all!(PlannerError:
            PlannerError::Config(file()) => PlannerError::Config(_),
            PlannerError::Bind { address: "127.0.0.1:1".parse().expect("an address"), source: io_error() } => PlannerError::Bind { .. },
            PlannerError::Store(StorageError::InUse) => PlannerError::Store(_),
            PlannerError::SystemResources(io_error()) => PlannerError::SystemResources(_),
            PlannerError::ComponentTimedOut(message::ComponentKind::ShardGrowth) => PlannerError::ComponentTimedOut(_),
            PlannerError::RouterStopped => PlannerError::RouterStopped),
        all!(RateLimitError:
            RateLimitError::Address(address) => RateLimitError::Address(_),
            RateLimitError::UnknownAddresses(address) => RateLimitError::UnknownAddresses(_),
            RateLimitError::Member(Member::Planner(PlannerId(1))) => RateLimitError::Member(_)),
        all!(ComponentCreateError: ComponentCreateError::Disabled => ComponentCreateError::Disabled),
        all!(ConfigError: file() => ConfigError { .. }),
        all!(counterfactual::NoSupport: counterfactual::NoSupport => counterfactual::NoSupport),
        all!(HealthError:
            HealthError::InvalidFigure => HealthError::InvalidFigure,
            HealthError::Stale => HealthError::Stale,
            HealthError::CapacityExceeded => HealthError::CapacityExceeded,
            HealthError::InvalidFragment => HealthError::InvalidFragment,
            HealthError::UnauthorizedSender => HealthError::UnauthorizedSender),
        all!(LeaseError:
            LeaseError::Outdated => LeaseError::Outdated,
            LeaseError::TooManyEntries => LeaseError::TooManyEntries,
            LeaseError::UnknownPlanner => LeaseError::UnknownPlanner,
            LeaseError::UnsolicitedGrant => LeaseError::UnsolicitedGrant,
            LeaseError::UnexpectedMessage => LeaseError::UnexpectedMessage,
            LeaseError::NoMembers => LeaseError::NoMembers,
            LeaseError::SharesExceedCapacity => LeaseError::SharesExceedCapacity,
            LeaseError::InvalidDurations => LeaseError::InvalidDurations),
        all!(GrowthError:
            GrowthError::UnexpectedSender => GrowthError::UnexpectedSender,
            GrowthError::InvalidValue => GrowthError::InvalidValue,
            GrowthError::DayClosed => GrowthError::DayClosed,
            GrowthError::CapacityExceeded => GrowthError::CapacityExceeded),
        all!(SnapshotError:
            SnapshotError::OtherVersion(0) => SnapshotError::OtherVersion(_),
            SnapshotError::Corrupt => SnapshotError::Corrupt),
        all!(CounterfactualError:
            CounterfactualError::InvalidValue => CounterfactualError::InvalidValue,
            CounterfactualError::NotSampled => CounterfactualError::NotSampled,
            CounterfactualError::WrongRole => CounterfactualError::WrongRole),
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
            "{type_name}, {description}: {remediation:?} is not a sentence for an operator"
        );
    }
}

/// Guards against an error type that the test above leaves out: it lists as many types as the sources
/// declare.
#[test]
fn every_error_type_is_listed() {
    let mut declared = Vec::new();
    for folder in ["../coordination/src", "src"] {
        find_error_types(&Path::new(env!("CARGO_MANIFEST_DIR")).join(folder), &mut declared);
    }
    let listed: BTreeSet<_> = every_error().into_iter().map(|named| named.type_name).collect();
    assert_eq!(listed.len(), declared.len(), "listed: {listed:#?}, declared in: {declared:#?}");
}

/// Adds a file to `declared` once for each error type that the file declares, in a folder and its subfolders.
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

/// Whether a line of source derives or implements the error trait.
fn declares_error(line: &str) -> bool {
    let is_derived = line.trim().strip_prefix("#[derive(").is_some_and(|derive| derive.contains("Error)"));
    is_derived || line.contains("Error for ") && line.contains("impl std::error::")
}
