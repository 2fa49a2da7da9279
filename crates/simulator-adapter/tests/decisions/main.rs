//! Guards against unintended changes of the balancer's decisions: the adapter's replies to simulated streams
//! of events are compared byte for byte with recorded ones. The replies determine the rest of a stream, so
//! that equal replies up to the end mean equal decisions throughout.
//!
//! A change that intends other decisions needs new fixtures. With `DECISIONS_WRITE=1` the tests write the
//! fixtures to a temporary directory and fail. Copy the files to `tests/fixtures` by hand.

mod endpoint;
mod fixture;
mod random;
mod settings;
mod simulator;
mod streams;
mod wire;

use std::io::{Read, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use fixture::Recording;
use simulator::Simulator;
use streams::Site;

/// A running adapter process.
struct Adapter {
    process: Child,
    input: Option<ChildStdin>,
    output: ChildStdout,
}

impl Adapter {
    fn start() -> Adapter {
        let mut command = Command::new(env!("CARGO_BIN_EXE_granitelb-adapter"));
        let mut process =
            command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("the adapter starts");
        let input = process.stdin.take();
        let output = process.stdout.take().expect("standard output is piped");
        Adapter { process, input, output }
    }

    /// Sends a batch and returns the reply, including its length field.
    fn reply(&mut self, batch: &[u8]) -> Vec<u8> {
        let input = self.input.as_mut().expect("the input is open");
        input.write_all(batch).expect("the adapter reads");
        let mut length = [0; 4];
        self.output.read_exact(&mut length).expect("the adapter replies");
        let mut reply = vec![0; u32::from_be_bytes(length) as usize];
        self.output.read_exact(&mut reply).expect("the adapter replies in full");
        [&length[..], &reply].concat()
    }

    /// Closes the input, and checks that the adapter exits successfully.
    fn finish(mut self) {
        self.input = None;
        let status = self.process.wait().expect("the adapter ends");
        assert!(status.success(), "the adapter ended with {status}");
    }
}

/// Runs a stream to its end. Panics at the first reply that differs from the fixture called `name`.
fn run_stream(name: &'static str, site: Site) {
    let (mut simulator, mut adapter) = (Simulator::new(site), Adapter::start());
    let mut recording = Recording::new(name);
    while let Some((clock, batch)) = simulator.next_batch() {
        let reply = adapter.reply(&batch);
        recording.push(clock, &reply);
        simulator.on_reply(&wire::actions(&reply));
    }
    adapter.finish();
    recording.finish();
}

/// Defines a test for each stream. The fixture of a stream has the same name.
macro_rules! streams {
    ($($name:ident),* $(,)?) => {
        $(
            #[test]
            fn $name() {
                run_stream(stringify!($name), streams::$name());
            }
        )*
    };
}

streams! {
    crowd_aside,
    list_on_request,
    cold_starts,
    ill_caches,
    silent_zone,
    slow_origin,
    through_with_reports,
    through_with_hung_caches,
    idempotent_writes,
    non_idempotent_writes,
    non_idempotent_through,
    one_node,
    many_nodes,
    doubted_lists,
    nodes_restart,
    many_keys,
    heavy_keys,
}
