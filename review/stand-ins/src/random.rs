//! A small pseudo-random generator (xorshift).

pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    /// A number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }
}

/// Keys with Zipf popularity: the n-th key has the weight 1 / (n + offset) ^ exponent.
pub struct Zipf(Vec<f64>);

impl Zipf {
    pub fn new(keys: usize, exponent: f64, offset: f64) -> Zipf {
        let mut sum = 0.0;
        let mut sums = Vec::with_capacity(keys);
        for n in 0..keys {
            sum += 1.0 / (n as f64 + offset).powf(exponent);
            sums.push(sum);
        }
        Zipf(sums)
    }

    pub fn draw(&self, random: &mut Random) -> usize {
        let at = random.unit() * self.0.last().copied().unwrap_or(0.0);
        self.0.partition_point(|sum| *sum < at).min(self.0.len() - 1)
    }
}
