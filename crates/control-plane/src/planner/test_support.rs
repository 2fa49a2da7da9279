//! Members, messages and a fleet configuration for the planner's unit tests.

use granitelb_coordination::endpoint_health::{Fragment, HealthMessage, HealthUpdate};
use granitelb_coordination::message::Message;
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender, Version};

use super::mailbox::ReceivedMessage;
use crate::config_error::ConfigSource;
use crate::fleet_config::FleetConfig;

pub(super) const FORWARDER: Member = Member::Forwarder(ForwarderId(1));
pub(super) const PLANNER: Member = Member::Planner(PlannerId(2));

pub(super) fn health_message(number: u64) -> HealthMessage {
    HealthMessage::Update(HealthUpdate {
        version: Version(number),
        fragment: Fragment::SINGLE,
        forwarders: 0,
        statuses: Vec::new(),
    })
}

pub(super) fn message_from(member: Member, number: u64) -> ReceivedMessage {
    ReceivedMessage {
        sender: Sender { member, incarnation: Incarnation(1), sequence: number },
        message: Message::EndpointHealth(health_message(number)),
    }
}

pub(super) fn fleet_config() -> FleetConfig {
    let text = "secret = \"000102030405060708090a0b0c0d0e0f\"\nforwarders = 1\n[[planner]]\nnumber = 1\nletters = \"127.0.0.1:1\"";
    let source = ConfigSource { path: "operator.toml".into(), text: text.into() };
    FleetConfig::parse(&source).expect("the configuration is valid")
}
