//! Reading of request bodies, within the memory that those of all requests may use.

use std::io::{self, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use displaydoc::Display;
use memmap2::MmapMut;

use crate::http::Request;

/// Length up to which a body is not counted. The number of requests bounds these.
const MAX_SMALL_BYTES: usize = 16 * 1024;

/// Bytes of one read.
const READ_BYTES: usize = 4 * 1024;

/// Bytes by which the memory for a body without a length grows.
const RESERVATION_STEP: usize = 64 * 1024;

/// Time that a client may take to send a body, however steadily it arrives.
const MAX_UPLOAD_TIME: Duration = Duration::from_secs(60);

/// Reason why a body was not read whole.
#[derive(Debug, Display)]
pub(crate) enum Error {
    /// body is longer than {0} bytes
    TooLong(usize),
    /// memory for bodies is used up
    NoMemory,
    /// body did not arrive in time
    Late,
    /// body cannot be read: {0}
    Unreadable(io::Error),
}

/// Memory that the bodies of all requests occupy. Clones refer to the same account.
#[derive(Clone)]
pub(crate) struct Account {
    limit: usize,
    held: Arc<AtomicUsize>,
}

impl Account {
    /// Creates an account of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Account {
            limit,
            held: Arc::default(),
        }
    }

    /// Reads the body of a request, of `limit` bytes at most.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the body is not read whole. The rest of it is left unread.
    pub fn read(&self, request: &mut Request, limit: usize) -> Result<Body, Error> {
        let began = Instant::now();
        let announced = request.body_length().unwrap_or(0);
        let mut body = Body {
            buffer: Buffer::Small(Vec::new()),
            reserved: 0,
            account: self.clone(),
        };
        body.reserve(announced, limit)?;
        let mut reader = request.reader();
        let mut piece = [0; READ_BYTES];
        loop {
            match reader.read(&mut piece) {
                Ok(0) => return Ok(body),
                Ok(length) => {
                    body.reserve(body.bytes().len() + length, limit)?;
                    body.buffer.append(&piece[..length]);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(Error::Unreadable(error)),
            }
            if began.elapsed() > MAX_UPLOAD_TIME {
                return Err(Error::Late);
            }
        }
    }
}

/// Body of a request. It counts in the account until it is dropped.
pub(crate) struct Body {
    buffer: Buffer,
    reserved: usize,
    account: Account,
}

/// Bytes of a body.
enum Buffer {
    Small(Vec<u8>),
    /// Pages of their own, which return to the system at once: the allocator keeps freed
    /// memory for each thread. The number of bytes follows.
    Large(MmapMut, usize),
}

impl Buffer {
    fn bytes(&self) -> &[u8] {
        match self {
            Buffer::Small(bytes) => bytes,
            Buffer::Large(pages, length) => &pages[..*length],
        }
    }

    /// Appends bytes, for which there is room in [`Buffer::Large`].
    fn append(&mut self, bytes: &[u8]) {
        match self {
            Buffer::Small(buffer) => buffer.extend_from_slice(bytes),
            Buffer::Large(pages, length) => {
                pages[*length..*length + bytes.len()].copy_from_slice(bytes);
                *length += bytes.len();
            }
        }
    }

    /// Moves a small body to pages with room for `limit` bytes.
    fn enlarge(&mut self, limit: usize) -> io::Result<()> {
        if let Buffer::Small(bytes) = self {
            let mut pages = MmapMut::map_anon(limit)?;
            pages[..bytes.len()].copy_from_slice(bytes);
            *self = Buffer::Large(pages, bytes.len());
        }
        Ok(())
    }
}

impl Body {
    /// Returns the bytes that were read.
    pub fn bytes(&self) -> &[u8] {
        self.buffer.bytes()
    }

    /// Reserves memory for `length` bytes in all, of `limit` at most.
    fn reserve(&mut self, length: usize, limit: usize) -> Result<(), Error> {
        if length > limit {
            return Err(Error::TooLong(limit));
        }
        if length <= self.reserved.max(MAX_SMALL_BYTES) {
            return Ok(());
        }
        let reserved = length.next_multiple_of(RESERVATION_STEP).min(limit);
        let more = reserved - self.reserved;
        let held = self.account.held.fetch_add(more, Ordering::Relaxed) + more;
        // A single body is read, whatever its size.
        if held > self.account.limit && held > reserved {
            self.account.held.fetch_sub(more, Ordering::Relaxed);
            return Err(Error::NoMemory);
        }
        self.reserved = reserved;
        self.buffer.enlarge(limit).map_err(Error::Unreadable)
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.account
            .held
            .fetch_sub(self.reserved, Ordering::Relaxed);
    }
}
