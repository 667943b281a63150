//! A secret read from a file, which no log, report or panic shows.

use std::fmt;
use std::path::Path;

/// Least length of a secret, in bytes.
const MIN_LENGTH_BYTES: usize = 16;

/// A secret; its debug form shows nothing of it, and it cannot be serialised.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret {
    value: String,
}

impl Secret {
    /// A secret of this value.
    pub fn new(value: impl Into<String>) -> Self {
        Self { value: value.into() }
    }

    /// Reads a secret from a file, without the line end; an empty path gives an empty secret.
    ///
    /// # Errors
    /// [`SecretError`], which does not show what the file holds.
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
            return Err(error("holds other than printable ASCII characters"));
        }
        Ok(Self::new(value))
    }

    /// The secret itself.
    pub fn as_str(&self) -> &str {
        &self.value
    }

    /// Whether there is no secret.
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
    /// What is wrong.
    pub problem: &'static str,
}

/// Refuses files that users other than the owner and its group can read.
fn check_permissions(path: &Path) -> Result<(), &'static str> {
    use std::os::unix::fs::PermissionsExt as _;

    const OTHERS_READ: u32 = 0o004;
    let metadata = std::fs::metadata(path).map_err(|_| "cannot be read")?;
    if metadata.permissions().mode() & OTHERS_READ != 0 {
        return Err("can be read by everyone; take that right away (chmod o-r)");
    }
    Ok(())
}
