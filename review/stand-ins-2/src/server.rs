//! Cache servers and the origin: a thread for each connection, one request at a time on each.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use crate::http::{self, Message};

/// The writing side of a connection, which threads share so that a second answer can come late.
#[derive(Clone)]
pub struct Writer(Arc<Mutex<TcpStream>>);

impl Writer {
    pub fn write(&self, bytes: &[u8]) -> bool {
        self.0.lock().unwrap().write_all(bytes).is_ok()
    }

    /// Ends the connection in both directions.
    pub fn close(&self) {
        let _ = self.0.lock().unwrap().shutdown(std::net::Shutdown::Both);
    }

    /// Writes the bytes again after a time, on the same connection.
    pub fn write_later(&self, bytes: Vec<u8>, after: std::time::Duration) {
        let writer = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(after);
            writer.write(&bytes);
        });
    }
}

/// Starts a server. `handle` answers one request; it returns false to end the connection.
pub fn start(handle: impl Fn(&Message, &Writer, u64) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((crate::process::own_ip(), 0)).expect("a loopback address");
    let address = listener.local_addr().unwrap();
    serve(listener, handle);
    address
}

pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Message, &Writer, u64) -> bool + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(writing) = stream.try_clone() else { return };
                let writer = Writer(Arc::new(Mutex::new(writing)));
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = http::read(&mut reader) {
                    if !handle(&request, &writer, number as u64) {
                        break;
                    }
                }
                writer.close();
            });
        }
    });
}
