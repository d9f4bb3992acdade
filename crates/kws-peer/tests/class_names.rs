//! Names of message classes, as literals: they are label values in `/metrics`.

use kws_peer::MessageClass;
use rstest::rstest;

#[rstest]
#[case::config(MessageClass::Config, "config")]
#[case::health(MessageClass::Health, "health")]
#[case::lease(MessageClass::Lease, "lease")]
#[case::loan(MessageClass::Loan, "loan")]
#[case::mesh(MessageClass::Mesh, "mesh")]
#[case::ticket(MessageClass::Ticket, "ticket")]
fn class_name(#[case] class: MessageClass, #[case] text: &str) {
    assert_eq!(class.as_str(), text);
}
