//! Detection of hot keys in bounded memory.
//!
//! A home adds the key hash of each request to a [`Sketch`]. The memory of a sketch depends on its
//! capacity only, not on the number of keys.
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
