use proptest::prelude::*;

use super::{Mailbox, MailboxFull};
use crate::planner::test_support::{FORWARDER, PLANNER, message_from};

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
                blocked = Some(full.sender.sequence);
                break;
            }
        }
        let received: Vec<_> =
            std::iter::from_fn(|| mailbox.try_receive()).map(|received| received.sender.sequence).collect();
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
