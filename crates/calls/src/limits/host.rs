//! Limits on the requests and body bytes in flight on one host.

use kernel::errors;

/// Configuration of [`HostLimits`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostLimitsConfig {
    /// Maximum number of requests in flight.
    pub max_requests: u64,
    /// Maximum size of all request and response bodies in memory, in bytes.
    pub max_bytes: u64,
}

impl Default for HostLimitsConfig {
    /// Sized for a memory budget of 64 MB: half of it for bodies, and 4 KB of state per
    /// request.
    fn default() -> Self {
        Self {
            max_requests: 4_096,
            max_bytes: 32 * 1024 * 1024,
        }
    }
}

/// Tracks requests and body bytes in flight against their limits.
///
/// A body of unknown length is counted as it arrives, through [`Self::grow`].
#[derive(Clone, Copy, Debug)]
pub struct HostLimits {
    config: HostLimitsConfig,
    requests: u64,
    bytes: u64,
}

impl HostLimits {
    /// Creates limits with nothing in flight.
    pub fn new(config: HostLimitsConfig) -> Self {
        Self {
            config,
            requests: 0,
            bytes: 0,
        }
    }

    /// Admits a request, counting `bytes` of its body, the length known so far.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::TooLarge`] if the body alone exceeds the limit, and
    /// [`errors::ErrorKind::Overloaded`] if the requests or bytes in flight leave no room.
    pub fn open(&mut self, bytes: u64) -> errors::Result<()> {
        if self.requests >= self.config.max_requests {
            let detail = format!("request limit reached: {} in flight", self.requests);
            return Err(errors::Error::new(errors::ErrorKind::Overloaded, detail));
        }
        self.grow(bytes)?;
        self.requests += 1;
        Ok(())
    }

    /// Counts further body bytes of an admitted request.
    ///
    /// # Errors
    ///
    /// As for [`Self::open`]; the bytes are then not counted.
    pub fn grow(&mut self, bytes: u64) -> errors::Result<()> {
        if bytes > self.config.max_bytes {
            let detail = format!(
                "body of {bytes} bytes exceeds the limit of {}",
                self.config.max_bytes
            );
            return Err(errors::Error::new(errors::ErrorKind::TooLarge, detail));
        }
        if self.bytes + bytes > self.config.max_bytes {
            let detail = format!("body memory limit reached: {} bytes in flight", self.bytes);
            return Err(errors::Error::new(errors::ErrorKind::Overloaded, detail));
        }
        self.bytes += bytes;
        Ok(())
    }

    /// Releases a request and the total of the bytes counted for it.
    pub fn close(&mut self, bytes: u64) {
        self.requests = self.requests.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    /// Number of requests in flight.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Body bytes in flight.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}
