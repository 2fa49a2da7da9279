//! A server's cores and the bounded queue before them.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::Semaphore;

/// The queue was full.
pub struct Full;

pub struct Bench {
    cores: Semaphore,
    waiting: AtomicUsize,
    most: usize,
}

impl Bench {
    pub fn new(cores: usize, queue: usize) -> Bench {
        Bench { cores: Semaphore::new(cores), waiting: AtomicUsize::new(0), most: queue }
    }

    /// Waits for a core and holds it for as long as `work` says once it has it. Dropped before, nothing has run.
    pub async fn run(&self, work: impl FnOnce() -> Duration) -> Result<(), Full> {
        struct Leaves<'a>(&'a AtomicUsize);
        impl Drop for Leaves<'_> {
            fn drop(&mut self) {
                self.0.fetch_sub(1, Ordering::Relaxed);
            }
        }
        let core = match self.cores.try_acquire() {
            Ok(core) => core,
            Err(_) => {
                if self.waiting.fetch_add(1, Ordering::Relaxed) >= self.most {
                    self.waiting.fetch_sub(1, Ordering::Relaxed);
                    return Err(Full);
                }
                let _waits = Leaves(&self.waiting);
                self.cores.acquire().await.expect("never closed")
            }
        };
        let work = work();
        if !work.is_zero() {
            tokio::time::sleep(work).await;
        }
        drop(core);
        Ok(())
    }
}

/// A sum over a window that slides by tenths of it.
pub struct Window {
    span_us: i64,
    parts: Mutex<[(i64, f64); 10]>,
}

impl Window {
    pub fn new(span: Duration) -> Window {
        Window { span_us: (span.as_micros() as i64).max(10), parts: Mutex::new([(i64::MIN, 0.0); 10]) }
    }

    /// Adds an amount at a time in microseconds, and gives what the window up to it holds.
    pub fn add(&self, at_us: i64, amount: f64) -> f64 {
        let number = at_us.div_euclid(self.span_us / 10);
        let mut parts = self.parts.lock().expect("no holder panics");
        let part = &mut parts[number.rem_euclid(10) as usize];
        if part.0 != number {
            *part = (number, 0.0);
        }
        part.1 += amount;
        parts.iter().filter(|p| p.0 > number.saturating_sub(10)).map(|p| p.1).sum()
    }
}
