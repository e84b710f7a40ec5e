//! Requests and bytes in flight on one host.

use kernel::errors;

/// Bounds of [`HostLimits`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostLimitsConfig {
    /// Most requests in flight.
    pub requests: u64,
    /// Most bytes of request and answer bodies in memory.
    pub bytes: u64,
}

impl Default for HostLimitsConfig {
    /// Half of a memory budget of 64 MB for bodies, and 4 KB of state per request.
    fn default() -> Self {
        Self {
            requests: 4_096,
            bytes: 32 * 1024 * 1024,
        }
    }
}

/// Counts requests and bytes in flight.
///
/// Bodies of unknown length are counted as they arrive, by [`Self::grow`].
#[derive(Clone, Copy, Debug)]
pub struct HostLimits {
    config: HostLimitsConfig,
    requests: u64,
    bytes: u64,
}

impl HostLimits {
    /// Makes limits with nothing in flight.
    pub fn new(config: HostLimitsConfig) -> Self {
        Self {
            config,
            requests: 0,
            bytes: 0,
        }
    }

    /// Takes in a request with the bytes of its body that are known.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::TooLarge`] if the body alone is above the limit, and
    /// [`errors::ErrorKind::Overloaded`] if there is no room now.
    pub fn open(&mut self, bytes: u64) -> errors::Result<()> {
        if self.requests >= self.config.requests {
            let detail = format!("{} requests are in flight", self.requests);
            return Err(errors::Error::new(errors::ErrorKind::Overloaded, detail));
        }
        self.grow(bytes)?;
        self.requests += 1;
        Ok(())
    }

    /// Adds bytes to an open request.
    ///
    /// # Errors
    ///
    /// As [`Self::open`]; the bytes are then not counted.
    pub fn grow(&mut self, bytes: u64) -> errors::Result<()> {
        if bytes > self.config.bytes {
            let detail = format!("{bytes} bytes are above the limit of {}", self.config.bytes);
            return Err(errors::Error::new(errors::ErrorKind::TooLarge, detail));
        }
        if self.bytes + bytes > self.config.bytes {
            let detail = format!("bodies of {} bytes are in flight", self.bytes);
            return Err(errors::Error::new(errors::ErrorKind::Overloaded, detail));
        }
        self.bytes += bytes;
        Ok(())
    }

    /// Ends a request and gives back all bytes counted for it.
    pub fn close(&mut self, bytes: u64) {
        self.requests = self.requests.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    /// Requests in flight.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Bytes in flight.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}
