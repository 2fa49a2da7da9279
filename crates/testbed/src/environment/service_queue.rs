//! The cores of a simulated server with the bounded queue in front of them, and a sum over a sliding window.

use std::fmt;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::Semaphore;

/// Number of buckets of a [`SlidingWindow`].
const WINDOW_BUCKETS: usize = 10;

/// Error of a request that finds no free place in a server's queue: the server rejects it without executing
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

impl fmt::Display for QueueFull {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the simulated server's queue is full")
    }
}

impl std::error::Error for QueueFull {}

/// A number of cores, each busy with one request at a time, and a bounded queue of requests that wait for
/// one.
pub struct ServiceQueue {
    cores: Semaphore,
    waiting: AtomicUsize,
    max_waiting: usize,
}

/// Removes a request from the count of waiting requests on drop, also if the request's future is dropped.
struct WaitingGuard<'a>(&'a AtomicUsize);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServiceQueue {
    /// Creates an idle queue for `cores` cores with room for `max_waiting` requests.
    pub fn new(cores: usize, max_waiting: usize) -> ServiceQueue {
        ServiceQueue { cores: Semaphore::new(cores), waiting: AtomicUsize::new(0), max_waiting }
    }

    /// Waits for a core and occupies it for the time that `service_time` returns; the function is called once
    /// the core is acquired. If the future is dropped while it waits for a core, the request has not been
    /// executed.
    ///
    /// # Errors
    /// Returns [`QueueFull`] if all cores are busy and no place in the queue is free.
    pub async fn run(&self, service_time: impl FnOnce() -> Duration) -> Result<(), QueueFull> {
        let core = match self.cores.try_acquire() {
            Ok(core) => core,
            Err(_) => {
                let _waiting = self.enqueue()?;
                self.cores.acquire().await.expect("the semaphore is never closed")
            }
        };
        let service_time = service_time();
        if !service_time.is_zero() {
            tokio::time::sleep(service_time).await;
        }
        drop(core);
        Ok(())
    }

    fn enqueue(&self) -> Result<WaitingGuard<'_>, QueueFull> {
        let waiting = self.waiting.fetch_add(1, Ordering::Relaxed);
        let guard = WaitingGuard(&self.waiting);
        if waiting >= self.max_waiting {
            return Err(QueueFull);
        }
        Ok(guard)
    }
}

/// One interval of a sliding window with its sum.
#[derive(Clone, Copy)]
struct Bucket {
    /// Number of the interval, counted from time 0.
    number: i64,
    sum: f64,
}

/// A sum over a window that advances by one bucket, a tenth of its length, at a time.
pub struct SlidingWindow {
    length_us: i64,
    buckets: Mutex<[Bucket; WINDOW_BUCKETS]>,
}

impl SlidingWindow {
    /// Creates an empty window.
    pub fn new(length: Duration) -> SlidingWindow {
        let empty = Bucket { number: i64::MIN, sum: 0.0 };
        SlidingWindow {
            length_us: (length.as_micros() as i64).max(WINDOW_BUCKETS as i64),
            buckets: Mutex::new([empty; WINDOW_BUCKETS]),
        }
    }

    /// Adds an amount at the time `at_us`, in microseconds, and returns the sum of the window that ends at
    /// this time.
    pub fn add(&self, at_us: i64, amount: f64) -> f64 {
        let bucket_count = WINDOW_BUCKETS as i64;
        let number = at_us.div_euclid(self.length_us / bucket_count);
        let mut buckets = self.buckets.lock().expect("no thread panics while it holds the lock");
        let bucket = &mut buckets[number.rem_euclid(bucket_count) as usize];
        if bucket.number != number {
            *bucket = Bucket { number, sum: 0.0 };
        }
        bucket.sum += amount;
        let oldest = number.saturating_sub(bucket_count);
        buckets.iter().filter(|bucket| bucket.number > oldest).map(|bucket| bucket.sum).sum()
    }
}
