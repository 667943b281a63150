//! A secret read from a file and kept out of logs, reports and panic messages.

use std::fmt;
use std::path::Path;

/// Shortest valid secret, in bytes.
const MIN_LENGTH_BYTES: usize = 16;

/// A secret, such as the token of the cell. Its `Debug` form hides the value, and it implements no
/// serialization.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret {
    value: String,
}

impl Secret {
    /// Wraps `value` without checking it.
    pub fn new(value: impl Into<String>) -> Self {
        Self { value: value.into() }
    }

    /// Reads a secret from a file and trims surrounding whitespace; an empty path gives an empty
    /// secret.
    ///
    /// # Errors
    /// [`SecretError`] if the file cannot be read, is readable by everyone, or holds fewer than 16
    /// bytes or other than printable ASCII characters; the error does not show its content.
    ///
    /// ```
    /// use hemlockrock::configs::secret;
    ///
    /// assert!(secret::Secret::read("").unwrap().is_empty());
    /// assert!(secret::Secret::read("/no/such/file").is_err());
    /// assert_eq!(format!("{:?}", secret::Secret::new("plumb")), "Secret(not shown)");
    /// ```
    pub fn read(path: &str) -> Result<Self, SecretError> {
        if path.is_empty() {
            return Ok(Self::default());
        }
        let error = |problem| SecretError { path: path.to_owned(), problem };
        check_permissions(Path::new(path)).map_err(error)?;
        let text = std::fs::read_to_string(path).map_err(|_| error("cannot be read"))?;
        let value = text.trim();
        if value.len() < MIN_LENGTH_BYTES {
            return Err(error("holds fewer than 16 bytes"));
        }
        if !value.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(error("holds characters other than printable ASCII"));
        }
        Ok(Self::new(value))
    }

    /// The secret in plain text.
    pub fn as_str(&self) -> &str {
        &self.value
    }

    /// Whether no secret is set.
    pub fn is_empty(&self) -> bool {
        self.value.is_empty()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(not shown)")
    }
}

/// Why a secret could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("secret file {path} {problem}")]
pub struct SecretError {
    /// Path of the file.
    pub path: String,
    /// What is wrong, worded to follow the path.
    pub problem: &'static str,
}

/// Rejects files that users other than the owner and its group can read.
fn check_permissions(path: &Path) -> Result<(), &'static str> {
    use std::os::unix::fs::PermissionsExt as _;

    const OTHERS_READ: u32 = 0o004;
    let metadata = std::fs::metadata(path).map_err(|_| "cannot be read")?;
    if metadata.permissions().mode() & OTHERS_READ != 0 {
        return Err("is readable by everyone; remove that permission (chmod o-r)");
    }
    Ok(())
}
