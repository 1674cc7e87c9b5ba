//! Hot keys, found in bounded memory.
//!
//! A home feeds the hash of each request's key into a [`Sketch`]. Its memory is set by its
//! capacity, never by the number of keys.
//!
//! # Examples
//!
//! ```
//! use carawayrill_core::hot::Sketch;
//! use carawayrill_core::id::KeyHash;
//!
//! let mut sketch = Sketch::new(8);
//! for number in 0..100 {
//!     sketch.add(KeyHash(number));
//!     sketch.add(KeyHash(7));
//! }
//! assert_eq!(sketch.top(1)[0].key, KeyHash(7));
//! ```

mod sketch;

pub use self::sketch::HotKey;
pub use self::sketch::Sketch;
